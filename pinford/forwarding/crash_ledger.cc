#include "pinford/forwarding/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "pinford/forwarding/request_fingerprint.h"
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

bool CrashLedger::PartsFirst::operator()(const std::string& a,
                                         const std::string& b) const {
  const bool a_is_part = IsPromptPart(a);
  const bool b_is_part = IsPromptPart(b);
  if (a_is_part != b_is_part) return a_is_part;
  return a < b;
}

size_t CrashLedger::quarantined() const {
  return quarantined_parts_ + quarantined_requests_;
}

CrashLedger::Backlog CrashLedger::BacklogAt(Time now) const {
  Backlog backlog;
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [key, run] : record.evidence.runs()) {
      if (!run.IsDue(now) || run.sends > 0) continue;
      backlog.runs++;
      backlog.oldest = std::max(backlog.oldest, now - run.known_since);
    }
  }
  return backlog;
}

// --- evidence --------------------------------------------------------------

SurvivalTable& CrashLedger::SurvivalsOf(const std::string& fingerprint) {
  return IsPromptPart(fingerprint) ? part_survivals_ : request_survivals_;
}

CrashLedger::Record* CrashLedger::FindOrCreate(const std::string& fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) return &it->second;
  if (records_.size() >= options_.max_records && !EvictOne()) return nullptr;
  const Time survived = SurvivalsOf(fingerprint).LastOf(fingerprint);
  return &records_.emplace(fingerprint, survived).first->second;
}

// Evicts the record with the least evidence, of these a request rather than a
// part of prompts, and of these the oldest. Suspects stay.
bool CrashLedger::EvictOne() {
  auto victim = records_.end();
  std::tuple<int, bool, Time> least;
  for (auto it = records_.begin(); it != records_.end(); ++it) {
    const auto& [fingerprint, record] = *it;
    if (record.suspicion != Suspicion::kNone) continue;
    const std::tuple rank(record.evidence.crashes(), IsPromptPart(fingerprint),
                          record.updated);
    if (victim != records_.end() && rank >= least) continue;
    victim = it;
    least = rank;
  }
  if (victim == records_.end()) return false;
  records_.erase(victim);
  return true;
}

bool CrashLedger::AddRun(const CrashEvidence::RunKey& key,
                         const CrashEvidence::Run& run, Record* record) {
  if (!record->evidence.Add(key, run, options_.max_runs)) return false;
  record->updated = std::max(record->updated, run.ended);
  pending_ = true;
  return true;
}

void CrashLedger::OnRunEnded(Time now, const std::string& fingerprint,
                             const EndedRun& ended) {
  Record* record = FindOrCreate(fingerprint);
  if (record == nullptr) return;
  CrashEvidence::Run run;
  run.began = ended.began;
  run.ended = run.known_since = run.next_send = now;
  run.unsent = true;
  run.suspicious = ended.suspicious;
  run.had_events = ended.had_events;
  AddRun({ended.endpoint, ended.incarnation}, run, record);
}

void CrashLedger::Clear(Time now, Time survived, Record* record) {
  if (!record->evidence.Clear(survived)) return;
  record->updated = std::max(record->updated, survived);
  // Others act on the evidence only if it made the feature a suspect.
  if (record->suspicion == Suspicion::kNone) return;
  record->cleared = now;
  record->announce = true;
  pending_ = true;
}

void CrashLedger::OnSurvived(Time now, const std::string& fingerprint,
                             Time at) {
  SurvivalsOf(fingerprint).Record(at, fingerprint);
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) Clear(now, at, &it->second);
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
  const bool survived = record.survived_ms_ago != kNeverSurvived;
  if (survived) {
    const Time at = now - milliseconds(record.survived_ms_ago);
    const CrashEvidence& evidence = known->evidence;
    const bool same = evidence.has_survived() &&
                      at - evidence.survived() < options_.max_message_delay;
    if (!same) Clear(now, at, known);
  }
  // The sender does not know that the feature was cleared.
  bool outdated = false;
  for (const CrashedRun& crashed : record.runs) {
    CrashEvidence::Run run;
    run.began = now - milliseconds(crashed.began_ms_ago);
    run.ended = now - milliseconds(crashed.ended_ms_ago);
    run.known_since = now;
    outdated |= !AddRun({crashed.endpoint, crashed.incarnation}, run, known);
  }
  // The sender suspects what it has not seen survived.
  const bool suspects =
      record.runs.size() >= static_cast<size_t>(options_.suspect_crashes);
  const bool unaware = !survived && suspects && known->evidence.has_survived();
  if (unaware) outdated |= !std::exchange(known->survival_announced, true);
  if (!outdated) return;
  known->announce = true;
  pending_ = true;
}

// --- decisions -------------------------------------------------------------

bool CrashLedger::HasRoom(const std::string& fingerprint,
                          const Record& record) const {
  if (record.suspicion == Suspicion::kQuarantined) return true;
  const size_t quarantined =
      IsPromptPart(fingerprint) ? quarantined_parts_ : quarantined_requests_;
  return quarantined < options_.max_quarantined;
}

Suspicion CrashLedger::Judge(const std::string& fingerprint,
                             const Record& record) const {
  const bool part = IsPromptPart(fingerprint);
  const int more = part && record.evidence.has_survived()
                       ? options_.more_crashes_if_survived
                       : 0;
  const int crashes = record.evidence.crashes() - more;
  if (crashes < options_.suspect_crashes) return Suspicion::kNone;
  const int sequence = record.evidence.Sequence();
  const bool sequential = crashes >= options_.sequential_crashes &&
                          sequence >= options_.min_sequence;
  const bool concurrent = crashes >= options_.concurrent_crashes &&
                          sequence >= options_.min_concurrent_sequence;
  if (!sequential && !concurrent) return Suspicion::kSuspect;
  if (!HasRoom(fingerprint, record)) return Suspicion::kSuspect;
  // Requests that were moved from one endpoint to the next as these crashed
  // leave the room to the cause.
  const bool explained = !part && IsExplained(fingerprint, record.evidence,
                                              Suspicion::kQuarantined, {});
  return explained ? Suspicion::kSuspect : Suspicion::kQuarantined;
}

CrashLedger::Explanation CrashLedger::HowExplains(const std::string& cause,
                                                  bool cause_survived,
                                                  const std::string& feature,
                                                  bool survived) {
  const bool survived_part = IsPromptPart(feature) && survived;
  if (!IsPromptPart(cause) || cause_survived)
    return survived_part ? Explanation::kAlone : Explanation::kNone;
  const bool alike = IsPromptPart(feature) && !survived;
  return alike ? Explanation::kAlone : Explanation::kTogether;
}

bool CrashLedger::IsExplained(const std::string& feature,
                              const CrashEvidence& evidence, Suspicion level,
                              const std::vector<std::string>& present) const {
  // Some of a part's crashes may not be known of their cause yet. A request
  // that merely runs beside the cause never crashes without it; that others
  // were there at two of four crashes must not excuse one that was at all.
  const auto too_few = static_cast<size_t>(
      IsPromptPart(feature) ? options_.suspect_crashes - 1 : 0);
  const std::vector<CrashEvidence::RunKey> crashes = evidence.Crashes();
  std::vector<CrashEvidence::RunKey> unexplained = crashes;
  for (const std::string& cause : suspects_) {
    const Record& suspect = records_.at(cause);
    if (cause == feature || suspect.suspicion < level) continue;
    if (std::find(present.begin(), present.end(), cause) != present.end())
      continue;
    const Explanation how = HowExplains(cause, suspect.evidence.has_survived(),
                                        feature, evidence.has_survived());
    if (how == Explanation::kTogether) {
      suspect.evidence.Subtract(&unexplained);
      if (unexplained.size() <= too_few) return true;
    }
    if (how != Explanation::kAlone) continue;
    std::vector<CrashEvidence::RunKey> rest = crashes;
    suspect.evidence.Subtract(&rest);
    const size_t caused = static_cast<size_t>(suspect.evidence.crashes());
    if (caused == crashes.size() && rest.empty()) return true;
    if (caused > crashes.size() && rest.size() <= too_few) return true;
  }
  return false;
}

Suspicion CrashLedger::AssessOne(
    const std::string& feature,
    const std::vector<std::string>& features) const {
  if (!suspects_.contains(feature)) return Suspicion::kNone;
  const Record& record = records_.at(feature);
  const bool explained =
      IsExplained(feature, record.evidence, record.suspicion, features);
  return explained ? Suspicion::kNone : record.suspicion;
}

Suspicion CrashLedger::Assess(const std::vector<std::string>& features) const {
  Suspicion worst = Suspicion::kNone;
  for (const std::string& feature : features) {
    worst = std::max(worst, AssessOne(feature, features));
  }
  return worst;
}

Suspicion CrashLedger::AssessAgain(const SentRequest& request) const {
  if (!request.started) return Assess(request.features);
  std::vector<std::string> features = request.features;
  const std::string& own = request.features.back();
  const auto record = records_.find(own);
  const bool accused_by_others =
      record != records_.end() &&
      record->second.evidence.crashes() > request.accusations;
  if (!accused_by_others) features.pop_back();
  const Suspicion worst = Assess(features);
  if (worst != Suspicion::kSuspect) return worst;
  return accused_by_others ? AssessOne(own, features) : Suspicion::kNone;
}

bool CrashLedger::MayTry(const std::string& fingerprint,
                         const Record& record) const {
  const bool survived = record.evidence.has_survived();
  if (!IsPromptPart(fingerprint))
    return survived && record.trials < options_.max_request_trials;
  return survived ||
         (part_survivals_.empty() && record.trials < options_.max_blind_trials);
}

bool CrashLedger::IsTrialDue(Time now, const std::string& fingerprint,
                             const Record& record) const {
  if (!MayTry(fingerprint, record)) return false;
  const int refusals = IsPromptPart(fingerprint)
                           ? options_.refusals_per_trial
                           : options_.refusals_per_request_trial;
  if (record.refusals < refusals) return false;
  Duration pause = options_.first_trial;
  for (int i = 0; i < record.trials && pause < options_.max_trial_pause; i++) {
    pause *= options_.trial_growth;
  }
  pause = std::min(pause, options_.max_trial_pause);
  const Time last = std::max(record.updated, record.last_trial);
  return now - last >= pause && owns_trial_(fingerprint);
}

std::vector<std::pair<std::string, CrashLedger::Record*>>
CrashLedger::QuarantinedOf(const std::vector<std::string>& features) {
  std::vector<std::pair<std::string, Record*>> out;
  for (const std::string& feature : features) {
    if (AssessOne(feature, features) != Suspicion::kQuarantined) continue;
    out.emplace_back(feature, &records_.at(feature));
  }
  return out;
}

bool CrashLedger::Refuse(Time now, const std::vector<std::string>& features) {
  bool refuse = false;
  for (const auto& [feature, record] : QuarantinedOf(features)) {
    if (IsTrialDue(now, feature, *record)) continue;
    record->refusals++;
    refuse = true;
  }
  return refuse;
}

bool CrashLedger::TakeTrial(Time now,
                            const std::vector<std::string>& features) {
  const auto quarantined = QuarantinedOf(features);
  for (const auto& [feature, record] : quarantined) {
    if (!IsTrialDue(now, feature, *record)) return false;
  }
  for (const auto& [feature, record] : quarantined) {
    record->trials++;
    record->last_trial = now;
    record->refusals = 0;
  }
  return true;
}

Suspicion CrashLedger::Of(const std::string& fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? Suspicion::kNone : it->second.suspicion;
}

bool CrashLedger::IsCleared(const std::string& fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && it->second.evidence.runs().empty() &&
         it->second.evidence.has_survived();
}

// --- time ------------------------------------------------------------------

std::set<std::string> CrashLedger::Unconfirmed(Time now) const {
  std::set<std::string> endpoints;
  if (!pending_) return endpoints;
  for (const auto& [fingerprint, record] : records_) {
    for (const auto& [key, run] : record.evidence.runs()) {
      const bool check = run.suspicious && !run.confirmed &&
                         now - run.known_since < options_.check_time;
      if (check) endpoints.insert(key.first);
    }
  }
  return endpoints;
}

void CrashLedger::TickRuns(Time now, const HasEnded& has_ended,
                           CrashEvidence* evidence, Updates* updates) {
  for (auto& [key, run] : evidence->mutable_runs()) {
    if (!run.confirmed) run.confirmed = has_ended(key.first, key.second);
    if (run.unsent && now - run.known_since >= options_.report_time) {
      run.unsent = false;
      updates->withheld += run.sends == 0 && run.confirmed;
    }
    pending_ |= run.unsent || !run.confirmed;
  }
  evidence->DropUnconfirmed(now - options_.confirm_timeout);
}

void CrashLedger::Update(const std::string& fingerprint, Record* record,
                         Updates* updates) {
  const Suspicion before = record->suspicion;
  const Suspicion now = Judge(fingerprint, *record);
  if (now == before) return;
  size_t& quarantined =
      IsPromptPart(fingerprint) ? quarantined_parts_ : quarantined_requests_;
  if (now == Suspicion::kQuarantined) quarantined++;
  if (before == Suspicion::kQuarantined) quarantined--;
  if (now == Suspicion::kNone) {
    suspects_.erase(fingerprint);
  } else {
    suspects_.insert(fingerprint);
  }
  record->suspicion = now;
  if (now != Suspicion::kQuarantined) record->trials = record->refusals = 0;
  record->announce = true;
  updates->changes.push_back(
      {fingerprint, before, now, record->evidence.crashes(),
       record->evidence.Sequence(), record->evidence.has_survived()});
}

CrashLedger::Updates CrashLedger::Tick(Time now, const HasEnded& has_ended) {
  Updates updates;
  if (!pending_ && now < next_sweep_) return updates;
  next_sweep_ = now + options_.sweep_interval;
  pending_ = false;
  for (auto it = records_.begin(); it != records_.end();) {
    auto& [fingerprint, record] = *it;
    const bool expired = now - record.updated >= options_.retention;
    if (expired) record.evidence.DropRuns();
    TickRuns(now, has_ended, &record.evidence, &updates);
    Update(fingerprint, &record, &updates);
    it = expired ? records_.erase(it) : std::next(it);
  }
  SendDue(now, &updates);
  AnnounceGrowth(now, &updates);
  return updates;
}

// --- messages --------------------------------------------------------------

// Of a record in a notice, without its runs; and of each run.
static constexpr size_t kRecordBytes = 55;
static constexpr size_t kRunBytes = 32;

bool CrashLedger::TakeBudget(Time now, size_t receivers, size_t runs) {
  const bool taken =
      budget_.Take(now, receivers * (kRecordBytes + runs * kRunBytes));
  if (!taken) pending_ = true;
  return taken;
}

struct CrashLedger::DueSend {
  Priority priority;
  // Of equal priority: parts of prompts by the time at which they were last
  // survived, as those that never were are the most likely causes; requests by
  // the length of the run, which puts them between parts that never were
  // survived and those that were.
  Duration order;
  Records::value_type* entry;
  const CrashEvidence::RunKey* run;  // nullptr: the record, to all boxes

  bool operator<(const DueSend& other) const {
    return std::tie(priority, order) < std::tie(other.priority, other.order);
  }
};

CrashLedger::Priority CrashLedger::PriorityOf(const std::string& fingerprint,
                                              const Record& record,
                                              const CrashEvidence::Run& run) {
  if (run.sends > 0) return Priority::kAgain;
  if (IsPromptPart(fingerprint))
    return run.had_events ? Priority::kPart : Priority::kLikelyCause;
  return record.evidence.crashes() > 1 ? Priority::kLikelyCause
                                       : Priority::kRequest;
}

CrashLedger::Priority CrashLedger::AnnouncementPriority(
    const std::string& fingerprint, const Record& record) {
  const Suspicion worst = std::max(record.suspicion, record.announced);
  if (worst == Suspicion::kQuarantined || IsPromptPart(fingerprint))
    return Priority::kVerdict;
  return record.evidence.Requests() > 1 ? Priority::kSuspect
                                        : Priority::kSuspectOnce;
}

std::vector<CrashLedger::DueSend> CrashLedger::CollectDue(Time now) {
  std::vector<DueSend> due;
  for (auto& entry : records_) {
    auto& [fingerprint, record] = entry;
    const bool part = IsPromptPart(fingerprint);
    if (record.announce) {
      due.push_back({AnnouncementPriority(fingerprint, record), Duration(0),
                     &entry, nullptr});
    }
    for (const auto& [key, run] : record.evidence.runs()) {
      if (!run.IsDue(now)) continue;
      const Duration order = part
                                 ? record.evidence.survived().time_since_epoch()
                                 : run.ended - run.began;
      due.push_back(
          {PriorityOf(fingerprint, record, run), order, &entry, &key});
    }
  }
  std::stable_sort(due.begin(), due.end());
  return due;
}

void CrashLedger::SendDue(Time now, Updates* updates) {
  for (const DueSend& send : CollectDue(now)) {
    const bool waits =
        send.priority >= kMayWait && !budget_.HasSpare(now, kReserve);
    const bool sent =
        !waits &&
        (send.run == nullptr ? Announce(now, send.entry, updates)
                             : Report(now, send.entry, *send.run, updates));
    if (sent) continue;
    pending_ = true;
    return;
  }
}

bool CrashLedger::Announce(Time now, Records::value_type* entry,
                           Updates* updates) {
  auto& [fingerprint, record] = *entry;
  CrashEvidence& evidence = record.evidence;
  const bool suspect = record.suspicion == Suspicion::kSuspect;
  const size_t peers = suspect ? kSuspectFanout : kCrashFanout;
  if (!TakeBudget(now, peers, evidence.crashes())) return false;
  record.announce = false;
  record.announced_at = now;
  record.announced = std::max(record.announced, record.suspicion);
  evidence.TakeUnannounced();
  std::vector<CrashRecord>& to = suspect ? updates->suspects : updates->to_all;
  to.push_back(evidence.Encode(now, fingerprint));
  return true;
}

bool CrashLedger::Report(Time now, Records::value_type* entry,
                         const CrashEvidence::RunKey& key, Updates* updates) {
  auto& [fingerprint, record] = *entry;
  if (!TakeBudget(now, kCrashCollectors, 1)) return false;
  CrashEvidence::Run& run = record.evidence.mutable_runs().at(key);
  CrashRecord crash;
  crash.fingerprint = fingerprint;
  crash.runs = {{key.first, key.second, CrashAge(now, run.began),
                 CrashAge(now, run.ended)}};
  updates->to_collectors.push_back(std::move(crash));
  run.unsent = run.sends < options_.resend_delays.size();
  if (run.unsent) run.next_send = now + options_.resend_delays[run.sends];
  run.sends++;
  return true;
}

void CrashLedger::AnnounceGrowth(Time now, Updates* updates) {
  for (const std::string& fingerprint : suspects_) {
    Record& record = records_.at(fingerprint);
    if (!record.announced_at || !record.evidence.HasUnannounced()) continue;
    pending_ = true;
    if (now - *record.announced_at < options_.growth_interval) continue;
    if (!TakeBudget(now, kSuspectFanout, 1)) return;
    record.announced_at = now;
    updates->suspects.push_back(record.evidence.EncodeRuns(
        now, fingerprint, record.evidence.TakeUnannounced()));
  }
}

std::vector<CrashRecord> CrashLedger::Sample(Time now, size_t count) {
  std::vector<CrashRecord> parts;
  std::vector<CrashRecord> requests;
  for (const auto& [fingerprint, record] : records_) {
    const bool cleared = record.announced_at && record.cleared &&
                         now - *record.cleared < options_.cleared_news;
    if (record.suspicion == Suspicion::kNone && !cleared) continue;
    std::vector<CrashRecord>& kind =
        IsPromptPart(fingerprint) ? parts : requests;
    kind.push_back(record.evidence.Encode(now, fingerprint));
  }
  std::shuffle(parts.begin(), parts.end(), random_);
  std::shuffle(requests.begin(), requests.end(), random_);
  parts_next_ = !parts_next_;
  std::vector<CrashRecord>& first = parts_next_ ? requests : parts;
  std::vector<CrashRecord>& second = parts_next_ ? parts : requests;
  std::move(second.begin(), second.end(), std::back_inserter(first));
  if (first.size() > count) first.resize(count);
  return std::move(first);
}

std::vector<CrashRecord> CrashLedger::Quarantined(Time now) const {
  std::vector<CrashRecord> out;
  for (const std::string& fingerprint : suspects_) {
    const Record& record = records_.at(fingerprint);
    if (record.suspicion != Suspicion::kQuarantined) continue;
    out.push_back(record.evidence.Encode(now, fingerprint));
  }
  return out;
}

}  // namespace pinford
