#include "pinford/forwarding/endpoint_directory.h"

#include <algorithm>
#include <set>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<EntrySource> kEntrySourceNames[] = {
    {EntrySource::kStoreList, "store_list"},
    {EntrySource::kStoreWatch, "store_watch"},
    {EntrySource::kPeer, "peer"},
    {EntrySource::kNotice, "notice"},
    {EntrySource::kEndpoint, "endpoint"},
    {EntrySource::kExpiry, "expiry"},
};

std::string_view EntrySourceName(EntrySource s) {
  return NameIn(kEntrySourceNames, s);
}

void EndpointDirectory::set_configuration(
    Time now, std::shared_ptr<const ServiceConfiguration> config) {
  config_ = std::move(config);
  for (auto& [id, entry] : entries_) entry.listed.role = RoleOf(entry);
  state_++;
  double transfer = 0;
  for (const ServiceSpec& spec : config_->services) {
    if (spec.engine)
      transfer = std::max(transfer, spec.engine->transfer_seconds_per_token);
  }
  table_->set_transfer_seconds_per_token(transfer);
  UpdateTable(now);
}

// An entry is a runner if its service has an engine.
EndpointRole EndpointDirectory::RoleOf(const DirectoryEntry& entry) const {
  const ServiceSpec* spec =
      config_ != nullptr ? config_->Service(entry.listed.service) : nullptr;
  const bool pool = spec != nullptr && spec->engine;
  return pool ? EndpointRole::kRunner : EndpointRole::kService;
}

const DirectoryEntry* EndpointDirectory::Find(const std::string& id) const {
  auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

std::optional<DirectoryEntry> EndpointDirectory::SnapshotOf(
    Time now, const std::string& id) const {
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    DirectoryEntry snapshot = it->second;
    snapshot.lapses_in = LapsesIn(now, id);
    return snapshot;
  }
  const auto quarantined = quarantined_.find(id);
  if (quarantined == quarantined_.end()) return std::nullopt;
  DirectoryEntry snapshot = quarantined->second.entry;
  snapshot.quarantined_for =
      std::max(Duration(0), quarantined->second.until - now);
  return snapshot;
}

std::vector<DirectoryEntry> EndpointDirectory::Snapshot(Time now) const {
  std::vector<DirectoryEntry> out;
  out.reserve(entries_.size() + quarantined_.size());
  for (const auto& [id, entry] : entries_) out.push_back(*SnapshotOf(now, id));
  for (const auto& [id, q] : quarantined_) out.push_back(*SnapshotOf(now, id));
  return out;
}

std::optional<DirectoryChanges> EndpointDirectory::ChangesSince(
    Time now, uint64_t at) const {
  const std::optional<std::vector<std::string>> ids = changes_.Since(at);
  if (!ids) return std::nullopt;
  DirectoryChanges changes;
  for (const std::string& id : *ids) {
    if (std::optional<DirectoryEntry> entry = SnapshotOf(now, id)) {
      changes.entries.push_back(std::move(*entry));
    } else {
      changes.removed.push_back(id);
    }
  }
  return changes;
}

std::optional<Duration> EndpointDirectory::LapsesIn(
    Time now, const std::string& id) const {
  const std::optional<Time> removal = missing_.RemovalTime(id);
  if (!removal) return std::nullopt;
  return std::max(Duration(0), *removal - now);
}

EndpointDirectory::Incarnations& EndpointDirectory::IncarnationsOf(
    Time now, const std::string& id) {
  Incarnations& incarnations = incarnations_[id];
  incarnations.updated = now;
  return incarnations;
}

bool EndpointDirectory::ResolveIncarnation(Time now, DirectoryEntry* entry) {
  ListedEndpoint& listed = entry->listed;
  Incarnations& incarnations = IncarnationsOf(now, listed.name);
  uint64_t& resolved = listed.incarnation;
  if (resolved == 0)
    resolved = std::max(incarnations.newest, kUnknownIncarnation);
  if (IsKnownIncarnation(incarnations.newest) &&
      !IsKnownIncarnation(resolved)) {
    if (events_.on_rejected) {
      events_.on_rejected(listed.name,
                          "it has no incarnation, but had one before");
    }
    Remove(listed.name);
    return false;
  }
  if (resolved < incarnations.newest) return false;
  // A leaving mark without an incarnation may mean this one.
  if (IsKnownIncarnation(resolved) &&
      incarnations.max_leaving == kUnknownIncarnation)
    incarnations.max_leaving = resolved;
  if (listed.state == ListedState::kLeaving) {
    incarnations.max_leaving = std::max(incarnations.max_leaving, resolved);
  }
  incarnations.newest = resolved;
  if (resolved <= incarnations.max_leaving)
    listed.state = ListedState::kLeaving;
  return true;
}

bool EndpointDirectory::Usable(const DirectoryEntry& entry) const {
  if (config_ == nullptr) return true;
  const std::string& service = entry.listed.service;
  const ServiceSpec* spec = config_->Service(service);
  if (spec == nullptr) return config_->RoutesTo(service);
  return !spec->engine || !entry.runner ||
         FitsPool(*spec->engine, *entry.runner);
}

// Whether both entries look the same in a snapshot.
static bool SameContent(const DirectoryEntry& a, const DirectoryEntry& b) {
  const ListedEndpoint& x = a.listed;
  const ListedEndpoint& y = b.listed;
  return x.service == y.service && x.hall == y.hall && x.address == y.address &&
         x.state == y.state && x.incarnation == y.incarnation &&
         a.slots == b.slots && a.runner == b.runner;
}

bool EndpointDirectory::Apply(Time now, DirectoryEntry entry) {
  state_++;
  const std::string id = entry.listed.name;
  const uint64_t known = IncarnationsOf(now, id).newest;
  if (!ResolveIncarnation(now, &entry)) return false;
  bool changed = quarantined_.erase(id) > 0;
  if (entry.lapses_in) {
    changed = MarkMissing(now, id, now + *entry.lapses_in) || changed;
  } else if (missing_.Erase(id)) {
    changed = true;
    if (events_.on_back) events_.on_back(id, source_);
  }
  IncarnationsOf(now, id).removed = false;
  auto [it, fresh] = entries_.try_emplace(id, entry);
  const DirectoryEntry before = it->second;
  it->second = entry;
  DirectoryEntry& stored = it->second;
  stored.lapses_in.reset();
  stored.quarantined_for.reset();
  stored.listed.role = RoleOf(stored);
  if (changed || fresh || !SameContent(before, stored)) changes_.Record(id);
  const bool restarted = IsNewerIncarnation(known, stored.listed.incarnation);
  if (restarted) {
    missing_.EraseReport(id);
    // Must run before the callbacks place the lost work elsewhere.
    table_->OnRestart(now, id);
    if (events_.on_restarted) events_.on_restarted(stored, known);
  }
  if (fresh && events_.on_joined) events_.on_joined(stored);
  const bool first = fresh || restarted;
  const bool leaves = stored.listed.state == ListedState::kLeaving &&
                      (first || before.listed.state != ListedState::kLeaving);
  if (leaves && events_.on_leaving) events_.on_leaving(id, source_);
  const LayerRange held = before.runner ? before.runner->holds : LayerRange();
  const bool layers_changed =
      stored.runner && (fresh || !(stored.runner->holds == held));
  if (layers_changed && events_.on_layers_changed) {
    events_.on_layers_changed(stored, fresh ? LayerRange() : held);
  }
  return true;
}

void EndpointDirectory::OnStoreRestored(Time now) {
  OnStoreReachable(now);
  restore_grace_end_ = lapse_grace_end_;
  quarantine_until_ = now + options_.quarantine;
  for (auto& [id, q] : quarantined_) q.until = quarantine_until_;
}

bool EndpointDirectory::MustQuarantine(Time now,
                                       const DirectoryEntry& entry) const {
  if (entry.quarantined_for) return true;
  if (now >= quarantine_until_) return false;
  const auto incarnations = incarnations_.find(entry.listed.name);
  return incarnations != incarnations_.end() && incarnations->second.removed &&
         entry.listed.incarnation <= incarnations->second.newest;
}

void EndpointDirectory::Quarantine(Time now, const DirectoryEntry& entry) {
  const Time until =
      entry.quarantined_for ? now + *entry.quarantined_for : quarantine_until_;
  // A peer that quarantines the entry has seen its removal.
  Drop(now, entry.listed.name);
  quarantined_[entry.listed.name] = {entry, until};
  changes_.Record(entry.listed.name);
}

void EndpointDirectory::Drop(Time now, const std::string& id) {
  IncarnationsOf(now, id).removed = true;
  Remove(id);
}

void EndpointDirectory::Remove(const std::string& id) {
  state_++;
  missing_.Erase(id);
  missing_.EraseReport(id);
  const bool quarantined = quarantined_.erase(id) > 0;
  const bool exists = entries_.erase(id) > 0;
  if (quarantined || exists) changes_.Record(id);
  if (!exists) return;
  if (events_.on_removed) events_.on_removed(id, source_);
}

void EndpointDirectory::UpdateTable(Time now) {
  unusable_.clear();
  std::vector<ListedEndpoint> list;
  list.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    if (Usable(entry)) {
      list.push_back(entry.listed);
    } else {
      unusable_.insert(id);
    }
  }
  table_->OnList(list);
  for (const auto& [id, entry] : entries_) {
    if (!unusable_.contains(id)) ReportToTable(now, entry);
  }
  CountMissing();
  PassWithheld();
}

void EndpointDirectory::UpdateWithheld() {
  if (CountMissing()) PassWithheld();
}

bool EndpointDirectory::CountMissing() {
  if (!missing_.Recount(entries_)) return false;
  if (events_.on_mostly_missing)
    events_.on_mostly_missing(missing_.mostly_missing());
  return true;
}

void EndpointDirectory::PassWithheld() {
  for (const auto& [id, entry] : entries_) {
    table_->SetWithheld(id, missing_.IsWithheld(id, entry.listed.service));
  }
}

// With 3,000 entries one changes at a time. Passing all to the table took 1.5
// ms, at eight changes a second over a hundredth of a small box's core.
void EndpointDirectory::UpdateTableEntry(Time now, const std::string& id) {
  const auto it = entries_.find(id);
  const bool exists = it != entries_.end();
  const bool usable = exists && Usable(it->second);
  if (exists && !usable) {
    unusable_.insert(id);
  } else {
    unusable_.erase(id);
  }
  if (!usable) {
    table_->OnUnlisted(id);
    return;
  }
  const ListedEndpoint& listed = it->second.listed;
  table_->OnListed(listed);
  table_->SetWithheld(id, missing_.IsWithheld(id, listed.service));
  ReportToTable(now, it->second);
}

// Memory left beside the weights, in layers times thousands of tokens.
static double FreeMemoryOf(const EnginePool& pool, const AcceleratorKind& kind,
                           const LayerRange& holds) {
  if (pool.token_bytes <= 0) return 0;
  constexpr double kBytesPerMb = 1e6;
  const double free =
      (kind.memory_mb - holds.size() * pool.layer_mb) * kBytesPerMb;
  return std::max(0.0, free / (pool.token_bytes / pool.layers) / 1000);
}

// Seconds to prefill one token in one layer, including its share of the decode
// steps for other streams in the same pass.
static double PrefillSeconds(const EnginePool& pool,
                             const AcceleratorKind& kind) {
  if (pool.prefill_per_s <= 0 || pool.prefill_tokens_per_pass <= 0) return 0;
  const double prefill = kind.prefill_factor / pool.prefill_per_s;
  const double steps = kind.step_factor * pool.step_seconds *
                       pool.steps_per_pass / pool.prefill_tokens_per_pass;
  return (prefill + steps) / pool.layers;
}

void EndpointDirectory::ReportToTable(Time now, const DirectoryEntry& entry) {
  LoadReport report;
  report.incarnation = entry.listed.incarnation;
  report.slots = entry.slots;
  const ServiceSpec* spec =
      config_ != nullptr ? config_->Service(entry.listed.service) : nullptr;
  if (entry.runner && spec != nullptr && spec->engine) {
    const EnginePool& pool = *spec->engine;
    const AcceleratorKind* kind = pool.Kind(entry.runner->kind);
    report.model = entry.listed.service;
    report.version = entry.runner->version;
    report.layers = pool.layers;
    report.holds = entry.runner->holds;
    report.layer_seconds = pool.step_seconds / pool.layers *
                           (kind != nullptr ? kind->step_factor : 1);
    if (kind != nullptr) {
      report.memory_capacity = FreeMemoryOf(pool, *kind, report.holds);
      report.prefill_seconds = PrefillSeconds(pool, *kind);
    }
  }
  table_->OnReport(now, entry.listed.name, report);
}

void EndpointDirectory::OnMissing(Time now, const std::string& id) {
  AnnounceMissing(now, id);
  if (now < lapse_grace_end_ && entries_.contains(id)) {
    if (MarkMissing(now, id, lapse_grace_end_)) changes_.Record(id);
  } else {
    Drop(now, id);
  }
}

void EndpointDirectory::AnnounceMissing(Time now, const std::string& id) {
  const bool read =
      source_ == EntrySource::kStoreList || source_ == EntrySource::kStoreWatch;
  const DirectoryEntry* entry = Find(id);
  // After a restore it is no sign that the endpoint has left.
  if (!read || entry == nullptr || now < restore_grace_end_) return;
  if (entry->listed.state == ListedState::kLeaving) return;
  if (events_.on_missing_read)
    events_.on_missing_read(id, entry->listed.incarnation);
}

bool EndpointDirectory::MarkMissing(Time now, const std::string& id,
                                    Time until) {
  const bool first = missing_.Add(id, until, now < restore_grace_end_);
  if (first && events_.on_missing) events_.on_missing(id, source_, until - now);
  return first;
}

void EndpointDirectory::OnList(Time now,
                               const std::vector<DirectoryEntry>& entries,
                               const std::vector<std::string>& unreadable,
                               EntrySource source) {
  source_ = source;
  std::set<std::string> present;
  for (const DirectoryEntry& entry : entries) {
    const std::string& id = entry.listed.name;
    if (ApplyListed(now, entry) || quarantined_.contains(id))
      present.insert(id);
  }
  // At once: these are present, so they have not lapsed.
  for (const std::string& id : unreadable) Remove(id);
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const auto& [id, quarantined] : quarantined_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) OnMissing(now, id);
  UpdateTable(now);
}

bool EndpointDirectory::ApplyListed(Time now, const DirectoryEntry& entry) {
  const std::string& id = entry.listed.name;
  if (entry.lapses_in && !entries_.contains(id)) {
    // It is missing from the store, and was removed or quarantined here before.
    Drop(now, id);
    return false;
  }
  if (MustQuarantine(now, entry)) {
    Quarantine(now, entry);
    return false;
  }
  Apply(now, entry);
  return true;
}

void EndpointDirectory::OnChanges(Time now, const DirectoryChanges& changes) {
  source_ = EntrySource::kPeer;
  for (const DirectoryEntry& entry : changes.entries) {
    ApplyListed(now, entry);
    UpdateTableEntry(now, entry.listed.name);
  }
  for (const std::string& id : changes.removed) {
    const bool known = entries_.contains(id) || quarantined_.contains(id);
    if (!known) continue;
    OnMissing(now, id);
    UpdateTableEntry(now, id);
  }
  UpdateWithheld();
}

void EndpointDirectory::OnEntry(Time now, const DirectoryEntry& entry) {
  source_ = EntrySource::kStoreWatch;
  Apply(now, entry);
  UpdateTableEntry(now, entry.listed.name);
}

void EndpointDirectory::OnUnreadable(Time now, const std::string& id) {
  source_ = EntrySource::kStoreWatch;
  Remove(id);
  UpdateTableEntry(now, id);
}

void EndpointDirectory::OnRemoved(Time now, const std::string& id) {
  source_ = EntrySource::kStoreWatch;
  OnMissing(now, id);
  UpdateTableEntry(now, id);
}

void EndpointDirectory::OnLeaving(Time now, const std::string& id,
                                  uint64_t incarnation, EntrySource source) {
  source_ = source;
  Incarnations& incarnations = IncarnationsOf(now, id);
  const uint64_t resolved =
      IsKnownIncarnation(incarnation)
          ? incarnation
          : std::max(incarnations.newest, kUnknownIncarnation);
  incarnations.max_leaving = std::max(incarnations.max_leaving, resolved);
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  DirectoryEntry entry = it->second;
  const bool leaves = entry.listed.incarnation <= incarnations.max_leaving;
  if (!leaves || entry.listed.state == ListedState::kLeaving) return;
  entry.lapses_in = LapsesIn(now, id);
  Apply(now, entry);
  UpdateTableEntry(now, id);
  if (events_.on_leaving_reported) events_.on_leaving_reported();
}

bool EndpointDirectory::OnMissingReported(Time now, const std::string& id,
                                          uint64_t incarnation,
                                          uint64_t list_version) {
  source_ = EntrySource::kNotice;
  const DirectoryEntry* entry = Find(id);
  if (entry == nullptr || entry->listed.incarnation > incarnation) return false;
  if (entry->listed.state == ListedState::kLeaving) return false;
  if (!missing_.Report(id, list_version)) return false;
  if (events_.on_missing) events_.on_missing(id, source_, std::nullopt);
  UpdateTableEntry(now, id);
  return true;
}

void EndpointDirectory::OnListVersion(Time now, uint64_t list_version) {
  for (const std::string& id : missing_.TakeReports(list_version)) {
    if (events_.on_back) events_.on_back(id, source_);
    UpdateTableEntry(now, id);
  }
  UpdateWithheld();
}

void EndpointDirectory::OnRunnerState(Time now, const std::string& id,
                                      const RunnerState& state) {
  source_ = EntrySource::kEndpoint;
  if (state.leaving) OnLeaving(now, id, state.incarnation, source_);
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  DirectoryEntry entry = it->second;
  const uint64_t listed = entry.listed.incarnation;
  const bool comparable =
      IsKnownIncarnation(state.incarnation) && IsKnownIncarnation(listed);
  if (comparable && state.incarnation < listed) return;
  if (comparable && state.incarnation > listed) {
    entry.listed.incarnation = state.incarnation;
    entry.listed.state = ListedState::kLive;
  }
  entry.runner = state;
  entry.lapses_in = LapsesIn(now, id);
  if (!Apply(now, entry)) return;
  UpdateTableEntry(now, id);
}

// Erases ids without a recent update. Rate-limited: there are thousands.
void EndpointDirectory::EraseOldIncarnations(Time now) {
  if (now < next_erase_) return;
  next_erase_ = now + options_.incarnation_retention / 10;
  std::erase_if(incarnations_, [this, now](const auto& entry) {
    const bool old =
        !entries_.contains(entry.first) &&
        now - entry.second.updated >= options_.incarnation_retention;
    if (old) changes_.Erase(entry.first);
    return old;
  });
}

void EndpointDirectory::Tick(Time now) {
  source_ = EntrySource::kExpiry;
  EraseOldIncarnations(now);
  const std::vector<std::string> expired = missing_.Expired(now);
  for (const std::string& id : expired) Drop(now, id);
  std::vector<DirectoryEntry> confirmed;
  for (const auto& [id, quarantined] : quarantined_) {
    if (now >= quarantined.until) confirmed.push_back(quarantined.entry);
  }
  for (DirectoryEntry& entry : confirmed) {
    entry.quarantined_for.reset();
    Apply(now, entry);
    UpdateTableEntry(now, entry.listed.name);
  }
  for (const std::string& id : expired) UpdateTableEntry(now, id);
  UpdateWithheld();
}

}  // namespace pinford
