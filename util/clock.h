// Time and timers.
//
// Code does not read the system clock directly: it takes a Clock, either the
// EventLoop (real time) or a PausedClock, which tests advance explicitly. Both
// run timers on the caller's thread, ordered by due time and then by when they
// were scheduled, so a run under PausedClock is deterministic.

#ifndef UTIL_CLOCK_H_
#define UTIL_CLOCK_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>

namespace pinford {

using Duration = std::chrono::microseconds;
// Monotonic; only comparable within one process. Counts the time for which the
// machine is suspended, which std::chrono::steady_clock itself does not.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Identifies a scheduled timer. Never 0.
using TimerId = uint64_t;

template <typename C>
concept Clock = requires(C c, Duration d, TimerId id,
                         std::function<void()> fn) {
  { c.now() } -> std::same_as<Time>;
  // Runs `fn` once, `d` from now.
  { c.After(d, fn) } -> std::same_as<TimerId>;
  // No-op for a timer that has run or was cancelled.
  {c.Cancel(id)};
};

inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}
inline Duration FromSeconds(double s) {
  return Duration(static_cast<int64_t>(s * 1e6));
}
inline int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

}  // namespace pinford

#endif  // UTIL_CLOCK_H_
