// How late an event loop has served its timers of late.
//
// A process that is stopped, gets no processor or is busy in one handler
// serves its timers late and reads nothing meanwhile. Whoever blames another
// for silence asks here how much of that silence was this process's own.
//
// Memory is bounded: a delay is forgotten once a longer one has ended after
// it, and beyond kMaxKept the oldest goes.

#ifndef PINFORD_LOOP_DELAYS_H_
#define PINFORD_LOOP_DELAYS_H_

#include <cstddef>
#include <deque>

#include "util/clock.h"

namespace pinford {

class LoopDelays {
 public:
  // Timers fire a little late on an idle machine too; less is no delay.
  static constexpr Duration kMinDelay = milliseconds(5);
  static constexpr size_t kMaxKept = 32;

  // A timer that was due at `due` runs at `now`.
  void OnTimer(Time due, Time now);
  // The longest delay that ended after `t`; zero if there was none.
  Duration LongestSince(Time t) const;

 private:
  struct Delay {
    Time end;
    Duration length;
  };
  std::deque<Delay> delays_;  // by end; lengths fall
};

}  // namespace pinford

#endif  // PINFORD_LOOP_DELAYS_H_
