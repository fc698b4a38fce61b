#include "pinford/forwarding/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Suspicion> kSuspicionNames[] = {
    {Suspicion::kNone, "none"},
    {Suspicion::kSuspect, "suspect"},
    {Suspicion::kQuarantined, "quarantined"},
};

std::string_view SuspicionName(Suspicion s) {
  return NameIn(kSuspicionNames, s);
}

// Messages carry ages rather than times, since boxes have no common clock.
static uint32_t AgeOf(Time now, Time t) {
  const int64_t ms = ToMillis(now - t);
  return static_cast<uint32_t>(std::clamp<int64_t>(ms, 0, kNeverSurvived - 1));
}

// --- evidence --------------------------------------------------------------

CrashLedger::Record* CrashLedger::FindOrCreate(const std::string& fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) return &it->second;
  if (records_.size() >= options_.max_records && !EvictOne()) return nullptr;
  return &records_[fingerprint];
}

// Evicts the record with the least evidence, and of these the oldest. Suspects
// stay.
bool CrashLedger::EvictOne() {
  auto victim = records_.end();
  int least = 0;
  for (auto it = records_.begin(); it != records_.end(); ++it) {
    if (it->second.suspicion != Suspicion::kNone) continue;
    const int crashes = CountConfirmed(it->second);
    const bool weaker =
        victim == records_.end() || crashes < least ||
        (crashes == least && it->second.updated < victim->second.updated);
    if (!weaker) continue;
    victim = it;
    least = crashes;
  }
  if (victim == records_.end()) return false;
  records_.erase(victim);
  return true;
}

bool CrashLedger::AddRun(const RunKey& key, const Run& run, Record* record) {
  if (run.began <= record->survived) return false;
  const auto it = record->runs.find(key);
  if (it != record->runs.end()) {
    // Two boxes' runs at one incarnation, or the same run twice.
    it->second.began = std::min(it->second.began, run.began);
    it->second.ended = std::min(it->second.ended, run.ended);
    it->second.suspicious |= run.suspicious;
    return true;
  }
  // More than enough for any decision.
  if (record->runs.size() >= options_.max_runs) return true;
  record->runs.emplace(key, run);
  record->updated = std::max(record->updated, run.ended);
  pending_ = true;
  return true;
}

void CrashLedger::OnRunEnded(Time now, const std::string& fingerprint,
                             const std::string& endpoint, uint64_t incarnation,
                             Time began, bool suspicious) {
  Record* record = FindOrCreate(fingerprint);
  if (record == nullptr) return;
  Run run;
  run.began = began;
  run.ended = run.known_since = run.next_send = now;
  run.own = true;
  run.suspicious = suspicious;
  AddRun({endpoint, incarnation}, run, record);
}

void CrashLedger::Clear(Time survived, Record* record) {
  if (survived <= record->survived) return;
  record->survived = survived;
  record->updated = std::max(record->updated, survived);
  std::erase_if(record->runs, [survived](const auto& entry) {
    return entry.second.began <= survived;
  });
  // Others act on the evidence only if it made the request a suspect.
  if (record->suspicion == Suspicion::kNone) return;
  record->announce = true;
  pending_ = true;
}

void CrashLedger::OnSurvived(Time now, const std::string& fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) Clear(now, &it->second);
}

// Whether it tells of anything that still counts. Boxes that have not dropped
// an old record yet must not bring it back.
static bool IsRecent(const CrashRecord& record, Duration retention) {
  const auto recent = [retention](uint32_t ms_ago) {
    return milliseconds(ms_ago) < retention;
  };
  return recent(record.survived_ms_ago) ||
         std::any_of(
             record.runs.begin(), record.runs.end(),
             [&](const CrashedRun& r) { return recent(r.ended_ms_ago); });
}

void CrashLedger::OnRecord(Time now, const CrashRecord& record) {
  if (!IsRecent(record, options_.retention)) return;
  Record* known = FindOrCreate(record.fingerprint);
  if (known == nullptr) return;
  if (record.survived_ms_ago != kNeverSurvived) {
    Clear(now - milliseconds(record.survived_ms_ago), known);
  }
  bool outdated = false;
  for (const CrashedRun& crashed : record.runs) {
    Run run;
    run.began = now - milliseconds(crashed.began_ms_ago);
    run.ended = now - milliseconds(crashed.ended_ms_ago);
    run.known_since = now;
    outdated |= !AddRun({crashed.endpoint, crashed.incarnation}, run, known);
  }
  if (!outdated) return;
  // The sender does not know that the request was cleared.
  known->announce = true;
  pending_ = true;
}

// --- decisions -------------------------------------------------------------

int CrashLedger::CountConfirmed(const Record& record) {
  return static_cast<int>(
      std::count_if(record.runs.begin(), record.runs.end(),
                    [](const auto& entry) { return entry.second.confirmed; }));
}

int CrashLedger::CrashesOf(const std::string& fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? 0 : CountConfirmed(it->second);
}

int CrashLedger::SequenceOf(const Record& record) {
  std::vector<const Run*> runs;
  for (const auto& [key, run] : record.runs) {
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

Suspicion CrashLedger::Judge(const Record& record) const {
  const int crashes = CountConfirmed(record);
  if (crashes < options_.suspect_crashes) return Suspicion::kNone;
  const int sequence = SequenceOf(record);
  const bool sequential = crashes >= options_.sequential_crashes &&
                          sequence >= options_.min_sequence;
  const bool concurrent = crashes >= options_.concurrent_crashes &&
                          sequence >= options_.min_concurrent_sequence;
  const bool room = record.suspicion == Suspicion::kQuarantined ||
                    quarantined_ < options_.max_quarantined;
  return (sequential || concurrent) && room ? Suspicion::kQuarantined
                                            : Suspicion::kSuspect;
}

Suspicion CrashLedger::Of(const std::string& fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? Suspicion::kNone : it->second.suspicion;
}

bool CrashLedger::IsCleared(const std::string& fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && it->second.runs.empty() &&
         it->second.survived != Time::min();
}

// --- time ------------------------------------------------------------------

std::set<std::string> CrashLedger::Unconfirmed(Time now) const {
  std::set<std::string> endpoints;
  if (!pending_) return endpoints;
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [key, run] : record.runs) {
      const bool check = run.suspicious && !run.confirmed &&
                         now - run.known_since < options_.check_time;
      if (check) endpoints.insert(key.first);
    }
  }
  return endpoints;
}

void CrashLedger::TickRuns(Time now, const HasEnded& has_ended,
                           const std::string& fingerprint, Record* record,
                           Updates* updates) {
  for (auto& [key, run] : record->runs) {
    if (!run.confirmed) run.confirmed = has_ended(key.first, key.second);
  }
  std::erase_if(record->runs, [this, now](const auto& entry) {
    const Run& run = entry.second;
    return !run.confirmed && now - run.known_since >= options_.confirm_timeout;
  });
  for (auto& [key, run] : record->runs) {
    const bool unsent = run.own && run.sends <= options_.resend_delays.size();
    pending_ |= unsent || !run.confirmed;
    const bool due = unsent && run.confirmed && now >= run.next_send;
    if (!due) continue;
    updates->to_collectors.push_back(
        {fingerprint,
         {{key.first, key.second, AgeOf(now, run.began),
           AgeOf(now, run.ended)}},
         kNeverSurvived});
    if (run.sends < options_.resend_delays.size()) {
      run.next_send = now + options_.resend_delays[run.sends];
    }
    run.sends++;
  }
}

void CrashLedger::Update(const std::string& fingerprint, Record* record,
                         Updates* updates) {
  const Suspicion before = record->suspicion;
  const Suspicion now = Judge(*record);
  if (now == before) return;
  if (now == Suspicion::kQuarantined) quarantined_++;
  if (before == Suspicion::kQuarantined) quarantined_--;
  record->suspicion = now;
  record->announce = true;
  updates->changes.push_back(
      {fingerprint, before, now, CountConfirmed(*record), SequenceOf(*record)});
}

CrashLedger::Updates CrashLedger::Tick(Time now, const HasEnded& has_ended) {
  Updates updates;
  if (!pending_ && now < next_sweep_) return updates;
  next_sweep_ = now + options_.sweep_interval;
  pending_ = false;
  for (auto it = records_.begin(); it != records_.end();) {
    auto& [fingerprint, record] = *it;
    const bool expired = now - record.updated >= options_.retention;
    if (expired) record.runs.clear();
    TickRuns(now, has_ended, fingerprint, &record, &updates);
    Update(fingerprint, &record, &updates);
    if (std::exchange(record.announce, false)) {
      record.announced = true;
      updates.to_all.push_back(Encode(now, fingerprint, record));
    }
    it = expired ? records_.erase(it) : std::next(it);
  }
  std::stable_sort(updates.to_collectors.begin(), updates.to_collectors.end(),
                   [this](const CrashRecord& a, const CrashRecord& b) {
                     return CrashesOf(a.fingerprint) > CrashesOf(b.fingerprint);
                   });
  return updates;
}

// --- messages --------------------------------------------------------------

CrashRecord CrashLedger::Encode(Time now, const std::string& fingerprint,
                                const Record& record) const {
  CrashRecord out;
  out.fingerprint = fingerprint;
  if (record.survived != Time::min()) {
    out.survived_ms_ago = AgeOf(now, record.survived);
  }
  for (const auto& [key, run] : record.runs) {
    if (!run.confirmed) continue;
    out.runs.push_back(
        {key.first, key.second, AgeOf(now, run.began), AgeOf(now, run.ended)});
  }
  return out;
}

std::vector<CrashRecord> CrashLedger::Sample(Time now, size_t count) {
  std::vector<CrashRecord> all;
  for (const auto& [fingerprint, record] : records_) {
    const bool cleared = record.announced && record.survived != Time::min() &&
                         now - record.survived < options_.cleared_news;
    if (record.suspicion == Suspicion::kNone && !cleared) continue;
    all.push_back(Encode(now, fingerprint, record));
  }
  std::vector<CrashRecord> out;
  std::sample(all.begin(), all.end(), std::back_inserter(out), count, random_);
  return out;
}

std::vector<CrashRecord> CrashLedger::Quarantined(Time now) const {
  std::vector<CrashRecord> out;
  for (const auto& [fingerprint, record] : records_) {
    if (record.suspicion != Suspicion::kQuarantined) continue;
    out.push_back(Encode(now, fingerprint, record));
  }
  return out;
}

}  // namespace pinford
