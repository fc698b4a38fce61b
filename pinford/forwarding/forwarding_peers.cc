// ForwardingCore's part among its peers: what it tells them, what it takes of
// what they tell.

#include <algorithm>
#include <utility>

#include "pinford/box_context.h"
#include "pinford/forwarding/forwarding_core.h"
#include "pinford/log.h"
#include "util/deflate.h"

namespace pinford {

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
  handlers.on_member = [](const std::string& box, MemberChange change) {
    LogEvent(
        LogPart::kPeers, LogLevel::kInfo, "peer",
        LogFields().Add("peer", box).Add("change", MemberChangeName(change)));
  };
  return handlers;
}

PeerSourceEvents ForwardingCore::SourceEvents() {
  PeerSourceEvents events;
  events.version = [this](DocumentKind kind) { return VersionOf(kind); };
  events.fresh_as_of = [this](DocumentKind kind) {
    return proofs_[IndexOf(kind)];
  };
  events.on_body = [this](DocumentKind kind, const DocumentState& state,
                          const std::string& peer) {
    return OnPeerBody(kind, state, peer);
  };
  events.on_freshness = [this](DocumentKind kind, Time fresh_as_of) {
    OnProof(kind, fresh_as_of);
  };
  events.on_answer = [this] { peers_first_.OnAnswer(); };
  return events;
}

// What this box has on each endpoint, for its peers' estimates.
void ForwardingCore::UpdateOwnState() {
  std::vector<EndpointCount> counts;
  for (const auto& [name, row] : table_.rows()) {
    if (row.own_work == 0) continue;
    counts.push_back(MakeEndpointCount(name, row));
  }
  membership_.set_counts(std::move(counts));
  membership_.set_load(static_cast<uint32_t>(forwarder_.active()), 0);
  membership_.set_leaving_endpoints(table_.LeavingMarks());
  membership_.set_freshness_age(ProofAge());
}

void ForwardingCore::OnDigest(const Digest& digest) {
  const Time now = loop_->now();
  for (const auto& [endpoint, incarnation] : digest.leaving) {
    directory_.OnLeaving(now, endpoint, incarnation);
  }
  source_.OnDigest(
      digest.sender.address,
      digest.sender.versions[IndexOf(DocumentKind::kConfiguration)],
      digest.sender.versions[IndexOf(DocumentKind::kEndpoints)],
      now - milliseconds(digest.freshness_age_ms));
  peers_told_ = true;
}

void ForwardingCore::TakeCountsOfPeers() {
  if (!std::exchange(peers_told_, false)) return;
  const Time now = loop_->now();
  table_.OnPeerCounts(membership_.SumOfCounts(now));
  const int boxes = membership_.live_boxes(now);
  retries_.OnBoxCount(now, boxes);
  table_.set_boxes(boxes);
}

void ForwardingCore::OnRunnerDown(const std::string& endpoint) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kFailureGossip)) return;
  if (!news_.OnDown(loop_->now(), endpoint)) return;
  loop_->After(news_.options().batch_window, [this] {
    gossip_.SendFailureNotice({news_.Take()}, news_.options().fanout);
  });
}

void ForwardingCore::OnFailureNotice(const FailureNotice& note) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kFailureGossip)) return;
  metrics_.Count("down_notes_total");
  for (const std::string& id : news_.OnNotice(loop_->now(), note.endpoints)) {
    if (directory_.Find(id) != nullptr) forwarder_.ProbeIfDue(id);
  }
}

void ForwardingCore::AskForRetries() {
  if (!forward_context_.mechanisms.enabled(Mechanism::kRetryLoans)) return;
  std::vector<RetryRequest> asks = loans_.MakeAsks(loop_->now());
  if (asks.empty()) return;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_asked",
           LogFields()
               .Add("service", asks[0].service)
               .Add("peers", asks.size())
               .Add("of_each", asks[0].count));
  gossip_.SendRetryRequests(std::move(asks));
}

std::optional<RetryLoan> ForwardingCore::OnRetryRequest(
    const RetryRequest& ask) {
  if (!forward_context_.mechanisms.enabled(Mechanism::kRetryLoans))
    return std::nullopt;
  const std::optional<RetryLoan> loan = loans_.OnAsk(loop_->now(), ask);
  if (!loan) return std::nullopt;
  LogEvent(LogPart::kPeers, LogLevel::kInfo, "retries_lent",
           LogFields()
               .Add("service", ask.service)
               .Add("to", ask.from)
               .Add("asked", ask.count)
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

FetchReply ForwardingCore::OnFetch(const FetchRequest& request) {
  FetchReply reply;
  reply.kind = request.kind;
  if (request.kind != FetchKind::kShared) return reply;
  reply.store_unreachable = store_fails_;
  DocumentState& state = reply.documents[IndexOf(DocumentKind::kConfiguration)];
  state = StateOf(DocumentKind::kConfiguration);
  const uint64_t above =
      request.known_versions[IndexOf(DocumentKind::kConfiguration)];
  if (state.version > above) state.body = configuration_packed_;
  reply.documents[IndexOf(DocumentKind::kEndpoints)] = ListState(request);
  return reply;
}

uint64_t ForwardingCore::ProofAgeMs(Time fresh_as_of) const {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, ToMillis(loop_->now() - fresh_as_of) + 1));
}

DocumentState ForwardingCore::StateOf(DocumentKind kind) const {
  DocumentState state;
  state.version = VersionOf(kind);
  state.freshness_age_ms = ProofAgeMs(proofs_[IndexOf(kind)]);
  return state;
}

DocumentState ForwardingCore::ListState(const FetchRequest& request) {
  const ListCursor now{membership_.self().incarnation, directory_.at()};
  std::optional<DirectoryChanges> changes;
  if (request.list.incarnation == now.incarnation) {
    changes = directory_.ChangesSince(loop_->now(), request.list.at);
  }
  DocumentState state = StateOf(DocumentKind::kEndpoints);
  state.list = now;
  if (changes && now.at != request.list.at) {
    state.changes = true;
    state.body = Deflate(WriteChanges(*changes));
  }
  const uint64_t above =
      request.known_versions[IndexOf(DocumentKind::kEndpoints)];
  if (changes || state.version <= above) return state;
  const WholeList& list = ListAbove(above);
  // Its version without its body: the peer asks another that has it.
  if (!list_budget_.Take(loop_->now(), list.body().size())) {
    metrics_.Count("lists_withheld_total");
    return state;
  }
  state.version = list.moment().version;
  state.list.at = list.moment().at;
  state.freshness_age_ms = ProofAgeMs(list.moment().fresh_as_of);
  state.body = list.body();
  return state;
}

const WholeList& ForwardingCore::ListAbove(uint64_t above) {
  const Time begun = loop_->now();
  // What is left of a lapsed entry's time changes as it passes.
  const bool serves = whole_list_.Serves(begun, directory_.state(), above) &&
                      !directory_.has_timed_entries();
  if (serves) return whole_list_;
  const WholeList::Moment moment = {VersionOf(DocumentKind::kEndpoints),
                                    directory_.at(), directory_.state(),
                                    proofs_[IndexOf(DocumentKind::kEndpoints)]};
  std::string body = Deflate(WriteDirectory(directory_.Snapshot(begun)));
  whole_list_.Set(begun, loop_->now(), moment, std::move(body));
  return whole_list_;
}

bool ForwardingCore::OnPeerBody(DocumentKind kind, const DocumentState& state,
                                const std::string& peer) {
  const std::optional<std::string> body =
      Inflate(state.body, kMaxPeerMessageBytes);
  if (body && kind == DocumentKind::kConfiguration) {
    return OnConfiguration(*body, peer);
  }
  const auto whole =
      body && !state.changes ? ParseDirectory(*body) : std::nullopt;
  const auto changes =
      body && state.changes ? ParseChanges(*body) : std::nullopt;
  if (!whole && !changes) {
    LogEvent(LogPart::kPeers, LogLevel::kError, "unreadable",
             LogFields().Add("place", "document of " + peer));
    return false;
  }
  // Before the list is taken: what it lacks, or has again, is of a copy.
  const StoreRevision version = StoreRevision::FromPacked(state.version);
  if (!era_.Observe(version.era())) return false;
  if (whole) directory_.OnList(loop_->now(), *whole);
  if (changes) directory_.OnChanges(loop_->now(), *changes);
  OnListVersion(version);
  return true;
}

}  // namespace pinford
