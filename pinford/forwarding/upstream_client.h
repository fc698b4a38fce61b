// Sends forwarded requests to endpoints and hands back what comes, as it
// comes.
//
// Unlike HttpClient (which makes pinford's own calls over evhttp) it tells
// apart how an exchange ended, because that decides what may be said to the
// caller and whether the request may be sent again (attempt_result.h):
// whether a byte left this process, whether the answer was whole, cut or no
// HTTP at all. It sends a request once.
//
// A connection carries one request at a time. It is used again only if the
// answer was whole, framed, asked for, and came after the whole request had
// been written: a faulty endpoint may answer early, send more than one answer,
// or send an old answer in the place of the one that is due. The request's id,
// which answers repeat, tells those apart.

#ifndef PINFORD_FORWARDING_UPSTREAM_CLIENT_H_
#define PINFORD_FORWARDING_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/event_loop.h"
#include "pinford/forwarding/http_reader.h"
#include "pinford/forwarding/tcp_connection.h"
#include "util/address.h"

namespace pinford {

enum class UpstreamEnd {
  kComplete,   // the whole answer came
  kRefused,    // no connection could be made: nothing was sent
  kWithdrawn,  // before_send said no: nothing was sent
  kBroken,     // the connection ended after sending, without an answer
  kTruncated,  // it ended within the answer
  kMalformed,  // what came is no HTTP, or too large
};

std::string_view UpstreamEndName(UpstreamEnd e);

struct UpstreamRequest {
  std::string endpoint;  // whose connections may be used
  Address to;
  std::string bytes;       // the whole request as it goes on the wire
  std::string id;          // what the answer's id header must hold
  bool head_only = false;  // a HEAD request: its answer has no body
  // Kept connections that rested for longer are not used for it.
  Duration max_idle_time = seconds(60);
  Duration connect_limit = milliseconds(400);
};

struct UpstreamHandlers {
  // Asked right before the first byte is written.
  std::function<bool()> before_send;
  std::function<void(const HttpHead&)> on_head;
  std::function<void(std::string)> on_body;
  // Once, last.
  std::function<void(UpstreamEnd)> on_end;
};

// Identifies an exchange under way. 0 is never given out.
using UpstreamId = uint64_t;

class UpstreamClient {
 public:
  struct Options {
    std::string id_header;  // the name of the header with the request's id
    size_t head_bytes = 64 << 10;
    size_t body_bytes = 64 << 20;
    size_t max_idle = 64;  // connections kept, of one endpoint
    // How long a connection is kept without word from the endpoint.
    Duration idle_limit = seconds(4);
  };

  UpstreamClient(EventLoop* loop, const Options& options);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  // Handlers are called later, never from within Send.
  UpstreamId Send(UpstreamRequest request, UpstreamHandlers handlers);
  // Closes the exchange's connection. No handler is called any more.
  void Cancel(UpstreamId id);
  // Stops or goes on reading the answer.
  void Pause(UpstreamId id, bool paused);
  // Closes the kept connections of an endpoint that is gone or has started
  // anew, and keeps none that is in use now.
  void DropConnections(const std::string& endpoint);

  int64_t connects() const { return connects_; }
  size_t in_progress() const { return exchanges_.size(); }

 private:
  struct Exchange;
  struct Idle {
    std::shared_ptr<TcpConnection> tcp;
    Time since;
    Time until;
  };

  std::shared_ptr<TcpConnection> TakeIdle(const UpstreamRequest& request);
  void Begin(const std::shared_ptr<Exchange>& x);
  void OnConnected(const std::shared_ptr<Exchange>& x);
  void OnBytes(const std::shared_ptr<Exchange>& x, std::string_view bytes);
  void Deliver(const std::shared_ptr<Exchange>& x);
  void OnTcpEnd(const std::shared_ptr<Exchange>& x, TcpEnd how);
  void Finish(const std::shared_ptr<Exchange>& x, UpstreamEnd end);
  void Keep(const std::shared_ptr<Exchange>& x);
  void DropIdle(const std::string& endpoint, const TcpConnection* tcp);
  void Sweep();

  EventLoop* loop_;
  Options options_;
  UpstreamId next_id_ = 1;
  int64_t connects_ = 0;
  std::unordered_map<UpstreamId, std::shared_ptr<Exchange>> exchanges_;
  std::map<std::string, std::deque<Idle>> idle_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_UPSTREAM_CLIENT_H_
