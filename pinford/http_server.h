// HTTP server for callers and operators, over libevhtp.
//
// The handler receives each complete request as an HttpExchange, which it may
// answer immediately or later, in one reply or in chunks. The exchange may
// outlive its connection: libevhtp frees the request when the caller
// disconnects, and the exchange then detaches, ignores further writes and
// notifies its owner, who cancels the upstream work.
//
// Limits: bodies and headers over their limits are refused with 413 or 431. A
// connection with an incomplete request is closed after the idle timeout; one
// that waits for its response is not. unsent() reports the bytes still
// buffered, so that the owner can limit the memory used by a slow caller.

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

// One request and its response.
class HttpExchange {
 public:
  // Suspends the connection's idle timeout until the response is finished.
  HttpExchange(evhtp_request* request, Duration idle_timeout);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  HttpMethod method() const { return method_; }
  // The path without the query.
  const std::string& path() const { return path_; }
  const std::string& body() const { return body_; }
  // The value of a header or query parameter, or "" if there is none.
  std::string header(const char* name) const;
  std::string query(const char* name) const;
  // The raw query string, without the '?'.
  const std::string& query_text() const { return query_text_; }

  // Sends a complete response. At most once per exchange, and not after
  // StartStream.
  void Reply(int status, std::string_view type, std::string_view body,
             const HttpHeaders& headers = {});

  void StartStream(int status, std::string_view type,
                   const HttpHeaders& headers = {});
  void Write(std::string_view chunk);
  void EndStream();
  // Closes the connection, so that the caller can tell a truncated response
  // from a complete one.
  void Abort();

  // False once the caller has disconnected or the response is finished.
  bool open() const { return request_ != nullptr; }
  bool streaming() const { return streaming_; }
  // Bytes written but not yet sent to the caller.
  size_t unsent() const;

  // `fn` is called once if the caller disconnects before the response is
  // finished.
  void set_on_disconnect(std::function<void()> fn) {
    on_disconnect_ = std::move(fn);
  }

 private:
  friend class HttpServer;
  static uint16_t OnRequestFreed(evhtp_request* request, void* arg);
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
  std::function<void()> on_disconnect_;
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

  // Returns false, with errno set, if the address cannot be bound.
  bool Listen(const Address& address);
  // Stops accepting connections. Open ones are still served.
  void StopListening();
  // If set, each response closes its connection.
  void set_close_after_reply(bool v) { close_after_reply_ = v; }

  // Number of open connections.
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
