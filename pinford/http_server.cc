// Behavior of libevhtp 1.2.18 that this file depends on: a request is owned by
// its connection and freed with it, which only the request-fini hook reports;
// that hook also runs after a complete response. Hooks of a connection run
// before those of its requests.

#include "pinford/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <evhtp/evhtp.h>
#include <sys/socket.h>

#include <cassert>

namespace pinford {

static constexpr char kBodyTooLarge[] =
    R"({"error":{"code":"size","message":"the body is too large"},)"
    R"("outcome":"not_run"})";
static constexpr char kHeadersTooLarge[] =
    R"({"error":{"code":"size","message":"the headers are too large"},)"
    R"("outcome":"not_run"})";

// libevhtp takes hooks of all types as one function type and casts them back.
template <typename F>
static evhtp_hook Hook(F* fn) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(fn));
}

static HttpMethod MethodOf(evhtp_request_t* request) {
  switch (evhtp_request_get_method(request)) {
    case htp_method_GET:
      return HttpMethod::kGet;
    case htp_method_POST:
      return HttpMethod::kPost;
    case htp_method_PUT:
      return HttpMethod::kPut;
    case htp_method_DELETE:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kOther;
  }
}

static int CollectPair(evhtp_kv_t* kv, void* arg) {
  auto* out = static_cast<HttpHeaders*>(arg);
  out->emplace_back(std::string(kv->key ? kv->key : "", kv->klen),
                    std::string(kv->val ? kv->val : "", kv->vlen));
  return 0;
}

static std::string Find(const HttpHeaders& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

static timeval TimevalOf(Duration d) {
  timeval tv;
  tv.tv_sec = d.count() / 1000000;
  tv.tv_usec = d.count() % 1000000;
  return tv;
}

HttpExchange::HttpExchange(evhtp_request_t* request, Duration idle_timeout)
    : request_(request),
      idle_timeout_(idle_timeout),
      method_(MethodOf(request)) {
  SetReadTimeout(Duration(0));
  if (request->uri != nullptr && request->uri->path != nullptr &&
      request->uri->path->full != nullptr) {
    path_ = request->uri->path->full;
  }
  size_t n = evbuffer_get_length(request->buffer_in);
  body_.resize(n);
  evbuffer_remove(request->buffer_in, body_.data(), n);
  evhtp_kvs_for_each(request->headers_in, CollectPair, &headers_);
  if (request->uri != nullptr && request->uri->query != nullptr) {
    evhtp_kvs_for_each(request->uri->query, CollectPair, &query_);
    const unsigned char* raw = request->uri->query_raw;
    if (raw != nullptr) query_text_ = reinterpret_cast<const char*>(raw);
  }
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         Hook(OnRequestFreed), this);
}

HttpExchange::~HttpExchange() {
  on_disconnect_ = nullptr;
  // Without a response, the caller would wait forever.
  if (open()) Abort();
}

uint16_t HttpExchange::OnRequestFreed(evhtp_request_t*, void* arg) {
  auto* exchange = static_cast<HttpExchange*>(arg);
  exchange->request_ = nullptr;
  std::function<void()> fn = std::move(exchange->on_disconnect_);
  exchange->on_disconnect_ = nullptr;
  if (fn) fn();
  return EVHTP_RES_OK;
}

// 0 means no timeout.
void HttpExchange::SetReadTimeout(Duration d) {
  evhtp_connection_t* connection = evhtp_request_get_connection(request_);
  const timeval read = TimevalOf(d);
  const timeval write = TimevalOf(idle_timeout_);
  bufferevent_set_timeouts(evhtp_connection_get_bev(connection),
                           d > Duration(0) ? &read : nullptr, &write);
}

void HttpExchange::Detach() {
  SetReadTimeout(idle_timeout_);
  evhtp_request_unset_hook(request_, evhtp_hook_on_request_fini);
  request_ = nullptr;
  on_disconnect_ = nullptr;
}

std::string HttpExchange::header(const char* name) const {
  return Find(headers_, name);
}

// libevhtp does not decode the query.
std::string HttpExchange::query(const char* name) const {
  size_t n = 0;
  char* decoded = evhttp_uridecode(Find(query_, name).c_str(), 1, &n);
  if (decoded == nullptr) return "";
  std::string out(decoded, n);
  free(decoded);
  return out;
}

void HttpExchange::AddHeaders(std::string_view type,
                              const HttpHeaders& headers) {
  auto add = [this](const std::string& key, const std::string& value) {
    evhtp_headers_add_header(
        request_->headers_out,
        evhtp_header_new(key.c_str(), value.c_str(), 1, 1));
  };
  add("Content-Type", std::string(type));
  for (const auto& [key, value] : headers) add(key, value);
}

void HttpExchange::Reply(int status, std::string_view type,
                         std::string_view body, const HttpHeaders& headers) {
  if (!open()) return;
  assert(!streaming_);
  AddHeaders(type, headers);
  evbuffer_add(request_->buffer_out, body.data(), body.size());
  evhtp_request_t* request = request_;
  Detach();
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void HttpExchange::StartStream(int status, std::string_view type,
                               const HttpHeaders& headers) {
  if (!open()) return;
  streaming_ = true;
  AddHeaders(type, headers);
  evhtp_send_reply_chunk_start(request_, static_cast<evhtp_res>(status));
}

void HttpExchange::Write(std::string_view chunk) {
  if (!open() || chunk.empty()) return;
  assert(streaming_);
  evbuffer* buf = evbuffer_new();
  evbuffer_add(buf, chunk.data(), chunk.size());
  evhtp_send_reply_chunk(request_, buf);
  evbuffer_free(buf);
}

void HttpExchange::EndStream() {
  if (!open()) return;
  assert(streaming_);
  evhtp_request_t* request = request_;
  Detach();
  evhtp_send_reply_chunk_end(request);
}

void HttpExchange::Abort() {
  if (!open()) return;
  evhtp_connection_t* connection = evhtp_request_get_connection(request_);
  bufferevent* bev = evhtp_connection_get_bev(connection);
  Detach();
  // libevhtp may be using the connection further up the stack, so it is not
  // freed here. libevhtp closes it when it sees that the socket is shut down.
  shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

size_t HttpExchange::unsent() const {
  if (!open()) return 0;
  evhtp_connection_t* connection = evhtp_request_get_connection(request_);
  bufferevent* bev = evhtp_connection_get_bev(connection);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

// Counts the bytes of a connection's current request and discards body data
// over the limits. The refusal is sent only at the end of the request: an
// earlier reply would be lost when the connection closes with unread data. A
// request that exceeds a limit by kAbortFactor is aborted.
struct HttpServer::Connection {
  HttpServer* server;
  size_t header_bytes = 0;
  size_t body_bytes = 0;

  static constexpr size_t kAbortFactor = 16;

  // The status with which the request is refused, or 0.
  int Refusal() const {
    if (header_bytes > server->options_.max_header_bytes) return 431;
    if (body_bytes > server->options_.max_body_bytes) return 413;
    return 0;
  }

  static evhtp_res OnHeadersStart(evhtp_request_t*, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->header_bytes = connection->body_bytes = 0;
    return EVHTP_RES_OK;
  }

  static evhtp_res OnHeader(evhtp_request_t*, evhtp_header_t* header,
                            void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->header_bytes += header->klen + header->vlen;
    const size_t abort_threshold =
        connection->server->options_.max_header_bytes * kAbortFactor;
    return connection->header_bytes > abort_threshold ? EVHTP_RES_ERROR
                                                      : EVHTP_RES_OK;
  }

  static evhtp_res OnBody(evhtp_request_t*, evbuffer* chunk, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->body_bytes += evbuffer_get_length(chunk);
    if (connection->Refusal() == 0) return EVHTP_RES_OK;
    evbuffer_drain(chunk, evbuffer_get_length(chunk));
    const size_t abort_threshold =
        connection->server->options_.max_body_bytes * kAbortFactor;
    return connection->body_bytes > abort_threshold ? EVHTP_RES_ERROR
                                                    : EVHTP_RES_OK;
  }

  static evhtp_res OnConnectionClosed(evhtp_connection_t* c, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->server->connections_.erase(c);
    return EVHTP_RES_OK;
  }
};

HttpServer::HttpServer(EventLoop* loop, const Options& options, Handler handler)
    : options_(options),
      handler_(std::move(handler)),
      htp_(evhtp_new(loop->base(), nullptr)) {
  evhtp_set_gencb(htp_, OnRequest, this);
  evhtp_set_post_accept_cb(htp_, OnAccept, this);
  evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
  const timeval idle = TimevalOf(options_.idle_timeout);
  evhtp_set_timeouts(htp_, &idle, &idle);
}

HttpServer::~HttpServer() {
  StopListening();
  evhtp_free(htp_);
}

bool HttpServer::Listen(const Address& address) {
  bool v6 = address.ip.find(':') != std::string::npos;
  std::string ip = (v6 ? "ipv6:" : "") + address.ip;
  constexpr int kBacklog = 1024;
  listening_ = evhtp_bind_socket(htp_, ip.c_str(), address.port, kBacklog) == 0;
  return listening_;
}

void HttpServer::StopListening() {
  if (!listening_) return;
  evhtp_unbind_socket(htp_);
  listening_ = false;
}

uint16_t HttpServer::OnAccept(evhtp_connection_t* c, void* arg) {
  auto* server = static_cast<HttpServer*>(arg);
  auto owned = std::make_unique<Connection>();
  Connection* state = owned.get();
  state->server = server;
  server->connections_[c] = std::move(owned);
  const struct {
    evhtp_hook_type type;
    evhtp_hook hook;
  } hooks[] = {
      {evhtp_hook_on_headers_start, Hook(Connection::OnHeadersStart)},
      {evhtp_hook_on_header, Hook(Connection::OnHeader)},
      {evhtp_hook_on_read, Hook(Connection::OnBody)},
      {evhtp_hook_on_connection_fini, Hook(Connection::OnConnectionClosed)},
  };
  for (const auto& h : hooks) {
    evhtp_connection_set_hook(c, h.type, h.hook, state);
  }
  return EVHTP_RES_OK;
}

void HttpServer::OnRequest(evhtp_request_t* request, void* arg) {
  auto* server = static_cast<HttpServer*>(arg);
  if (server->close_after_reply_) evhtp_request_set_keepalive(request, 0);
  auto it = server->connections_.find(evhtp_request_get_connection(request));
  assert(it != server->connections_.end());
  const int refusal = it->second->Refusal();
  auto exchange =
      std::make_shared<HttpExchange>(request, server->options_.idle_timeout);
  if (refusal == 0) {
    server->handler_(std::move(exchange));
    return;
  }
  evhtp_request_set_keepalive(request, 0);
  exchange->Reply(refusal, kJsonType,
                  refusal == 413 ? kBodyTooLarge : kHeadersTooLarge);
}

}  // namespace pinford
