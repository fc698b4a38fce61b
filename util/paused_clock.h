// A Clock for tests that only moves when it is advanced.

#ifndef UTIL_PAUSED_CLOCK_H_
#define UTIL_PAUSED_CLOCK_H_

#include <map>
#include <utility>

#include "util/clock.h"

namespace pinford {

class PausedClock {
 public:
  Time now() const { return now_; }

  TimerId After(Duration d, std::function<void()> fn);
  void Cancel(TimerId id);

  // Advances to now() + d. Runs each timer due by then at its due time,
  // including timers that other timers schedule.
  void Advance(Duration d);

  // Runs the next timer if it is due at or before `limit`. Returns whether one
  // ran.
  bool RunNext(Time limit);

  size_t pending() const { return timers_.size(); }

 private:
  using Key = std::pair<Time, TimerId>;

  Time now_{};
  TimerId next_id_ = 1;
  std::map<Key, std::function<void()>> timers_;
  std::map<TimerId, Time> due_;
};

}  // namespace pinford

#endif  // UTIL_PAUSED_CLOCK_H_
