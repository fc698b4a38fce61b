#include "pinford/forwarding/failure_gossip.h"

#include <utility>

namespace pinford {

// Entries that are too old to matter go, so that no more than those of one span
// are kept.
bool FailureGossip::IsNews(Time now, const std::string& endpoint,
                           Times* times) const {
  std::erase_if(*times, [this, now](const auto& entry) {
    return now - entry.second >= options_.again;
  });
  return times->emplace(endpoint, now).second;
}

bool FailureGossip::OnDown(Time now, const std::string& endpoint) {
  if (pending_.size() >= options_.most_told) return false;
  if (!IsNews(now, endpoint, &told_)) return false;
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
    if (out.size() >= options_.most_told) break;
    if (IsNews(now, endpoint, &heard_)) out.push_back(endpoint);
  }
  return out;
}

}  // namespace pinford
