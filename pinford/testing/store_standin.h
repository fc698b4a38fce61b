// A small stand-in for the platform's key-value service, over HTTP.
//
// It implements the protocol of store_client.h. POST /faults sets faults:
//   down          closes each connection at its first request
//   delay_ms      added to the time of each answer
//   lose_replies  number of writes that take effect and whose connection is
//                 then closed instead of answered
// GET /counts returns the number of calls by path.

#ifndef PINFORD_TESTING_STORE_STANDIN_H_
#define PINFORD_TESTING_STORE_STANDIN_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "pinford/event_loop.h"
#include "pinford/http_server.h"

namespace pinford {

class StoreStandin {
 public:
  explicit StoreStandin(EventLoop* loop);

  bool Listen(const Address& address) { return server_.Listen(address); }
  // Writes `key` regardless of its revision.
  void Put(const std::string& key, const std::string& value);

 private:
  struct Row {
    std::string value;
    uint64_t revision = 0;
  };
  struct Lease {
    std::string holder;
    Time expires{};
    uint64_t token = 0;
  };
  struct Watch {
    std::string key;
    uint64_t after = 0;
    ExchangePtr exchange;
    TimerId timer = 0;
  };

  void OnRequest(ExchangePtr exchange);
  void Serve(const ExchangePtr& exchange);
  void HandleGet(const ExchangePtr& exchange);
  void HandleSwap(const ExchangePtr& exchange);
  void HandleLease(const ExchangePtr& exchange);
  void HandlePut(const ExchangePtr& exchange);
  void HandleFaults(const ExchangePtr& exchange);
  void HandleCounts(const ExchangePtr& exchange);
  void ReplyRow(const ExchangePtr& exchange, int status, const Row& row);
  // Answers a write, or aborts the exchange if replies are to be lost.
  void ReplyWrite(const ExchangePtr& exchange, int status,
                  const std::string& body);
  void NotifyWatches(const std::string& key);

  EventLoop* loop_;
  HttpServer server_;
  std::map<std::string, Row> rows_;
  std::map<std::string, Lease> leases_;
  std::list<Watch> watches_;
  uint64_t revision_ = 0;
  bool down_ = false;
  Duration delay_{};
  int lose_replies_ = 0;
  std::map<std::string, int64_t> counts_;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_STORE_STANDIN_H_
