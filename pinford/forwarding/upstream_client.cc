#include "pinford/forwarding/upstream_client.h"

#include <algorithm>
#include <cstdlib>

#include "util/enum_names.h"

namespace pinford {

static constexpr seconds kSweep{1};

static constexpr EnumName<UpstreamEnd> kUpstreamEndNames[] = {
    {UpstreamEnd::kComplete, "complete"},
    {UpstreamEnd::kRefused, "connection refused"},
    {UpstreamEnd::kWithdrawn, "withdrawn"},
    {UpstreamEnd::kBroken, "connection broken"},
    {UpstreamEnd::kTruncated, "answer cut"},
    {UpstreamEnd::kMalformed, "not http"},
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
  std::shared_ptr<TcpConnection> tcp;
  TimerId connect_timer = 0;
  bool sent = false;
  bool head_given = false;
  bool reusable = true;
  bool over = false;
};

UpstreamClient::UpstreamClient(EventLoop* loop, const Options& options)
    : loop_(loop), options_(options) {
  loop_->Every(kSweep, [this] { Sweep(); });
}

UpstreamClient::~UpstreamClient() {
  while (!exchanges_.empty()) Cancel(exchanges_.begin()->first);
}

std::shared_ptr<TcpConnection> UpstreamClient::TakeIdle(
    const UpstreamRequest& request) {
  auto it = idle_.find(request.endpoint);
  if (it == idle_.end()) return nullptr;
  const Time now = loop_->now();
  std::deque<Idle>& kept = it->second;
  // The one that rested least is the least likely to be closed by now.
  while (!kept.empty()) {
    Idle last = std::move(kept.back());
    if (now - last.since > request.max_idle_time) {
      kept.back() = std::move(last);
      return nullptr;
    }
    kept.pop_back();
    if (last.tcp->open() && now < last.until) return last.tcp;
    last.tcp->Close();
  }
  return nullptr;
}

UpstreamId UpstreamClient::Send(UpstreamRequest request,
                                UpstreamHandlers handlers) {
  const UpstreamId id = next_id_++;
  auto x = std::make_shared<Exchange>(
      id, std::move(request), std::move(handlers),
      HttpReader::Limits{options_.head_bytes, options_.body_bytes});
  exchanges_[id] = x;
  x->tcp = TakeIdle(x->request);
  if (x->tcp == nullptr) {
    x->tcp = TcpConnection::Connect(loop_, x->request.to);
    connects_++;
    x->connect_timer = loop_->After(x->request.connect_limit, [this, x] {
      x->connect_timer = 0;
      if (!x->sent) Finish(x, UpstreamEnd::kRefused);
    });
  }
  Begin(x);
  return id;
}

void UpstreamClient::Begin(const std::shared_ptr<Exchange>& x) {
  // The connection's handlers must not keep the connection alive.
  std::weak_ptr<Exchange> weak = x;
  TcpConnection::Handlers handlers;
  handlers.on_connected = [this, weak] {
    if (auto e = weak.lock()) OnConnected(e);
  };
  handlers.on_bytes = [this, weak](std::string_view bytes) {
    if (auto e = weak.lock()) OnBytes(e, bytes);
  };
  handlers.on_end = [this, weak](TcpEnd how) {
    if (auto e = weak.lock()) OnTcpEnd(e, how);
  };
  x->tcp->set_handlers(std::move(handlers));
  if (!x->tcp->connected()) return;
  loop_->After(Duration(0), [this, weak] {
    if (auto e = weak.lock()) OnConnected(e);
  });
}

void UpstreamClient::OnConnected(const std::shared_ptr<Exchange>& x) {
  if (x->over) return;
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  if (x->handlers.before_send && !x->handlers.before_send()) {
    Finish(x, UpstreamEnd::kWithdrawn);
    return;
  }
  x->sent = true;
  x->tcp->Write(x->request.bytes);
  x->request.bytes.clear();
}

void UpstreamClient::OnBytes(const std::shared_ptr<Exchange>& x,
                             std::string_view bytes) {
  if (x->over) return;
  x->reader.Feed(bytes);
  Deliver(x);
}

void UpstreamClient::Deliver(const std::shared_ptr<Exchange>& x) {
  for (;;) {
    const HttpReader::State state = x->reader.state();
    if (state == HttpReader::State::kFailed) {
      Finish(x,
             x->head_given ? UpstreamEnd::kTruncated : UpstreamEnd::kMalformed);
      return;
    }
    if (state == HttpReader::State::kHead) return;
    const HttpHead& head = x->reader.head();
    const bool done = state == HttpReader::State::kDone;
    const bool interim = head.status < 200;
    // An answer to another request stands in the place of ours.
    const std::string_view id = head.header(options_.id_header);
    const bool foreign = !interim && id != x->request.id && !id.empty();
    if (foreign) x->reusable = false;
    if (interim || foreign) {
      x->reader.TakeBody();
      if (!done) return;
      x->reader.Next();
      continue;
    }
    if (!x->head_given) {
      x->head_given = true;
      if (!head.keep_alive || head.until_close) x->reusable = false;
      if (x->handlers.on_head) x->handlers.on_head(head);
      if (x->over) return;
    }
    std::string body = x->reader.TakeBody();
    if (!body.empty() && x->handlers.on_body) {
      x->handlers.on_body(std::move(body));
    }
    if (done && !x->over) Finish(x, UpstreamEnd::kComplete);
    return;
  }
}

void UpstreamClient::OnTcpEnd(const std::shared_ptr<Exchange>& x, TcpEnd how) {
  if (x->over) return;
  if (!x->sent) {
    Finish(x, UpstreamEnd::kRefused);
    return;
  }
  x->reusable = false;
  if (how == TcpEnd::kClosed) {
    x->reader.FeedEnd();
    if (x->reader.state() == HttpReader::State::kDone) {
      Deliver(x);
      if (x->over) return;
    }
  }
  Finish(x, x->head_given ? UpstreamEnd::kTruncated : UpstreamEnd::kBroken);
}

void UpstreamClient::Finish(const std::shared_ptr<Exchange>& x,
                            UpstreamEnd end) {
  if (x->over) return;
  x->over = true;
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  exchanges_.erase(x->id);
  if (end == UpstreamEnd::kComplete) {
    Keep(x);
  } else {
    x->tcp->Close();
  }
  if (x->handlers.on_end) x->handlers.on_end(end);
}

// The seconds of "timeout=N" in a Keep-Alive header, if it has them.
static std::optional<seconds> KeepAliveOf(std::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string number(text.substr(at + kName.size()));
  return seconds(std::strtol(number.c_str(), nullptr, 10));
}

void UpstreamClient::Keep(const std::shared_ptr<Exchange>& x) {
  const bool clean = x->reusable && x->tcp->open() && x->tcp->unsent() == 0 &&
                     !x->reader.has_leftover();
  std::deque<Idle>& kept = idle_[x->request.endpoint];
  if (!clean || kept.size() >= options_.max_idle) {
    x->tcp->Close();
    return;
  }
  // A quarter of what the endpoint allows is left for a request's way there.
  Duration limit = options_.idle_limit;
  const HttpHead& head = x->reader.head();
  if (auto s = KeepAliveOf(head.header("Keep-Alive"))) {
    limit = Duration(*s) * 3 / 4;
  }
  const Time now = loop_->now();
  kept.push_back({x->tcp, now, now + limit});
  TcpConnection::Handlers handlers;
  const TcpConnection* tcp = x->tcp.get();
  // Whatever comes on a connection at rest was not asked for.
  handlers.on_bytes = [this, endpoint = x->request.endpoint,
                       tcp](std::string_view) { DropIdle(endpoint, tcp); };
  handlers.on_end = [this, endpoint = x->request.endpoint, tcp](TcpEnd) {
    DropIdle(endpoint, tcp);
  };
  x->tcp->PauseReading(false);
  x->tcp->set_handlers(std::move(handlers));
}

void UpstreamClient::DropIdle(const std::string& endpoint,
                              const TcpConnection* tcp) {
  auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  std::deque<Idle>& kept = it->second;
  auto at = std::find_if(kept.begin(), kept.end(),
                         [tcp](const Idle& i) { return i.tcp.get() == tcp; });
  if (at == kept.end()) return;
  std::shared_ptr<TcpConnection> held = std::move(at->tcp);
  kept.erase(at);
  held->Close();
}

void UpstreamClient::Sweep() {
  const Time now = loop_->now();
  for (auto& [endpoint, kept] : idle_) {
    std::erase_if(kept, [now](const Idle& i) { return now >= i.until; });
  }
  std::erase_if(idle_, [](const auto& e) { return e.second.empty(); });
}

void UpstreamClient::DropConnections(const std::string& endpoint) {
  idle_.erase(endpoint);
  for (auto& [id, x] : exchanges_) {
    if (x->request.endpoint == endpoint) x->reusable = false;
  }
}

void UpstreamClient::Cancel(UpstreamId id) {
  auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  std::shared_ptr<Exchange> x = it->second;
  x->over = true;
  exchanges_.erase(it);
  if (x->connect_timer != 0) loop_->Cancel(std::exchange(x->connect_timer, 0));
  x->tcp->Close();
}

void UpstreamClient::Pause(UpstreamId id, bool paused) {
  auto it = exchanges_.find(id);
  if (it != exchanges_.end()) it->second->tcp->PauseReading(paused);
}

}  // namespace pinford
