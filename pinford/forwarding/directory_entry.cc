#include "pinford/forwarding/directory_entry.h"

#include <algorithm>

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
    if (e.quarantined_for) row["doubted_for_ms"] = ToMillis(*e.quarantined_for);
    list.push_back(std::move(row));
  }
  return list;
}

std::string WriteDirectory(const std::vector<DirectoryEntry>& entries) {
  return DumpJson(WriteEntries(entries));
}

std::string WriteChanges(const DirectoryChanges& changes) {
  return DumpJson(Json{{"entries", WriteEntries(changes.entries)},
                       {"gone", changes.removed}});
}

static std::optional<Duration> ParseDuration(const Json& v, const char* field) {
  constexpr int kMaxMs = 60'000;
  if (!v.contains(field)) return std::nullopt;
  return milliseconds(std::clamp(JsonField(v, field, 0), 0, kMaxMs));
}

static std::optional<DirectoryEntry> ParseEntry(const Json& v) {
  DirectoryEntry e;
  e.listed.name = JsonField<std::string>(v, "id", "");
  e.listed.service = JsonField<std::string>(v, "service", "");
  e.listed.hall = JsonField<std::string>(v, "hall", "");
  // 0: the sender's version does not know incarnations.
  e.listed.incarnation = JsonField<uint64_t>(v, "incarnation", 0);
  e.slots = JsonField(v, "slots", 1);
  const auto address = Address::Parse(JsonField<std::string>(v, "address", ""));
  const auto state = ListedStateNamed(JsonField<std::string>(v, "state", ""));
  if (e.listed.name.empty() || !address || !state) return std::nullopt;
  e.listed.address = *address;
  e.listed.state = *state;
  e.lapses_in = ParseDuration(v, "lapses_in_ms");
  e.quarantined_for = ParseDuration(v, "doubted_for_ms");
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
    changes.removed.push_back(id.get<std::string>());
  }
  return changes;
}

bool FitsPool(const EnginePool& pool, const RunnerState& runner) {
  return runner.holds.begin >= 0 && runner.holds.begin <= runner.holds.end &&
         runner.holds.end <= pool.layers;
}

}  // namespace pinford
