// HTTP client for endpoints and the platform's services.
//
// It reads responses with HttpReader, which bounds what is held of them in
// every state: faulty servers may send bytes without end. libevent's evhttp
// bounds neither interim responses nor the heads of chunks, and took 1 GB for a
// call to such a server.
//
// Each connection carries one call at a time and is kept alive for the next.
// The client never retries a call. The result distinguishes calls that cannot
// have had an effect from those that may have: kNotSent means that no byte of
// the call was sent; kLost and kTimeout mean that the server may have received
// it. A call on a fresh connection avoids the race with a server that closes a
// kept-alive connection while the call is being written.
//
// All connections between two hosts may fall silent together. A call that times
// out therefore closes the idle connections to its address: the next call would
// wait on one of these in vain as well.

#ifndef PINFORD_HTTP_CLIENT_H_
#define PINFORD_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/http.h"
#include "pinford/tcp_connection.h"
#include "util/address.h"

namespace pinford {

enum class Transport {
  kOk,       // a complete response was received
  kNotSent,  // could not connect: nothing was sent
  kLost,     // the connection broke after sending may have begun
  kTimeout,  // no response in time; the server may still be working
  kNoPath,   // no peer relays it: nothing was sent, the server is not at fault
};

std::string_view TransportName(Transport t);

struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  Address to;
  std::string target;  // path and query
  std::string body;
  HttpHeaders headers;
  // Extended by this process's own scheduling delay, at most doubled: during
  // that delay the process could neither send the call nor read its response.
  Duration timeout = seconds(5);
  bool fresh_connection = false;
  // A response with a longer body fails the call as kLost.
  size_t max_body_bytes = 16 << 20;
};

// Returns the whole call in wire format. Headers of several lines are left out:
// what follows the first would be read as further headers, or as another call.
std::string WriteHttpCall(const HttpCall& call);

struct HttpResult {
  Transport transport = Transport::kNotSent;
  int status = 0;  // 0 if there was no response
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  std::string type() const { return std::string(header("Content-Type")); }
  bool ok() const { return transport == Transport::kOk && status == 200; }
};

// Identifies a call in progress. Never 0.
using CallId = uint64_t;

class HttpClient {
 public:
  struct Options {
    size_t max_idle_per_address = 64;
    size_t max_idle = 256;  // in all; each takes a descriptor
    // Longer than the interval at which a box calls the same server, a second
    // at most, and shorter than the idle timeouts that servers usually have.
    Duration idle_timeout = seconds(4);
  };
  using Callback = std::function<void(HttpResult)>;

  HttpClient(EventLoop* loop, const Options& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. Calls `fn` exactly once, never from within Send, unless the
  // call is cancelled first.
  CallId Send(HttpCall call, Callback fn);
  // Closes the call's connection without calling its callback.
  void Cancel(CallId id);

  size_t in_progress() const { return calls_.size(); }

 private:
  struct Call;
  using ConnectionPtr = std::shared_ptr<TcpConnection>;
  struct IdleConnection {
    ConnectionPtr connection;
    Time since;
  };

  // Returns an idle connection, or a new one that is being established.
  ConnectionPtr AcquireConnection(const HttpCall& call);
  void ReleaseConnection(const Address& to, const ConnectionPtr& connection);
  // Closes the connections that have been idle for too long, now and later.
  void SweepIdle();
  void DropIdle(const Address& to, const TcpConnection* connection);
  void DropAllIdle(const Address& to);
  void InstallHandlers(Call* call);
  void OnBytes(CallId id, std::string_view bytes);
  void OnEnd(CallId id, TcpEnd end);
  // Ends the call if its response is complete or cannot become so.
  void CheckResponse(Call* call);
  void OnTimeout(CallId id);
  // Ends the call without a response.
  void Fail(CallId id, Transport transport);
  void Finish(CallId id, HttpResult result);
  // Removes a call that ends.
  std::unique_ptr<Call> Take(CallId id);

  EventLoop* loop_;
  Options options_;
  CallId next_id_ = 1;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::map<Address, std::vector<IdleConnection>> idle_;
  size_t idle_count_ = 0;
  TimerId sweep_timer_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_HTTP_CLIENT_H_
