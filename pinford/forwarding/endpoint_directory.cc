#include "pinford/forwarding/endpoint_directory.h"

#include <algorithm>
#include <set>

#include "util/json.h"

namespace pinford {

static Json WriteRunner(const RunnerState& r) {
  return Json{{"kind", r.kind},         {"version", r.version},
              {"begin", r.holds.begin}, {"end", r.holds.end},
              {"orders", r.orders},     {"incarnation", r.incarnation}};
}

static Json WriteEntries(const std::vector<DirectoryEntry>& entries) {
  Json list = Json::array();
  for (const DirectoryEntry& e : entries) {
    Json row = {{"id", e.listed.name},
                {"service", e.listed.service},
                {"address", e.listed.address.ToString()},
                {"hall", e.listed.hall},
                {"state", ListedStateName(e.listed.state)},
                {"slots", e.slots},
                {"incarnation", e.listed.incarnation}};
    if (e.runner) row["runner"] = WriteRunner(*e.runner);
    if (e.lapses_in) row["lapses_in_ms"] = ToMillis(*e.lapses_in);
    if (e.doubted_for) row["doubted_for_ms"] = ToMillis(*e.doubted_for);
    list.push_back(std::move(row));
  }
  return list;
}

std::string WriteDirectory(const std::vector<DirectoryEntry>& entries) {
  return DumpJson(WriteEntries(entries));
}

std::string WriteChanges(const DirectoryChanges& changes) {
  return DumpJson(
      Json{{"entries", WriteEntries(changes.entries)}, {"gone", changes.gone}});
}

static std::optional<Duration> ParseSpan(const Json& v, const char* field) {
  constexpr int kMostMs = 60'000;
  if (!v.contains(field)) return std::nullopt;
  return milliseconds(std::clamp(JsonField(v, field, 0), 0, kMostMs));
}

static std::optional<DirectoryEntry> ParseEntry(const Json& v) {
  DirectoryEntry e;
  e.listed.name = JsonField<std::string>(v, "id", "");
  e.listed.service = JsonField<std::string>(v, "service", "");
  e.listed.hall = JsonField<std::string>(v, "hall", "");
  // 0 from a box whose version tells no lives.
  e.listed.incarnation = JsonField<uint64_t>(v, "incarnation", 0);
  e.slots = JsonField(v, "slots", 1);
  const auto address = Address::Parse(JsonField<std::string>(v, "address", ""));
  const auto state = ListedStateNamed(JsonField<std::string>(v, "state", ""));
  if (e.listed.name.empty() || !address || !state) return std::nullopt;
  e.listed.address = *address;
  e.listed.state = *state;
  e.lapses_in = ParseSpan(v, "lapses_in_ms");
  e.doubted_for = ParseSpan(v, "doubted_for_ms");
  auto runner = v.find("runner");
  if (runner == v.end()) return e;
  e.runner = RunnerState{
      JsonField<std::string>(*runner, "kind", ""),
      JsonField<std::string>(*runner, "version", ""),
      {JsonField(*runner, "begin", 0), JsonField(*runner, "end", 0)},
      JsonField<uint64_t>(*runner, "orders", 0),
      JsonField<uint64_t>(*runner, "incarnation", kUnknownIncarnation)};
  return e;
}

static std::optional<std::vector<DirectoryEntry>> ParseEntries(
    const Json& list) {
  if (!list.is_array()) return std::nullopt;
  std::vector<DirectoryEntry> entries;
  for (const Json& v : list) {
    std::optional<DirectoryEntry> e = ParseEntry(v);
    if (!e) return std::nullopt;
    entries.push_back(std::move(*e));
  }
  return entries;
}

std::optional<std::vector<DirectoryEntry>> ParseDirectory(
    std::string_view text) {
  return ParseEntries(ParseJson(text));
}

std::optional<DirectoryChanges> ParseChanges(std::string_view text) {
  const Json v = ParseJson(text);
  if (!v.is_object() || !v.contains("entries")) return std::nullopt;
  auto entries = ParseEntries(v["entries"]);
  if (!entries) return std::nullopt;
  DirectoryChanges changes;
  changes.entries = std::move(*entries);
  for (const Json& id : JsonList(v, "gone")) {
    if (!id.is_string()) return std::nullopt;
    changes.gone.push_back(id.get<std::string>());
  }
  return changes;
}

bool FitsPool(const EnginePool& pool, const RunnerState& runner) {
  return runner.holds.begin >= 0 && runner.holds.begin <= runner.holds.end &&
         runner.holds.end <= pool.layers;
}

void EndpointDirectory::set_configuration(
    Time now, std::shared_ptr<const ServiceConfiguration> config) {
  config_ = std::move(config);
  for (auto& [id, entry] : entries_) entry.listed.role = RoleOf(entry);
  state_++;
  double crossing = 0;
  for (const ServiceSpec& spec : config_->services) {
    if (spec.engine)
      crossing = std::max(crossing, spec.engine->transfer_seconds_per_token);
  }
  table_->set_transfer_seconds_per_token(crossing);
  Refresh(now);
}

// Whether its service has an engine decides what an entry is.
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

std::optional<DirectoryEntry> EndpointDirectory::CopyOf(
    Time now, const std::string& id) const {
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    DirectoryEntry copy = it->second;
    copy.lapses_in = LapsesIn(now, id);
    return copy;
  }
  const auto doubted = doubted_.find(id);
  if (doubted == doubted_.end()) return std::nullopt;
  DirectoryEntry copy = doubted->second.entry;
  copy.doubted_for = std::max(Duration(0), doubted->second.until - now);
  return copy;
}

std::vector<DirectoryEntry> EndpointDirectory::Snapshot(Time now) const {
  std::vector<DirectoryEntry> copy;
  copy.reserve(entries_.size() + doubted_.size());
  for (const auto& [id, entry] : entries_) copy.push_back(*CopyOf(now, id));
  for (const auto& [id, doubted] : doubted_) copy.push_back(*CopyOf(now, id));
  return copy;
}

std::optional<DirectoryChanges> EndpointDirectory::ChangesSince(
    Time now, uint64_t at) const {
  const std::optional<std::vector<std::string>> ids = changes_.Since(at);
  if (!ids) return std::nullopt;
  DirectoryChanges changes;
  for (const std::string& id : *ids) {
    if (std::optional<DirectoryEntry> entry = CopyOf(now, id)) {
      changes.entries.push_back(std::move(*entry));
    } else {
      changes.gone.push_back(id);
    }
  }
  return changes;
}

std::optional<Duration> EndpointDirectory::LapsesIn(
    Time now, const std::string& id) const {
  auto lapsed = lapsed_.find(id);
  if (lapsed == lapsed_.end()) return std::nullopt;
  return std::max(Duration(0), lapsed->second - now);
}

EndpointDirectory::Lives& EndpointDirectory::LivesOf(Time now,
                                                     const std::string& id) {
  Lives& lives = lives_[id];
  lives.heard = now;
  return lives;
}

bool EndpointDirectory::SettleLife(Time now, DirectoryEntry* entry) {
  ListedEndpoint& listed = entry->listed;
  Lives& lives = LivesOf(now, listed.name);
  uint64_t& life = listed.incarnation;
  if (life == 0) life = std::max(lives.newest, kUnknownIncarnation);
  if (IsKnownIncarnation(lives.newest) && !IsKnownIncarnation(life)) {
    if (events_.on_rejected) {
      events_.on_rejected(listed.name, "it tells no life, and did before");
    }
    Remove(listed.name);
    return false;
  }
  if (life < lives.newest) return false;
  // A mark that tells no life may be of this one.
  if (IsKnownIncarnation(life) && lives.left == kUnknownIncarnation)
    lives.left = life;
  if (listed.state == ListedState::kLeaving) {
    lives.left = std::max(lives.left, life);
  }
  lives.newest = life;
  if (life <= lives.left) listed.state = ListedState::kLeaving;
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

// Whether a peer's copies of both would be alike.
static bool SameWords(const DirectoryEntry& a, const DirectoryEntry& b) {
  const ListedEndpoint& x = a.listed;
  const ListedEndpoint& y = b.listed;
  return x.service == y.service && x.hall == y.hall && x.address == y.address &&
         x.state == y.state && x.incarnation == y.incarnation &&
         a.slots == b.slots && a.runner == b.runner;
}

bool EndpointDirectory::Take(Time now, DirectoryEntry entry) {
  state_++;
  const std::string id = entry.listed.name;
  const uint64_t known = LivesOf(now, id).newest;
  if (!SettleLife(now, &entry)) return false;
  bool news = doubted_.erase(id) > 0;
  if (entry.lapses_in) {
    auto [lapsed, first] = lapsed_.emplace(id, now + *entry.lapses_in);
    lapsed->second = std::min(lapsed->second, now + *entry.lapses_in);
    news = news || first;
  } else {
    news = lapsed_.erase(id) > 0 || news;
  }
  LivesOf(now, id).gone = false;
  auto [it, fresh] = entries_.try_emplace(id, entry);
  const DirectoryEntry before = it->second;
  it->second = entry;
  DirectoryEntry& kept = it->second;
  kept.lapses_in.reset();
  kept.doubted_for.reset();
  kept.listed.role = RoleOf(kept);
  if (news || fresh || !SameWords(before, kept)) changes_.Note(id);
  const bool anew = IsNewerIncarnation(known, kept.listed.incarnation);
  if (anew) {
    // Before anybody places work again that ran there.
    table_->OnRestart(now, id);
    if (events_.on_restarted) events_.on_restarted(kept, known);
  }
  if (fresh && events_.on_joined) events_.on_joined(kept);
  const bool first = fresh || anew;
  const bool leaves = kept.listed.state == ListedState::kLeaving &&
                      (first || before.listed.state != ListedState::kLeaving);
  if (leaves && events_.on_leaving) events_.on_leaving(id);
  const LayerRange held = before.runner ? before.runner->holds : LayerRange();
  const bool moved = kept.runner && (fresh || !(kept.runner->holds == held));
  if (moved && events_.on_layers_changed) {
    events_.on_layers_changed(kept, fresh ? LayerRange() : held);
  }
  return true;
}

void EndpointDirectory::OnStoreRestored(Time now) {
  OnStoreReachable(now);
  doubt_until_ = now + options_.doubt;
  for (auto& [id, doubted] : doubted_) doubted.until = doubt_until_;
}

bool EndpointDirectory::Doubted(Time now, const DirectoryEntry& entry) const {
  if (entry.doubted_for) return true;
  if (now >= doubt_until_) return false;
  const auto lives = lives_.find(entry.listed.name);
  return lives != lives_.end() && lives->second.gone &&
         entry.listed.incarnation <= lives->second.newest;
}

void EndpointDirectory::Doubt(Time now, const DirectoryEntry& entry) {
  const Time until =
      entry.doubted_for ? now + *entry.doubted_for : doubt_until_;
  // Who doubts it has seen it go.
  Drop(now, entry.listed.name);
  doubted_[entry.listed.name] = {entry, until};
  changes_.Note(entry.listed.name);
}

void EndpointDirectory::Drop(Time now, const std::string& id) {
  LivesOf(now, id).gone = true;
  Remove(id);
}

void EndpointDirectory::Remove(const std::string& id) {
  state_++;
  lapsed_.erase(id);
  const bool doubted = doubted_.erase(id) > 0;
  const bool there = entries_.erase(id) > 0;
  if (doubted || there) changes_.Note(id);
  if (!there) return;
  if (events_.on_removed) events_.on_removed(id);
}

void EndpointDirectory::Refresh(Time now) {
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
    if (!unusable_.contains(id)) Report(now, entry);
  }
}

// Of 3,000 entries one changes at a time: to hand over all took 1.5 ms, a
// hundredth of a small box's second at each of eight changes.
void EndpointDirectory::RefreshOne(Time now, const std::string& id) {
  const auto it = entries_.find(id);
  const bool there = it != entries_.end();
  const bool usable = there && Usable(it->second);
  if (there && !usable) {
    unusable_.insert(id);
  } else {
    unusable_.erase(id);
  }
  if (!usable) {
    table_->OnUnlisted(id);
    return;
  }
  table_->OnListed(it->second.listed);
  Report(now, it->second);
}

// Layers times thousands of tokens that fit beside the weights.
static double RoomOf(const EnginePool& pool, const AcceleratorKind& kind,
                     const LayerRange& holds) {
  if (pool.token_bytes <= 0) return 0;
  constexpr double kBytesPerMb = 1e6;
  const double free =
      (kind.memory_mb - holds.size() * pool.layer_mb) * kBytesPerMb;
  return std::max(0.0, free / (pool.token_bytes / pool.layers) / 1000);
}

// Seconds that a token of a prompt takes in one layer, its share of the steps
// that the pass plays for other streams among them.
static double ReadSeconds(const EnginePool& pool, const AcceleratorKind& kind) {
  if (pool.prefill_per_s <= 0 || pool.prefill_tokens_per_pass <= 0) return 0;
  const double read = kind.prefill_factor / pool.prefill_per_s;
  const double steps = kind.step_factor * pool.step_seconds *
                       pool.steps_per_pass / pool.prefill_tokens_per_pass;
  return (read + steps) / pool.layers;
}

void EndpointDirectory::Report(Time now, const DirectoryEntry& entry) {
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
      report.memory_capacity = RoomOf(pool, *kind, report.holds);
      report.prefill_seconds = ReadSeconds(pool, *kind);
    }
  }
  table_->OnReport(now, entry.listed.name, report);
}

void EndpointDirectory::Missing(Time now, const std::string& id) {
  if (now < settled_ && entries_.contains(id)) {
    if (lapsed_.emplace(id, settled_).second) changes_.Note(id);
  } else {
    Drop(now, id);
  }
}

void EndpointDirectory::OnList(Time now,
                               const std::vector<DirectoryEntry>& entries,
                               const std::vector<std::string>& unreadable) {
  std::set<std::string> present;
  for (const DirectoryEntry& entry : entries) {
    const std::string& id = entry.listed.name;
    if (TakeCopied(now, entry) || doubted_.contains(id)) present.insert(id);
  }
  // At once: these are not missing, and have not lapsed.
  for (const std::string& id : unreadable) Remove(id);
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const auto& [id, doubted] : doubted_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Missing(now, id);
  Refresh(now);
}

bool EndpointDirectory::TakeCopied(Time now, const DirectoryEntry& entry) {
  const std::string& id = entry.listed.name;
  if (entry.lapses_in && !entries_.contains(id)) {
    // It is missing from the store, and was dropped here or doubted before.
    Drop(now, id);
    return false;
  }
  if (Doubted(now, entry)) {
    Doubt(now, entry);
    return false;
  }
  Take(now, entry);
  return true;
}

void EndpointDirectory::OnChanges(Time now, const DirectoryChanges& changes) {
  for (const DirectoryEntry& entry : changes.entries) {
    TakeCopied(now, entry);
    RefreshOne(now, entry.listed.name);
  }
  for (const std::string& id : changes.gone) {
    const bool known = entries_.contains(id) || doubted_.contains(id);
    if (known) OnRemoved(now, id);
  }
}

void EndpointDirectory::OnEntry(Time now, const DirectoryEntry& entry) {
  Take(now, entry);
  RefreshOne(now, entry.listed.name);
}

void EndpointDirectory::OnUnreadable(Time now, const std::string& id) {
  Remove(id);
  RefreshOne(now, id);
}

void EndpointDirectory::OnRemoved(Time now, const std::string& id) {
  Missing(now, id);
  RefreshOne(now, id);
}

void EndpointDirectory::OnLeaving(Time now, const std::string& id,
                                  uint64_t incarnation) {
  Lives& lives = LivesOf(now, id);
  const uint64_t life = IsKnownIncarnation(incarnation)
                            ? incarnation
                            : std::max(lives.newest, kUnknownIncarnation);
  lives.left = std::max(lives.left, life);
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  DirectoryEntry entry = it->second;
  const bool leaves = entry.listed.incarnation <= lives.left;
  if (!leaves || entry.listed.state == ListedState::kLeaving) return;
  entry.lapses_in = LapsesIn(now, id);
  OnEntry(now, entry);
}

void EndpointDirectory::OnRunnerState(Time now, const std::string& id,
                                      const RunnerState& state) {
  if (state.leaving) OnLeaving(now, id, state.incarnation);
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  DirectoryEntry entry = it->second;
  const uint64_t listed = entry.listed.incarnation;
  const bool told =
      IsKnownIncarnation(state.incarnation) && IsKnownIncarnation(listed);
  if (told && state.incarnation < listed) return;
  if (told && state.incarnation > listed) {
    entry.listed.incarnation = state.incarnation;
    entry.listed.state = ListedState::kLive;
  }
  entry.runner = state;
  entry.lapses_in = LapsesIn(now, id);
  if (!Take(now, entry)) return;
  RefreshOne(now, id);
}

// Ids that were not heard of for long. Not each time: there are thousands.
void EndpointDirectory::ForgetLives(Time now) {
  if (now < next_forget_) return;
  next_forget_ = now + options_.remember_lives / 10;
  std::erase_if(lives_, [this, now](const auto& entry) {
    const bool old = !entries_.contains(entry.first) &&
                     now - entry.second.heard >= options_.remember_lives;
    if (old) changes_.Forget(entry.first);
    return old;
  });
}

void EndpointDirectory::Tick(Time now) {
  ForgetLives(now);
  std::vector<std::string> over;
  for (const auto& [id, until] : lapsed_) {
    if (now >= until) over.push_back(id);
  }
  for (const std::string& id : over) Drop(now, id);
  std::vector<DirectoryEntry> stood;
  for (const auto& [id, doubted] : doubted_) {
    if (now >= doubted.until) stood.push_back(doubted.entry);
  }
  for (DirectoryEntry& entry : stood) {
    entry.doubted_for.reset();
    Take(now, entry);
    RefreshOne(now, entry.listed.name);
  }
  for (const std::string& id : over) RefreshOne(now, id);
}

}  // namespace pinford
