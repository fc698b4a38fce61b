#include "pinford/forwarding/caller_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <vector>

#include "pinford/error_body.h"
#include "pinford/log.h"

namespace pinford {

// How often silent connections are looked for; the timeouts are in seconds.
static constexpr milliseconds kSweep{200};
// Bytes of further requests that are read while one is worked on.
static constexpr size_t kReadAhead = 64 << 10;
static constexpr int kBacklog = 1024;

static HttpReader::Limits ReaderLimits(const CallerServer::Limits& l) {
  return {l.head_bytes, l.body_bytes};
}

class EntryConnection : public std::enable_shared_from_this<EntryConnection> {
 public:
  EntryConnection(CallerServer* server, std::shared_ptr<TcpConnection> tcp)
      : server_(server),
        tcp_(std::move(tcp)),
        reader_(HttpReader::Kind::kRequest, ReaderLimits(server->limits_)),
        opened_(server->loop_->now()),
        quiet_since_(opened_) {}

  void Start() {
    auto self = weak_from_this();
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [self](std::string_view bytes) {
      if (auto c = self.lock()) c->OnBytes(bytes);
    };
    handlers.on_end = [self](TcpEnd how) {
      if (auto c = self.lock()) c->OnEnd(how);
    };
    handlers.on_lost = [id = log_id_](size_t bytes) {
      LogEvent(LogPart::kCallers, LogLevel::kWarn, "answer_undelivered",
               LogFields().Add("id", *id).Add("bytes", bytes));
    };
    tcp_->set_handlers(std::move(handlers));
  }

  TcpConnection* tcp() { return tcp_.get(); }
  void set_log_id(const std::string& id) { *log_id_ = id; }
  CallerServer* server() { return server_; }
  bool idle() const { return exchange_.expired() && !reader_.started(); }
  bool ExpectsFirst(Time opened_before) const {
    return !answered_ && opened_ > opened_before;
  }
  // The server goes away before its connections.
  void Orphan() { server_ = nullptr; }
  bool closes_after_reply() const {
    return closing_ || server_ == nullptr || server_->close_after_reply_;
  }

  // The exchange has written its whole answer.
  void OnAnswered() {
    exchange_.reset();
    answered_ = true;
    busy_ = false;
    if (server_ != nullptr) server_->last_activity_ = server_->loop_->now();
    if (closes_after_reply() || !caller_keeps_) {
      Close();
      return;
    }
    quiet_since_ = server_->loop_->now();
    server_->last_activity_ = quiet_since_;
    reader_.set_limits(ReaderLimits(server_->limits_));
    reader_.Next();
    tcp_->PauseReading(false);
    begun_ = quiet_since_;
    // Not from within the exchange: its owner is still at work.
    server_->loop_->After(Duration(0), [self = weak_from_this()] {
      if (auto c = self.lock()) c->Advance();
    });
  }

  // It counts among the server's connections until its answer is on its way.
  void Close() {
    closing_ = true;
    if (std::exchange(delivering_, true)) return;
    tcp_->CloseGracefully([self = weak_from_this()] {
      if (auto c = self.lock()) c->Forget();
    });
  }

  void Break() {
    closing_ = true;
    tcp_->set_handlers({});
    tcp_->Close();
    Forget();
  }

  void Sweep(Time now) {
    if (busy_ || closing_) return;
    const CallerServer::Limits& limits = server_->limits_;
    if (!reader_.started()) {
      if (now - quiet_since_ >= limits.idle_timeout) Close();
      return;
    }
    const bool in_head = reader_.state() == HttpReader::State::kHead;
    const bool late = in_head ? now - begun_ >= limits.head_timeout
                              : now - last_bytes_ >= limits.idle_timeout;
    if (late) Refuse(408, "timeout", "the request did not arrive in time");
  }

 private:
  void OnBytes(std::string_view bytes) {
    const Time now = server_ != nullptr ? server_->loop_->now() : Time{};
    if (server_ != nullptr) server_->last_activity_ = now;
    if (!reader_.started()) begun_ = now;
    last_bytes_ = now;
    reader_.Feed(bytes);
    if (busy_) {
      // Any of these bytes belong to the next request.
      read_ahead_ += bytes.size();
      if (read_ahead_ > kReadAhead) tcp_->PauseReading(true);
      return;
    }
    Advance();
  }

  void Advance() {
    if (busy_ || closing_ || server_ == nullptr) return;
    read_ahead_ = 0;
    switch (reader_.state()) {
      case HttpReader::State::kDone:
        Dispatch();
        return;
      case HttpReader::State::kFailed:
        RefuseUnread();
        return;
      case HttpReader::State::kBody:
        ContinueOnce();
        return;
      case HttpReader::State::kHead:
        return;
    }
  }

  void ContinueOnce() {
    if (continued_ || reader_.head().header("Expect").empty()) return;
    continued_ = true;
    tcp_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void Dispatch() {
    busy_ = true;
    continued_ = false;
    caller_keeps_ = reader_.head().keep_alive;
    auto exchange = std::make_shared<CallerExchange>(
        shared_from_this(), reader_.head(), reader_.TakeBody(), begun_);
    exchange_ = exchange;
    server_->handler_(std::move(exchange));
  }

  void RefuseUnread() {
    switch (reader_.error()) {
      case HttpReadError::kHeadTooLarge:
        Refuse(431, "size", "the headers are too large");
        return;
      case HttpReadError::kBodyTooLarge:
        Refuse(413, "size", "the body is too large");
        return;
      default:
        Refuse(400, "malformed", "the request is not valid HTTP/1.1");
        return;
    }
  }

  // Answers a request that was not read whole, and closes.
  void Refuse(int status, std::string_view code, std::string_view message) {
    server_->refused_++;
    Log(LogPart::kCallers, LogLevel::kInfo,
        fmt::format("A request was refused unread: status={} code={}.", status,
                    code));
    closing_ = true;
    busy_ = true;
    auto exchange = std::make_shared<CallerExchange>(
        shared_from_this(), reader_.head(), "", begun_);
    exchange->Reply(status, "", {}, ErrorBody(code, message, Outcome::kNotRun));
  }

  void OnEnd(TcpEnd how) {
    auto self = shared_from_this();
    closing_ = true;
    if (auto exchange = exchange_.lock()) exchange->OnGone(how);
    Forget();
  }

  void Forget() {
    if (server_ != nullptr) server_->connections_.erase(this);
  }

  CallerServer* server_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpReader reader_;
  std::weak_ptr<CallerExchange> exchange_;
  // Outlives this, as the connection does while it delivers the last answer.
  std::shared_ptr<std::string> log_id_ = std::make_shared<std::string>();
  bool busy_ = false;        // a request is worked on
  bool closing_ = false;     // no further request is taken
  bool delivering_ = false;  // it closes once its last answer is on its way
  bool caller_keeps_ = true;
  bool continued_ = false;
  size_t read_ahead_ = 0;
  Time opened_;
  Time quiet_since_;  // no request since
  bool answered_ = false;
  Time begun_{};  // the present request's first byte
  Time last_bytes_{};
};

// --- the exchange ----------------------------------------------------------

CallerExchange::CallerExchange(std::shared_ptr<EntryConnection> connection,
                               HttpHead head, std::string body, Time started)
    : connection_(std::move(connection)),
      head_(std::move(head)),
      body_(std::move(body)),
      begun_(started) {}

CallerExchange::~CallerExchange() {
  on_hang_up_ = nullptr;
  if (!open()) return;
  // Nobody is left to answer it: its caller would wait in vain.
  LogEvent(
      LogPart::kCallers, LogLevel::kWarn, "exchange_dropped",
      LogFields().Add("target", head_.target).Add("streaming", streaming_));
  Abort();
}

void CallerExchange::OnGone(TcpEnd how) {
  connection_ = nullptr;
  caller_end_ = how;
  std::function<void()> fn = std::move(on_hang_up_);
  on_hang_up_ = nullptr;
  if (fn) fn();
}

void CallerExchange::set_log_id(const std::string& id) {
  if (open()) connection_->set_log_id(id);
}

size_t CallerExchange::unsent() const {
  return open() ? connection_->tcp()->unsent() : 0;
}

static std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string CallerExchange::Head(int status, std::string_view reason,
                                 const HttpHeaders& headers) const {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status,
                                reason.empty() ? ReasonOf(status) : reason);
  for (const auto& [name, value] : headers) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
  const bool close = connection_->closes_after_reply() || !head_.keep_alive;
  if (close) out += "Connection: close\r\n";
  return out;
}

void CallerExchange::Reply(int status, std::string_view reason,
                           const HttpHeaders& headers, std::string_view body) {
  if (!open()) return;
  assert(!streaming_);
  std::string out = Head(status, reason, headers);
  const bool bodiless = status == 204 || status == 304;
  if (!bodiless) out += fmt::format("Content-Length: {}\r\n", body.size());
  out += "\r\n";
  if (!bodiless && head_.method != "HEAD") out += body;
  connection_->tcp()->Write(out);
  Finish();
}

void CallerExchange::StartStream(int status, std::string_view reason,
                                 const HttpHeaders& headers) {
  if (!open()) return;
  streaming_ = true;
  connection_->tcp()->Write(Head(status, reason, headers) +
                            "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerExchange::Write(std::string_view bytes) {
  if (!open() || bytes.empty()) return;
  std::string chunk = fmt::format("{:x}\r\n", bytes.size());
  chunk += bytes;
  chunk += "\r\n";
  connection_->tcp()->Write(chunk);
}

void CallerExchange::EndStream() {
  if (!open()) return;
  connection_->tcp()->Write("0\r\n\r\n");
  Finish();
}

void CallerExchange::Finish() {
  on_hang_up_ = nullptr;
  std::shared_ptr<EntryConnection> c = std::move(connection_);
  connection_ = nullptr;
  c->OnAnswered();
}

void CallerExchange::Abort() {
  if (!open()) return;
  on_hang_up_ = nullptr;
  std::shared_ptr<EntryConnection> c = std::move(connection_);
  connection_ = nullptr;
  c->Break();
}

// --- the server ------------------------------------------------------------

CallerServer::CallerServer(EventLoop* loop, const Limits& limits,
                           Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {
  loop_->Every(kSweep, [this] { Sweep(); });
}

CallerServer::~CallerServer() {
  StopListening();
  for (auto& [key, c] : connections_) c->Orphan();
}

bool CallerServer::Listen(const Address& address) {
  sockaddr_storage at{};
  int size = sizeof(at);
  if (evutil_parse_sockaddr_port(address.ToString().c_str(),
                                 reinterpret_cast<sockaddr*>(&at),
                                 &size) != 0) {
    errno = EINVAL;
    return false;
  }
  listener_ = evconnlistener_new_bind(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<CallerServer*>(arg)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&at), size);
  return listener_ != nullptr;
}

void CallerServer::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void CallerServer::Accept(int fd) {
  if (connections_.size() >= limits_.connections) {
    Log(LogPart::kCallers, LogLevel::kWarn,
        fmt::format("A connection was closed unread: {} are open, the limit.",
                    connections_.size()));
    close(fd);
    return;
  }
  auto c = std::make_shared<EntryConnection>(
      this, TcpConnection::Accept(loop_, fd, limits_.silent_timeout));
  connections_[c.get()] = c;
  c->Start();
  last_activity_ = loop_->now();
}

void CallerServer::CloseIdle(Duration for_first) {
  const Time opened_before = loop_->now() - for_first;
  std::vector<std::shared_ptr<EntryConnection>> idle;
  for (auto& [key, c] : connections_) {
    if (c->idle() && !c->ExpectsFirst(opened_before)) idle.push_back(c);
  }
  for (auto& c : idle) c->Close();
}

void CallerServer::Sweep() {
  const Time now = loop_->now();
  std::vector<std::shared_ptr<EntryConnection>> all;
  all.reserve(connections_.size());
  for (auto& [key, c] : connections_) all.push_back(c);
  for (auto& c : all) c->Sweep(now);
}

}  // namespace pinford
