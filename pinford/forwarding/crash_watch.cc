#include "pinford/forwarding/crash_watch.h"

#include <algorithm>
#include <functional>
#include <random>

#include "pinford/log.h"

namespace pinford {

// Samples for boxes that missed the news: two peers, so that a box that has
// just started misses all samples of three seconds once in 400 times.
static constexpr size_t kSamplePeers = 2;
static constexpr size_t kSampleRecords = 1;
static constexpr seconds kSampleInterval{1};
// Records in one datagram.
static constexpr size_t kRecordsPerNotice = 8;
// Boxes that send all records to a box that joins, on average.
static constexpr double kJoinSenders = 4;
static constexpr milliseconds kCheckInterval{200};

// Calls `send` with notices of at most kRecordsPerNotice records each.
static void ForEachNotice(const std::vector<CrashRecord>& records,
                          const std::function<void(const CrashNotice&)>& send) {
  CrashNotice notice;
  for (const CrashRecord& record : records) {
    notice.records.push_back(record);
    if (notice.records.size() < kRecordsPerNotice) continue;
    send(notice);
    notice.records.clear();
  }
  if (!notice.records.empty()) send(notice);
}

CrashWatch::CrashWatch(const Context& context, CrashLedger* ledger)
    : context_(context), ledger_(ledger) {
  ledger_->set_trial_owner([gossip = context.gossip](const std::string& f) {
    return gossip->IsFirstCollector(f);
  });
}

void CrashWatch::OnRecords(const std::vector<CrashRecord>& records) {
  if (!context_.forward->mechanisms.enabled(Mechanism::kCrashQuarantine))
    return;
  const Time now = context_.loop->now();
  for (const CrashRecord& record : records) ledger_->OnRecord(now, record);
}

std::vector<CrashRecord> CrashWatch::Quarantined() const {
  return ledger_->Quarantined(context_.loop->now());
}

// All boxes see it join, and some of them send it what they have, so that their
// number does not depend on the number of boxes.
void CrashWatch::OnJoined(const std::string& box) {
  if (ledger_->empty()) return;
  const auto& members = context_.membership->members();
  const auto member = members.find(box);
  if (member == members.end()) return;
  const Time now = context_.loop->now();
  const double share = kJoinSenders / context_.membership->live_boxes(now);
  if (std::uniform_real_distribution<double>(0, 1)(*context_.random) >= share)
    return;
  ForEachNotice(
      ledger_->Sample(now, kMaxCrashRecords), [&](const CrashNotice& notice) {
        context_.gossip->link()->Send(member->second.row.address, notice);
      });
}

bool CrashWatch::HasEnded(const std::string& endpoint,
                          uint64_t incarnation) const {
  // Without a list nothing is known.
  if (context_.directory->entries().empty()) return false;
  const DirectoryEntry* entry = context_.directory->Find(endpoint);
  if (entry == nullptr) return true;
  if (IsNewerIncarnation(incarnation, entry->listed.incarnation)) return true;
  return WasRefused(endpoint, incarnation) || IsDown(endpoint);
}

bool CrashWatch::WasRefused(const std::string& endpoint,
                            uint64_t incarnation) const {
  const auto refused = refused_.find(endpoint);
  if (refused == refused_.end() || refused->second.incarnation != incarnation)
    return false;
  return refused->second.by_peer ||
         context_.forward->paths.is_at_fault(endpoint);
}

bool CrashWatch::IsDown(const std::string& endpoint) const {
  const auto row = context_.table->rows().find(endpoint);
  if (row == context_.table->rows().end() || !row->second.down) return false;
  return row->second.down_evidence != EndpointTable::DownEvidence::kOwnProbe ||
         context_.forward->paths.is_at_fault(endpoint);
}

void CrashWatch::CheckUnconfirmed(Time now) {
  std::erase_if(checked_, [now](const auto& entry) {
    return now - entry.second >= kCheckInterval;
  });
  for (const std::string& endpoint : ledger_->Unconfirmed(now)) {
    const DirectoryEntry* entry = context_.directory->Find(endpoint);
    if (entry == nullptr) continue;
    if (entry->runner) {
      context_.forwarder->ProbeIfDue(endpoint);
    } else {
      CheckPlainEndpoint(now, endpoint);
    }
  }
}

void CrashWatch::CheckPlainEndpoint(Time now, const std::string& endpoint) {
  if (!checked_.emplace(endpoint, now).second) return;
  const uint64_t incarnation = context_.table->IncarnationOf(endpoint);
  context_.metrics->Count("endpoints_asked_total");
  context_.forward->check_refused(
      endpoint, [this, endpoint, incarnation](bool refused) {
        if (!refused) {
          refused_.erase(endpoint);
          return;
        }
        refused_[endpoint] = {incarnation,
                              context_.forward->paths.is_lost(endpoint)};
      });
}

void CrashWatch::Announce(const std::vector<CrashRecord>& records,
                          size_t peers) {
  ForEachNotice(records, [&](const CrashNotice& notice) {
    context_.gossip->SendNotice(notice, peers);
  });
}

void CrashWatch::LogChange(const CrashLedger::Change& change) {
  context_.metrics->Count(
      "crash_suspicions_total",
      "now=\"" + std::string(SuspicionName(change.now)) + "\"");
  const CrashLedger::Backlog backlog = ledger_->BacklogAt(context_.loop->now());
  LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "crash_suspicion",
           LogFields()
               .Add("fingerprint", change.fingerprint)
               .Add("before", SuspicionName(change.before))
               .Add("now", SuspicionName(change.now))
               .Add("crashes", change.crashes)
               .Add("sequence", change.sequence)
               .Add("survived", change.survived)
               .Add("quarantined", ledger_->quarantined())
               .Add("unsent", backlog.runs)
               .Add("unsent_ms", ToMillis(backlog.oldest)));
}

void CrashWatch::Tick() {
  if (ledger_->empty()) {
    refused_.clear();
    return;
  }
  const Time now = context_.loop->now();
  CheckUnconfirmed(now);
  const CrashLedger::Updates updates = ledger_->Tick(
      now, [this](const std::string& endpoint, uint64_t incarnation) {
        return HasEnded(endpoint, incarnation);
      });
  for (const CrashLedger::Change& change : updates.changes) LogChange(change);
  if (updates.withheld > 0) {
    context_.metrics->Count("crash_evidence_withheld_total", "",
                            static_cast<int64_t>(updates.withheld));
  }
  context_.gossip->SendCrashRecords(updates.to_collectors, kCrashCollectors);
  Announce(updates.to_all, kCrashFanout);
  Announce(updates.suspects, kSuspectFanout);
  if (now < next_sample_) return;
  next_sample_ = now + kSampleInterval;
  Announce(ledger_->Sample(now, kSampleRecords), kSamplePeers);
}

}  // namespace pinford
