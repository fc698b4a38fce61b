// An entry of the list of endpoints, and the format in which peers send each
// other the list and its changes.

#ifndef PINFORD_FORWARDING_DIRECTORY_ENTRY_H_
#define PINFORD_FORWARDING_DIRECTORY_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/endpoint.h"
#include "pinford/forwarding/service_configuration.h"
#include "util/clock.h"

namespace pinford {

// For endpoints that report no incarnation. Ids are then never reused.
inline constexpr uint64_t kUnknownIncarnation = 1;
inline bool IsKnownIncarnation(uint64_t incarnation) {
  return incarnation > kUnknownIncarnation;
}
// Whether `now` is a newer incarnation than `before`. False if either is
// unknown.
inline bool IsNewerIncarnation(uint64_t before, uint64_t now) {
  return IsKnownIncarnation(before) && now > before;
}

// A runner's own state.
struct RunnerState {
  std::string kind;     // accelerator kind
  std::string version;  // version of its weights
  LayerRange holds;
  uint64_t orders = 0;  // orders accepted by this incarnation
  uint64_t incarnation = kUnknownIncarnation;
  bool leaving = false;  // set by reports only; list entries have `state`

  bool operator==(const RunnerState&) const = default;
};

// listed.name is the id. listed.incarnation is 0 in entries of a sender that
// does not report incarnations.
struct DirectoryEntry {
  ListedEndpoint listed;
  int slots = 1;  // concurrent requests
  std::optional<RunnerState> runner;
  // In snapshots: the entry is missing from the store and is removed unless it
  // is back within this time.
  std::optional<Duration> lapses_in;
  // In snapshots: the entry was removed before and is known from a restored
  // backup only; it is not applied before this time.
  std::optional<Duration> quarantined_for;
};

// Serializes the list for a peer and parses it. nullopt if malformed.
std::string WriteDirectory(const std::vector<DirectoryEntry>& entries);
std::optional<std::vector<DirectoryEntry>> ParseDirectory(
    std::string_view text);

// Changes to a list: current entries, and ids of removed ones.
struct DirectoryChanges {
  std::vector<DirectoryEntry> entries;
  std::vector<std::string> removed;

  bool empty() const { return entries.empty() && removed.empty(); }
};
std::string WriteChanges(const DirectoryChanges& changes);
std::optional<DirectoryChanges> ParseChanges(std::string_view text);

// Whether the runner's layers are within the pool's model.
bool FitsPool(const EnginePool& pool, const RunnerState& runner);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_DIRECTORY_ENTRY_H_
