// What peers have on endpoints, as one box has heard it.

#ifndef PINFORD_PEER_COUNTS_H_
#define PINFORD_PEER_COUNTS_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "util/hash.h"

namespace pinford {

// Names of boxes and endpoints, short enough to be told many at a time. Two
// that share one, 4 in 1,000 fleets of 6,100, are counted as each other.
inline uint32_t NameId(std::string_view name) {
  return static_cast<uint32_t>(Hash64(name));
}

// On one endpoint, of all peers.
struct PeerCount {
  int work = 0;     // as EndpointTable counts it
  int entries = 0;  // requests that have it as their first stage
};

using PeerCounts = std::unordered_map<uint32_t, PeerCount>;  // by NameId

}  // namespace pinford

#endif  // PINFORD_PEER_COUNTS_H_
