#include "pinford/forwarding/list_changes.h"

#include <algorithm>

namespace pinford {

void ListChanges::Record(const std::string& id) {
  const auto [it, first] = sequence_of_.try_emplace(id, 0);
  if (!first) ids_.erase(it->second);
  it->second = ++at_;
  ids_[at_] = id;
}

void ListChanges::Erase(const std::string& id) {
  const auto it = sequence_of_.find(id);
  if (it == sequence_of_.end()) return;
  last_erased_ = std::max(last_erased_, it->second);
  ids_.erase(it->second);
  sequence_of_.erase(it);
}

std::optional<std::vector<std::string>> ListChanges::Since(uint64_t at) const {
  if (at > at_ || at < last_erased_) return std::nullopt;
  std::vector<std::string> out;
  for (auto it = ids_.upper_bound(at); it != ids_.end(); ++it) {
    out.push_back(it->second);
  }
  return out;
}

}  // namespace pinford
