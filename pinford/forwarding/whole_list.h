// The list of endpoints as it goes whole to peers, kept while it will do.
//
// Boxes that start together ask for it together, and while runners load it
// changes from one question to the next. Packed anew for each, 2,999 entries
// took 30 ms of a core a question, 0.25 s of a box that has 0.12 of one, for
// each of the hundred boxes of its hall. So it is made anew so seldom that this
// takes a part of the time only, and who gets it asks for what changed since by
// its moment.

#ifndef PINFORD_FORWARDING_WHOLE_LIST_H_
#define PINFORD_FORWARDING_WHOLE_LIST_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "util/clock.h"

namespace pinford {

class WholeList {
 public:
  // What the directory was when the list was made.
  struct Moment {
    uint64_t version = 0;  // of the store's list
    uint64_t at = 0;       // by the box's own count of changes
    uint64_t state = 0;    // grows with each entry that is taken or dropped
    Time fresh_as_of{};    // when that version was known to be the newest
  };
  // One is made anew after so many times the time that it took to make: a fifth
  // of the box's time goes to it at most.
  static constexpr int kPauses = 4;
  // ... but no later. Who has an older one asks for changes within 0.4 s, so
  // that it knows within a second who leaves, which may take three.
  static constexpr Duration kLongestPause = milliseconds(500);

  // Whether the one that was made serves a peer that wants a version above
  // `above`, while the directory is in `state`.
  bool Serves(Time now, uint64_t state, uint64_t above) const {
    if (body_.empty() || moment_.version <= above) return false;
    return moment_.state == state || now < next_;
  }
  // It was made from `begun` to `ended`.
  void Set(Time begun, Time ended, const Moment& moment, std::string body) {
    moment_ = moment;
    body_ = std::move(body);
    next_ = ended + std::min((ended - begun) * kPauses, kLongestPause);
  }

  const Moment& moment() const { return moment_; }
  const std::string& body() const { return body_; }

 private:
  Moment moment_;
  std::string body_;
  Time next_{};  // when it may be made anew
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_WHOLE_LIST_H_
