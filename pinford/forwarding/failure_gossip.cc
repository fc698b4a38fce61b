#include "pinford/forwarding/failure_gossip.h"

#include <utility>

namespace pinford {

// Erases old entries first, so that `times` holds those of one interval only.
bool FailureGossip::MarkIfNew(Time now, const std::string& endpoint,
                              Times* times) const {
  std::erase_if(*times, [this, now](const auto& entry) {
    return now - entry.second >= options_.repeat_interval;
  });
  return times->emplace(endpoint, now).second;
}

bool FailureGossip::OnDown(Time now, const std::string& endpoint) {
  if (pending_.size() >= options_.max_endpoints) return false;
  if (!MarkIfNew(now, endpoint, &announced_)) return false;
  pending_.push_back(endpoint);
  return pending_.size() == 1;
}

std::vector<std::string> FailureGossip::Take() {
  return std::exchange(pending_, {});
}

std::vector<std::string> FailureGossip::OnNotice(
    Time now, const std::vector<std::string>& endpoints) {
  std::vector<std::string> out;
  for (const std::string& endpoint : endpoints) {
    if (out.size() >= options_.max_endpoints) break;
    if (MarkIfNew(now, endpoint, &received_)) out.push_back(endpoint);
  }
  return out;
}

}  // namespace pinford
