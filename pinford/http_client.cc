#include "pinford/http_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "pinford/http_reader.h"
#include "util/enum_names.h"

namespace pinford {

// Of a response's head.
static constexpr size_t kMaxHeadBytes = 64 << 10;

static constexpr EnumName<Transport> kTransportNames[] = {
    {Transport::kOk, "ok"},          {Transport::kNotSent, "not sent"},
    {Transport::kLost, "lost"},      {Transport::kTimeout, "timeout"},
    {Transport::kNoPath, "no path"},
};

std::string_view TransportName(Transport t) {
  return NameIn(kTransportNames, t);
}

// Whether the text ends no line. Readers disagree on NUL.
static bool IsOneLine(std::string_view text) {
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  return text.find_first_of(kLineEnds) == std::string_view::npos;
}

std::string WriteHttpCall(const HttpCall& call) {
  std::string out(HttpMethodName(call.method));
  out +=
      " " + call.target + " HTTP/1.1\r\nHost: " + call.to.ToString() + "\r\n";
  for (const auto& [name, value] : call.headers) {
    if (!IsOneLine(name) || !IsOneLine(value)) continue;
    out += name + ": " + value + "\r\n";
  }
  const bool may_have_body =
      call.method == HttpMethod::kPost || call.method == HttpMethod::kPut;
  if (may_have_body || !call.body.empty())
    out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  return out + "\r\n" + call.body;
}

struct HttpClient::Call {
  Call(CallId i, const HttpCall& c, Callback f)
      : id(i),
        to(c.to),
        fn(std::move(f)),
        reader(HttpReader::Kind::kResponse, {kMaxHeadBytes, c.max_body_bytes}),
        timeout(c.timeout),
        fresh(c.fresh_connection) {}

  CallId id;
  Address to;
  Callback fn;
  ConnectionPtr connection;
  HttpReader reader;
  TimerId timer = 0;
  Time sent{};
  Duration timeout{};
  bool extended = false;
  bool fresh;
};

HttpClient::HttpClient(EventLoop* loop, const Options& options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
  if (sweep_timer_ != 0) loop_->Cancel(sweep_timer_);
}

HttpClient::ConnectionPtr HttpClient::AcquireConnection(const HttpCall& call) {
  const auto it = idle_.find(call.to);
  if (call.fresh_connection || it == idle_.end())
    return TcpConnection::Connect(loop_, call.to);
  ConnectionPtr connection = std::move(it->second.back().connection);
  it->second.pop_back();
  idle_count_--;
  if (it->second.empty()) idle_.erase(it);
  return connection;
}

void HttpClient::ReleaseConnection(const Address& to,
                                   const ConnectionPtr& connection) {
  const auto it = idle_.find(to);
  const size_t at_address = it == idle_.end() ? 0 : it->second.size();
  if (at_address >= options_.max_idle_per_address ||
      idle_count_ >= options_.max_idle) {
    connection->Close();
    return;
  }
  idle_[to].push_back({connection, loop_->now()});
  idle_count_++;
  if (sweep_timer_ == 0) SweepIdle();
  TcpConnection::Handlers handlers;
  const TcpConnection* raw = connection.get();
  // Bytes received on an idle connection are unsolicited.
  handlers.on_bytes = [this, to, raw](std::string_view) { DropIdle(to, raw); };
  handlers.on_end = [this, to, raw](TcpEnd) { DropIdle(to, raw); };
  connection->set_handlers(std::move(handlers));
}

void HttpClient::DropIdle(const Address& to, const TcpConnection* connection) {
  const auto it = idle_.find(to);
  if (it == idle_.end()) return;
  const auto dropped = std::find_if(it->second.begin(), it->second.end(),
                                    [connection](const IdleConnection& c) {
                                      return c.connection.get() == connection;
                                    });
  if (dropped == it->second.end()) return;
  dropped->connection->Close();
  it->second.erase(dropped);
  idle_count_--;
  if (it->second.empty()) idle_.erase(it);
}

void HttpClient::DropAllIdle(const Address& to) {
  const auto it = idle_.find(to);
  if (it == idle_.end()) return;
  for (const IdleConnection& c : it->second) c.connection->Close();
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void HttpClient::SweepIdle() {
  const Time now = loop_->now();
  idle_count_ = 0;
  for (auto& [address, idle] : idle_) {
    std::erase_if(idle, [&](const IdleConnection& c) {
      const bool expired = now - c.since >= options_.idle_timeout;
      if (expired) c.connection->Close();
      return expired;
    });
    idle_count_ += idle.size();
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  sweep_timer_ = 0;
  if (idle_count_ == 0) return;
  sweep_timer_ =
      loop_->After(options_.idle_timeout / 4, [this] { SweepIdle(); });
}

CallId HttpClient::Send(HttpCall call, Callback fn) {
  const CallId id = next_id_++;
  if (call.fresh_connection) call.headers.emplace_back("Connection", "close");
  auto state = std::make_unique<Call>(id, call, std::move(fn));
  Call* c = state.get();
  calls_.emplace(id, std::move(state));
  c->connection = AcquireConnection(call);
  InstallHandlers(c);
  c->sent = loop_->now();
  c->timer = loop_->After(c->timeout, [this, id] { OnTimeout(id); });
  c->connection->Write(WriteHttpCall(call));
  return id;
}

void HttpClient::InstallHandlers(Call* call) {
  TcpConnection::Handlers handlers;
  handlers.on_bytes = [this, id = call->id](std::string_view bytes) {
    OnBytes(id, bytes);
  };
  handlers.on_end = [this, id = call->id](TcpEnd end) { OnEnd(id, end); };
  call->connection->set_handlers(std::move(handlers));
}

void HttpClient::OnBytes(CallId id, std::string_view bytes) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->reader.Feed(bytes);
  CheckResponse(it->second.get());
}

void HttpClient::OnEnd(CallId id, TcpEnd end) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (end == TcpEnd::kRefused) {
    Fail(id, Transport::kNotSent);
    return;
  }
  Call* call = it->second.get();
  if (end == TcpEnd::kClosed) call->reader.FeedEof();
  if (call->reader.state() == HttpReader::State::kDone) {
    CheckResponse(call);
  } else {
    Fail(id, Transport::kLost);
  }
}

void HttpClient::CheckResponse(Call* call) {
  if (call->reader.state() == HttpReader::State::kFailed) {
    Fail(call->id, Transport::kLost);
    return;
  }
  if (call->reader.state() != HttpReader::State::kDone) return;
  HttpResult result;
  result.transport = Transport::kOk;
  result.status = call->reader.head().status;
  result.headers = call->reader.head().headers;
  result.body = call->reader.TakeBody();
  Finish(call->id, std::move(result));
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
  DropAllIdle(call->to);
  Fail(id, Transport::kTimeout);
}

std::unique_ptr<HttpClient::Call> HttpClient::Take(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return nullptr;
  std::unique_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  if (call->timer != 0) loop_->Cancel(call->timer);
  return call;
}

void HttpClient::Cancel(CallId id) {
  const std::unique_ptr<Call> call = Take(id);
  if (call != nullptr) call->connection->Close();
}

void HttpClient::Fail(CallId id, Transport transport) {
  const std::unique_ptr<Call> call = Take(id);
  assert(call != nullptr);
  call->connection->Close();
  HttpResult result;
  result.transport = transport;
  call->fn(std::move(result));
}

void HttpClient::Finish(CallId id, HttpResult result) {
  const std::unique_ptr<Call> call = Take(id);
  assert(call != nullptr);
  const HttpHead& head = call->reader.head();
  const TcpConnection& connection = *call->connection;
  const bool reusable = head.keep_alive && !head.until_close &&
                        !call->reader.has_leftover() && !call->fresh &&
                        connection.open() && connection.unsent() == 0;
  if (reusable) {
    ReleaseConnection(call->to, call->connection);
  } else {
    call->connection->Close();
  }
  call->fn(std::move(result));
}

}  // namespace pinford
