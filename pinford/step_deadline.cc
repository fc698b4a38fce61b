// Method: a step's time is estimated as max(mean of small steps, work *
// smoothed rate). A large step (a prompt) determines the rate, a small one (one
// position) the mean. Both are smoothed as in RFC 6298, with 1/8 and 1/4.

#include "pinford/step_deadline.h"

#include <algorithm>
#include <cmath>

namespace pinford {

static constexpr double kMeanGain = 1.0 / 8;
static constexpr double kDeviationGain = 1.0 / 4;

void StepDeadline::BackOff() {
  constexpr int kMaxDoublings = 8;
  doublings_ = std::min(doublings_ + 1, kMaxDoublings);
}

void StepDeadline::Measure(double work, Duration took) {
  doublings_ = 0;
  const double t = ToSeconds(took);
  const double rate = t / std::max(work, 1.0);
  if (!measured_) {
    measured_ = true;
    mean_ = t;
    deviation_ = t / 2;
    per_work_ = rate;
    return;
  }
  deviation_ += kDeviationGain * (std::abs(t - mean_) - deviation_);
  mean_ += kMeanGain * (t - mean_);
  per_work_ += kMeanGain * (rate - per_work_);
}

Duration StepDeadline::For(double work) const {
  const int factor = 1 << doublings_;
  if (!measured_) return std::min(options_.first * factor, options_.ceiling);
  const double by_time = mean_ + options_.deviation_factor * deviation_;
  const double by_work = options_.mean_factor * per_work_ * work;
  const Duration wait = FromSeconds(std::max(by_time, by_work));
  return std::min(std::max(wait, options_.floor) * factor, options_.ceiling);
}

}  // namespace pinford
