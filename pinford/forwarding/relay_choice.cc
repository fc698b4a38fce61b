#include "pinford/forwarding/relay_choice.h"

#include <algorithm>
#include <utility>

namespace pinford {

bool RelayChoice::IsKept(Time now, const Peer& peer) const {
  if (now < peer.held_until || peer.last_opened == Time{}) return false;
  return peer.connections > 0 || now - peer.last_opened < options_.forget_after;
}

bool RelayChoice::IsHeld(Time now, const std::string& peer) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && now < it->second.held_until;
}

bool RelayChoice::IsHeldLong(Time now, const std::string& peer) const {
  return IsHeld(now, peer) &&
         now - peers_.at(peer).held_since >= options_.min_hold;
}

size_t RelayChoice::kept(Time now) const {
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return IsKept(now, entry.second);
  });
}

std::optional<std::string> RelayChoice::Pick(
    Time now, const std::vector<std::string>& random) {
  const std::string* least = nullptr;
  std::pair<bool, int> cost;  // avoided, connections
  size_t kept = 0;
  for (const auto& [address, peer] : peers_) {
    if (!IsKept(now, peer)) continue;
    kept++;
    const std::pair other(now < peer.avoided_until, peer.connections);
    if (least != nullptr && other >= cost) continue;
    least = &address;
    cost = other;
  }
  const auto fresh =
      std::find_if(random.begin(), random.end(), [&](const std::string& peer) {
        const auto it = peers_.find(peer);
        return !IsHeld(now, peer) &&
               (it == peers_.end() || !IsKept(now, it->second));
      });
  const bool all_avoided = cost.first;
  const bool explore = all_avoided || (kept < options_.max_kept &&
                                       cost.second > 0 && now >= next_explore_);
  if (fresh != random.end() && (explore || least == nullptr)) return *fresh;
  if (least != nullptr) return *least;
  const auto held = std::find_if(
      random.begin(), random.end(),
      [&](const std::string& peer) { return IsHeldLong(now, peer); });
  return held != random.end() ? std::optional(*held) : std::nullopt;
}

std::vector<std::string> RelayChoice::PickSome(
    Time now, size_t count, const std::vector<std::string>& random) {
  std::vector<std::string> out;
  const auto add = [&](const std::string& peer) {
    const bool known = std::find(out.begin(), out.end(), peer) != out.end();
    if (out.size() < count && !known && !IsHeld(now, peer)) out.push_back(peer);
  };
  for (const auto& [address, peer] : peers_) {
    if (IsKept(now, peer) && out.empty()) add(address);
  }
  for (const std::string& peer : random) add(peer);
  return out;
}

void RelayChoice::OnOpened(Time now, const std::string& peer) {
  Peer& p = peers_[peer];
  p.last_opened = now;
  p.held_until = Time{};
  p.hold = Duration(0);
  p.connections++;
}

void RelayChoice::OnClosed(const std::string& peer) {
  const auto it = peers_.find(peer);
  if (it != peers_.end() && it->second.connections > 0)
    it->second.connections--;
}

void RelayChoice::OnSilent(Time now, const std::string& peer) {
  peers_[peer].avoided_until = now + options_.hold;
}

void RelayChoice::OnBusy(Time now, const std::string& peer) {
  Peer& p = peers_[peer];
  p.held_since = now;
  p.held_until = now + options_.busy_hold;
}

void RelayChoice::OnFailed(Time now, const std::string& peer) {
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& p = entry.second;
    return p.connections == 0 && now >= p.held_until + options_.max_hold &&
           !IsKept(now, p);
  });
  next_explore_ = now + options_.explore_interval;
  Peer& p = peers_[peer];
  p.hold = p.hold == Duration(0) ? options_.hold
                                 : std::min(2 * p.hold, options_.max_hold);
  p.held_since = now;
  p.held_until = now + p.hold;
}

}  // namespace pinford
