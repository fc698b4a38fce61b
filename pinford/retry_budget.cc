#include "pinford/retry_budget.h"

#include <algorithm>

namespace pinford {

void RetryBudget::OnSuccess() {
  available_ =
      std::min(options_.max_retries, available_ + options_.per_success);
}

bool RetryBudget::Take(Time now) {
  const double elapsed = ToSeconds(now - last_refill_);
  last_refill_ = now;
  available_ = std::min(options_.max_retries,
                        available_ + elapsed * options_.per_second);
  if (available_ < 1) {
    refused_++;
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace pinford
