#include "pinford/forwarding/missing_entries.h"

#include <algorithm>
#include <utility>

namespace pinford {

bool MissingEntries::Add(const std::string& id, Time until, bool restored) {
  const auto [it, first] = entries_.emplace(id, Entry{until, restored});
  it->second.until = std::min(it->second.until, until);
  changed_ = changed_ || first;
  return first;
}

bool MissingEntries::Erase(const std::string& id) {
  const bool erased = entries_.erase(id) > 0;
  changed_ = changed_ || erased;
  return erased;
}

bool MissingEntries::Report(const std::string& id, uint64_t list_version) {
  if (entries_.contains(id)) return false;
  const auto [it, first] = reports_.emplace(id, list_version);
  it->second = std::max(it->second, list_version);
  changed_ = changed_ || first;
  return first;
}

void MissingEntries::EraseReport(const std::string& id) {
  if (reports_.erase(id) > 0) changed_ = true;
}

std::vector<std::string> MissingEntries::TakeReports(uint64_t list_version) {
  std::vector<std::string> ids;
  for (const auto& [id, version] : reports_) {
    if (version <= list_version) ids.push_back(id);
  }
  for (const std::string& id : ids) EraseReport(id);
  return ids;
}

std::optional<Time> MissingEntries::RemovalTime(const std::string& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  return it->second.until;
}

std::vector<std::string> MissingEntries::Expired(Time now) const {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : entries_) {
    if (now >= entry.until) expired.push_back(id);
  }
  return expired;
}

bool MissingEntries::Recount(
    const std::map<std::string, DirectoryEntry>& listed) {
  if (!std::exchange(changed_, false)) return false;
  struct Count {
    size_t listed = 0;
    size_t missing = 0;
  };
  std::map<std::string, Count> counts;  // by service
  if (!entries_.empty() || !reports_.empty()) {
    for (const auto& [id, entry] : listed) {
      // A leaving endpoint gets no new work, whether its entry is there or not.
      if (entry.listed.state == ListedState::kLeaving) continue;
      Count& count = counts[entry.listed.service];
      count.listed++;
      if (entries_.contains(id) || reports_.contains(id)) count.missing++;
    }
  }
  std::set<std::string> mostly_missing;
  for (const auto& [service, count] : counts) {
    if (2 * count.missing > count.listed) mostly_missing.insert(service);
  }
  return std::exchange(mostly_missing_, mostly_missing) != mostly_missing;
}

}  // namespace pinford
