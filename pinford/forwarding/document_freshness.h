// When the version of a document that a box holds was last known to be the
// newest.
//
// An observation is a pair: which version was the newest, and when. It proves
// nothing of an older version. A time that was kept without its version let a
// box that had read the store's configuration, and had then adopted a peer's
// older one, accept keys that the store's no longer had.
//
// A version above all observed ones counts as fresh by them: a store that was
// restored from a backup reports an older version than the one in force, which
// does not go back.

#ifndef PINFORD_FORWARDING_DOCUMENT_FRESHNESS_H_
#define PINFORD_FORWARDING_DOCUMENT_FRESHNESS_H_

#include <cstdint>

#include "util/clock.h"

namespace pinford {

class DocumentFreshness {
 public:
  // `version` was the newest at `as_of`.
  void OnObserved(uint64_t version, Time as_of);
  // Returns the last time at which no version above `held` was the newest;
  // Time{} if none is known. It may be too early, but not too late, if two
  // versions above `held` were observed.
  Time AsOf(uint64_t held) const;

 private:
  struct Observation {
    uint64_t version = 0;
    Time as_of{};
  };

  Observation newest_;  // of the highest version
  // Of all others: the highest version, and the latest time.
  Observation older_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_DOCUMENT_FRESHNESS_H_
