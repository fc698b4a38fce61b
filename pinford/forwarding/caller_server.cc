#include "pinford/forwarding/caller_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>
#include <vector>

#include "pinford/error_body.h"
#include "pinford/forwarding/collected_body.h"
#include "pinford/log.h"

namespace pinford {

// How often timeouts are checked; they are a few seconds long.
static constexpr milliseconds kSweepInterval{200};
// Bytes of pipelined requests that are read while one is in progress.
static constexpr size_t kMaxReadAheadBytes = 64 << 10;
static constexpr int kListenBacklog = 1024;
// What the kernel holds of a caller that is not read for. Enough for any
// link between callers and boxes, which take about a millisecond.
static constexpr int kReceiveBufferBytes = 64 << 10;
// Of refusals because too much is held, in seconds: most of what is held is
// forwarded by then.
static constexpr char kMemoryRetryAfter[] = "0.3";
// How long a connection is left alone at least, and how many are closed at a
// time, since choosing them takes a pass over all.
static constexpr milliseconds kMinAgeToEvict{1000};
static constexpr size_t kEvictedAtOnce = 16;
static constexpr milliseconds kEvictionPause{100};
static constexpr seconds kRefusalLogInterval{1};

static HttpReader::Limits ReaderLimits(const CallerServer::Limits& l) {
  return {l.head_bytes, l.body_bytes};
}

// A whole body, and the charge for it and for its request's head.
struct ChargedBody {
  ChargedBody(std::string b, std::shared_ptr<ByteAccount> account)
      : bytes(std::move(b)), charge(std::move(account)) {}

  const std::string bytes;
  ByteCharge charge;
};

// A single request within the limits always has room.
static size_t BudgetOf(const CallerServer::Limits& l) {
  return std::max(l.held_bytes, 2 * (l.body_bytes + l.head_bytes));
}

// In the order in which connections are closed for new ones.
enum class Eviction { kIncomplete, kUnused, kIdle };

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer* server, std::shared_ptr<TcpConnection> tcp)
      : server_(server),
        tcp_(std::move(tcp)),
        reader_(HttpReader::Kind::kRequest, ReaderLimits(server->limits_)),
        body_(server->budget_.account()),
        charge_(server->budget_.account()),
        opened_(server->loop_->now()),
        idle_since_(opened_) {}

  void Start() {
    auto self = weak_from_this();
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [self](std::string_view bytes) {
      if (auto c = self.lock()) c->OnBytes(bytes);
    };
    handlers.on_end = [self](TcpEnd how) {
      if (auto c = self.lock()) c->OnEnd(how);
    };
    handlers.on_undelivered = [id = log_id_](size_t bytes) {
      LogEvent(LogPart::kCallers, LogLevel::kWarn, "answer_undelivered",
               LogFields().Add("id", *id).Add("bytes", bytes));
    };
    tcp_->set_handlers(std::move(handlers));
  }

  TcpConnection* tcp() { return tcp_.get(); }
  void set_log_id(const std::string& id) { *log_id_ = id; }
  CallerServer* server() { return server_; }
  bool idle() const { return exchange_.expired() && !reader_.started(); }
  bool AwaitsFirstRequest(Time opened_after) const {
    return !has_answered_ && opened_ > opened_after;
  }
  // What is held of a request that has not reached the handler; 0 if there is
  // none.
  size_t held_bytes() const {
    const bool has_request =
        busy_ ? reader_.pending_bytes() > 0 : reader_.started();
    return has_request && !closing_ ? body_.size() + charge_.bytes() : 0;
  }
  // Why, and since when, it may be closed for a new connection; nullopt if it
  // may not.
  std::optional<std::pair<Eviction, Time>> Evictable() const {
    if (busy_ || closing_) return std::nullopt;
    if (reader_.started()) return std::pair(Eviction::kIncomplete, started_);
    if (!has_answered_) return std::pair(Eviction::kUnused, opened_);
    return std::pair(Eviction::kIdle, idle_since_);
  }
  // Gives up what is held of a request that has not reached the handler.
  void GiveUpRequest() {
    if (!busy_) {
      Refuse(503, "overloaded", "callers send too much at once",
             {{"Retry-After", kMemoryRetryAfter}});
      return;
    }
    // The response in progress is the last one.
    closing_ = true;
    reader_.DropPending();
    Recount();
  }

  // Called when the server is destroyed before its connections.
  void DetachServer() { server_ = nullptr; }
  bool closes_after_reply() const {
    return closing_ || server_ == nullptr || server_->close_after_reply_;
  }

  // Called when the exchange has written its complete response.
  void OnAnswered() {
    exchange_.reset();
    has_answered_ = true;
    busy_ = false;
    if (server_ != nullptr) server_->last_activity_ = server_->loop_->now();
    if (closes_after_reply() || !caller_keep_alive_) {
      Close();
      return;
    }
    idle_since_ = server_->loop_->now();
    server_->last_activity_ = idle_since_;
    // A pipelined request begins now, if there is one.
    BeginRequest(idle_since_);
    reader_.Next();
    Collect();
    tcp_->PauseReading(false);
    // Deferred, because the exchange's owner is still on the call stack.
    server_->loop_->After(Duration(0), [self = weak_from_this()] {
      if (auto c = self.lock()) c->Advance();
    });
  }

  // Stays among the server's connections until the response has been sent.
  void Close() {
    closing_ = true;
    if (std::exchange(flushing_, true)) return;
    tcp_->CloseGracefully([self = weak_from_this()] {
      auto c = self.lock();
      if (c == nullptr || c->server_ == nullptr) return;
      c->server_->AddLingering(c->tcp_);
      c->RemoveFromServer();
    });
  }

  void CloseAbruptly() {
    closing_ = true;
    tcp_->set_handlers({});
    tcp_->Close();
    RemoveFromServer();
  }

  void Sweep(Time now) {
    if (busy_ || closing_) return;
    const CallerServer::Limits& limits = server_->limits_;
    if (!reader_.started()) {
      if (now - idle_since_ >= limits.idle_timeout) Close();
      return;
    }
    const bool in_head = reader_.state() == HttpReader::State::kHead;
    const bool timed_out = in_head ? now - started_ >= limits.head_timeout
                                   : now - last_bytes_ >= limits.idle_timeout;
    if (timed_out) Refuse(408, "timeout", "the request did not arrive in time");
  }

 private:
  // A request is read by the limits that are in force when it begins.
  void BeginRequest(Time now) {
    started_ = now;
    if (server_ != nullptr) reader_.set_limits(ReaderLimits(server_->limits_));
  }

  void OnBytes(std::string_view bytes) {
    if (closing_) return;
    const Time now = server_ != nullptr ? server_->loop_->now() : Time{};
    if (server_ != nullptr) server_->last_activity_ = now;
    if (!reader_.started()) BeginRequest(now);
    last_bytes_ = now;
    reader_.Feed(bytes);
    Collect();
    if (busy_) {
      // These bytes belong to the next request.
      read_ahead_ += bytes.size();
      if (read_ahead_ > kMaxReadAheadBytes) tcp_->PauseReading(true);
    }
    auto self = shared_from_this();
    if (server_ != nullptr) server_->MakeRoomFor(this);
    Advance();
  }

  // Takes what has been read of the current request.
  void Collect() {
    if (!busy_) body_.Append(reader_.TakeBody());
    Recount();
  }
  void Recount() { charge_.Set(reader_.held_bytes()); }

  void Advance() {
    if (busy_ || closing_ || server_ == nullptr) return;
    read_ahead_ = 0;
    switch (reader_.state()) {
      case HttpReader::State::kDone:
        Dispatch();
        return;
      case HttpReader::State::kFailed:
        RefuseReadError();
        return;
      case HttpReader::State::kBody:
        SendContinueOnce();
        return;
      case HttpReader::State::kHead:
        return;
    }
  }

  void SendContinueOnce() {
    if (sent_continue_ || reader_.head().header("Expect").empty()) return;
    sent_continue_ = true;
    tcp_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void Dispatch() {
    busy_ = true;
    sent_continue_ = false;
    caller_keep_alive_ = reader_.head().keep_alive;
    HttpHead head = reader_.TakeHead();
    auto body = std::make_shared<ChargedBody>(body_.Take(), charge_.account());
    body->charge.Set(body->bytes.capacity() + head.memory_bytes());
    Recount();
    auto exchange = std::make_shared<CallerExchange>(
        shared_from_this(), std::move(head),
        std::shared_ptr<const std::string>(body, &body->bytes), started_);
    exchange_ = exchange;
    server_->handler_(std::move(exchange));
  }

  void RefuseReadError() {
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

  // Answers a request that was not read completely, and closes.
  void Refuse(int status, std::string_view code, std::string_view message,
              const HttpHeaders& headers = {}) {
    server_->refused_++;
    server_->LogRefusal(status, code);
    closing_ = true;
    busy_ = true;
    auto exchange = std::make_shared<CallerExchange>(
        shared_from_this(), reader_.TakeHead(),
        std::make_shared<const std::string>(), started_);
    body_.Clear();
    reader_.DropPending();
    Recount();
    exchange->Reply(status, "", headers,
                    ErrorBody(code, message, Outcome::kNotRun));
  }

  void OnEnd(TcpEnd how) {
    auto self = shared_from_this();
    closing_ = true;
    if (auto exchange = exchange_.lock()) exchange->OnDisconnect(how);
    RemoveFromServer();
  }

  void RemoveFromServer() {
    if (server_ != nullptr) server_->connections_.erase(this);
  }

  CallerServer* server_;
  std::shared_ptr<TcpConnection> tcp_;
  HttpReader reader_;
  CollectedBody body_;  // of the request that is being read
  ByteCharge charge_;   // for what the reader holds
  std::weak_ptr<CallerExchange> exchange_;
  // Shared, because the TCP connection outlives this object while it delivers
  // the last response.
  std::shared_ptr<std::string> log_id_ = std::make_shared<std::string>();
  bool busy_ = false;      // a request is in progress
  bool closing_ = false;   // no further request is accepted
  bool flushing_ = false;  // closes once the last response is sent
  bool caller_keep_alive_ = true;
  bool sent_continue_ = false;
  size_t read_ahead_ = 0;
  Time opened_;
  Time idle_since_;  // when the last request ended
  bool has_answered_ = false;
  Time started_{};  // first byte of the current request
  Time last_bytes_{};
};

// --- CallerExchange -------------------------------------------------------

CallerExchange::CallerExchange(std::shared_ptr<CallerConnection> connection,
                               HttpHead head,
                               std::shared_ptr<const std::string> body,
                               Time started)
    : connection_(std::move(connection)),
      head_(std::move(head)),
      body_(std::move(body)),
      started_(started) {}

CallerExchange::~CallerExchange() {
  on_disconnect_ = nullptr;
  if (!open()) return;
  // Nothing will answer this request any more, so the caller would wait in
  // vain.
  LogEvent(
      LogPart::kCallers, LogLevel::kWarn, "exchange_dropped",
      LogFields().Add("target", head_.target).Add("streaming", streaming_));
  Abort();
}

void CallerExchange::OnDisconnect(TcpEnd how) {
  connection_ = nullptr;
  caller_end_ = how;
  std::function<void()> fn = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  if (fn) fn();
}

void CallerExchange::set_log_id(const std::string& id) {
  if (open()) connection_->set_log_id(id);
}

size_t CallerExchange::unsent() const {
  return open() ? connection_->tcp()->unsent() : 0;
}

static std::string_view ReasonPhrase(int status) {
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

std::string CallerExchange::FormatHead(int status, std::string_view reason,
                                       const HttpHeaders& headers) const {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status,
                                reason.empty() ? ReasonPhrase(status) : reason);
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
  std::string out = FormatHead(status, reason, headers);
  const bool no_body = status == 204 || status == 304;
  if (!no_body) out += fmt::format("Content-Length: {}\r\n", body.size());
  out += "\r\n";
  if (!no_body && head_.method != "HEAD") out += body;
  connection_->tcp()->Write(out);
  Finish();
}

void CallerExchange::StartStream(int status, std::string_view reason,
                                 const HttpHeaders& headers) {
  if (!open()) return;
  streaming_ = true;
  connection_->tcp()->Write(FormatHead(status, reason, headers) +
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
  on_disconnect_ = nullptr;
  std::shared_ptr<CallerConnection> c = std::move(connection_);
  connection_ = nullptr;
  c->OnAnswered();
}

void CallerExchange::Abort() {
  if (!open()) return;
  on_disconnect_ = nullptr;
  std::shared_ptr<CallerConnection> c = std::move(connection_);
  connection_ = nullptr;
  c->CloseAbruptly();
}

// --- CallerServer ---------------------------------------------------------

CallerServer::CallerServer(EventLoop* loop, const Limits& limits,
                           Handler handler)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      budget_(BudgetOf(limits)) {
  loop_->Every(kSweepInterval, [this] { Sweep(); });
}

CallerServer::~CallerServer() {
  StopListening();
  for (auto& [key, c] : connections_) c->DetachServer();
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
      kListenBacklog, reinterpret_cast<sockaddr*>(&at), size);
  if (listener_ == nullptr) return false;
  // Accepted sockets have it too. If it cannot be set, the kernel's default
  // stays in force.
  (void)setsockopt(evconnlistener_get_fd(listener_), SOL_SOCKET, SO_RCVBUF,
                   &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  return true;
}

void CallerServer::set_limits(const Limits& limits) {
  limits_ = limits;
  budget_.set_limit(BudgetOf(limits));
}

void CallerServer::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void CallerServer::Accept(int fd) {
  if (!MakeRoomForConnection()) {
    turned_away_++;
    LogRefusal(0, "connections");
    close(fd);
    return;
  }
  auto c = std::make_shared<CallerConnection>(
      this, TcpConnection::Accept(loop_, fd, limits_.write_stall_timeout));
  connections_[c.get()] = c;
  c->Start();
  last_activity_ = loop_->now();
}

bool CallerServer::MakeRoomForConnection() {
  const auto has_room = [this] {
    return connections_.size() + lingering_.size() < limits_.connections;
  };
  if (has_room()) return true;
  DropEndedLingering();
  if (!has_room() && !lingering_.empty()) {
    if (const auto oldest = lingering_.front().lock()) oldest->Close();
    DropEndedLingering();
  }
  if (!has_room()) EvictConnections();
  return has_room();
}

void CallerServer::EvictConnections() {
  const Time now = loop_->now();
  if (now < next_eviction_) return;
  struct Candidate {
    std::pair<Eviction, Time> rank;
    ConnectionPtr connection;
  };
  std::vector<Candidate> candidates;
  for (const auto& [key, c] : connections_) {
    const auto rank = c->Evictable();
    if (rank && now - rank->second >= kMinAgeToEvict)
      candidates.push_back({*rank, c});
  }
  const size_t n = std::min(candidates.size(), kEvictedAtOnce);
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(n),
      candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
  for (size_t i = 0; i < n; i++) candidates[i].connection->CloseAbruptly();
  evicted_ += static_cast<int64_t>(n);
  if (n == 0) {
    next_eviction_ = now + kEvictionPause;
  } else {
    LogRefusal(0, "evicted");
  }
}

void CallerServer::AddLingering(const std::shared_ptr<TcpConnection>& tcp) {
  DropEndedLingering();
  if (tcp->open()) lingering_.push_back(tcp);
}

// All linger for the same time at most, so the oldest end first.
void CallerServer::DropEndedLingering() {
  const auto ended = [](const std::weak_ptr<TcpConnection>& weak) {
    const auto tcp = weak.lock();
    return tcp == nullptr || !tcp->open();
  };
  while (!lingering_.empty() && ended(lingering_.front()))
    lingering_.pop_front();
}

void CallerServer::MakeRoomFor(CallerConnection* grown) {
  while (!budget_.HasRoomFor(grown->held_bytes())) {
    const ConnectionPtr largest = LargestIncomplete();
    if (largest == nullptr) return;
    refused_for_memory_++;
    largest->GiveUpRequest();
    if (largest.get() == grown) return;
  }
}

CallerServer::ConnectionPtr CallerServer::LargestIncomplete() const {
  ConnectionPtr largest;
  size_t most = 0;
  for (const auto& [key, c] : connections_) {
    if (c->held_bytes() <= most) continue;
    most = c->held_bytes();
    largest = c;
  }
  return largest;
}

void CallerServer::LogRefusal(int status, std::string_view code) {
  const Time now = loop_->now();
  if (now < next_refusal_log_) {
    refusals_not_logged_++;
    return;
  }
  next_refusal_log_ = now + kRefusalLogInterval;
  LogEvent(LogPart::kCallers, LogLevel::kWarn, "caller_turned_away",
           LogFields()
               .Add("status", status)
               .Add("code", code)
               .Add("more", std::exchange(refusals_not_logged_, 0))
               .Add("connections", connections_.size())
               .Add("held_bytes", budget_.held()));
}

void CallerServer::CloseIdle(Duration first_request_grace) {
  const Time opened_after = loop_->now() - first_request_grace;
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (auto& [key, c] : connections_) {
    if (c->idle() && !c->AwaitsFirstRequest(opened_after)) idle.push_back(c);
  }
  for (auto& c : idle) c->Close();
}

void CallerServer::Sweep() {
  const Time now = loop_->now();
  std::vector<std::shared_ptr<CallerConnection>> all;
  all.reserve(connections_.size());
  for (auto& [key, c] : connections_) all.push_back(c);
  for (auto& c : all) c->Sweep(now);
}

}  // namespace pinford
