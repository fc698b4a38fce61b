// One budget for all retries of a box, so that a fault never multiplies the
// load on the remaining endpoints.
//
// Each success earns a fraction of a retry and each retry spends one. A small
// constant income allows single failures to be retried even without any load.
// While everything fails, the box retries no faster than that income.

#ifndef PINFORD_RETRY_BUDGET_H_
#define PINFORD_RETRY_BUDGET_H_

#include <cstdint>

#include "util/clock.h"

namespace pinford {

class RetryBudget {
 public:
  struct Options {
    double per_success = 0.1;  // retries earned by each success
    double per_second = 20;    // retries earned each second
    double max_retries = 400;  // maximum and initial balance
  };

  RetryBudget() : RetryBudget(Options()) {}
  explicit RetryBudget(const Options& options)
      : options_(options), available_(options.max_retries) {}

  void OnSuccess();
  // Spends one retry. Returns false if there is none.
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
