#include "pinford/forwarding/endpoint_paths.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "pinford/log.h"

namespace pinford {

// Peers drawn for a choice among them.
static constexpr size_t kPeersDrawn = 6;
// A draw takes a walk over all members, too much for each connection.
static constexpr milliseconds kPeersValid{100};
// A box that was held up for so long lately relays nothing new: what it relays
// already is late.
static constexpr milliseconds kMaxOwnDelay{100};
static constexpr milliseconds kDelayWindow{500};
// Endpoints drawn for a check.
static constexpr size_t kEndpointsDrawn = 8;
// As long as a check lasts.
static constexpr milliseconds kCheckTimeout{240};

EndpointPaths::EndpointPaths(const Context& context, const std::string& box,
                             const std::string& peer_key, bool enabled)
    : context_(context),
      box_(box),
      enabled_(enabled),
      codec_(peer_key),
      random_(SeededRandom()),
      watch_(PathWatch::Options(), SeededRandom(),
             [this](Time since) {
               return context_.loop->delays().LongestSince(since);
             }),
      choice_(RelayChoice::Options()),
      relays_(context.loop, PeerCodec(peer_key), RelayServer::Options(),
              context.metrics, RelayHandlers()) {
  if (enabled_) context_.upstream->set_events(UpstreamEvents());
}

EndpointPaths::~EndpointPaths() {
  context_.upstream->set_events({});
  while (!checks_.empty()) EndCheck(checks_.begin()->first);
}

UpstreamClient::Events EndpointPaths::UpstreamEvents() {
  UpstreamClient::Events events;
  events.on_direct = [this](const std::string& endpoint, bool established) {
    OnDirect(endpoint, established);
  };
  events.on_relay_opened = [this](const Address& peer) {
    choice_.OnOpened(context_.loop->now(), peer.ToString());
  };
  events.on_relay_closed = [this](const Address& peer) {
    choice_.OnClosed(peer.ToString());
  };
  events.on_relay_failed = [this](const Address& peer,
                                  std::optional<RelayStatus> status) {
    OnRelayFailed(peer, status);
  };
  return events;
}

RelayServer::Handlers EndpointPaths::RelayHandlers() {
  RelayServer::Handlers handlers;
  handlers.resolve = [this](const RelayOpen& open) {
    return ResolveForPeer(open);
  };
  handlers.on_connect = [this](const RelayOpen& open, bool established) {
    OnDirect(open.endpoint, established, true);
    RunChecks();
  };
  handlers.at_fault = [this](const RelayOpen& open) {
    return IsAtFaultForPeer(open.endpoint);
  };
  return handlers;
}

// --- observations

void EndpointPaths::OnDirect(const std::string& endpoint, bool established,
                             bool for_peer) {
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  if (entry == nullptr) return;
  const Time now = context_.loop->now();
  if (established) {
    watch_.OnConnected(now, entry->listed.service, endpoint);
  } else {
    watch_.OnFailed(now, entry->listed.service, endpoint, for_peer);
  }
}

void EndpointPaths::OnRelayFailed(const Address& peer,
                                  std::optional<RelayStatus> status) {
  const bool about_endpoint = status == RelayStatus::kRefused ||
                              status == RelayStatus::kNoAnswer ||
                              status == RelayStatus::kUnknownEndpoint;
  const bool asked = peer.port != 0;
  if (!asked || about_endpoint) return;
  const Time now = context_.loop->now();
  if (status == RelayStatus::kBusy) {
    choice_.OnBusy(now, peer.ToString());
  } else {
    choice_.OnFailed(now, peer.ToString());
  }
}

void EndpointPaths::OnRelaySilent(const Address& peer) {
  choice_.OnSilent(context_.loop->now(), peer.ToString());
  context_.upstream->DropRelayedBy(peer);
}

void EndpointPaths::OnPeerLeaving(const std::string& peer_address) {
  choice_.Forget(peer_address);
  if (const auto address = Address::Parse(peer_address))
    context_.upstream->DropRelayedBy(*address);
}

// --- beliefs

bool EndpointPaths::IsLost(const std::string& endpoint) const {
  if (watch_.lost() == 0) return false;
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  return entry != nullptr && watch_.IsLost(entry->listed.service, endpoint);
}

bool EndpointPaths::InDoubt(const std::string& service) const {
  return enabled_ && watch_.InDoubt(context_.loop->now(), service);
}

bool EndpointPaths::IsAtFault(const std::string& endpoint) const {
  if (!enabled_) return true;
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  return entry != nullptr && watch_.IsAtFault(entry->listed.service, endpoint);
}

RelayOpen EndpointPaths::OpenFor(const std::string& endpoint) const {
  return {box_, endpoint, context_.table->IncarnationOf(endpoint)};
}

RelayHop EndpointPaths::HopTo(const std::string& endpoint) {
  RelayHop hop;
  hop.codec = &codec_;
  hop.open = OpenFor(endpoint);
  const std::optional<std::string> peer =
      choice_.Pick(context_.loop->now(), RandomPeers());
  const auto address = peer ? Address::Parse(*peer) : std::nullopt;
  if (address) hop.peer = *address;
  return hop;
}

const std::vector<std::string>& EndpointPaths::RandomPeers() {
  const Time now = context_.loop->now();
  if (peers_drawn_ != Time{} && now - peers_drawn_ < kPeersValid) return peers_;
  peers_drawn_ = now;
  peers_ = context_.membership->RandomLive(now, kPeersDrawn);
  std::shuffle(peers_.begin(), peers_.end(), random_);
  return peers_;
}

// --- checks

void EndpointPaths::Tick() {
  if (!enabled_) return;
  RunChecks();
}

void EndpointPaths::RunChecks() {
  const Time now = context_.loop->now();
  const std::vector<PathWatch::Task> due = watch_.DueTasks(
      now, [this](const std::string& service) { return SampleOf(service); });
  for (const PathWatch::Task& task : due) CarryOut(task);
  ApplyChanges();
}

std::vector<std::string> EndpointPaths::SampleOf(const std::string& service) {
  const Time now = context_.loop->now();
  std::vector<std::string> usable;
  std::vector<std::string> others;
  for (const auto& [name, entry] : context_.directory->entries()) {
    const bool leaving = entry.listed.state == ListedState::kLeaving;
    if (entry.listed.service != service || leaving) continue;
    const bool failing = !context_.table->TakesNewWork(now, name);
    (failing ? others : usable).push_back(name);
  }
  if (usable.empty()) usable = std::move(others);
  std::vector<std::string> sample;
  std::sample(usable.begin(), usable.end(), std::back_inserter(sample),
              kEndpointsDrawn, random_);
  return sample;
}

void EndpointPaths::CarryOut(const PathWatch::Task& task) {
  using Kind = PathWatch::Task::Kind;
  switch (task.kind) {
    case Kind::kDirect:
      context_.metrics->Count("path_checks_total", "way=\"direct\"");
      for (const std::string& endpoint : task.endpoints)
        CheckDirectly(task.service, endpoint);
      return;
    case Kind::kControl:
      CheckControl(task.service);
      return;
    case Kind::kPeers:
      context_.metrics->Count("path_checks_total", "way=\"peers\"");
      AskPeers(task);
      return;
  }
}

void EndpointPaths::AskPeers(const PathWatch::Task& task) {
  const size_t count = task.endpoints.size();
  const std::vector<std::string> peers =
      choice_.PickSome(context_.loop->now(), task.peers, RandomPeers());
  for (size_t i = 0; i < peers.size(); i++) {
    const std::string& endpoint = task.endpoints[i % count];
    watch_.OnPeerAsked(task.service, endpoint);
    CheckThrough(peers[i], task.service, endpoint);
  }
}

void EndpointPaths::CheckDirectly(const std::string& service,
                                  const std::string& endpoint) {
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  if (entry == nullptr) {
    watch_.OnDirectResult(context_.loop->now(), service, endpoint, false);
    return;
  }
  Await(EndpointConnection::Connect(context_.loop, entry->listed.address),
        kCheckTimeout,
        [this, service, endpoint](const EndpointConnection& connection) {
          watch_.OnDirectResult(context_.loop->now(), service, endpoint,
                                connection.connected());
        });
}

void EndpointPaths::CheckControl(const std::string& service) {
  std::vector<const DirectoryEntry*> others;
  for (const auto& [name, entry] : context_.directory->entries()) {
    const bool leaving = entry.listed.state == ListedState::kLeaving;
    if (entry.listed.service != service && !leaving) others.push_back(&entry);
  }
  if (others.empty()) {
    watch_.OnControlResult(context_.loop->now(), service, false);
    return;
  }
  std::uniform_int_distribution<size_t> any(0, others.size() - 1);
  const Address address = others[any(random_)]->listed.address;
  Await(EndpointConnection::Connect(context_.loop, address), kCheckTimeout,
        [this, service](const EndpointConnection& connection) {
          watch_.OnControlResult(context_.loop->now(), service,
                                 connection.connected());
        });
}

void EndpointPaths::CheckThrough(const std::string& peer,
                                 const std::string& service,
                                 const std::string& endpoint) {
  const auto address = Address::Parse(peer);
  if (!address) return;
  const RelayHop hop = {*address, OpenFor(endpoint), &codec_};
  Await(EndpointConnection::ConnectThrough(context_.loop, hop), kCheckTimeout,
        [this, hop, service, endpoint](const EndpointConnection& connection) {
          const Time now = context_.loop->now();
          const std::optional<RelayStatus> status = connection.relay_status();
          using Result = PathCheck::PeerResult;
          Result result = Result::kUnknown;
          if (status == RelayStatus::kOpened) {
            result = Result::kReached;
            choice_.OnOpened(now, hop.peer.ToString());
            choice_.OnClosed(hop.peer.ToString());
          } else {
            OnRelayFailed(hop.peer, status);
          }
          const bool not_reached = status == RelayStatus::kRefused ||
                                   status == RelayStatus::kNoAnswer;
          if (not_reached) result = Result::kNotReached;
          watch_.OnPeerResult(now, service, endpoint, result);
        });
}

void EndpointPaths::Await(std::shared_ptr<EndpointConnection> connection,
                          Duration timeout, CheckResult fn) {
  const uint64_t id = next_check_id_++;
  EndpointConnection::Handlers handlers;
  handlers.on_connected = [this, id] { EndCheck(id); };
  handlers.on_end = [this, id](TcpEnd) { EndCheck(id); };
  connection->set_handlers(std::move(handlers));
  const TimerId timer =
      context_.loop->After(timeout, [this, id] { EndCheck(id); });
  checks_[id] = {std::move(connection), timer, std::move(fn)};
}

void EndpointPaths::EndCheck(uint64_t id) {
  const auto it = checks_.find(id);
  if (it == checks_.end()) return;
  const PendingCheck check = std::move(it->second);
  checks_.erase(it);
  context_.loop->Cancel(check.timer);
  check.connection->set_handlers({});
  check.fn(*check.connection);
  check.connection->Close();
  RunChecks();
}

std::vector<std::string> EndpointPaths::EndpointsOf(
    const std::string& service) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : context_.directory->entries()) {
    if (entry.listed.service == service) names.push_back(name);
  }
  return names;
}

void EndpointPaths::ApplyChanges() {
  const Time now = context_.loop->now();
  for (const PathWatch::Change& change : watch_.TakeChanges()) {
    LogEvent(
        LogPart::kEndpoints, change.lost ? LogLevel::kWarn : LogLevel::kInfo,
        change.lost ? "path_lost" : "path_regained",
        LogFields()
            .Add("service", change.service)
            .Add("all", change.endpoints.empty())
            .Add("endpoints", change.endpoints.size())
            .Add("first", change.endpoints.empty() ? "" : change.endpoints[0])
            .Add("relays", choice_.kept(now))
            .Add("since_ms", ToMillis(now - change.since)));
    if (!change.lost) continue;
    context_.metrics->Count("paths_lost_total");
    context_.on_lost(change.endpoints.empty() ? EndpointsOf(change.service)
                                              : change.endpoints,
                     change.since);
    context_.upstream->AbandonConnects(
        [this](const std::string& endpoint) { return IsLost(endpoint); });
  }
}

// --- relaying for peers

RelayServer::Target EndpointPaths::ResolveForPeer(const RelayOpen& open) const {
  const DirectoryEntry* entry = context_.directory->Find(open.endpoint);
  const bool usable =
      entry != nullptr && !context_.table->IsLeaving(open.endpoint) &&
      entry->listed.state != ListedState::kLeaving &&
      context_.table->IncarnationOf(open.endpoint) == open.incarnation;
  if (!usable) return {RelayStatus::kUnknownEndpoint, {}};
  if (IsLost(open.endpoint)) return {RelayStatus::kNoPath, {}};
  const Time now = context_.loop->now();
  const bool slow =
      context_.loop->delays().LongestSince(now - kDelayWindow) >= kMaxOwnDelay;
  if (slow || !context_.has_room(relays_.connections()))
    return {RelayStatus::kBusy, {}};
  return {RelayStatus::kOpened, entry->listed.address,
          InDoubt(entry->listed.service)};
}

std::optional<bool> EndpointPaths::IsAtFaultForPeer(
    const std::string& endpoint) const {
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  if (entry == nullptr) return true;
  const std::string& service = entry->listed.service;
  if (watch_.IsLost(service, endpoint)) return false;
  if (watch_.IsAtFault(service, endpoint)) return true;
  return InDoubt(service) ? std::nullopt : std::optional<bool>(false);
}

void EndpointPaths::OnRelayOpen(int fd, const RelayOpen& open) {
  relays_.Open(fd, open);
}

}  // namespace pinford
