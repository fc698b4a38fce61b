// OnDone relies on how libevent 2.1.12 reports the end of a call: the request's
// callback receives a response code for a response, a request with code 0 if
// the connection could not be established, and a null request for any later
// failure. Connections are freed from a timer because evhttp does not allow
// that within its callbacks.

#include "pinford/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Transport> kTransportNames[] = {
    {Transport::kOk, "ok"},          {Transport::kNotSent, "not sent"},
    {Transport::kLost, "lost"},      {Transport::kTimeout, "timeout"},
    {Transport::kNoPath, "no path"},
};

std::string_view TransportName(Transport t) {
  return NameIn(kTransportNames, t);
}

std::string WriteHttpCall(const HttpCall& call) {
  std::string out(HttpMethodName(call.method));
  out +=
      " " + call.target + " HTTP/1.1\r\nHost: " + call.to.ToString() + "\r\n";
  for (const auto& [name, value] : call.headers) {
    out += name + ": " + value + "\r\n";
  }
  if (!call.body.empty())
    out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  return out + "\r\n" + call.body;
}

struct HttpClient::Call {
  HttpClient* client;
  CallId id;
  Address to;
  Callback fn;
  evhttp_connection* connection;
  evhttp_request* request;
  TimerId timer = 0;
  Time sent{};
  Duration timeout{};
  bool extended = false;
  bool fresh;
};

static evhttp_cmd_type CommandOf(HttpMethod m) {
  switch (m) {
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
    default:
      return EVHTTP_REQ_GET;
  }
}

static HttpHeaders HeadersOf(evhttp_request* request) {
  HttpHeaders out;
  const evkeyvalq* all = evhttp_request_get_input_headers(request);
  for (const evkeyval* h = all->tqh_first; h != nullptr; h = h->next.tqe_next) {
    out.emplace_back(h->key, h->value);
  }
  return out;
}

HttpClient::HttpClient(EventLoop* loop, const Options& options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
  for (auto& [address, connections] : idle_) {
    for (evhttp_connection* c : connections) evhttp_connection_free(c);
  }
  for (evhttp_connection* c : pending_free_) evhttp_connection_free(c);
}

evhttp_connection* HttpClient::AcquireConnection(const HttpCall& call) {
  auto it = idle_.find(call.to);
  if (!call.fresh_connection && it != idle_.end() && !it->second.empty()) {
    evhttp_connection* c = it->second.back();
    it->second.pop_back();
    return c;
  }
  evhttp_connection* c = evhttp_connection_base_new(
      loop_->base(), nullptr, call.to.ip.c_str(), call.to.port);
  assert(c != nullptr);
  evhttp_connection_set_max_body_size(
      c, static_cast<ssize_t>(options_.max_body_bytes));
  return c;
}

void HttpClient::ReleaseConnection(const Address& to, evhttp_connection* c) {
  std::vector<evhttp_connection*>& idle = idle_[to];
  if (idle.size() < options_.max_idle_per_address) {
    idle.push_back(c);
  } else {
    FreeLater(c);
  }
}

void HttpClient::FreeLater(evhttp_connection* connection) {
  if (pending_free_.empty()) {
    loop_->After(Duration(0), [this] {
      std::vector<evhttp_connection*> to_free;
      to_free.swap(pending_free_);
      for (evhttp_connection* c : to_free) evhttp_connection_free(c);
    });
  }
  pending_free_.push_back(connection);
}

CallId HttpClient::Send(HttpCall call, Callback fn) {
  CallId id = next_id_++;
  auto state = std::make_unique<Call>();
  Call* c = state.get();
  c->client = this;
  c->id = id;
  c->to = call.to;
  c->fn = std::move(fn);
  c->fresh = call.fresh_connection;
  c->connection = AcquireConnection(call);
  c->request = evhttp_request_new(OnDone, c);

  evkeyvalq* headers = evhttp_request_get_output_headers(c->request);
  evhttp_add_header(headers, "Host", call.to.ToString().c_str());
  if (call.fresh_connection) evhttp_add_header(headers, "Connection", "close");
  for (const auto& [key, value] : call.headers) {
    evhttp_add_header(headers, key.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(c->request), call.body.data(),
               call.body.size());
  calls_.emplace(id, std::move(state));
  // evhttp has its own timeout, 50 s by default. Set it so that this client's
  // timeout, even when extended, always fires first.
  const auto evhttp_timeout =
      std::chrono::ceil<seconds>(2 * call.timeout) + seconds(1);
  evhttp_connection_set_timeout(c->connection,
                                static_cast<int>(evhttp_timeout.count()));
  c->sent = loop_->now();
  c->timeout = call.timeout;
  c->timer = loop_->After(c->timeout, [this, id] { OnTimeout(id); });
  if (evhttp_make_request(c->connection, c->request, CommandOf(call.method),
                          call.target.c_str()) != 0) {
    // evhttp has freed the request and will not call OnDone.
    c->request = nullptr;
    loop_->After(Duration(0), [this, id] {
      if (calls_.contains(id)) Finish(id, HttpResult());
    });
  }
  return id;
}

void HttpClient::OnTimeout(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call* call = it->second.get();
  call->timer = 0;
  const Duration loop_delay = loop_->delays().LongestSince(call->sent);
  if (loop_delay > Duration(0) && !std::exchange(call->extended, true)) {
    const Duration extension = std::min(loop_delay, call->timeout);
    call->timer = loop_->After(extension, [this, id] { OnTimeout(id); });
    return;
  }
  Callback done = std::move(call->fn);
  Cancel(id);
  HttpResult result;
  result.transport = Transport::kTimeout;
  done(std::move(result));
}

void HttpClient::Cancel(CallId id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  if (call->timer != 0) loop_->Cancel(call->timer);
  if (call->request != nullptr) evhttp_cancel_request(call->request);
  FreeLater(call->connection);
}

void HttpClient::Finish(CallId id, HttpResult result) {
  auto it = calls_.find(id);
  assert(it != calls_.end());
  std::unique_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  if (call->timer != 0) loop_->Cancel(call->timer);
  bool keep = result.transport == Transport::kOk && !call->fresh;
  if (keep) {
    ReleaseConnection(call->to, call->connection);
  } else {
    FreeLater(call->connection);
  }
  call->fn(std::move(result));
}

void HttpClient::OnDone(evhttp_request* request, void* arg) {
  Call* call = static_cast<Call*>(arg);
  HttpClient* client = call->client;
  HttpResult result;
  call->request = nullptr;
  if (request == nullptr) {
    result.transport = Transport::kLost;
  } else if (evhttp_request_get_response_code(request) == 0) {
    result.transport = Transport::kNotSent;
  } else {
    result.transport = Transport::kOk;
    result.status = evhttp_request_get_response_code(request);
    result.headers = HeadersOf(request);
    evbuffer* in = evhttp_request_get_input_buffer(request);
    result.body.resize(evbuffer_get_length(in));
    evbuffer_remove(in, result.body.data(), result.body.size());
  }
  client->Finish(call->id, std::move(result));
}

}  // namespace pinford
