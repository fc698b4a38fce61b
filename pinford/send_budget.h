// Limits the rate at which a box sends to its peers, so that its link stays
// free for callers. The defaults are for endpoint lists.
//
// Boxes that start together all ask the few that have the endpoint list. An
// answer that is queued for the link too long is requested again elsewhere, yet
// is still sent. A peer beyond the budget is therefore answered without the
// list immediately, and asks another box that has the list by then: every box
// that was served serves others, so their number doubles.

#ifndef PINFORD_SEND_BUDGET_H_
#define PINFORD_SEND_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "util/clock.h"

namespace pinford {

class SendBudget {
 public:
  // Half of a 20 Mbit/s link, the slowest that boxes have.
  static constexpr double kBytesPerSecond = 1'250'000;
  // Bytes sent at once: 0.12 s of such a link. Peers ask elsewhere after 0.15
  // s.
  static constexpr double kBurst = 300'000;

  SendBudget() : SendBudget(kBytesPerSecond, kBurst) {}
  SendBudget(double bytes_per_second, double burst)
      : bytes_per_second_(bytes_per_second), burst_(burst), available_(burst) {}

  // Returns whether `bytes` may be sent now, and if so deducts them. A message
  // larger than the burst is sent too, and delays the following ones
  // accordingly.
  bool Take(Time now, size_t bytes) {
    const double refill = ToSeconds(now - updated_at_) * bytes_per_second_;
    available_ = std::min(burst_, available_ + refill);
    updated_at_ = now;
    if (available_ <= 0) return false;
    available_ -= static_cast<double>(bytes);
    return true;
  }
  // Whether that part of the burst is available, for what may wait until the
  // rest is sure to suffice for what may not.
  bool HasSpare(Time now, double part) const {
    const double refill = ToSeconds(now - updated_at_) * bytes_per_second_;
    return available_ + refill >= part * burst_;
  }
  // Time until Take succeeds.
  Duration WaitTime(Time now) const {
    const double refill = ToSeconds(now - updated_at_) * bytes_per_second_;
    const double available = available_ + refill;
    if (available > 0) return Duration(0);
    return FromSeconds(-available / bytes_per_second_) + Duration(1);
  }

 private:
  double bytes_per_second_;
  double burst_;
  double available_;
  Time updated_at_{};
};

}  // namespace pinford

#endif  // PINFORD_SEND_BUDGET_H_
