// HTTP/1.1 towards callers whose requests are forwarded.
//
// Unlike HttpServer (which serves pinford's own interface over libevhtp) it
// hands over a request's head as it was sent, answers with another server's
// head, and bounds what a caller may send and how long it may take. Requests
// that follow on one connection are answered in order, one at a time.
//
// A caller that closes its connection while its request is worked on has left:
// the exchange says so at once, and the work is ended.

#ifndef PINFORD_FORWARDING_CALLER_SERVER_H_
#define PINFORD_FORWARDING_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/event_loop.h"
#include "pinford/forwarding/http_reader.h"
#include "pinford/forwarding/tcp_connection.h"
#include "util/address.h"

struct evconnlistener;

namespace pinford {

class EntryConnection;

// One request and the answer to it.
class CallerExchange {
 public:
  CallerExchange(std::shared_ptr<EntryConnection> connection, HttpHead head,
                 std::string body, Time started);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  // When the first byte of the request came.
  Time started() const { return begun_; }

  // Sends the whole answer, with its length. `headers` hold no length.
  void Reply(int status, std::string_view reason, const HttpHeaders& headers,
             std::string_view body);
  // An answer of unknown length, in chunks.
  void StartStream(int status, std::string_view reason,
                   const HttpHeaders& headers);
  void Write(std::string_view bytes);
  void EndStream();
  // Closes the connection so that the answer does not look complete.
  void Abort();
  // What the log calls this request once its exchange is over: its caller may
  // lose the end of an answer that was written whole.
  void set_log_id(const std::string& id);

  // False once the caller has gone or the answer was finished.
  bool open() const { return connection_ != nullptr; }
  bool streaming() const { return streaming_; }
  // Bytes of the answer that the caller's side has not yet taken.
  size_t unsent() const;
  // How the caller's connection ended, if it did before the answer's end.
  std::optional<TcpEnd> caller_end() const { return caller_end_; }

  // Called once if the caller goes away before the answer is finished.
  void set_on_disconnect(std::function<void()> fn) {
    on_hang_up_ = std::move(fn);
  }

 private:
  friend class EntryConnection;
  void OnGone(TcpEnd how);
  std::string Head(int status, std::string_view reason,
                   const HttpHeaders& headers) const;
  void Finish();

  std::shared_ptr<EntryConnection> connection_;
  HttpHead head_;
  std::string body_;
  Time begun_;
  bool streaming_ = false;
  std::optional<TcpEnd> caller_end_;
  std::function<void()> on_hang_up_;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

class CallerServer {
 public:
  struct Limits {
    size_t head_bytes = 16 << 10;
    size_t body_bytes = 4 << 20;
    Duration head_timeout = seconds(3);   // from a request's first byte
    Duration idle_timeout = seconds(15);  // between requests, or in a body
    size_t connections = 3500;            // beyond, new ones are closed
    // A caller that takes nothing of its answer for so long is gone. Longer
    // than requests may take: how long a pause it bears is for it to say.
    Duration silent_timeout = seconds(30);
  };
  using Handler = std::function<void(CallerExchangePtr)>;

  CallerServer(EventLoop* loop, const Limits& limits, Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // False, with errno set, when the address cannot be bound.
  bool Listen(const Address& address);
  void StopListening();
  // From now on each answer closes its connection.
  void set_close_after_reply(bool v) { close_after_reply_ = v; }
  // Closes the connections on which no request is under way. One that has
  // brought none yet is left for `for_first` after it was opened: its caller
  // has sent one, or is about to, and takes an end for its answer's.
  void CloseIdle(Duration for_first = Duration(0));
  void set_limits(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }

  size_t connections() const { return connections_.size(); }
  // When a caller last connected, sent or was answered.
  Time last_activity() const { return last_activity_; }
  // Requests that were refused before they reached the handler.
  int64_t refused() const { return refused_; }

 private:
  friend class EntryConnection;
  void Accept(int fd);
  // Ends connections that have been silent for too long.
  void Sweep();

  EventLoop* loop_;
  Limits limits_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  bool close_after_reply_ = false;
  int64_t refused_ = 0;
  Time last_activity_{};
  std::unordered_map<EntryConnection*, std::shared_ptr<EntryConnection>>
      connections_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CALLER_SERVER_H_
