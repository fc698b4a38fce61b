// The operators' configuration: one document, stored under one key of the
// platform's key-value service.
//
// The document carries its generation, which only increases, the id of the
// submission that wrote it, and the ids of earlier submissions. By these ids a
// submission whose reply was lost can be recognized even after others have
// overwritten it.

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
  uint64_t generation = 0;  // 0: nothing was submitted yet
  std::string submission;
  std::string author;
  std::vector<PolicyFile> policy;

  struct HistoryEntry {
    uint64_t generation = 0;
    std::string submission;
    friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
  };
  std::vector<HistoryEntry> history;  // newest first

  // The generation that `submission` created, if it is the current one or in
  // `history`.
  std::optional<uint64_t> GenerationOf(std::string_view submission) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

// Covers about 40 minutes at 8,300 changes a day.
inline constexpr size_t kMaxHistoryLength = 256;

std::string WriteConfiguration(const Configuration& c);
std::optional<Configuration> ParseConfiguration(std::string_view json);

// Returns the generation that follows `base`, with the given content.
Configuration MakeSuccessor(const Configuration& base, std::string submission,
                            std::string author, std::vector<PolicyFile> policy);

}  // namespace pinford

#endif  // PINFORD_CONFIGURATION_H_
