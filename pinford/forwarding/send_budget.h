// How much of what is large a box sends to its peers, so that its link stays
// free for callers.
//
// Boxes that start together all ask the few that have the list of endpoints.
// An answer that waits for the link is asked for again elsewhere, and goes all
// the same. So who is beyond the budget is told at once, and asks one that has
// it by then: whoever was served serves others, and their number doubles.

#ifndef PINFORD_FORWARDING_SEND_BUDGET_H_
#define PINFORD_FORWARDING_SEND_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "util/clock.h"

namespace pinford {

class SendBudget {
 public:
  // Half of a link of 20 Mbit/s, the slowest that boxes have.
  static constexpr double kBytesPerSecond = 1'250'000;
  // At once: 0.12 s of such a link. Peers ask elsewhere after 0.15 s.
  static constexpr double kBurst = 300'000;

  // Whether so much may be sent now; it then counts. What is larger than the
  // burst goes too, and what comes after it waits for longer.
  bool Take(Time now, size_t bytes) {
    const double refill = ToSeconds(now - updated_at_) * kBytesPerSecond;
    available_ = std::min(kBurst, available_ + refill);
    updated_at_ = now;
    if (available_ <= 0) return false;
    available_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  double available_ = kBurst;
  Time updated_at_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SEND_BUDGET_H_
