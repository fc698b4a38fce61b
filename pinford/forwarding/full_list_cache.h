// Caches the full endpoint list as it is sent to peers.
//
// Boxes that start together request the list together, and while runners load
// it changes between requests. Building and compressing 2,999 entries takes 30
// ms of a core, or 0.25 s on a box with 0.12 of a core, for each of the hundred
// boxes of its hall. The list is therefore rebuilt only so often that building
// takes a bounded share of the time, and peers that receive it request the
// changes since its snapshot.

#ifndef PINFORD_FORWARDING_FULL_LIST_CACHE_H_
#define PINFORD_FORWARDING_FULL_LIST_CACHE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "util/clock.h"

namespace pinford {

class FullListCache {
 public:
  // State of the directory when the list was built.
  struct Snapshot {
    uint64_t version = 0;  // of the store's list
    uint64_t at = 0;       // position in the box's own sequence of changes
    uint64_t state = 0;    // incremented with each entry set or dropped
    Time fresh_as_of{};    // when that version was known to be the newest
  };
  // The interval between rebuilds, as a multiple of the build time: at most a
  // fifth of the box's time goes to building.
  static constexpr int kBuildTimeMultiple = 4;
  // Upper bound of that interval. A peer with an older list requests the
  // changes within 0.4 s, so it learns within a second which endpoints leave;
  // three seconds are allowed.
  static constexpr Duration kMaxInterval = milliseconds(500);

  // Whether the cached list can be sent to a peer that requests a version above
  // `above`, while the directory is in `state`.
  bool IsUsable(Time now, uint64_t state, uint64_t above) const {
    if (body_.empty() || snapshot_.version <= above) return false;
    return snapshot_.state == state || now < rebuild_after_;
  }
  // Stores a list that was built from `build_start` to `build_end`.
  void Set(Time build_start, Time build_end, const Snapshot& snapshot,
           std::string body) {
    snapshot_ = snapshot;
    body_ = std::move(body);
    rebuild_after_ =
        build_end +
        std::min((build_end - build_start) * kBuildTimeMultiple, kMaxInterval);
  }

  const Snapshot& snapshot() const { return snapshot_; }
  const std::string& body() const { return body_; }

 private:
  Snapshot snapshot_;
  std::string body_;
  Time rebuild_after_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FULL_LIST_CACHE_H_
