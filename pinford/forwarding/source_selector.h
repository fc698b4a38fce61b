// Selects the peer from which a box fetches the contents of the platform's
// store, so that few boxes call the store itself.
//
// In each hall the live boxes are ranked by rendezvous hashing of their names.
// The first, the primary, mirrors the store; the next ones are standbys, which
// mirror it while the primary fails. This bounds the calls to the store by the
// number of halls, whatever fails (StoreTaskSelector decides which box calls).
//
// The ranks also form a tree, so that no box answers many: each box asks its
// parent, which is `fanout` times nearer to the primary. Where the parent
// fails, a box asks its parent's ancestors, then the standbys of the primary,
// then the primaries and standbys of other halls. With a fanout of 16, the
// primary and 16 others answer a hall of 272 boxes, and data passes two boxes
// at most on its way from the primary.
//
// A source fails if it reports so, if its data is stale, or if it does not
// answer. A failing source is asked every other time, so that its recovery is
// noticed. A source that did not answer twice in a row is excluded for a while,
// and the ranks move up: boxes that are down stay in the membership for tens of
// seconds in a large fleet. A box that gets no answer from any source thus
// becomes the primary of a hall of its own, and mirrors the store for itself.
//
// Ranks differ while boxes have different views of the membership. It does no
// harm if two boxes have the same role.

#ifndef PINFORD_FORWARDING_SOURCE_SELECTOR_H_
#define PINFORD_FORWARDING_SOURCE_SELECTOR_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/membership.h"
#include "util/clock.h"

namespace pinford {

// The role of mirroring the store, for which the boxes of a hall are ranked.
inline constexpr char kMirrorRole[] = "mirror";

enum class SourceAnswer {
  kOk,
  kFailing,   // it cannot reach the store, or its data is stale
  kNoAnswer,  // it did not answer in time
};

// The highest-ranked boxes of a hall, by their weight for the role.
using RankedBoxes = std::vector<std::pair<uint64_t, const MemberRow*>>;

class SourceSelector {
 public:
  struct Options {
    // Boxes of a hall that may mirror the store: the primary and its standbys.
    // With two standbys, the store must refuse three boxes of a hall before
    // that hall depends on another.
    int max_mirrors = 3;
    // Boxes that ask one box, while none fails. A box is asked 2.5 times a
    // second by each.
    int fanout = 16;
    // How long a source counts as failing. Longer than the time between
    // requests to a failing source, which is asked every other time.
    Duration failing_period = milliseconds(2000);
    // How long a source that did not answer twice is excluded, doubled each
    // time it happens again.
    Duration exclusion_time = seconds(4);
    Duration max_exclusion_time = seconds(32);
    // Consecutive requests without an answer, from any source, after which this
    // box counts as isolated.
    int isolated_after = 2;
    // How often the ranks are recomputed. The work grows with the members: 28
    // us for 300 of them, 69 us for 730 (BM_SourceRoster).
    Duration refresh = milliseconds(500);
  };

  SourceSelector(const Membership* membership, const Options& options)
      : membership_(membership), options_(options) {}

  // The rank of this box in its hall, from 0, among the boxes that answer it.
  int rank(Time now);
  // Whether this box mirrors the store because the primary of its hall fails.
  bool is_active_standby(Time now);
  // Live boxes of the hall including this one; 1 while no source answers it.
  int hall_boxes(Time now);
  // Whether the primary of the hall, another box than this, has that address.
  bool IsPrimary(Time now, const std::string& address);
  // Whether the primary of the hall failed recently; false for the primary
  // itself.
  bool primary_failing(Time now);
  // Returns the address to ask now, "" if there is none. Call it once per
  // request.
  std::string Next(Time now);
  // The number of boxes between a source and the mirror of its hall: 0 for the
  // primary and the standbys, and for boxes that are not known as sources.
  int depth(Time now, const std::string& source);
  // The number of boxes between this one and the primary, of which this one
  // has its data in normal operation.
  int hops(Time now);
  // Whether it is an ancestor of this box, or a standby of its hall.
  bool IsLocalSource(Time now, const std::string& address);
  // The addresses of the boxes that ask this one, or would if this standby were
  // the primary.
  std::vector<std::string> children(Time now);
  // Whether a request to that source failed recently.
  bool HasFailed(Time now, const std::string& address) const;
  // Records the outcome of a request to `address`. Returns true if the source
  // begins to fail.
  bool OnAnswer(Time now, const std::string& address, SourceAnswer answer);

 private:
  struct State {
    Time failed_at = Time::min();
    int timeouts = 0;  // consecutive
    Time excluded_until = Time::min();
  };

  void Refresh(Time now);
  // Fills local_ and rank_ with the boxes of this hall.
  void RankLocal(std::vector<std::pair<uint64_t, const MemberRow*>> boxes);
  void RankSources(const std::map<std::string_view, RankedBoxes>& remote);
  int ParentOf(int rank) const { return (rank - 1) / options_.fanout; }
  int DepthOf(int rank) const;
  bool IsExcluded(Time now, const std::string& address) const;

  const Membership* membership_;
  Options options_;
  std::map<std::string, State> states_;  // by address
  // The boxes of this hall by rank, with this one.
  std::vector<std::string> local_;
  // Sources in order of preference: ancestors and standbys in the local hall,
  // without this box, then primaries and standbys of other halls.
  std::vector<std::string> sources_;
  size_t local_sources_ = 0;  // of them in the local hall
  int rank_ = 0;
  int consecutive_timeouts_ = 0;
  Time refreshed_at_ = Time::min();
  uint64_t turn_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SOURCE_SELECTOR_H_
