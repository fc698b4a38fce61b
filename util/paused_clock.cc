#include "util/paused_clock.h"

#include <algorithm>

namespace pinford {

TimerId PausedClock::After(Duration d, std::function<void()> fn) {
  TimerId id = next_id_++;
  Time due = now_ + std::max(d, Duration(0));
  timers_.emplace(Key(due, id), std::move(fn));
  due_.emplace(id, due);
  return id;
}

void PausedClock::Cancel(TimerId id) {
  auto it = due_.find(id);
  if (it == due_.end()) return;
  timers_.erase(Key(it->second, id));
  due_.erase(it);
}

bool PausedClock::RunNext(Time limit) {
  auto it = timers_.begin();
  if (it == timers_.end() || it->first.first > limit) return false;
  now_ = std::max(now_, it->first.first);
  std::function<void()> fn = std::move(it->second);
  due_.erase(it->first.second);
  timers_.erase(it);
  fn();
  return true;
}

void PausedClock::Advance(Duration d) {
  Time limit = now_ + d;
  while (RunNext(limit)) {
  }
  now_ = limit;
}

}  // namespace pinford
