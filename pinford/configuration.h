// The operators' configuration: one document, kept in one key of the
// platform's service.
//
// The document carries its own generation, which only grows, the id of the
// submission that wrote it, and the ids of those before it. The ids make a
// submission whose reply was lost recognisable, even after others have
// written over it.

#ifndef PINFORD_CONFIGURATION_H_
#define PINFORD_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/policy.h"

namespace pinford {

inline constexpr char kConfigurationKey[] = "pinford/configuration";
inline constexpr char kEndpointListKey[] = "platform/endpoints";

struct Configuration {
  uint64_t generation = 0;  // 0: none was ever submitted
  std::string submission;
  std::string author;
  std::vector<PolicyFile> policy;

  struct HistoryEntry {
    uint64_t generation = 0;
    std::string submission;
    friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
  };
  std::vector<HistoryEntry> history;  // newest first

  // The generation that `submission` got, if it is this one or in history.
  std::optional<uint64_t> GenerationOf(std::string_view submission) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// At the letter's 8,300 changes a day this covers about 40 minutes.
inline constexpr size_t kMaxHistoryLength = 256;

std::string WriteConfiguration(const Configuration& c);
std::optional<Configuration> ParseConfiguration(std::string_view json);

// `next` as the successor of `base`.
Configuration Succeed(const Configuration& base, std::string submission,
                      std::string author, std::vector<PolicyFile> policy);

}  // namespace pinford

#endif  // PINFORD_CONFIGURATION_H_
