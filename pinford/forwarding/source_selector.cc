#include "pinford/forwarding/source_selector.h"

#include <algorithm>

#include "util/hash.h"

namespace pinford {

bool SourceSelector::LeftOut(Time now, const std::string& address) const {
  const auto it = states_.find(address);
  return it != states_.end() && now < it->second.left_out_until;
}

bool SourceSelector::Failed(Time now, const std::string& address) const {
  const auto it = states_.find(address);
  return it != states_.end() && it->second.failed != Time::min() &&
         now - it->second.failed < options_.fails_for;
}

void SourceSelector::Refresh(Time now) {
  if (refreshed_ != Time::min() && now - refreshed_ < options_.refresh) return;
  refreshed_ = now;
  const MemberRow& self = membership_->self();
  const uint64_t own = RendezvousWeight(self.name, kMirrorDuty);
  const size_t mirrors = options_.mirrors;
  std::map<std::string_view, RankedBoxes> halls;
  hall_boxes_ = 1;
  rank_ = 0;
  for (const auto& [name, m] : membership_->members()) {
    const bool able = m.row.state == MemberState::kLive &&
                      !membership_->Suspected(now, m) &&
                      !LeftOut(now, m.row.address);
    if (!able) continue;
    const uint64_t weight = RendezvousWeight(name, kMirrorDuty);
    if (m.row.hall == self.hall) {
      hall_boxes_++;
      rank_ += weight > own;
    }
    RankedBoxes& top = halls[m.row.hall];
    top.emplace_back(weight, &m.row);
    std::sort(top.begin(), top.end(), std::greater<>());
    if (top.size() > mirrors) top.pop_back();
  }
  Order(halls);
}

void SourceSelector::Order(
    const std::map<std::string_view, RankedBoxes>& halls) {
  const MemberRow& self = membership_->self();
  const size_t mirrors = options_.mirrors;
  sources_.clear();
  const auto add = [this](const RankedBoxes& boxes, size_t begin, size_t end) {
    for (size_t i = begin; i < std::min(end, boxes.size()); i++) {
      sources_.push_back(boxes[i].second->address);
    }
  };
  const auto near = halls.find(self.hall);
  if (near != halls.end()) add(near->second, 0, mirrors);
  // Boxes of one hall spread over the others, the first of each before any
  // stand-in.
  std::vector<std::pair<uint64_t, const RankedBoxes*>> far;
  for (const auto& [hall, boxes] : halls) {
    if (hall == self.hall) continue;
    far.emplace_back(RendezvousWeight(self.name, hall), &boxes);
  }
  std::sort(far.begin(), far.end());
  for (const auto& [weight, boxes] : far) add(*boxes, 0, 1);
  for (const auto& [weight, boxes] : far) add(*boxes, 1, mirrors);
}

int SourceSelector::rank(Time now) {
  Refresh(now);
  return rank_;
}

bool SourceSelector::stands_in(Time now) {
  return first_fails(now) && rank_ < options_.mirrors;
}

int SourceSelector::hall_boxes(Time now) {
  Refresh(now);
  return unanswered_ >= options_.alone_after ? 1 : hall_boxes_;
}

bool SourceSelector::first_fails(Time now) {
  Refresh(now);
  return rank_ > 0 && Failed(now, sources_.front());
}

std::string SourceSelector::Next(Time now) {
  Refresh(now);
  if (sources_.empty()) return "";
  const std::string& first = sources_.front();
  if (!Failed(now, first) || sources_.size() == 1) return first;
  turn_++;
  if (turn_ % 2 == 0) return first;
  for (const std::string& source : sources_) {
    if (!Failed(now, source)) return source;
  }
  // All fail: one after the other.
  return sources_[1 + turn_ / 2 % (sources_.size() - 1)];
}

bool SourceSelector::OnAnswer(Time now, const std::string& address,
                              SourceAnswer answer) {
  unanswered_ = answer == SourceAnswer::kSilent ? unanswered_ + 1 : 0;
  if (answer == SourceAnswer::kWell) {
    states_.erase(address);
    return false;
  }
  State& s = states_[address];
  const bool news = !Failed(now, address);
  s.failed = now;
  if (answer == SourceAnswer::kFails) {
    s.silences = 0;
    return news;
  }
  constexpr int kLeaveOutAfter = 2;
  constexpr int kMostDoublings = 10;
  s.silences++;
  if (s.silences < kLeaveOutAfter) return news;
  const int doublings = std::min(s.silences - kLeaveOutAfter, kMostDoublings);
  s.left_out_until = now + std::min(options_.silent_for * (1 << doublings),
                                    options_.most_silent);
  refreshed_ = Time::min();
  return news;
}

}  // namespace pinford
