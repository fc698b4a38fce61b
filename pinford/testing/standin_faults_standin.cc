#include "pinford/testing/standin_faults.h"
#include "util/json.h"

namespace pinford {

void StandinFaults::Set(const std::string& json) {
  const Json v = ParseJson(json);
  frozen_ = JsonField(v, "frozen", frozen_);
  leaving_ = JsonField(v, "leaving", leaving_);
  full_ = JsonField(v, "full", full_);
  delay_ = milliseconds(JsonField<int64_t>(v, "delay_ms", ToMillis(delay_)));
  replies_to_lose_ = JsonField(v, "lose_replies", replies_to_lose_);
}

bool StandinFaults::HoldIfFrozen(const ExchangePtr& exchange) {
  if (frozen_) held_.push_back(exchange);
  return frozen_;
}

std::vector<ExchangePtr> StandinFaults::ReleaseHeld() {
  std::vector<ExchangePtr> held;
  if (!frozen_) held.swap(held_);
  return held;
}

bool StandinFaults::ShouldLoseReply() {
  if (replies_to_lose_ == 0) return false;
  replies_to_lose_--;
  return true;
}

}  // namespace pinford
