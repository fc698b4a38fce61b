#include "pinford/retry_budget.h"

#include <algorithm>

namespace pinford {

void RetryBudget::OnSuccess() {
  held_ = std::min(options_.max_retries, held_ + options_.per_success);
}

bool RetryBudget::Take(Time now) {
  const double elapsed = ToSeconds(now - last_);
  last_ = now;
  held_ = std::min(options_.max_retries, held_ + elapsed * options_.per_second);
  if (held_ < 1) {
    refused_++;
    return false;
  }
  held_ -= 1;
  return true;
}

}  // namespace pinford
