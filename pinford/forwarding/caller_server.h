// HTTP/1.1 server for callers whose requests are forwarded.
//
// HttpServer, built on libevhtp, serves pinford's own API. This server instead
// exposes the request head as sent, lets the handler supply another server's
// response head, and limits request size and duration. Pipelined requests on a
// connection are answered in order, one at a time.
//
// If a caller closes its connection while its request is in progress, the
// exchange reports it immediately so that the work can be cancelled.
//
// Callers may send more than a box can hold, and never finish it. All that is
// held of requests, until the last byte of a body has been forwarded, counts
// against one budget (caller_budget.h). Beyond it, the largest requests that
// are incomplete are refused: these have not run, and are the least likely to
// be served. A request that has reached the handler is never refused for this.
// At the limit of connections, those with the oldest incomplete request are
// closed for new ones, then those that have been idle for longest: a new caller
// is more likely an ordinary one.

#ifndef PINFORD_FORWARDING_CALLER_SERVER_H_
#define PINFORD_FORWARDING_CALLER_SERVER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/event_loop.h"
#include "pinford/forwarding/caller_budget.h"
#include "pinford/http_reader.h"
#include "pinford/tcp_connection.h"
#include "util/address.h"

struct evconnlistener;

namespace pinford {

class CallerConnection;

// One request and its response.
class CallerExchange {
 public:
  CallerExchange(std::shared_ptr<CallerConnection> connection, HttpHead head,
                 std::shared_ptr<const std::string> body, Time started);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return *body_; }
  // Counts against the server's budget until the last reference is gone.
  const std::shared_ptr<const std::string>& shared_body() const {
    return body_;
  }
  // When the first byte of the request was received.
  Time started() const { return started_; }

  // Sends a complete response with a Content-Length, which `headers` must not
  // contain.
  void Reply(int status, std::string_view reason, const HttpHeaders& headers,
             std::string_view body);
  // Starts a response of unknown length, sent with chunked encoding.
  void StartStream(int status, std::string_view reason,
                   const HttpHeaders& headers);
  void Write(std::string_view bytes);
  void EndStream();
  // Closes the connection without terminating the response, so that the caller
  // cannot take it for complete.
  void Abort();
  // Sets the id that identifies this request in the log after the exchange has
  // ended: the end of a fully written response may still fail to reach the
  // caller.
  void set_log_id(const std::string& id);

  // False once the caller has disconnected or the response has ended.
  bool open() const { return connection_ != nullptr; }
  bool streaming() const { return streaming_; }
  // Bytes of the response that the kernel has not yet accepted.
  size_t unsent() const;
  // How the caller's connection ended, if that was before the response ended.
  std::optional<TcpEnd> caller_end() const { return caller_end_; }

  // Called once if the caller disconnects before the response has ended.
  void set_on_disconnect(std::function<void()> fn) {
    on_disconnect_ = std::move(fn);
  }

 private:
  friend class CallerConnection;
  void OnDisconnect(TcpEnd how);
  std::string FormatHead(int status, std::string_view reason,
                         const HttpHeaders& headers) const;
  void Finish();

  std::shared_ptr<CallerConnection> connection_;
  HttpHead head_;
  std::shared_ptr<const std::string> body_;
  Time started_;
  bool streaming_ = false;
  std::optional<TcpEnd> caller_end_;
  std::function<void()> on_disconnect_;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

class CallerServer {
 public:
  struct Limits {
    size_t head_bytes = 16 << 10;
    size_t body_bytes = 4 << 20;
    Duration head_timeout = seconds(3);   // from a request's first byte
    Duration idle_timeout = seconds(15);  // between requests, or within a body
    // Beyond this, connections without a request in progress are closed, or
    // new ones.
    size_t connections = 3500;
    // What is held of all requests.
    size_t held_bytes = 64 << 20;
    // A caller that reads nothing of its response for this long counts as
    // disconnected. Longer than requests may take, because it is up to the
    // caller how long a pause it tolerates.
    Duration write_stall_timeout = seconds(30);
  };
  using Handler = std::function<void(CallerExchangePtr)>;

  CallerServer(EventLoop* loop, const Limits& limits, Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Returns false, with errno set, if the address cannot be bound.
  bool Listen(const Address& address);
  void StopListening();
  // If set, each response closes its connection.
  void set_close_after_reply(bool v) { close_after_reply_ = v; }
  // Closes the connections without a request in progress. A connection that has
  // not carried a request yet is kept for `first_request_grace` after it was
  // opened: its caller has sent a request or is about to, and would take the
  // close for the response.
  void CloseIdle(Duration first_request_grace = Duration(0));
  void set_limits(const Limits& limits);
  const Limits& limits() const { return limits_; }

  size_t connections() const { return connections_.size(); }
  // When a caller last connected, sent bytes or was answered.
  Time last_activity() const { return last_activity_; }
  // Number of requests refused before they reached the handler.
  int64_t refused() const { return refused_; }
  // ... of which because too much was held of all requests.
  int64_t refused_for_memory() const { return refused_for_memory_; }
  // Connections closed at the limit: earlier ones for new ones, and new ones.
  int64_t evicted() const { return evicted_; }
  int64_t turned_away() const { return turned_away_; }
  // What is held of requests.
  size_t held_bytes() const { return budget_.held(); }

 private:
  friend class CallerConnection;
  using ConnectionPtr = std::shared_ptr<CallerConnection>;

  void Accept(int fd);
  // Closes idle connections and those whose request has timed out.
  void Sweep();
  // More is held of a request. Refuses the largest incomplete requests until
  // there is room for it, or it is refused itself.
  void MakeRoomFor(CallerConnection* grown);
  // The connection that holds the most and may be refused; nullptr if none
  // holds anything.
  ConnectionPtr LargestIncomplete() const;
  // Closes others at the limit. Returns whether a new one is within it.
  bool MakeRoomForConnection();
  void EvictConnections();
  // Connections that wait for the caller's close, after their last response.
  void AddLingering(const std::shared_ptr<TcpConnection>& tcp);
  void DropEndedLingering();
  // Logs at most one line a second, with the number of those in between.
  void LogRefusal(int status, std::string_view code);

  EventLoop* loop_;
  Limits limits_;
  Handler handler_;
  CallerBudget budget_;
  evconnlistener* listener_ = nullptr;
  bool close_after_reply_ = false;
  int64_t refused_ = 0;
  int64_t refused_for_memory_ = 0;
  int64_t evicted_ = 0;
  int64_t turned_away_ = 0;
  Time next_refusal_log_{};
  int64_t refusals_not_logged_ = 0;
  Time last_activity_{};
  // No connection can be closed for a new one before then.
  Time next_eviction_{};
  std::deque<std::weak_ptr<TcpConnection>> lingering_;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CALLER_SERVER_H_
