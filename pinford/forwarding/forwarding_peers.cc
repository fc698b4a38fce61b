// ForwardingCore's exchange with its peers: the state it sends, and how it
// applies the state it receives.

#include <algorithm>
#include <utility>

#include "pinford/box_context.h"
#include "pinford/forwarding/forwarding_core.h"
#include "pinford/log.h"
#include "util/deflate.h"

namespace pinford {

// Boxes that tell one that has just joined which rate limits are in force.
static constexpr double kJoinSenders = 4;

// Boxes that see only some of the others issue this much more than their part
// of a rate limit. Covers one lost box of six, so that the loss of a box
// costs no permits.
static constexpr double kPartitionMargin = 1.2;

uint64_t ForwardingCore::VersionOf(DocumentKind kind) const {
  if (kind == DocumentKind::kEndpoints) return list_version_.packed();
  return configuration_ ? configuration_->version : 0;
}

Gossip::Handlers ForwardingCore::PeerHandlers() {
  Gossip::Handlers handlers;
  handlers.refresh = [this] { UpdateOwnState(); };
  handlers.time = [] { return HybridTime{WallMillis(), 0}; };
  handlers.on_digest = [this](const Digest& d) { OnDigest(d); };
  handlers.on_failure_notice = [this](const FailureNotice& n) {
    OnFailureNotice(n);
  };
  handlers.on_fetch = [this](const FetchRequest& r) { return OnFetch(r); };
  handlers.on_retry_request = [this](const RetryRequest& a) {
    return OnRetryRequest(a);
  };
  handlers.on_retry_loan = [this](const RetryLoan& l) { OnRetryLoan(l); };
  handlers.on_crash_notice = [this](const CrashNotice& n) {
    crash_watch_.OnRecords(n.records);
  };
  handlers.on_missing_notice = [this](const MissingNotice& n) {
    OnMissingNotice(n);
  };
  handlers.on_permit_request = [this](const PermitRequest& r) {
    return permits_.OnRequest(loop_->now(), r);
  };
  handlers.on_permit_grant = [this](const PermitGrant& g) {
    permits_.OnGrant(loop_->now(), g);
  };
  handlers.on_limit_notice = [this](const LimitNotice& n) {
    permits_.OnNotice(loop_->now(), n);
  };
  if (settings_.mechanisms.enabled(Mechanism::kRelays)) {
    handlers.on_relay_open = [this](int fd, const RelayOpen& open) {
      paths_.OnRelayOpen(fd, open);
    };
  }
  handlers.on_member = [this](const std::string& box, MemberChange change) {
    if (change == MemberChange::kJoined) OnPeerJoined(box);
    if (change == MemberChange::kLeaving) OnPeerLeaving(box);
    LogEvent(
        LogPart::kPeers, LogLevel::kInfo, "peer",
        LogFields().Add("peer", box).Add("change", MemberChangeName(change)));
  };
  return handlers;
}

PeerSourceEvents ForwardingCore::SourceEvents() {
  PeerSourceEvents events;
  events.version = [this](DocumentKind kind) { return VersionOf(kind); };
  events.fresh_as_of = [this](DocumentKind kind) { return FreshAsOf(kind); };
  events.on_body = [this](DocumentKind kind, const DocumentState& state,
                          const std::string& peer) {
    return OnPeerBody(kind, state, peer);
  };
  events.on_freshness = [this](DocumentKind kind, uint64_t version,
                               Time fresh_as_of) {
    OnFreshness(kind, version, fresh_as_of);
  };
  events.on_answer = [this] {
    startup_check_.OnAnswer();
    const bool takes_over = source_selector_.is_active_standby(loop_->now());
    if (takes_over && task_ == StoreTask::kNone) update_store_task_();
  };
  return events;
}

void ForwardingCore::OnPeerJoined(const std::string& box) {
  crash_watch_.OnJoined(box);
  const LimitNotice limits = permits_.InForce(loop_->now());
  const auto member = membership_.members().find(box);
  if (limits.limits.empty() || member == membership_.members().end()) return;
  const double part = kJoinSenders / membership_.live_boxes(loop_->now());
  if (std::uniform_real_distribution<double>(0, 1)(random_) >= part) return;
  gossip_.link()->Send(member->second.row.address, limits);
}

void ForwardingCore::OnPeerLeaving(const std::string& box) {
  const auto member = membership_.members().find(box);
  if (member != membership_.members().end())
    paths_.OnPeerLeaving(member->second.row.address);
}

// Publishes this box's work on each endpoint, for its peers' estimates.
void ForwardingCore::UpdateOwnState() {
  std::vector<EndpointCount> counts;
  for (const auto& [name, row] : table_.rows()) {
    if (row.own_work == 0) continue;
    counts.push_back(MakeEndpointCount(name, row));
  }
  membership_.set_counts(std::move(counts));
  membership_.set_load(static_cast<uint32_t>(forwarder_.active()), 0);
  membership_.set_leaving_endpoints(table_.LeavingMarks());
  membership_.set_freshness_age(FreshnessAge());
}

void ForwardingCore::OnDigest(const Digest& digest) {
  const Time now = loop_->now();
  for (const auto& [endpoint, incarnation] : digest.leaving) {
    directory_.OnLeaving(now, endpoint, incarnation);
  }
  peer_source_.OnDigest(
      digest.sender.address,
      digest.sender.versions[IndexOf(DocumentKind::kConfiguration)],
      digest.sender.versions[IndexOf(DocumentKind::kEndpoints)],
      now - milliseconds(digest.freshness_age_ms));
  digest_received_ = true;
}

void ForwardingCore::ApplyPeerCounts() {
  if (!std::exchange(digest_received_, false)) return;
  const Time now = loop_->now();
  table_.OnPeerCounts(membership_.SumOfCounts(now));
  const int boxes = membership_.live_boxes(now);
  retries_.OnBoxCount(now, boxes);
  table_.set_boxes(boxes);
}

void ForwardingCore::OnRunnerDown(const std::string& endpoint) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kFailureGossip)) return;
  if (!failure_gossip_.OnDown(loop_->now(), endpoint)) return;
  loop_->After(failure_gossip_.options().batch_window, [this] {
    gossip_.SendNotice({failure_gossip_.Take()},
                       failure_gossip_.options().fanout);
  });
}

void ForwardingCore::OnFailureNotice(const FailureNotice& note) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kFailureGossip)) return;
  metrics_.Count("down_notes_total");
  for (const std::string& id :
       failure_gossip_.OnNotice(loop_->now(), note.endpoints)) {
    if (directory_.Find(id) != nullptr) forwarder_.ProbeIfDue(id);
  }
}

void ForwardingCore::OnMissingNotice(const MissingNotice& notice) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kMissingNotices)) return;
  for (const MissingEntry& entry : notice.entries) {
    // The list of this box shows what became of it.
    if (entry.list_version <= list_version_.packed()) continue;
    const bool news = directory_.OnMissingReported(
        loop_->now(), entry.endpoint, entry.incarnation, entry.list_version);
    if (news) missing_gossip_.OnNews(entry);
  }
}

void ForwardingCore::SendMissingNotices() {
  const MissingGossip::Options& options = missing_gossip_.options();
  const MissingNotice read = missing_gossip_.TakeRead(loop_->now());
  const MissingNotice news = missing_gossip_.TakeNews();
  if (!forward_context_.mechanisms.enabled(Mechanism::kMissingNotices)) return;
  if (!read.entries.empty()) gossip_.SendNotice(read, 0, options.read_fanout);
  if (news.entries.empty()) return;
  gossip_.SendNotice(news, options.local_fanout, options.remote_fanout);
}

void ForwardingCore::RequestRetries() {
  if (!forward_context_.mechanisms.enabled(Mechanism::kRetryLoans)) return;
  std::vector<RetryRequest> requests = loans_.MakeAsks(loop_->now());
  if (requests.empty()) return;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_asked",
           LogFields()
               .Add("service", requests[0].service)
               .Add("peers", requests.size())
               .Add("of_each", requests[0].count));
  gossip_.SendRetryRequests(std::move(requests));
}

std::optional<RetryLoan> ForwardingCore::OnRetryRequest(
    const RetryRequest& request) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kRetryLoans))
    return std::nullopt;
  const std::optional<RetryLoan> loan = loans_.OnAsk(loop_->now(), request);
  if (!loan) return std::nullopt;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_lent",
           LogFields()
               .Add("service", request.service)
               .Add("to", request.from)
               .Add("asked", request.count)
               .Add("count", loan->count));
  return loan;
}

void ForwardingCore::OnRetryLoan(const RetryLoan& loan) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kRetryLoans)) return;
  const int borrowed = loans_.OnLoan(loop_->now(), loan);
  if (borrowed == 0) return;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_borrowed",
           LogFields().Add("count", borrowed).Add("granted", loan.count));
}

// --- Rate limits -----------------------------------------------------------

PermitExchange::Calls ForwardingCore::PermitCalls() {
  PermitExchange::Calls calls;
  calls.issuers = [this](Time now, const std::string& endpoint, size_t count) {
    const bool shared =
        forward_context_.mechanisms.enabled(Mechanism::kSharedRateLimits);
    if (!shared) return std::vector<std::string>();
    return membership_.RendezvousInHall(now, table_.HallOf(endpoint), endpoint,
                                        count);
  };
  calls.send = [this](const std::string& to, const PermitRequest& request) {
    gossip_.link()->Send(to, request);
  };
  calls.share = [this] { return IssuedShare(); };
  calls.boxes = [this] {
    return std::max(retries_.boxes(), membership_.live_boxes(loop_->now()));
  };
  calls.on_change = [this](const std::string& endpoint,
                           RateLimits::Change change,
                           PermitExchange::Source source) {
    OnRateLimitChange(endpoint, change, source);
  };
  return calls;
}

double ForwardingCore::IssuedShare() const {
  const double live = membership_.live_boxes(loop_->now());
  const double expected =
      std::max<double>(retries_.boxes(), settings_.seeds.size());
  return std::min(1.0, kPartitionMargin * live / std::max(1.0, expected));
}

void ForwardingCore::OnRateLimitNotice(const std::string& endpoint,
                                       uint64_t incarnation, Time sent,
                                       const RateLimitNotice& notice) {
  if (notice.kind == RateLimitNotice::Kind::kUnreadable) {
    metrics_.Count("unreadable_rate_limits_total");
    LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "rate_limit_unreadable",
             LogFields().Add("endpoint", endpoint));
  }
  permits_.OnResponse(loop_->now(), endpoint, incarnation, sent, notice);
}

void ForwardingCore::OnRateLimitChange(const std::string& endpoint,
                                       RateLimits::Change change,
                                       PermitExchange::Source source) {
  const RateLimits::Limit* limit = table_.permits().limits().Find(endpoint);
  metrics_.Count("rate_limit_changes_total",
                 "change=\"" + std::string(RateLimitChangeName(change)) + "\"");
  LogEvent(
      LogPart::kEndpoints, LogLevel::kInfo, "rate_limit",
      LogFields()
          .Add("endpoint", endpoint)
          .Add("change", RateLimitChangeName(change))
          .Add("per_second", limit != nullptr ? limit->per_second : 0)
          .Add("from", PermitExchange::SourceName(source))
          .Add("age_ms",
               limit != nullptr ? ToMillis(loop_->now() - limit->named) : 0));
}

void ForwardingCore::AskForPermits() {
  if (std::exchange(permits_wanted_, true)) return;
  loop_->After(Duration(0), [this] {
    permits_wanted_ = false;
    permits_.SendAsks(loop_->now());
  });
}

void ForwardingCore::SharePermits() {
  const Time now = loop_->now();
  permits_.Tick(now);
  const LimitNotice news = permits_.TakeNews(now);
  if (news.limits.empty()) return;
  gossip_.SendNotice(news, permits_.options().news_local,
                     permits_.options().news_remote);
}

FetchReply ForwardingCore::OnFetch(const FetchRequest& request) {
  FetchReply reply;
  reply.kind = request.kind;
  if (request.kind != FetchKind::kShared) return reply;
  reply.store_unreachable = store_unreachable_;
  DocumentState& state = reply.documents[IndexOf(DocumentKind::kConfiguration)];
  state = DocumentStateOf(DocumentKind::kConfiguration);
  const uint64_t above =
      request.known_versions[IndexOf(DocumentKind::kConfiguration)];
  if (state.version > above) state.body = compressed_configuration_;
  reply.documents[IndexOf(DocumentKind::kEndpoints)] = ListState(request);
  return reply;
}

uint64_t ForwardingCore::FreshnessAgeMs(Time fresh_as_of) const {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, ToMillis(loop_->now() - fresh_as_of) + 1));
}

DocumentState ForwardingCore::DocumentStateOf(DocumentKind kind) const {
  DocumentState state;
  state.version = VersionOf(kind);
  state.freshness_age_ms = FreshnessAgeMs(FreshAsOf(kind));
  return state;
}

std::optional<uint64_t> ForwardingCore::RequestersPosition(
    const FetchRequest& request) const {
  if (request.list.incarnation == membership_.self().incarnation)
    return request.list.position;
  return list_versions_.PositionOf(
      request.known_versions[IndexOf(DocumentKind::kEndpoints)]);
}

DocumentState ForwardingCore::ListState(const FetchRequest& request) {
  const ListCursor now{membership_.self().incarnation, directory_.at()};
  const std::optional<uint64_t> position = RequestersPosition(request);
  std::optional<DirectoryChanges> changes;
  if (position) changes = directory_.ChangesSince(loop_->now(), *position);
  DocumentState state = DocumentStateOf(DocumentKind::kEndpoints);
  state.list = now;
  if (changes && now.position != *position) {
    state.changes = true;
    state.body = Deflate(WriteChanges(*changes));
  }
  const uint64_t above =
      request.known_versions[IndexOf(DocumentKind::kEndpoints)];
  if (changes || state.version <= above) return state;
  const FullListCache& list = FullListAbove(above);
  // Sends the version without the body: the peer then asks another box that has
  // it.
  if (!list_budget_.Take(loop_->now(), list.body().size())) {
    metrics_.Count("lists_withheld_total");
    return state;
  }
  state.version = list.snapshot().version;
  state.list.position = list.snapshot().at;
  state.freshness_age_ms = FreshnessAgeMs(list.snapshot().fresh_as_of);
  state.body = list.body();
  return state;
}

const FullListCache& ForwardingCore::FullListAbove(uint64_t above) {
  const Time build_start = loop_->now();
  // The remaining time of a lapsed entry changes as time passes.
  const bool usable =
      full_list_.IsUsable(build_start, directory_.state(), above) &&
      !directory_.has_timed_entries();
  if (usable) return full_list_;
  const FullListCache::Snapshot snapshot = {
      VersionOf(DocumentKind::kEndpoints), directory_.at(), directory_.state(),
      FreshAsOf(DocumentKind::kEndpoints)};
  std::string body = Deflate(WriteDirectory(directory_.Snapshot(build_start)));
  full_list_.Set(build_start, loop_->now(), snapshot, std::move(body));
  return full_list_;
}

bool ForwardingCore::OnPeerBody(DocumentKind kind, const DocumentState& state,
                                const std::string& peer) {
  const std::optional<std::string> body =
      Inflate(state.body, kMaxPeerMessageBytes);
  if (body && kind == DocumentKind::kConfiguration) {
    // The higher version first: it admits the callers that wait.
    if (pending_store_configuration_ && store_version_ > state.version)
      AdoptPendingConfiguration();
    return OnConfiguration(*body, peer);
  }
  const auto full_list =
      body && !state.changes ? ParseDirectory(*body) : std::nullopt;
  const auto changes =
      body && state.changes ? ParseChanges(*body) : std::nullopt;
  if (!full_list && !changes) {
    LogEvent(LogPart::kPeers, LogLevel::kError, "unreadable",
             LogFields().Add("place", "document of " + peer));
    return false;
  }
  // Must precede the list: entries that it lacks, or has again, are due to the
  // restore.
  const StoreRevision version = StoreRevision::FromPacked(state.version);
  if (!era_.Observe(version.era())) return false;
  if (full_list)
    directory_.OnList(loop_->now(), *full_list, {}, EntrySource::kPeer);
  if (changes) directory_.OnChanges(loop_->now(), *changes);
  OnListVersion(version);
  return true;
}

}  // namespace pinford
