#include "pinford/member_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pinford {

void MemberWatch::AddSuspect(Time now, const std::string& name, bool drawn) {
  const auto member = membership_->members().find(name);
  if (member == membership_->members().end()) return;
  if (suspects_.size() >= options_.max_suspects) return;
  auto [it, added] = suspects_.try_emplace(name);
  if (!added) return;
  it->second.incarnation = member->second.row.incarnation;
  it->second.drawn = drawn;
  it->second.next_probe = now;
}

void MemberWatch::AddRandom(Time now) {
  const auto& members = membership_->members();
  if (members.empty()) return;
  const auto offset = static_cast<ptrdiff_t>(random_() % members.size());
  AddSuspect(now, std::next(members.begin(), offset)->first, true);
}

std::vector<MemberWatch::Target> MemberWatch::Due(Time now) {
  if (now >= next_random_) {
    // Jitter, because the boxes of a fleet start together.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    next_random_ =
        now + FromSeconds(ToSeconds(options_.interval) * jitter(random_));
    AddRandom(now);
  }
  std::vector<Target> due;
  size_t pending = 0;
  for (const auto& [name, suspect] : suspects_) pending += suspect.pending;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    auto& [name, suspect] = *it;
    const Membership::Member* member = FindUnchanged(name, suspect);
    if (member == nullptr && !suspect.pending) {
      it = suspects_.erase(it);
      continue;
    }
    ++it;
    if (suspect.pending || now < suspect.next_probe) continue;
    if (pending >= options_.max_pending) continue;
    pending++;
    suspect.pending = true;
    due.push_back({name, member->row.address, !suspect.drawn});
  }
  return due;
}

const Membership::Member* MemberWatch::FindUnchanged(
    const std::string& name, const Suspect& suspect) const {
  const auto it = membership_->members().find(name);
  if (it == membership_->members().end()) return nullptr;
  const Membership::Member& member = it->second;
  if (member.row.incarnation != suspect.incarnation) return nullptr;
  const bool contacted = member.last_contact > suspect.first_failure;
  return suspect.failures > 0 && contacted ? nullptr : &member;
}

void MemberWatch::OnProbe(Time now, const std::string& name, bool answered) {
  if (answered) drawn_failures_ = 0;
  const auto it = suspects_.find(name);
  if (it == suspects_.end()) return;
  Suspect& suspect = it->second;
  suspect.pending = false;
  const Membership::Member* member = FindUnchanged(name, suspect);
  if (answered || member == nullptr) {
    suspects_.erase(it);
    return;
  }
  if (suspect.failures == 0) {
    suspect.first_failure = now;
    if (suspect.drawn) drawn_failures_++;
  }
  suspect.failures++;
  suspect.next_probe = now + options_.retry_delay;
  const bool isolated = drawn_failures_ >= options_.isolated_after;
  if (isolated || suspect.failures < options_.failures_until_lost) return;
  lost_.push_back(name);
  recently_lost_[name] = now;
  suspects_.erase(it);
}

void MemberWatch::OnNotice(Time now, const std::vector<std::string>& names) {
  for (const std::string& name : names) AddSuspect(now, name, false);
}

std::vector<std::string> MemberWatch::TakeLost() {
  return std::exchange(lost_, {});
}

std::vector<std::string> MemberWatch::DueReminder(Time now) {
  if (now < next_reminder_) return {};
  next_reminder_ = now + options_.reminder_interval;
  std::erase_if(recently_lost_, [this, now](const auto& lost) {
    return now - lost.second > options_.reminder_period ||
           membership_->members().contains(lost.first);
  });
  std::vector<std::string> names;
  for (const auto& [name, time] : recently_lost_) names.push_back(name);
  std::shuffle(names.begin(), names.end(), random_);
  if (names.size() > options_.max_reminded) names.resize(options_.max_reminded);
  return names;
}

}  // namespace pinford
