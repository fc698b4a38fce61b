// Gets the configuration and the list of endpoints from peers, with the age
// of their proof.
//
// A peer answers with the versions it has and how long ago it knew each to be
// the newest; a body follows only if its version is higher than the asker's.
// Of the list, whoever has it from the peer that it asks gets only the entries
// that changed since: a hall of 60 boxes before 3,000 runners would be sent
// 100 KB each for every change.
//
// The asker counts that age back from the moment before it asked, so neither
// a slow network nor a pause of either side makes a proof look younger than it
// is.
//
// Whom to ask is the roster's choice; a box that knows no member yet, or has
// nothing yet, asks a seed, less and less often, since all boxes of a fleet may
// have started together. A box that hears of a higher version of the
// configuration in a digest asks one of those that have it at once, and one
// that hears of a newer list asks who told of it: whoever mirrors the store
// announces that an endpoint went. A peer that sends much already answers
// without the list (send_budget.h); then any other that has it is asked.
//
// No I/O of its own: `Link` asks. Time is `Clk`'s.

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

// Asks a peer; `fn` gets nothing if no whole answer came in time.
template <typename L>
concept FetchLink =
    requires(L link, const std::string& address, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn) {
  {link.Fetch(address, request, fn)};
};

struct PeerSourceOptions {
  // Between questions. With the age of the peer's own proof this is what a
  // box's proof lags behind; a question costs a connection inside the hall.
  Duration interval = milliseconds(400);
  // A mirror's proof is no older than twice its wait (1 s) and a call while
  // the store answers it. If it is, another peer may know better.
  Duration usual_age = milliseconds(2200);
  // A peer that has not answered by then is silent, and the next is asked; its
  // answer still counts. Inside a region an answer takes milliseconds.
  Duration silent_after = milliseconds(600);
  // The same while this box has nothing: where all boxes start together some of
  // the seeds are not there yet, and callers are refused meanwhile. With 600 ms
  // boxes that came back from a loss of power were ready after 0.60 s, each of
  // 21 whose logs were read.
  Duration silent_at_start = milliseconds(150);
  // The next source is asked so soon once one begins to fail: what leaves
  // meanwhile must be known within two seconds.
  Duration next_source = milliseconds(100);
  // Questions to seeds while this box has nothing: the first pause, doubled
  // each time.
  Duration seed_pause = milliseconds(100);
  Duration most_seed_pause = milliseconds(800);
};

struct PeerSourceEvents {
  // The version that this box has.
  std::function<uint64_t(DocumentKind)> version;
  std::function<Time(DocumentKind)> fresh_as_of;
  // A peer's body of a higher version. False if it cannot be used.
  std::function<bool(DocumentKind, const DocumentState&,
                     const std::string& peer)>
      on_body;
  // What this box has was the newest at `proof`.
  std::function<void(DocumentKind, Time fresh_as_of)> on_freshness;
  // A peer has told what it has; what of that is news has been taken.
  std::function<void()> on_answer;
};

template <FetchLink Link, typename Clk>
class PeerSource {
 public:
  PeerSource(Clk* clock, const Membership* membership, SourceSelector* roster,
             std::vector<std::string> seeds, Link* link, Random random,
             const PeerSourceOptions& options, PeerSourceEvents events)
      : clock_(clock),
        membership_(membership),
        roster_(roster),
        seeds_(std::move(seeds)),
        link_(link),
        random_(random),
        options_(options),
        events_(std::move(events)) {}

  // What a digest from `address` shows: the sender's versions of the
  // configuration and of the list, and when it knew the former to be the
  // newest.
  void OnDigest(const std::string& address, uint64_t version, uint64_t list,
                Time fresh_as_of) {
    const uint64_t own = events_.version(DocumentKind::kConfiguration);
    if (version > own) maybe_ahead_ = true;
    if (list > events_.version(DocumentKind::kEndpoints)) newer_list_ = address;
    const Time now = clock_->now();
    const Time held = events_.fresh_as_of(DocumentKind::kConfiguration);
    const bool lacks = now - held > options_.usual_age;
    if (lacks && version >= own && now - fresh_as_of < options_.usual_age) {
      fresher_ = address;
    }
  }

  // Asks what is due. `wanted`: this box has no source of its own now.
  void Tick(bool wanted) {
    const Time now = clock_->now();
    const Duration patience =
        HasAll() ? options_.silent_after : options_.silent_at_start;
    const bool waits = asking_ && now - asked_ < patience;
    // Who is asked may be gone; its answer counts all the same.
    if (waits && (!wanted || newer_list_.empty())) return;
    const bool silent = std::exchange(asking_, false) && !waits;
    if (silent) Note(whom_, SourceAnswer::kSilent);
    std::string to;
    if (std::exchange(maybe_ahead_, false)) {
      to = SomeAhead(now, DocumentKind::kConfiguration);
    }
    if (to.empty() && wanted) to = std::exchange(newer_list_, "");
    if (to.empty() && wanted) to = std::exchange(fresher_, "");
    if (to.empty() && wanted && now >= next_) to = Whom(now);
    if (!to.empty()) Ask(now, to);
  }

 private:
  bool HasAll() const {
    return events_.version(DocumentKind::kConfiguration) != 0 &&
           events_.version(DocumentKind::kEndpoints) != 0;
  }

  // The address to ask when there is no special reason.
  std::string Whom(Time now) {
    if (std::exchange(withheld_, false)) {
      std::string holder = SomeAhead(now, DocumentKind::kEndpoints);
      next_ = now + options_.interval;
      if (!holder.empty()) return holder;
    }
    std::string source = roster_->Next(now);
    if (seeds_.empty() || (!source.empty() && HasAll())) {
      next_ = now + options_.interval;
      seed_pause_ = options_.seed_pause;
      return source;
    }
    // Equal boxes that started together must not ask at the same moments.
    std::uniform_real_distribution<double> part(0.5, 1.5);
    next_ = now + FromSeconds(ToSeconds(seed_pause_) * part(random_));
    seed_pause_ = std::min(seed_pause_ * 2, options_.most_seed_pause);
    // In turn with the roster's: the seeds may be gone.
    const size_t n = seeds_.size() + (source.empty() ? 0 : 1);
    const size_t i = random_() % n;
    return i < seeds_.size() ? seeds_[i] : source;
  }

  // A member that has a higher version of that document, if one is known; of
  // the own hall rather than of another, and any of those, so that those who
  // have it share the work of handing it on.
  std::string SomeAhead(Time now, DocumentKind kind) {
    const uint64_t own = events_.version(kind);
    std::vector<const Membership::Member*> near;
    std::vector<const Membership::Member*> far;
    for (const auto& [name, m] : membership_->members()) {
      const bool ahead = m.row.versions[IndexOf(kind)] > own;
      if (!ahead || membership_->Suspected(now, m)) continue;
      const bool same_hall = m.row.hall == membership_->self().hall;
      (same_hall ? near : far).push_back(&m);
    }
    const auto& from = near.empty() ? far : near;
    return from.empty() ? "" : from[random_() % from.size()]->row.address;
  }

  void Ask(Time now, const std::string& to) {
    asking_ = true;
    asked_ = now;
    whom_ = to;
    FetchRequest request;
    request.kind = FetchKind::kShared;
    for (int k = 0; k < kDocumentKinds; k++) {
      request.known_versions[k] = events_.version(static_cast<DocumentKind>(k));
    }
    if (to == list_from_) request.list = list_;
    const uint64_t question = ++question_;
    link_->Fetch(to, request,
                 [this, question, asked = now,
                  to](const std::optional<FetchReply>& reply) {
                   if (question == question_) asking_ = false;
                   OnReply(to, asked, reply);
                 });
  }

  // What came of a question. Whoever begins to fail is not waited for.
  void Note(const std::string& source, SourceAnswer answer) {
    const Time now = clock_->now();
    const bool news = roster_->OnAnswer(now, source, answer);
    if (news) next_ = std::min(next_, now + options_.next_source);
  }

  // Not all at the same moment: many are told so at once.
  void AskSoon() {
    std::uniform_real_distribution<double> part(0.5, 1.5);
    const double pause = ToSeconds(options_.next_source) * part(random_);
    next_ = std::min(next_, clock_->now() + FromSeconds(pause));
  }

  void OnReply(const std::string& from, Time asked,
               const std::optional<FetchReply>& reply) {
    if (!reply) {
      Note(from, SourceAnswer::kSilent);
      return;
    }
    const DocumentState& configuration =
        reply->documents[IndexOf(DocumentKind::kConfiguration)];
    const bool old =
        milliseconds(configuration.freshness_age_ms) > options_.usual_age;
    const bool fails = old || reply->store_unreachable;
    Note(from, fails ? SourceAnswer::kFails : SourceAnswer::kWell);
    for (int k = 0; k < kDocumentKinds; k++) {
      Take(static_cast<DocumentKind>(k), reply->documents[k], from, asked);
    }
    if (withheld_) AskSoon();
    if (events_.on_answer) events_.on_answer();
  }

  // False if the peer has what this box has not, and did not send it.
  bool TakeBody(DocumentKind kind, const DocumentState& state,
                const std::string& from) {
    const uint64_t own = events_.version(kind);
    if (state.version < own) {
      // Its changes would take back what came from elsewhere.
      if (state.changes) list_from_.clear();
      return true;
    }
    const bool whole = !state.changes && state.version > own;
    if (whole && state.body.empty()) {
      withheld_ = withheld_ || kind == DocumentKind::kEndpoints;
      return false;
    }
    if (!whole && !state.changes) return true;
    if (!events_.on_body(kind, state, from)) return false;
    if (kind == DocumentKind::kEndpoints) {
      list_from_ = from;
      list_ = state.list;
    }
    return true;
  }

  void Take(DocumentKind kind, const DocumentState& state,
            const std::string& from, Time asked) {
    if (!TakeBody(kind, state, from)) return;
    // An older version proves nothing of the one that this box has.
    if (state.version < events_.version(kind)) return;
    constexpr uint64_t kNoProof = 3600 * 1000;
    if (state.freshness_age_ms >= kNoProof) return;
    const Time fresh_as_of = asked - milliseconds(state.freshness_age_ms);
    if (fresh_as_of > events_.fresh_as_of(kind))
      events_.on_freshness(kind, fresh_as_of);
  }

  Clk* clock_;
  const Membership* membership_;
  SourceSelector* roster_;
  std::vector<std::string> seeds_;  // addresses, without this box's
  Link* link_;
  Random random_;
  PeerSourceOptions options_;
  PeerSourceEvents events_;
  bool asking_ = false;
  uint64_t question_ = 0;
  std::string whom_;  // the last that was asked
  Time asked_{};
  Time next_{};
  Duration seed_pause_ = options_.seed_pause;
  bool maybe_ahead_ = false;
  bool withheld_ = false;   // a peer has a newer list, and did not send it
  std::string newer_list_;  // a box that has one
  std::string list_from_;   // who this box has its list from
  ListCursor list_;         // ... as of that box's moment
  std::string fresher_;     // a box with a fresh proof, while this one lacks it
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PEER_SOURCE_H_
