#include "pinford/forwarding/survival_table.h"

#include <algorithm>

namespace pinford {

void SurvivalTable::Record(Time at, const std::string& fingerprint) {
  const auto known = index_.find(fingerprint);
  if (known != index_.end()) {
    known->second->last = std::max(known->second->last, at);
    entries_.splice(entries_.begin(), entries_, known->second);
    return;
  }
  entries_.push_front({fingerprint, at});
  index_[fingerprint] = entries_.begin();
  if (index_.size() <= capacity_) return;
  index_.erase(entries_.back().fingerprint);
  entries_.pop_back();
}

Time SurvivalTable::LastOf(const std::string& fingerprint) const {
  const auto known = index_.find(fingerprint);
  return known == index_.end() ? Time::min() : known->second->last;
}

}  // namespace pinford
