// Fetches the configuration and the endpoint list from peers, together with
// their freshness age.
//
// A peer answers with its versions and, for each, how long ago it knew that
// version to be the newest. A body follows only if its version is higher than
// the requester's. A box that got its list from the peer it asks receives only
// the entries that changed since. Otherwise a hall of 60 boxes with 3,000
// runners would be sent 100 KB per box for every change.
//
// The requester counts that age back from the time before it sent the request,
// so neither a slow network nor a pause of either process makes a copy look
// fresher than it is.
//
// SourceSelector chooses the peer. A box that knows no member yet, or has no
// documents yet, asks a seed with exponential backoff, since all boxes of a
// fleet may have started together. A box that learns of a newer configuration
// from a digest immediately asks one of the boxes that have it. A box that
// learns of a newer list asks the sender of that digest if that is one of its
// sources: these announce it when an endpoint leaves. Other members' digests
// are no reason to ask, since the list changes all the time somewhere. A digest
// by which the primary that it asks is stale is: a primary announces that the
// store does not answer it, and the next request tells this box so. A peer
// whose send budget is used up answers without the list (send_budget.h);
// another peer that has it is asked then.
//
// Does no I/O of its own: `Link` sends the requests, and `Clk` provides the
// time.

#ifndef PINFORD_FORWARDING_PEER_SOURCE_H_
#define PINFORD_FORWARDING_PEER_SOURCE_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/source_selector.h"
#include "pinford/membership.h"
#include "pinford/peer_messages.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

// Sends a request to a peer; `fn` gets nullopt if no complete answer arrived in
// time.
template <typename L>
concept FetchLink =
    requires(L link, const std::string& address, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn) {
  {link.Fetch(address, request, fn)};
};

struct PeerSourceOptions {
  // Between requests. The freshness of a box lags by this and by the peer's own
  // age; a request costs a connection within the hall.
  Duration interval = milliseconds(400);
  // While the store answers it, a mirror's freshness age is at most twice its
  // watch timeout (1 s) plus a call. Beyond this, another peer may be fresher.
  Duration max_normal_age = milliseconds(2200);
  // Added to it for each box between a peer and the mirror: an interval between
  // requests, and an exchange.
  Duration normal_age_per_hop = milliseconds(450);
  // A peer that has not answered by then counts as unresponsive, and the next
  // is asked; its answer is still accepted. Within a region an answer takes
  // milliseconds.
  Duration answer_timeout = milliseconds(600);
  // The same while this box has no documents: if all boxes start together, some
  // of the seeds are not up yet, and callers are refused until then. With 600
  // ms, boxes that came back from a power loss were ready after 0.60 s, in all
  // 21 logs that were examined.
  Duration answer_timeout_at_start = milliseconds(150);
  // Delay until the next source is asked after one begins to fail: endpoints
  // that leave during this delay must be known within two seconds.
  Duration failover_delay = milliseconds(100);
  // Between requests to seeds while this box has no documents: the first delay,
  // doubled each time.
  Duration min_seed_pause = milliseconds(100);
  Duration max_seed_pause = milliseconds(800);
};

struct PeerSourceEvents {
  // The version held by this box.
  std::function<uint64_t(DocumentKind)> version;
  std::function<Time(DocumentKind)> fresh_as_of;
  // A document body with a higher version from a peer. Returns false if it
  // cannot be used.
  std::function<bool(DocumentKind, const DocumentState&,
                     const std::string& peer)>
      on_body;
  // That version was the newest at that time.
  std::function<void(DocumentKind, uint64_t version, Time fresh_as_of)>
      on_freshness;
  // A peer has answered, and the documents it sent have been applied.
  std::function<void()> on_answer;
};

template <FetchLink Link, typename Clk>
class PeerSource {
 public:
  PeerSource(Clk* clock, const Membership* membership, SourceSelector* selector,
             std::vector<std::string> seeds, Link* link, Random random,
             const PeerSourceOptions& options, PeerSourceEvents events)
      : clock_(clock),
        membership_(membership),
        selector_(selector),
        seeds_(std::move(seeds)),
        link_(link),
        random_(random),
        options_(options),
        events_(std::move(events)) {}

  // Handles a digest from `address`: the sender's versions of the configuration
  // and of the list, and when it knew the configuration to be the newest.
  void OnDigest(const std::string& address, uint64_t version, uint64_t list,
                Time fresh_as_of) {
    const uint64_t own_version = events_.version(DocumentKind::kConfiguration);
    if (version > own_version) newer_configuration_seen_ = true;
    const Time now = clock_->now();
    if (IsStalePrimary(now, address, fresh_as_of)) stale_primary_ = address;
    if (list > events_.version(DocumentKind::kEndpoints) &&
        selector_->IsLocalSource(now, address)) {
      newer_list_peer_ = address;
    }
    const Time own_fresh_as_of =
        events_.fresh_as_of(DocumentKind::kConfiguration);
    const bool stale = now - own_fresh_as_of > NormalAge(selector_->hops(now));
    if (stale && version >= own_version &&
        now - fresh_as_of < options_.max_normal_age) {
      fresher_peer_ = address;
    }
  }

  // Sends the request that is due. `wanted`: this box has no other source now.
  void Tick(bool wanted) {
    const Time now = clock_->now();
    const Duration timeout = HasAllDocuments()
                                 ? options_.answer_timeout
                                 : options_.answer_timeout_at_start;
    const bool still_waiting = waiting_ && now - sent_at_ < timeout;
    // The asked peer may be down; its answer is accepted all the same.
    if (still_waiting && (!wanted || newer_list_peer_.empty())) return;
    const bool timed_out = std::exchange(waiting_, false) && !still_waiting;
    if (timed_out) RecordAnswer(asked_peer_, SourceAnswer::kNoAnswer);
    std::string peer;
    if (std::exchange(newer_configuration_seen_, false)) {
      peer = PickNewer(now, DocumentKind::kConfiguration);
    }
    if (peer.empty() && wanted) peer = std::exchange(newer_list_peer_, "");
    if (peer.empty() && wanted) peer = std::exchange(stale_primary_, "");
    if (peer.empty() && wanted) peer = std::exchange(fresher_peer_, "");
    if (peer.empty() && wanted && now >= next_at_) peer = ChooseSource(now);
    if (!peer.empty()) SendRequest(now, peer);
  }

 private:
  // The age up to which data that passed `hops` boxes on its way from the
  // mirror counts as fresh.
  Duration NormalAge(int hops) const {
    return options_.max_normal_age + options_.normal_age_per_hop * hops;
  }

  // Whether the address is that of the primary, which this box asks, and it is
  // stale and not known to fail yet. The age of a standby that does not mirror
  // is no sign: it is that of any box of its hall.
  bool IsStalePrimary(Time now, const std::string& address, Time fresh_as_of) {
    if (address != asked_peer_) return false;
    if (now - fresh_as_of <= options_.max_normal_age) return false;
    return selector_->IsPrimary(now, address) &&
           !selector_->HasFailed(now, address);
  }

  bool HasAllDocuments() const {
    return events_.version(DocumentKind::kConfiguration) != 0 &&
           events_.version(DocumentKind::kEndpoints) != 0;
  }

  // The address to ask by default.
  std::string ChooseSource(Time now) {
    if (std::exchange(list_withheld_, false)) {
      std::string holder = PickNewer(now, DocumentKind::kEndpoints);
      next_at_ = now + options_.interval;
      if (!holder.empty()) return holder;
    }
    std::string source = selector_->Next(now);
    if (seeds_.empty() || (!source.empty() && HasAllDocuments())) {
      next_at_ = now + options_.interval;
      seed_pause_ = options_.min_seed_pause;
      return source;
    }
    // Jitter, because identical boxes that started together must not send at
    // the same moments.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_at_ = now + FromSeconds(ToSeconds(seed_pause_) * jitter(random_));
    seed_pause_ = std::min(seed_pause_ * 2, options_.max_seed_pause);
    // Includes the selector's choice, since the seeds may be down.
    const size_t n = seeds_.size() + (source.empty() ? 0 : 1);
    const size_t i = random_() % n;
    return i < seeds_.size() ? seeds_[i] : source;
  }

  // A random member with a higher version of that document, "" if none is
  // known. Members of the local hall are preferred; choosing at random spreads
  // the load of distribution over all that have it.
  std::string PickNewer(Time now, DocumentKind kind) {
    const uint64_t own_version = events_.version(kind);
    std::vector<const Membership::Member*> local;
    std::vector<const Membership::Member*> remote;
    for (const auto& [name, m] : membership_->members()) {
      const bool newer = m.row.versions[IndexOf(kind)] > own_version;
      if (!newer || membership_->Suspected(now, m)) continue;
      const bool same_hall = m.row.hall == membership_->self().hall;
      (same_hall ? local : remote).push_back(&m);
    }
    const auto& from = local.empty() ? remote : local;
    return from.empty() ? "" : from[random_() % from.size()]->row.address;
  }

  void SendRequest(Time now, const std::string& peer) {
    waiting_ = true;
    sent_at_ = now;
    asked_peer_ = peer;
    FetchRequest request;
    request.kind = FetchKind::kShared;
    for (int k = 0; k < kDocumentKinds; k++) {
      request.known_versions[k] = events_.version(static_cast<DocumentKind>(k));
    }
    if (peer == list_source_) request.list = list_cursor_;
    const uint64_t id = ++request_id_;
    link_->Fetch(peer, request,
                 [this, id, sent_at = now,
                  peer](const std::optional<FetchReply>& reply) {
                   if (id == request_id_) waiting_ = false;
                   OnReply(peer, sent_at, reply);
                 });
  }

  // Records the outcome of a request. A source that begins to fail is not
  // waited for.
  void RecordAnswer(const std::string& source, SourceAnswer answer) {
    const Time now = clock_->now();
    const bool newly_failing = selector_->OnAnswer(now, source, answer);
    if (newly_failing)
      next_at_ = std::min(next_at_, now + options_.failover_delay);
  }

  // Jitter, because many boxes get such an answer at once.
  void RequestSoon() {
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double pause = ToSeconds(options_.failover_delay) * jitter(random_);
    next_at_ = std::min(next_at_, clock_->now() + FromSeconds(pause));
  }

  void OnReply(const std::string& from, Time sent_at,
               const std::optional<FetchReply>& reply) {
    if (!reply) {
      RecordAnswer(from, SourceAnswer::kNoAnswer);
      return;
    }
    const DocumentState& configuration =
        reply->documents[IndexOf(DocumentKind::kConfiguration)];
    const Duration normal_age =
        NormalAge(selector_->depth(clock_->now(), from));
    const bool stale =
        milliseconds(configuration.freshness_age_ms) > normal_age;
    const bool failing = stale || reply->store_unreachable;
    RecordAnswer(from, failing ? SourceAnswer::kFailing : SourceAnswer::kOk);
    for (int k = 0; k < kDocumentKinds; k++) {
      ApplyDocument(static_cast<DocumentKind>(k), reply->documents[k], from,
                    sent_at);
    }
    if (list_withheld_) RequestSoon();
    if (events_.on_answer) events_.on_answer();
  }

  // Returns false if the peer has a newer version but did not send it.
  bool ApplyBody(DocumentKind kind, const DocumentState& state,
                 const std::string& from) {
    const uint64_t own_version = events_.version(kind);
    if (state.version < own_version) {
      // Its changes would revert entries that came from elsewhere.
      if (state.changes) list_source_.clear();
      return true;
    }
    const bool is_full = !state.changes && state.version > own_version;
    if (is_full && state.body.empty()) {
      list_withheld_ = list_withheld_ || kind == DocumentKind::kEndpoints;
      return false;
    }
    if (!is_full && !state.changes) return true;
    if (!events_.on_body(kind, state, from)) return false;
    if (kind == DocumentKind::kEndpoints) {
      list_source_ = from;
      list_cursor_ = state.list;
    }
    return true;
  }

  void ApplyDocument(DocumentKind kind, const DocumentState& state,
                     const std::string& from, Time sent_at) {
    if (!ApplyBody(kind, state, from)) return;
    // An older version is no evidence of the freshness of the one held.
    if (state.version < events_.version(kind)) return;
    constexpr uint64_t kUnknownAgeMs = 3600 * 1000;
    if (state.freshness_age_ms >= kUnknownAgeMs) return;
    const Time fresh_as_of = sent_at - milliseconds(state.freshness_age_ms);
    if (fresh_as_of > events_.fresh_as_of(kind))
      events_.on_freshness(kind, state.version, fresh_as_of);
  }

  Clk* clock_;
  const Membership* membership_;
  SourceSelector* selector_;
  std::vector<std::string> seeds_;  // addresses, without this box
  Link* link_;
  Random random_;
  PeerSourceOptions options_;
  PeerSourceEvents events_;
  bool waiting_ = false;
  uint64_t request_id_ = 0;
  std::string asked_peer_;  // the last peer that was asked
  Time sent_at_{};
  Time next_at_{};
  Duration seed_pause_ = options_.min_seed_pause;
  bool newer_configuration_seen_ = false;
  bool list_withheld_ = false;   // a peer has a newer list, but did not send it
  std::string newer_list_peer_;  // address of a box with a newer list
  std::string list_source_;      // the peer from which the list was fetched
  ListCursor list_cursor_;       // position in that peer's list of changes
  std::string fresher_peer_;     // a fresh box, while this one is stale
  std::string stale_primary_;    // the primary, once it has become stale
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PEER_SOURCE_H_
