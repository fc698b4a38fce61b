// Recent scheduling delays of an event loop: how late it has run its timers.
//
// A process that is stopped, gets no CPU time or is busy in one handler runs
// its timers late and reads nothing in that time. Code that is about to report
// a peer or endpoint as unresponsive checks here how much of the idle time was
// this process's own delay.
//
// Memory is bounded: a delay is dropped once one at least as long has ended
// after it, and the oldest is dropped when there are more than kMaxKept.

#ifndef PINFORD_LOOP_DELAYS_H_
#define PINFORD_LOOP_DELAYS_H_

#include <cstddef>
#include <deque>

#include "util/clock.h"

namespace pinford {

class LoopDelays {
 public:
  // Shorter delays are ignored: timers are slightly late even on an idle
  // machine.
  static constexpr Duration kMinDelay = milliseconds(5);
  static constexpr size_t kMaxKept = 32;

  // Records that a timer due at `due` runs at `now`.
  void OnTimer(Time due, Time now);
  // Returns the longest delay that ended after `t`; zero if there was none.
  Duration LongestSince(Time t) const;

 private:
  struct Delay {
    Time end;
    Duration length;
  };
  std::deque<Delay> delays_;  // ends increase, lengths decrease
};

}  // namespace pinford

#endif  // PINFORD_LOOP_DELAYS_H_
