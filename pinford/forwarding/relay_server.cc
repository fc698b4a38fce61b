#include "pinford/forwarding/relay_server.h"

#include <vector>

#include "pinford/forwarding/relay_frames.h"
#include "pinford/log.h"

namespace pinford {

static constexpr seconds kSweepInterval{5};

struct RelayServer::Relay {
  RelayOpen open;
  Time started{};
  Time last_bytes{};
  bool established = false;
  bool in_doubt = false;  // see Target
  TimerId timer = 0;      // of the connection, or of the verdict on its failure
  std::shared_ptr<TcpConnection> peer;
  std::shared_ptr<TcpConnection> endpoint;
};

RelayServer::RelayServer(EventLoop* loop, PeerCodec codec,
                         const Options& options, Metrics* metrics,
                         Handlers handlers)
    : loop_(loop),
      codec_(std::move(codec)),
      options_(options),
      metrics_(metrics),
      handlers_(std::move(handlers)) {
  loop_->Every(kSweepInterval, [this] { Sweep(); });
}

RelayServer::~RelayServer() {
  while (!relays_.empty()) Close(*relays_.begin());
}

RelayServer::Target RelayServer::Resolve(const RelayOpen& open) const {
  if (stopping_) return {RelayStatus::kStopping, {}};
  if (relays_.size() > options_.max_connections)
    return {RelayStatus::kBusy, {}};
  return handlers_.resolve(open);
}

void RelayServer::Open(int fd, const RelayOpen& open) {
  auto relay = std::make_shared<Relay>();
  relay->open = open;
  relay->started = relay->last_bytes = loop_->now();
  relay->peer = TcpConnection::Accept(loop_, fd, options_.write_stall_timeout);
  relays_.insert(relay);
  const Target target = Resolve(open);
  if (target.status != RelayStatus::kOpened) {
    Reply(relay, target.status);
    return;
  }
  relay->in_doubt = target.in_doubt;
  relay->endpoint = TcpConnection::Connect(loop_, target.address);
  InstallPeerHandlers(relay);
  InstallEndpointHandlers(relay);
  relay->timer = loop_->After(options_.connect_timeout, [this, relay] {
    relay->timer = 0;
    OnConnectFailed(relay, RelayStatus::kNoAnswer);
  });
}

void RelayServer::InstallPeerHandlers(const RelayPtr& relay) {
  // The handlers must not keep the relay alive.
  const std::weak_ptr<Relay> weak = relay;
  TcpConnection::Handlers handlers;
  handlers.on_bytes = [this, weak](std::string_view bytes) {
    if (auto r = weak.lock()) OnPeerBytes(r, bytes);
  };
  handlers.on_end = [this, weak](TcpEnd) {
    if (auto r = weak.lock()) Close(r);
  };
  handlers.on_drained = [weak] {
    if (auto r = weak.lock()) r->endpoint->PauseReading(false);
  };
  relay->peer->set_handlers(std::move(handlers));
}

void RelayServer::InstallEndpointHandlers(const RelayPtr& relay) {
  const std::weak_ptr<Relay> weak = relay;
  TcpConnection::Handlers handlers;
  handlers.on_connected = [this, weak] {
    if (auto r = weak.lock()) OnConnected(r);
  };
  handlers.on_bytes = [this, weak](std::string_view bytes) {
    if (auto r = weak.lock()) OnEndpointBytes(r, bytes);
  };
  handlers.on_end = [this, weak](TcpEnd end) {
    if (auto r = weak.lock()) OnEndpointEnd(r, end);
  };
  handlers.on_drained = [weak] {
    if (auto r = weak.lock()) r->peer->PauseReading(false);
  };
  relay->endpoint->set_handlers(std::move(handlers));
}

// Any status but kOpened ends the connection.
void RelayServer::Reply(const RelayPtr& relay, RelayStatus status) {
  metrics_->Count("relay_opens_total",
                  "status=\"" + std::string(RelayStatusName(status)) + "\"");
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "relay",
           LogFields()
               .Add("for", relay->open.from)
               .Add("endpoint", relay->open.endpoint)
               .Add("incarnation", relay->open.incarnation)
               .Add("status", RelayStatusName(status))
               .Add("relays", relays_.size())
               .Add("ms", ToMillis(loop_->now() - relay->started)));
  const std::string message = codec_.Encode(RelayReply{status});
  relay->peer->Write(LengthPrefix(message.size()) + message);
  if (status == RelayStatus::kOpened) return;
  relay->peer->CloseGracefully();
  Close(relay);
}

void RelayServer::OnConnected(const RelayPtr& relay) {
  loop_->Cancel(std::exchange(relay->timer, 0));
  relay->established = true;
  handlers_.on_connect(relay->open, true);
  Reply(relay, RelayStatus::kOpened);
}

void RelayServer::OnConnectFailed(const RelayPtr& relay, RelayStatus status) {
  if (relay->timer != 0) loop_->Cancel(std::exchange(relay->timer, 0));
  relay->endpoint->set_handlers({});
  relay->endpoint->Close();
  handlers_.on_connect(relay->open, false);
  // Two boxes that were in doubt would wait for each other.
  if (relay->in_doubt) {
    Reply(relay, RelayStatus::kNoPath);
    return;
  }
  AwaitVerdict(relay, status, loop_->now() + options_.max_doubt);
}

void RelayServer::AwaitVerdict(const RelayPtr& relay, RelayStatus status,
                               Time until) {
  const std::optional<bool> at_fault = handlers_.at_fault(relay->open);
  if (!at_fault && loop_->now() < until) {
    relay->timer =
        loop_->After(options_.doubt_interval, [this, relay, status, until] {
          relay->timer = 0;
          AwaitVerdict(relay, status, until);
        });
    return;
  }
  Reply(relay, at_fault.value_or(false) ? status : RelayStatus::kNoPath);
}

void RelayServer::OnPeerBytes(const RelayPtr& relay, std::string_view bytes) {
  // A peer waits for the reply before it sends anything.
  if (!relay->established) {
    Close(relay);
    return;
  }
  relay->last_bytes = loop_->now();
  relay->endpoint->Write(bytes);
  if (relay->endpoint->unsent() > options_.max_unsent_bytes)
    relay->peer->PauseReading(true);
}

void RelayServer::OnEndpointBytes(const RelayPtr& relay,
                                  std::string_view bytes) {
  relay->last_bytes = loop_->now();
  relay->peer->Write(WriteRelayFrame(bytes));
  if (relay->peer->unsent() > options_.max_unsent_bytes)
    relay->endpoint->PauseReading(true);
}

void RelayServer::OnEndpointEnd(const RelayPtr& relay, TcpEnd end) {
  if (!relay->established) {
    OnConnectFailed(relay, RelayStatus::kRefused);
    return;
  }
  relay->peer->Write(WriteRelayEnd(
      end == TcpEnd::kClosed ? RelayedEnd::kClosed : RelayedEnd::kReset));
  relay->peer->CloseGracefully();
  Close(relay);
}

void RelayServer::Close(RelayPtr relay) {
  if (relays_.erase(relay) == 0) return;
  if (relay->timer != 0) loop_->Cancel(std::exchange(relay->timer, 0));
  if (relay->endpoint != nullptr) {
    relay->endpoint->set_handlers({});
    relay->endpoint->Close();
  }
  // Stays open while it is closed in order.
  if (relay->peer->closing()) return;
  relay->peer->set_handlers({});
  relay->peer->Close();
}

void RelayServer::Sweep() {
  const Time now = loop_->now();
  std::vector<RelayPtr> idle;
  for (const RelayPtr& relay : relays_) {
    if (now - relay->last_bytes >= options_.idle_timeout) idle.push_back(relay);
  }
  for (const RelayPtr& relay : idle) Close(relay);
}

}  // namespace pinford
