#include "pinford/forwarding/list_changes.h"

#include <algorithm>

namespace pinford {

void ListChanges::Note(const std::string& id) {
  const auto [it, first] = last_.try_emplace(id, 0);
  if (!first) ids_.erase(it->second);
  it->second = ++at_;
  ids_[at_] = id;
}

void ListChanges::Forget(const std::string& id) {
  const auto it = last_.find(id);
  if (it == last_.end()) return;
  forgotten_ = std::max(forgotten_, it->second);
  ids_.erase(it->second);
  last_.erase(it);
}

std::optional<std::vector<std::string>> ListChanges::Since(uint64_t at) const {
  if (at > at_ || at < forgotten_) return std::nullopt;
  std::vector<std::string> out;
  for (auto it = ids_.upper_bound(at); it != ids_.end(); ++it) {
    out.push_back(it->second);
  }
  return out;
}

}  // namespace pinford
