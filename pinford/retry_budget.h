// One budget for all retries of a box, so that a fault never multiplies the
// load on what is left.
//
// Each success earns a share of a retry, each retry spends one; a small
// steady income lets single failures be repaired at no load at all. While
// everything fails the box retries no faster than that income.

#ifndef PINFORD_RETRY_BUDGET_H_
#define PINFORD_RETRY_BUDGET_H_

#include <cstdint>

#include "util/clock.h"

namespace pinford {

class RetryBudget {
 public:
  struct Options {
    double per_success = 0.1;  // earned by each success
    double per_second = 20;    // earned by time
    double most = 400;         // kept at most; also the start
  };

  RetryBudget() : RetryBudget(Options()) {}
  explicit RetryBudget(const Options& options)
      : options_(options), available_(options.most) {}

  void OnSuccess();
  // Takes one retry if there is one.
  bool Take(Time now);

  int64_t refused() const { return refused_; }

 private:
  Options options_;
  double available_;
  Time last_refill_{};
  int64_t refused_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_RETRY_BUDGET_H_
