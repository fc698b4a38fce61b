#include "pinford/forwarding/crash_evidence.h"

#include <algorithm>
#include <iterator>

namespace pinford {

uint32_t CrashAge(Time now, Time t) {
  const int64_t ms = ToMillis(now - t);
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, kNeverSurvived - 1));
}

bool CrashEvidence::Add(const RunKey& key, const Run& run, size_t max_runs) {
  if (run.began <= survived_) return false;
  const auto it = runs_.find(key);
  if (it != runs_.end()) {
    // Two boxes' runs at one incarnation, or the same run twice.
    it->second.began = std::min(it->second.began, run.began);
    it->second.ended = std::min(it->second.ended, run.ended);
    it->second.suspicious |= run.suspicious;
    it->second.had_events &= run.had_events;
    return true;
  }
  runs_.emplace(key, run);
  if (runs_.size() > max_runs) EvictOne();
  return true;
}

// Evicts the last unconfirmed run or, if there is none, the last run.
void CrashEvidence::EvictOne() {
  auto victim = std::prev(runs_.end());
  for (auto it = runs_.begin(); it != runs_.end(); ++it) {
    if (!it->second.confirmed) victim = it;
  }
  runs_.erase(victim);
}

bool CrashEvidence::Clear(Time survived) {
  if (survived <= survived_) return false;
  const bool first = !has_survived();
  survived_ = survived;
  const size_t erased = std::erase_if(runs_, [survived](const auto& entry) {
    return entry.second.began <= survived;
  });
  return first || erased > 0;
}

void CrashEvidence::DropUnconfirmed(Time known_since) {
  std::erase_if(runs_, [known_since](const auto& entry) {
    return !entry.second.confirmed && entry.second.known_since <= known_since;
  });
}

int CrashEvidence::crashes() const {
  return static_cast<int>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& entry) { return entry.second.confirmed; }));
}

int CrashEvidence::Sequence() const {
  std::vector<const Run*> runs;
  for (const auto& [key, run] : runs_) {
    if (run.confirmed) runs.push_back(&run);
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run* a, const Run* b) { return a->ended < b->ended; });
  int length = 0;
  Time last_end = Time::min();
  for (const Run* run : runs) {
    if (run->began < last_end) continue;
    length++;
    last_end = run->ended;
  }
  return length;
}

int CrashEvidence::Requests() const {
  // Including the wait for a retry.
  constexpr Duration kMoveTime = milliseconds(250);
  // Routes allow this many attempts.
  constexpr int kMaxRuns = 3;
  std::vector<const Run*> runs;
  runs.reserve(runs_.size());
  for (const auto& [key, run] : runs_) runs.push_back(&run);
  std::sort(runs.begin(), runs.end(),
            [](const Run* a, const Run* b) { return a->began < b->began; });
  int requests = 0;
  int runs_of_last = 0;
  const Run* last = nullptr;
  for (const Run* run : runs) {
    const bool moved = last != nullptr && run->began >= last->ended &&
                       run->began - last->ended <= kMoveTime;
    if (!moved || runs_of_last == kMaxRuns) {
      requests++;
      runs_of_last = 0;
    }
    runs_of_last++;
    last = run;
  }
  return requests;
}

std::vector<CrashEvidence::RunKey> CrashEvidence::Crashes() const {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : runs_) {
    if (run.confirmed) keys.push_back(key);
  }
  return keys;
}

void CrashEvidence::Subtract(std::vector<RunKey>* keys) const {
  std::erase_if(*keys, [this](const RunKey& key) {
    const auto it = runs_.find(key);
    return it != runs_.end() && it->second.confirmed;
  });
}

CrashRecord CrashEvidence::Encode(Time now,
                                  const std::string& fingerprint) const {
  return EncodeRuns(now, fingerprint, Crashes());
}

CrashRecord CrashEvidence::EncodeRuns(Time now, const std::string& fingerprint,
                                      const std::vector<RunKey>& keys) const {
  CrashRecord out;
  out.fingerprint = fingerprint;
  if (has_survived()) out.survived_ms_ago = CrashAge(now, survived_);
  for (const RunKey& key : keys) {
    const Run& run = runs_.at(key);
    out.runs.push_back({key.first, key.second, CrashAge(now, run.began),
                        CrashAge(now, run.ended)});
  }
  return out;
}

bool CrashEvidence::HasDue(Time now) const {
  return std::any_of(runs_.begin(), runs_.end(), [now](const auto& entry) {
    return entry.second.IsDue(now);
  });
}

bool CrashEvidence::HasUnannounced() const {
  return std::any_of(runs_.begin(), runs_.end(), [](const auto& entry) {
    return entry.second.confirmed && !entry.second.announced;
  });
}

std::vector<CrashEvidence::RunKey> CrashEvidence::TakeUnannounced() {
  std::vector<RunKey> keys;
  for (auto& [key, run] : runs_) {
    if (!run.confirmed || run.announced) continue;
    run.announced = true;
    keys.push_back(key);
  }
  return keys;
}

}  // namespace pinford
