#include "pinford/endpoint_directory.h"

#include <set>

namespace pinford {

void EndpointDirectory::set_configuration(
    Time now, std::shared_ptr<const ServiceConfiguration> config) {
  config_ = std::move(config);
  for (auto& [id, entry] : entries_) entry.listed.role = RoleOf(entry);
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

void EndpointDirectory::Take(const DirectoryEntry& entry) {
  const std::string& id = entry.listed.name;
  lapsed_.erase(id);
  auto [it, fresh] = entries_.try_emplace(id, entry);
  const DirectoryEntry before = it->second;
  it->second = entry;
  DirectoryEntry& kept = it->second;
  // That an endpoint leaves is believed for good.
  if (before.listed.state == ListedState::kLeaving) {
    kept.listed.state = ListedState::kLeaving;
  }
  kept.listed.role = RoleOf(kept);
  if (fresh && events_.on_joined) events_.on_joined(kept);
  const bool leaves = kept.listed.state == ListedState::kLeaving &&
                      (fresh || before.listed.state != ListedState::kLeaving);
  if (leaves && events_.on_leaving) events_.on_leaving(id);
  const LayerRange held = before.runner ? before.runner->holds : LayerRange();
  const bool moved = kept.runner && (fresh || !(kept.runner->holds == held));
  if (moved && events_.on_holds) {
    events_.on_holds(kept, fresh ? LayerRange() : held);
  }
}

void EndpointDirectory::Remove(const std::string& id) {
  if (entries_.erase(id) == 0) return;
  lapsed_.erase(id);
  if (events_.on_gone) events_.on_gone(id);
}

// Hands all entries to the table.
void EndpointDirectory::Refresh(Time now) {
  std::vector<ListedEndpoint> list;
  list.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) list.push_back(entry.listed);
  table_->OnList(list);
  for (const auto& [id, entry] : entries_) Report(now, entry);
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
  }
  table_->OnReport(now, entry.listed.name, report);
}

void EndpointDirectory::Missing(Time now, const std::string& id) {
  if (now < settled_) {
    lapsed_.emplace(id, settled_);
  } else {
    Remove(id);
  }
}

void EndpointDirectory::OnList(Time now,
                               const std::vector<DirectoryEntry>& entries) {
  std::set<std::string> present;
  for (const DirectoryEntry& entry : entries) {
    present.insert(entry.listed.name);
    Take(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!present.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Missing(now, id);
  Refresh(now);
}

void EndpointDirectory::OnEntry(Time now, const DirectoryEntry& entry) {
  Take(entry);
  Refresh(now);
}

void EndpointDirectory::OnGone(Time now, const std::string& id) {
  Missing(now, id);
  Refresh(now);
}

void EndpointDirectory::OnRunnerState(Time now, const std::string& id,
                                      const RunnerState& state) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return;
  DirectoryEntry entry = it->second;
  entry.runner = state;
  Take(entry);
  Report(now, it->second);
}

void EndpointDirectory::Tick(Time now) {
  std::vector<std::string> over;
  for (const auto& [id, until] : lapsed_) {
    if (now >= until) over.push_back(id);
  }
  for (const std::string& id : over) Remove(id);
  if (!over.empty()) Refresh(now);
}

}  // namespace pinford
