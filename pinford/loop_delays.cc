#include "pinford/loop_delays.h"

#include <algorithm>

namespace pinford {

void LoopDelays::OnTimer(Time due, Time now) {
  const Duration length = now - due;
  if (length < kMinDelay) return;
  while (!delays_.empty() && delays_.back().length <= length) {
    delays_.pop_back();
  }
  delays_.push_back({now, length});
  if (delays_.size() > kMaxKept) delays_.pop_front();
}

Duration LoopDelays::LongestSince(Time t) const {
  const auto first =
      std::find_if(delays_.begin(), delays_.end(),
                   [t](const Delay& delay) { return delay.end > t; });
  return first == delays_.end() ? Duration(0) : first->length;
}

}  // namespace pinford
