// HTTP towards callers and operators, over libevhtp.
//
// A request is handed over whole, as an HttpExchange that the handler may
// answer now or later, at once or in chunks. The exchange outlives the
// connection: libevhtp frees its request when a caller hangs up, so the
// exchange detaches itself first (a write to a detached exchange is dropped)
// and tells its owner, who cancels the work upstream.
//
// Bounds: bodies and headers over their limits are refused with 413 or 431, a
// connection that owes bytes of a request is closed after the idle timeout
// (one that waits for its answer is not), and writers are told how much is
// waiting so that a slow caller bounds its own answer.

#ifndef PINFORD_HTTP_SERVER_H_
#define PINFORD_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/event_loop.h"
#include "pinford/http.h"
#include "util/address.h"

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace pinford {

// One request and the answer to it.
class HttpExchange {
 public:
  // The connection's idle timeout stands still until the answer is finished.
  HttpExchange(evhtp_request* request, Duration idle_timeout);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method() const { return method_; }
  // The path without the query.
  const std::string& path() const { return path_; }
  const std::string& body() const { return body_; }
  // "" when there is none.
  std::string header(const char* name) const;
  std::string query(const char* name) const;
  // The query as it was sent, without the '?'.
  const std::string& query_text() const { return query_text_; }

  // Sends the whole answer. Once per exchange, instead of a stream.
  void Reply(int status, std::string_view type, std::string_view body,
             const HttpHeaders& headers = {});

  void StartStream(int status, std::string_view type,
                   const HttpHeaders& headers = {});
  void Write(std::string_view chunk);
  void EndStream();
  // Closes the connection mid-answer, so that the caller sees a cut rather
  // than an end.
  void Abort();

  // False once the caller has gone or the answer was finished.
  bool open() const { return request_ != nullptr; }
  bool streaming() const { return streaming_; }
  // Bytes written that the caller's side has not yet taken.
  size_t unsent() const;

  // Called once if the caller goes away before the answer is finished.
  void set_on_disconnect(std::function<void()> fn) {
    on_hang_up_ = std::move(fn);
  }

 private:
  friend class HttpServer;
  static uint16_t RequestGone(evhtp_request* request, void* arg);
  void Detach();
  void SetReadTimeout(Duration d);
  void AddHeaders(std::string_view type, const HttpHeaders& headers);

  evhtp_request* request_;
  Duration idle_timeout_;
  HttpMethod method_;
  std::string path_;
  std::string body_;
  HttpHeaders headers_;
  HttpHeaders query_;
  std::string query_text_;
  bool streaming_ = false;
  std::function<void()> on_hang_up_;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

class HttpServer {
 public:
  struct Options {
    size_t max_body_bytes = 1 << 20;
    size_t max_header_bytes = 16 << 10;
    Duration idle_timeout = seconds(60);
  };
  using Handler = std::function<void(ExchangePtr)>;

  HttpServer(EventLoop* loop, const Options& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // False, with errno set, when the address cannot be bound.
  bool Listen(const Address& address);
  // Refuses new connections; those open are served on.
  void StopListening();
  // From now on each answer closes its connection.
  void set_close_after_reply(bool v) { close_after_reply_ = v; }

  // Connections open now.
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  static void OnRequest(evhtp_request* request, void* arg);
  static uint16_t OnAccept(evhtp_connection* connection, void* arg);

  Options options_;
  Handler handler_;
  evhtp* htp_;
  bool listening_ = false;
  bool close_after_reply_ = false;
  std::unordered_map<evhtp_connection*, std::unique_ptr<Connection>>
      connections_;
};

}  // namespace pinford

#endif  // PINFORD_HTTP_SERVER_H_
