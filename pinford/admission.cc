// Tags. A flow that becomes busy starts at max(virtual time, its last finish
// tag); serving an item moves the virtual time to the item's start tag and
// the flow's finish tag on by cost / weight. The same holds for each tier
// among the tiers. The busy flow with the least start tag goes next.

#include "pinford/admission.h"

#include <algorithm>
#include <cassert>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<AdmissionVerdict> kVerdictTexts[] = {
    {AdmissionVerdict::kQueued, "queued"},
    {AdmissionVerdict::kFull, "the queue is full"},
    {AdmissionVerdict::kTooLate, "it would not start before its deadline"},
};

std::string_view AdmissionVerdictText(AdmissionVerdict v) {
  return NameIn(kVerdictTexts, v);
}

static constexpr Duration kWindow = seconds(2);

AdmissionVerdict Admission::Offer(Time now, const AdmissionItem& item) {
  if (waiting_ >= options_.max_waiting) return AdmissionVerdict::kFull;
  Level& level = levels_[static_cast<int>(item.tier)];
  auto it = level.flows.find(item.share);
  const size_t own = it == level.flows.end() ? 0 : it->second.items.size();
  const double most =
      options_.max_share_waiting * static_cast<double>(options_.max_waiting);
  if (static_cast<double>(own) >= most) return AdmissionVerdict::kFull;
  if (now + PredictedWait(now, item.tier) > item.deadline) {
    return AdmissionVerdict::kTooLate;
  }
  if (level.empty()) level.start = std::max(virtual_time_, level.finish);
  Flow& flow = level.flows[item.share];
  if (flow.items.empty()) {
    flow.start = std::max(level.virtual_time, flow.finish);
  }
  auto at = flow.items.end();
  if (item.tier == Tier::kBackground) {
    at = std::upper_bound(flow.items.begin(), flow.items.end(), item,
                          [](const AdmissionItem& a, const AdmissionItem& b) {
                            return a.deadline < b.deadline;
                          });
  }
  flow.items.insert(at, item);
  level.cost += item.cost;
  waiting_++;
  return AdmissionVerdict::kQueued;
}

int Admission::NextTier() const {
  int best = -1;
  for (int t = 0; t < kTierCount; t++) {
    if (levels_[t].empty()) continue;
    if (best < 0 || levels_[t].start < levels_[best].start) best = t;
  }
  return best;
}

void Admission::Forget(Level* level, const AdmissionItem& item) {
  level->cost -= item.cost;
  waiting_--;
  size_t left = 0;
  for (const auto& [share, flow] : level->flows) left += flow.items.size();
  // Sums of doubles drift; an empty level is empty.
  if (left == 0) level->cost = 0;
}

AdmissionItem Admission::Serve(int tier) {
  Level& level = levels_[tier];
  auto next = level.flows.end();
  for (auto it = level.flows.begin(); it != level.flows.end(); ++it) {
    if (it->second.items.empty()) continue;
    if (next == level.flows.end() || it->second.start < next->second.start) {
      next = it;
    }
  }
  assert(next != level.flows.end());
  Flow& flow = next->second;
  AdmissionItem item = flow.items.front();
  flow.items.pop_front();

  level.virtual_time = flow.start;
  flow.finish = flow.start + item.cost / item.weight;
  flow.start = flow.finish;
  virtual_time_ = level.start;
  level.finish = level.start + item.cost / options_.tier_weight[tier];
  level.start = level.finish;

  Forget(&level, item);
  // An idle flow whose finish tag has passed holds nothing worth keeping.
  std::erase_if(level.flows, [&level](const auto& entry) {
    return entry.second.items.empty() &&
           entry.second.finish <= level.virtual_time;
  });
  return item;
}

std::vector<AdmissionItem> Admission::Take(int slots) {
  std::vector<AdmissionItem> taken;
  while (slots-- > 0) {
    const int tier = NextTier();
    if (tier < 0) break;
    taken.push_back(Serve(tier));
  }
  return taken;
}

std::vector<AdmissionItem> Admission::Expire(Time now) {
  std::vector<AdmissionItem> expired;
  for (Level& level : levels_) {
    for (auto& [share, flow] : level.flows) {
      for (const AdmissionItem& item : flow.items) {
        if (item.deadline <= now) expired.push_back(item);
      }
    }
  }
  for (const AdmissionItem& item : expired) Cancel(item.id);
  return expired;
}

void Admission::Cancel(uint64_t id) {
  for (Level& level : levels_) {
    for (auto& [share, flow] : level.flows) {
      auto it = std::find_if(
          flow.items.begin(), flow.items.end(),
          [id](const AdmissionItem& item) { return item.id == id; });
      if (it == flow.items.end()) continue;
      const AdmissionItem item = *it;
      flow.items.erase(it);
      Forget(&level, item);
      return;
    }
  }
}

void Admission::OnFinished(Time now, double cost) {
  if (!measured_) {
    measured_ = true;
    window_begin_ = now;
  }
  if (now - window_begin_ >= kWindow) {
    const bool adjacent = now - window_begin_ < 2 * kWindow;
    last_window_cost_ = adjacent ? window_cost_ : 0;
    window_cost_ = 0;
    window_begin_ = now;
  }
  window_cost_ += cost;
}

double Admission::drain_rate(Time now) const {
  if (!measured_) return 0;
  const Duration in_window = now - window_begin_;
  if (in_window >= 4 * kWindow) return 0;
  const Duration span = last_window_cost_ > 0 ? kWindow + in_window
                                              : std::max(in_window, kWindow);
  return (last_window_cost_ + window_cost_) / ToSeconds(span);
}

double Admission::waiting_cost() const {
  double cost = 0;
  for (const Level& level : levels_) cost += level.cost;
  return cost;
}

// Work of the same or an upper tier goes before; of a lower tier next to
// none does. Unknown rates predict no wait: the deadline still holds later.
Duration Admission::PredictedWait(Time now, Tier tier) const {
  const double rate = drain_rate(now);
  if (rate <= 0) return Duration(0);
  double ahead = 0;
  for (int t = 0; t <= static_cast<int>(tier); t++) ahead += levels_[t].cost;
  return FromSeconds(ahead / rate);
}

Duration Admission::RetryAfter(Time now) const {
  constexpr Duration kLeast = seconds(1);
  constexpr Duration kMost = seconds(60);
  const double rate = drain_rate(now);
  if (rate <= 0) return kLeast;
  return std::clamp(FromSeconds(waiting_cost() / rate), kLeast, kMost);
}

}  // namespace pinford
