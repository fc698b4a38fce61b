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
  const size_t max_mirrors = options_.max_mirrors;
  RankedBoxes local = {{RendezvousWeight(self.name, kMirrorRole), &self}};
  std::map<std::string_view, RankedBoxes> remote;
  for (const auto& [name, m] : membership_->members()) {
    const bool eligible =
        membership_->IsLive(now, m) && !IsExcluded(now, m.row.address);
    if (!eligible) continue;
    const uint64_t weight = RendezvousWeight(name, kMirrorRole);
    if (m.row.hall == self.hall) {
      local.emplace_back(weight, &m.row);
      continue;
    }
    RankedBoxes& top = remote[m.row.hall];
    top.emplace_back(weight, &m.row);
    std::sort(top.begin(), top.end(), std::greater<>());
    if (top.size() > max_mirrors) top.pop_back();
  }
  RankLocal(std::move(local));
  RankSources(remote);
}

void SourceSelector::RankLocal(RankedBoxes boxes) {
  std::sort(boxes.begin(), boxes.end(), std::greater<>());
  local_.clear();
  for (size_t i = 0; i < boxes.size(); i++) {
    if (boxes[i].second == &membership_->self()) rank_ = static_cast<int>(i);
    local_.push_back(boxes[i].second->address);
  }
}

void SourceSelector::RankSources(
    const std::map<std::string_view, RankedBoxes>& remote) {
  const MemberRow& self = membership_->self();
  const size_t max_mirrors = options_.max_mirrors;
  sources_.clear();
  const auto add_once = [this](const std::string& address) {
    const auto end = sources_.end();
    if (std::find(sources_.begin(), end, address) == end)
      sources_.push_back(address);
  };
  for (int rank = rank_; rank > 0;) {
    rank = ParentOf(rank);
    add_once(local_[rank]);
  }
  for (size_t i = 0; i < std::min(max_mirrors, local_.size()); i++) {
    if (static_cast<int>(i) != rank_) add_once(local_[i]);
  }
  local_sources_ = sources_.size();
  const auto add = [this](const RankedBoxes& boxes, size_t begin, size_t end) {
    for (size_t i = begin; i < std::min(end, boxes.size()); i++) {
      sources_.push_back(boxes[i].second->address);
    }
  };
  // Boxes of one hall spread over the other halls, the primary of each before
  // any standby.
  std::vector<std::pair<uint64_t, const RankedBoxes*>> halls;
  halls.reserve(remote.size());
  for (const auto& [hall, boxes] : remote) {
    halls.emplace_back(RendezvousWeight(self.name, hall), &boxes);
  }
  std::sort(halls.begin(), halls.end());
  for (const auto& [weight, boxes] : halls) add(*boxes, 0, 1);
  for (const auto& [weight, boxes] : halls) add(*boxes, 1, max_mirrors);
}

int SourceSelector::DepthOf(int rank) const {
  int depth = 0;
  for (; rank > 0; rank = ParentOf(rank)) depth++;
  return depth;
}

int SourceSelector::depth(Time now, const std::string& source) {
  Refresh(now);
  const auto it = std::find(local_.begin(), local_.end(), source);
  if (it == local_.end()) return 0;
  const auto rank = static_cast<int>(it - local_.begin());
  return rank < options_.max_mirrors ? 0 : DepthOf(rank);
}

int SourceSelector::hops(Time now) {
  Refresh(now);
  return std::max(0, DepthOf(rank_) - 1);
}

bool SourceSelector::IsLocalSource(Time now, const std::string& address) {
  Refresh(now);
  const auto end = sources_.begin() + static_cast<ptrdiff_t>(local_sources_);
  return std::find(sources_.begin(), end, address) != end;
}

std::vector<std::string> SourceSelector::children(Time now) {
  Refresh(now);
  std::vector<std::string> out;
  const auto add_children_of = [this, &out](int rank) {
    const int boxes = static_cast<int>(local_.size());
    const int first = rank * options_.fanout + 1;
    for (int i = first; i < std::min(first + options_.fanout, boxes); i++) {
      if (i != rank_) out.push_back(local_[i]);
    }
  };
  add_children_of(rank_);
  if (rank_ > 0 && is_active_standby(now)) add_children_of(0);
  return out;
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
  const bool isolated = consecutive_timeouts_ >= options_.isolated_after;
  return isolated ? 1 : static_cast<int>(local_.size());
}

bool SourceSelector::IsPrimary(Time now, const std::string& address) {
  Refresh(now);
  return rank_ > 0 && local_.front() == address;
}

bool SourceSelector::primary_failing(Time now) {
  Refresh(now);
  return rank_ > 0 && HasFailed(now, local_.front());
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
