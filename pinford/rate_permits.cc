#include "pinford/rate_permits.h"

#include <algorithm>

namespace pinford {

bool RatePermits::HasPermit(Time now, const Supply& supply) {
  return !supply.permits.empty() && supply.permits.back() > now;
}

void RatePermits::DropExpired(Time now, Supply* supply) {
  while (!supply->permits.empty() && supply->permits.front() <= now) {
    supply->permits.pop_front();
    unused_++;
  }
  const Time demand_start = now - options_.demand_window;
  while (!supply->demand.empty() && supply->demand.front() <= demand_start)
    supply->demand.pop_front();
}

std::vector<size_t> RatePermits::SuppliesFor(PermitClass c) {
  if (c == PermitClass::kOrdinary) return {IndexOf(PermitClass::kOrdinary)};
  return {IndexOf(PermitClass::kPriority), IndexOf(PermitClass::kOrdinary)};
}

bool RatePermits::MayBegin(Time now, const std::string& endpoint,
                           PermitClass c) const {
  if (limits_.Find(endpoint) == nullptr) return true;
  const auto it = supplies_.find(endpoint);
  if (it == supplies_.end()) return false;
  const Supplies& supplies = it->second;
  const auto has = [&](PermitClass other) {
    return HasPermit(now, supplies[IndexOf(other)]);
  };
  return has(PermitClass::kOrdinary) || (c != PermitClass::kOrdinary && has(c));
}

std::optional<Time> RatePermits::Take(Time now, const std::string& endpoint,
                                      PermitClass c) {
  if (limits_.Find(endpoint) == nullptr) return Time::max();
  const auto it = supplies_.find(endpoint);
  if (it == supplies_.end()) return std::nullopt;
  for (const size_t i : SuppliesFor(c)) {
    Supply& supply = it->second[i];
    DropExpired(now, &supply);
    if (supply.permits.empty()) continue;
    const Time expires = supply.permits.front();
    supply.permits.pop_front();
    return expires;
  }
  return std::nullopt;
}

void RatePermits::Return(Time now, const std::string& endpoint, PermitClass c,
                         Time expires) {
  const bool usable = expires > now && limits_.Find(endpoint) != nullptr;
  if (!usable || expires == Time::max()) return;
  std::deque<Time>& permits = supplies_[endpoint][IndexOf(c)].permits;
  permits.insert(std::upper_bound(permits.begin(), permits.end(), expires),
                 expires);
}

void RatePermits::Want(Time now, const std::string& endpoint, PermitClass c,
                       bool repeated) {
  Supply& supply = supplies_[endpoint][IndexOf(c)];
  DropExpired(now, &supply);
  if (!repeated) supply.demand.push_back(now);
  supply.wanted = now;
  if (!supply.asking && now >= supply.not_before) on_wanted_();
}

Duration RatePermits::WaitFor(Time now, const std::string& endpoint,
                              PermitClass c) const {
  if (MayBegin(now, endpoint, c)) return Duration(0);
  const auto it = supplies_.find(endpoint);
  if (it == supplies_.end()) return Duration(0);
  const Supply& supply = it->second[IndexOf(c)];
  if (supply.asking) return Duration(0);
  return std::max(Duration(0), supply.not_before - now);
}

std::vector<RatePermits::Need> RatePermits::TakeNeeds(Time now) {
  std::vector<Need> needs;
  for (auto& [endpoint, supplies] : supplies_) {
    if (limits_.Find(endpoint) == nullptr) continue;
    for (const PermitClass c :
         {PermitClass::kPriority, PermitClass::kOrdinary}) {
      Supply& supply = supplies[IndexOf(c)];
      const bool wanted = supply.wanted != Time::min() &&
                          now - supply.wanted <= options_.max_want_age;
      if (!wanted || supply.asking || now < supply.not_before) continue;
      DropExpired(now, &supply);
      supply.asking = true;
      const double per_second = static_cast<double>(supply.demand.size()) /
                                ToSeconds(options_.demand_window);
      const int count =
          std::clamp(static_cast<int>(per_second * options_.supply_seconds), 1,
                     options_.max_per_ask);
      needs.push_back({endpoint, c, count});
    }
  }
  return needs;
}

void RatePermits::OnIssued(Time now, const std::string& endpoint, PermitClass c,
                           Time asked, int count, Duration wait) {
  const auto it = supplies_.find(endpoint);
  if (it == supplies_.end()) return;
  Supply& supply = it->second[IndexOf(c)];
  supply.asking = false;
  supply.wanted = Time::min();
  supply.not_before = now + wait;
  const Time expires = asked + options_.validity;
  if (expires <= now) {
    unused_ += count;
    return;
  }
  for (int i = 0; i < count; i++) supply.permits.push_back(expires);
}

void RatePermits::OnUnanswered(const std::string& endpoint, PermitClass c) {
  const auto it = supplies_.find(endpoint);
  if (it != supplies_.end()) it->second[IndexOf(c)].asking = false;
}

void RatePermits::Prune(Time now) {
  limits_.Expire(now);
  std::erase_if(supplies_, [this](const auto& entry) {
    return limits_.Find(entry.first) == nullptr;
  });
}

void RatePermits::Forget(const std::string& endpoint) {
  limits_.Forget(endpoint);
  supplies_.erase(endpoint);
}

}  // namespace pinford
