// HTTP towards endpoints and the platform, over libevent's evhttp.
//
// Each connection carries one call at a time and is kept for the next. The
// client itself never sends a call twice. What matters most to its users is
// what may be said of a call that got no answer: kNotSent means that no byte
// of it left this process; kLost and kTimeout mean that it may have arrived.
// A call that asks for a fresh connection never meets the race in which a
// kept connection is closed by the other side as the call is written.

#ifndef PINFORD_HTTP_CLIENT_H_
#define PINFORD_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/http.h"
#include "util/address.h"

struct evhttp_connection;
struct evhttp_request;

namespace pinford {

enum class Transport {
  kOk,       // a whole answer came back
  kNotSent,  // the connection could not be made: nothing was sent
  kLost,     // the connection broke after sending may have begun
  kTimeout,  // no answer in time; it may still be worked on
};

std::string_view TransportName(Transport t);

struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  Address to;
  std::string target;  // path and query
  std::string body;
  HttpHeaders headers;
  // A delay of this process's own adds to it, up to as long again: the other
  // side has had no time to answer meanwhile.
  Duration timeout = seconds(5);
  bool fresh_connection = false;
};

struct HttpResult {
  Transport transport = Transport::kNotSent;
  int status = 0;  // 0 without an answer
  HttpHeaders headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  std::string type() const { return std::string(header("Content-Type")); }
  bool ok() const { return transport == Transport::kOk && status == 200; }
};

// Identifies a call in progress. 0 is never given out.
using CallId = uint64_t;

class HttpClient {
 public:
  struct Options {
    size_t max_body_bytes = 16 << 20;
    size_t max_idle_per_address = 64;
  };
  using Callback = std::function<void(HttpResult)>;

  HttpClient(EventLoop* loop, const Options& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `fn` is called once, never from within Send, unless the call is
  // cancelled first.
  CallId Send(HttpCall call, Callback fn);
  // Closes the call's connection. Its callback is not called.
  void Cancel(CallId id);

  size_t in_progress() const { return calls_.size(); }

 private:
  struct Call;
  static void OnDone(evhttp_request* request, void* arg);

  evhttp_connection* TakeConnection(const HttpCall& call);
  void KeepConnection(const Address& to, evhttp_connection* connection);
  void OnLimit(CallId id);
  void Finish(CallId id, HttpResult result);
  void FreeLater(evhttp_connection* connection);

  EventLoop* loop_;
  Options options_;
  CallId next_id_ = 1;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  std::map<Address, std::vector<evhttp_connection*>> idle_;
  std::vector<evhttp_connection*> doomed_;
};

}  // namespace pinford

#endif  // PINFORD_HTTP_CLIENT_H_
