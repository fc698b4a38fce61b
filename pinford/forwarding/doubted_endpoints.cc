#include "pinford/forwarding/doubted_endpoints.h"

#include <utility>

namespace pinford {

bool DoubtedEndpoints::IsDead(const std::string& endpoint) const {
  const auto it = doubts_.find(endpoint);
  return it != doubts_.end() && it->second.silences >= options_.dead_after;
}

void DoubtedEndpoints::Tick(
    Time now, const std::function<bool(const std::string& endpoint)>& listed) {
  now_ = now;
  std::erase_if(doubts_,
                [&](const auto& doubt) { return !listed(doubt.first); });
  std::vector<std::string> due;
  for (auto& [name, doubt] : doubts_) {
    if (doubt.asking || now < doubt.next) continue;
    doubt.asking = true;
    due.push_back(name);
  }
  for (const std::string& name : due) {
    events_.ask(name, [this, name](bool works, double pace) {
      OnAnswer(name, works, pace);
    });
  }
}

void DoubtedEndpoints::OnAnswer(const std::string& endpoint, bool works,
                                double pace) {
  const auto it = doubts_.find(endpoint);
  if (it == doubts_.end()) return;
  Doubt& doubt = it->second;
  const bool was_dead = doubt.silences >= options_.dead_after;
  if (works) {
    doubts_.erase(it);
    if (was_dead) events_.changed(endpoint, true, pace);
    return;
  }
  doubt.asking = false;
  doubt.silences++;
  if (doubt.silences < options_.dead_after) return;
  doubt.next = now_ + options_.ask_dead;
  if (!was_dead) events_.changed(endpoint, false, 1);
}

std::vector<std::string> DoubtedEndpoints::Clear() {
  std::vector<std::string> dead;
  for (const auto& [name, doubt] : std::exchange(doubts_, {})) {
    if (doubt.silences >= options_.dead_after) dead.push_back(name);
  }
  return dead;
}

}  // namespace pinford
