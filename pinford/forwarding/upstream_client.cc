#include "pinford/forwarding/upstream_client.h"

#include <algorithm>
#include <cstdlib>

#include "util/enum_names.h"

namespace pinford {

static constexpr seconds kSweepInterval{1};
// Responses to other requests in place of the one that is due. A faulty
// endpoint sends one or two late; more are bytes without end.
static constexpr int kMaxSkippedResponses = 16;

static constexpr EnumName<UpstreamEnd> kUpstreamEndNames[] = {
    {UpstreamEnd::kComplete, "complete"},
    {UpstreamEnd::kRefused, "connection refused"},
    {UpstreamEnd::kNoRelay, "no relay"},
    {UpstreamEnd::kWithdrawn, "withdrawn"},
    {UpstreamEnd::kRelayLost, "relay lost"},
    {UpstreamEnd::kBroken, "connection broken"},
    {UpstreamEnd::kTruncated, "answer cut"},
    {UpstreamEnd::kMalformed, "not http"},
    {UpstreamEnd::kUnidentified, "no id"},
};

std::string_view UpstreamEndName(UpstreamEnd e) {
  return NameIn(kUpstreamEndNames, e);
}

struct UpstreamClient::Exchange {
  Exchange(UpstreamId i, UpstreamRequest r, UpstreamHandlers h,
           const HttpReader::Limits& limits)
      : id(i),
        request(std::move(r)),
        handlers(std::move(h)),
        reader(HttpReader::Kind::kResponse, limits) {}

  UpstreamId id;
  UpstreamRequest request;
  UpstreamHandlers handlers;
  HttpReader reader;
  std::shared_ptr<EndpointConnection> connection;
  std::optional<Address> relay;  // the peer that relays the connection
  IdHashes carried;  // by the connection, with this request's once it is sent
  TimerId connect_timer = 0;
  // Of responses to other requests.
  int skipped_responses = 0;
  size_t skipped_bytes = 0;
  bool sent = false;
  bool head_delivered = false;
  bool reusable = true;
  bool finished = false;
};

UpstreamClient::UpstreamClient(EventLoop* loop, const Options& options)
    : loop_(loop), options_(options) {
  loop_->Every(kSweepInterval, [this] { Sweep(); });
}

UpstreamClient::~UpstreamClient() {
  while (!exchanges_.empty()) Cancel(exchanges_.begin()->first);
}

static size_t HashOfId(const std::string& id) {
  return std::hash<std::string>()(id);
}

bool UpstreamClient::TakeIdle(Exchange* x) {
  auto it = idle_.find(PoolOf(x->request));
  if (it == idle_.end() || x->request.id.empty()) return false;
  const Time now = loop_->now();
  const size_t id = HashOfId(x->request.id);
  std::deque<IdleConnection>& pool = it->second;
  // The most recently used connection is the least likely to be closed.
  for (size_t i = pool.size(); i-- > 0;) {
    if (now - pool[i].idle_since > x->request.max_idle_time) return false;
    const IdHashes& carried = pool[i].carried;
    if (std::find(carried.begin(), carried.end(), id) != carried.end())
      continue;
    IdleConnection taken = std::move(pool[i]);
    pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(i));
    if (taken.connection->open() && now < taken.expires_at) {
      x->connection = std::move(taken.connection);
      x->relay = taken.relay;
      x->carried = std::move(taken.carried);
      return true;
    }
    CloseIdle(taken);
  }
  return false;
}

void UpstreamClient::Connect(const std::shared_ptr<Exchange>& x) {
  connects_++;
  const UpstreamRequest& request = x->request;
  if (request.relay) {
    x->relay = request.relay->peer;
    x->connection = EndpointConnection::ConnectThrough(loop_, *request.relay);
    WaitForConnection(x, std::min(kRelayTimeout, request.connect_timeout),
                      true);
  } else {
    x->connection = EndpointConnection::Connect(loop_, request.to);
    WaitForConnection(x, std::min(kSlowConnect, request.connect_timeout),
                      false);
  }
}

void UpstreamClient::WaitForConnection(const std::shared_ptr<Exchange>& x,
                                       Duration wait, bool reported_slow) {
  x->connect_timer = loop_->After(wait, [this, x, wait, reported_slow] {
    x->connect_timer = 0;
    const Duration left = x->request.connect_timeout - wait;
    if (!reported_slow && left > Duration(0)) {
      WaitForConnection(x, left, true);
      if (events_.on_direct) events_.on_direct(x->request.endpoint, false);
      return;
    }
    if (!x->sent) Finish(x, ReportFailedConnect(*x));
  });
}

UpstreamEnd UpstreamClient::ReportFailedConnect(const Exchange& x) {
  // An idle connection that was closed just then says nothing of new ones.
  if (x.connection->connected())
    return x.relay ? UpstreamEnd::kNoRelay : UpstreamEnd::kRefused;
  if (!x.relay) {
    if (events_.on_direct) events_.on_direct(x.request.endpoint, false);
    return UpstreamEnd::kRefused;
  }
  const std::optional<RelayStatus> status = x.connection->relay_status();
  if (events_.on_relay_failed) events_.on_relay_failed(*x.relay, status);
  const bool endpoint_failed =
      status == RelayStatus::kRefused || status == RelayStatus::kNoAnswer;
  return endpoint_failed ? UpstreamEnd::kRefused : UpstreamEnd::kNoRelay;
}

UpstreamId UpstreamClient::Send(UpstreamRequest request,
                                UpstreamHandlers handlers) {
  const UpstreamId id = next_id_++;
  const size_t body_bytes = request.max_body_bytes;
  auto x = std::make_shared<Exchange>(
      id, std::move(request), std::move(handlers),
      HttpReader::Limits{options_.head_bytes, body_bytes});
  exchanges_[id] = x;
  if (!TakeIdle(x.get())) Connect(x);
  InstallHandlers(x);
  return id;
}

void UpstreamClient::InstallHandlers(const std::shared_ptr<Exchange>& x) {
  // The handlers must not keep the connection alive.
  std::weak_ptr<Exchange> weak = x;
  EndpointConnection::Handlers handlers;
  handlers.on_connected = [this, weak] {
    auto e = weak.lock();
    if (e == nullptr || e->finished) return;
    if (!e->relay && events_.on_direct)
      events_.on_direct(e->request.endpoint, true);
    if (e->relay && events_.on_relay_opened) events_.on_relay_opened(*e->relay);
    OnConnected(e);
  };
  handlers.on_bytes = [this, weak](std::string_view bytes) {
    if (auto e = weak.lock()) OnBytes(e, bytes);
  };
  handlers.on_end = [this, weak](TcpEnd how) {
    if (auto e = weak.lock()) OnTcpEnd(e, how);
  };
  x->connection->set_handlers(std::move(handlers));
  if (!x->connection->connected()) return;
  loop_->After(Duration(0), [this, weak] {
    if (auto e = weak.lock()) OnConnected(e);
  });
}

void UpstreamClient::OnConnected(const std::shared_ptr<Exchange>& x) {
  if (x->finished) return;
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  if (x->handlers.before_send && !x->handlers.before_send()) {
    Finish(x, UpstreamEnd::kWithdrawn);
    return;
  }
  x->sent = true;
  x->carried.push_back(HashOfId(x->request.id));
  x->connection->Write(std::exchange(x->request.bytes, ""));
  if (x->request.body != nullptr)
    x->connection->WriteShared(std::exchange(x->request.body, nullptr));
}

void UpstreamClient::OnBytes(const std::shared_ptr<Exchange>& x,
                             std::string_view bytes) {
  if (x->finished) return;
  x->reader.Feed(bytes);
  Deliver(x);
}

void UpstreamClient::Deliver(const std::shared_ptr<Exchange>& x) {
  for (;;) {
    const HttpReader::State state = x->reader.state();
    if (state == HttpReader::State::kFailed) {
      Finish(x, UpstreamEnd::kMalformed);
      return;
    }
    if (state == HttpReader::State::kHead) return;
    const HttpHead& head = x->reader.head();
    const bool done = state == HttpReader::State::kDone;
    // A response to another request arrived in place of the expected one.
    const std::string_view id = head.header(options_.id_header);
    if (id != x->request.id && !id.empty()) {
      x->reusable = false;
      x->skipped_bytes += x->reader.TakeBody().size();
      x->skipped_responses += done ? 1 : 0;
      if (x->skipped_responses > kMaxSkippedResponses ||
          x->skipped_bytes > x->request.max_body_bytes) {
        Finish(x, UpstreamEnd::kMalformed);
        return;
      }
      if (!done) return;
      x->reader.Next();
      continue;
    }
    if (id.empty() && x->carried.size() > 1) {
      Finish(x, UpstreamEnd::kUnidentified);
      return;
    }
    if (!x->head_delivered) {
      x->head_delivered = true;
      if (!head.keep_alive || head.until_close || id.empty())
        x->reusable = false;
      if (x->handlers.on_head) x->handlers.on_head(head);
      if (x->finished) return;
    }
    std::string body = x->reader.TakeBody();
    if (!body.empty() && x->handlers.on_body) {
      x->handlers.on_body(std::move(body));
    }
    if (done && !x->finished) Finish(x, UpstreamEnd::kComplete);
    return;
  }
}

void UpstreamClient::OnTcpEnd(const std::shared_ptr<Exchange>& x, TcpEnd how) {
  if (x->finished) return;
  x->reusable = false;
  if (!x->sent) {
    Finish(x, ReportFailedConnect(*x));
    return;
  }
  if (x->connection->relay_lost()) {
    if (events_.on_relay_failed)
      events_.on_relay_failed(*x->relay, std::nullopt);
    Finish(x, UpstreamEnd::kRelayLost);
    return;
  }
  if (how == TcpEnd::kClosed) {
    x->reader.FeedEof();
    if (x->reader.state() == HttpReader::State::kDone) {
      Deliver(x);
      if (x->finished) return;
    }
  }
  Finish(x, x->head_delivered ? UpstreamEnd::kTruncated : UpstreamEnd::kBroken);
}

void UpstreamClient::Finish(const std::shared_ptr<Exchange>& x,
                            UpstreamEnd end) {
  if (x->finished) return;
  x->finished = true;
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  exchanges_.erase(x->id);
  if (end == UpstreamEnd::kComplete) {
    ReturnToPool(x);
  } else {
    CloseConnection(x.get());
  }
  if (x->handlers.on_end) x->handlers.on_end(end);
}

// Returns the seconds of "timeout=N" in a Keep-Alive header, if present.
static std::optional<seconds> ParseKeepAliveTimeout(std::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string number(text.substr(at + kName.size()));
  return seconds(std::strtol(number.c_str(), nullptr, 10));
}

void UpstreamClient::ReturnToPool(const std::shared_ptr<Exchange>& x) {
  const bool clean = x->reusable && x->connection->open() &&
                     x->connection->unsent() == 0 &&
                     !x->reader.has_leftover() &&
                     x->carried.size() < kMaxRequestsPerConnection;
  const PoolKey key = PoolOf(x->request);
  std::deque<IdleConnection>& pool = idle_[key];
  if (!clean || pool.size() >= options_.max_idle) {
    CloseConnection(x.get());
    return;
  }
  // A quarter of the endpoint's timeout is reserved for the transit of a
  // request.
  Duration idle_timeout = options_.idle_timeout;
  const HttpHead& head = x->reader.head();
  if (auto s = ParseKeepAliveTimeout(head.header("Keep-Alive"))) {
    idle_timeout = Duration(*s) * 3 / 4;
  }
  if (x->relay) {
    idle_timeout = std::min(idle_timeout, options_.relayed_idle_timeout);
  }
  const Time now = loop_->now();
  pool.push_back({x->connection, x->relay, std::move(x->carried), now,
                  now + idle_timeout});
  EndpointConnection::Handlers handlers;
  const EndpointConnection* connection = x->connection.get();
  // Bytes received on an idle connection are unsolicited.
  handlers.on_bytes = [this, key, connection](std::string_view) {
    DropIdle(key, connection);
  };
  handlers.on_end = [this, key, connection](TcpEnd) {
    DropIdle(key, connection);
  };
  x->connection->PauseReading(false);
  x->connection->set_handlers(std::move(handlers));
}

void UpstreamClient::DropIdle(const PoolKey& key,
                              const EndpointConnection* connection) {
  auto it = idle_.find(key);
  if (it == idle_.end()) return;
  std::deque<IdleConnection>& pool = it->second;
  auto at = std::find_if(pool.begin(), pool.end(),
                         [connection](const IdleConnection& i) {
                           return i.connection.get() == connection;
                         });
  if (at == pool.end()) return;
  const IdleConnection dropped = std::move(*at);
  pool.erase(at);
  CloseIdle(dropped);
}

void UpstreamClient::CloseIdle(const IdleConnection& idle) {
  idle.connection->Close();
  if (idle.relay && events_.on_relay_closed)
    events_.on_relay_closed(*idle.relay);
}

void UpstreamClient::CloseConnection(Exchange* x) {
  const bool opened = x->connection->connected();
  x->connection->Close();
  if (x->relay && opened && events_.on_relay_closed)
    events_.on_relay_closed(*x->relay);
}

void UpstreamClient::DropIdleIf(
    const std::function<bool(const PoolKey&, const IdleConnection&)>& drop) {
  for (auto& entry : idle_) {
    std::erase_if(entry.second, [&](const IdleConnection& i) {
      const bool dropped = drop(entry.first, i);
      if (dropped) CloseIdle(i);
      return dropped;
    });
  }
  std::erase_if(idle_, [](const auto& e) { return e.second.empty(); });
}

void UpstreamClient::Sweep() {
  const Time now = loop_->now();
  DropIdleIf([now](const PoolKey&, const IdleConnection& i) {
    return now >= i.expires_at;
  });
}

void UpstreamClient::DropConnections(const std::string& endpoint) {
  DropIdleIf([&endpoint](const PoolKey& key, const IdleConnection&) {
    return key.first == endpoint;
  });
  for (auto& [id, x] : exchanges_) {
    if (x->request.endpoint == endpoint) x->reusable = false;
  }
}

void UpstreamClient::DropRelayedBy(const Address& peer) {
  DropIdleIf([&peer](const PoolKey&, const IdleConnection& i) {
    return i.relay == peer;
  });
  for (auto& [id, x] : exchanges_) {
    if (x->relay == peer) x->reusable = false;
  }
}

void UpstreamClient::AbandonConnects(
    const std::function<bool(const std::string& endpoint)>& concerned) {
  std::vector<std::shared_ptr<Exchange>> abandoned;
  for (const auto& [id, x] : exchanges_) {
    const bool waiting = !x->sent && !x->relay && !x->connection->connected();
    if (waiting && concerned(x->request.endpoint)) abandoned.push_back(x);
  }
  for (const auto& x : abandoned) Finish(x, UpstreamEnd::kRefused);
}

std::optional<Address> UpstreamClient::RelayOf(UpstreamId id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? std::nullopt : it->second->relay;
}

void UpstreamClient::Cancel(UpstreamId id) {
  auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  std::shared_ptr<Exchange> x = it->second;
  x->finished = true;
  exchanges_.erase(it);
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  CloseConnection(x.get());
}

void UpstreamClient::Pause(UpstreamId id, bool paused) {
  auto it = exchanges_.find(id);
  if (it != exchanges_.end()) it->second->connection->PauseReading(paused);
}

}  // namespace pinford
