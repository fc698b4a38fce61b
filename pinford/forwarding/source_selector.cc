#include "pinford/forwarding/source_selector.h"

#include <algorithm>

#include "util/hash.h"

namespace pinford {

bool SourceSelector::IsExcluded(Time now, const std::string& address) const {
  const auto it = states_.find(address);
  return it != states_.end() && now < it->second.excluded_until;
}

bool SourceSelector::HasFailed(Time now, const std::string& address) const {
  const auto it = states_.find(address);
  return it != states_.end() && it->second.failed_at != Time::min() &&
         now - it->second.failed_at < options_.failing_period;
}

void SourceSelector::Refresh(Time now) {
  if (refreshed_at_ != Time::min() && now - refreshed_at_ < options_.refresh)
    return;
  refreshed_at_ = now;
  const MemberRow& self = membership_->self();
  const uint64_t own_weight = RendezvousWeight(self.name, kMirrorRole);
  const size_t max_mirrors = options_.max_mirrors;
  std::map<std::string_view, RankedBoxes> halls;
  hall_boxes_ = 1;
  rank_ = 0;
  for (const auto& [name, m] : membership_->members()) {
    const bool eligible = m.row.state == MemberState::kLive &&
                          !membership_->Suspected(now, m) &&
                          !IsExcluded(now, m.row.address);
    if (!eligible) continue;
    const uint64_t weight = RendezvousWeight(name, kMirrorRole);
    if (m.row.hall == self.hall) {
      hall_boxes_++;
      rank_ += weight > own_weight;
    }
    RankedBoxes& top = halls[m.row.hall];
    top.emplace_back(weight, &m.row);
    std::sort(top.begin(), top.end(), std::greater<>());
    if (top.size() > max_mirrors) top.pop_back();
  }
  RankSources(halls);
}

void SourceSelector::RankSources(
    const std::map<std::string_view, RankedBoxes>& halls) {
  const MemberRow& self = membership_->self();
  const size_t max_mirrors = options_.max_mirrors;
  sources_.clear();
  const auto add = [this](const RankedBoxes& boxes, size_t begin, size_t end) {
    for (size_t i = begin; i < std::min(end, boxes.size()); i++) {
      sources_.push_back(boxes[i].second->address);
    }
  };
  const auto local = halls.find(self.hall);
  if (local != halls.end()) add(local->second, 0, max_mirrors);
  // Boxes of one hall spread over the other halls, the primary of each before
  // any standby.
  std::vector<std::pair<uint64_t, const RankedBoxes*>> remote;
  for (const auto& [hall, boxes] : halls) {
    if (hall == self.hall) continue;
    remote.emplace_back(RendezvousWeight(self.name, hall), &boxes);
  }
  std::sort(remote.begin(), remote.end());
  for (const auto& [weight, boxes] : remote) add(*boxes, 0, 1);
  for (const auto& [weight, boxes] : remote) add(*boxes, 1, max_mirrors);
}

int SourceSelector::rank(Time now) {
  Refresh(now);
  return rank_;
}

bool SourceSelector::is_active_standby(Time now) {
  return primary_failing(now) && rank_ < options_.max_mirrors;
}

int SourceSelector::hall_boxes(Time now) {
  Refresh(now);
  return consecutive_timeouts_ >= options_.isolated_after ? 1 : hall_boxes_;
}

bool SourceSelector::primary_failing(Time now) {
  Refresh(now);
  return rank_ > 0 && HasFailed(now, sources_.front());
}

std::string SourceSelector::Next(Time now) {
  Refresh(now);
  if (sources_.empty()) return "";
  const std::string& first = sources_.front();
  if (!HasFailed(now, first) || sources_.size() == 1) return first;
  turn_++;
  if (turn_ % 2 == 0) return first;
  for (const std::string& source : sources_) {
    if (!HasFailed(now, source)) return source;
  }
  // All are failing, so take turns.
  return sources_[1 + turn_ / 2 % (sources_.size() - 1)];
}

bool SourceSelector::OnAnswer(Time now, const std::string& address,
                              SourceAnswer answer) {
  consecutive_timeouts_ =
      answer == SourceAnswer::kNoAnswer ? consecutive_timeouts_ + 1 : 0;
  if (answer == SourceAnswer::kOk) {
    states_.erase(address);
    return false;
  }
  State& s = states_[address];
  const bool newly_failing = !HasFailed(now, address);
  s.failed_at = now;
  if (answer == SourceAnswer::kFailing) {
    s.timeouts = 0;
    return newly_failing;
  }
  constexpr int kExcludeAfterTimeouts = 2;
  constexpr int kMaxDoublings = 10;
  s.timeouts++;
  if (s.timeouts < kExcludeAfterTimeouts) return newly_failing;
  const int doublings =
      std::min(s.timeouts - kExcludeAfterTimeouts, kMaxDoublings);
  s.excluded_until = now + std::min(options_.exclusion_time * (1 << doublings),
                                    options_.max_exclusion_time);
  refreshed_at_ = Time::min();
  return newly_failing;
}

}  // namespace pinford
