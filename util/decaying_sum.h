// An exponentially decaying sum: each value counts e^(-age / time_constant).
// Divided by the time constant, it estimates the rate over about the last time
// constant. Uses constant memory.

#ifndef UTIL_DECAYING_SUM_H_
#define UTIL_DECAYING_SUM_H_

#include <cmath>

#include "util/clock.h"

namespace pinford {

class DecayingSum {
 public:
  void Add(Time now, double x, Duration time_constant) {
    sum_ = At(now, time_constant) + x;
    at_ = now;
  }
  double At(Time now, Duration time_constant) const {
    if (sum_ == 0) return 0;
    return sum_ * std::exp(-ToSeconds(now - at_) / ToSeconds(time_constant));
  }

 private:
  double sum_ = 0;
  Time at_{};
};

}  // namespace pinford

#endif  // UTIL_DECAYING_SUM_H_
