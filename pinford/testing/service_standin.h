// A small stand-in for a plain service, such as one that records bookings.
//
// It checks neither fencing tokens nor idempotency keys: every request that
// reaches it runs and is recorded. GET /records returns every run. POST /faults
// sets the faults of standin_faults.h, and:
//   fail  answers 500 after running

#ifndef PINFORD_TESTING_SERVICE_STANDIN_H_
#define PINFORD_TESTING_SERVICE_STANDIN_H_

#include <string>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/http_server.h"
#include "pinford/testing/standin_faults.h"

namespace pinford {

class ServiceStandin {
 public:
  ServiceStandin(EventLoop* loop, std::string name);

  bool Listen(const Address& address) { return server_.Listen(address); }

 private:
  struct Run {
    std::string request;
    std::string key;
    std::string method;
    std::string path;
  };

  void OnRequest(ExchangePtr exchange);
  void Serve(const ExchangePtr& exchange);
  void HandleRecords(const ExchangePtr& exchange);
  void HandleFaults(const ExchangePtr& exchange);

  EventLoop* loop_;
  std::string name_;
  HttpServer server_;
  uint64_t incarnation_;
  std::vector<Run> runs_;
  StandinFaults faults_;
  bool fail_ = false;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_SERVICE_STANDIN_H_
