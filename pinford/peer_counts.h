// What peers have on endpoints, as this box has received it.

#ifndef PINFORD_PEER_COUNTS_H_
#define PINFORD_PEER_COUNTS_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "util/hash.h"

namespace pinford {

// A short id for the name of a box or an endpoint, so that many fit into a
// message. Names that share an id, which happens in 4 of 1,000 fleets of 6,100,
// are counted as one.
inline uint32_t NameId(std::string_view name) {
  return static_cast<uint32_t>(Hash64(name));
}

// On one endpoint, of all peers.
struct PeerCount {
  int work = 0;     // in EndpointTable's units
  int entries = 0;  // requests that have their first stage there
};

using PeerCounts = std::unordered_map<uint32_t, PeerCount>;  // by NameId

}  // namespace pinford

#endif  // PINFORD_PEER_COUNTS_H_
