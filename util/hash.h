// Hashing and identifiers, using xxHash and the standard random generators.

#ifndef UTIL_HASH_H_
#define UTIL_HASH_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace pinford {

using Random = std::mt19937_64;

// XXH3, 64 bits. Stable across processes and versions.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// Hash64 mapped to [0, 1).
double UnitHash(std::string_view data);

// XXH3, 128 bits, as 32 hexadecimal digits.
std::string Hash128Hex(std::string_view data);

std::string Hex64(uint64_t v);

// Returns a generator seeded from the system's entropy source.
Random SeededRandom();

// 32 hexadecimal digits, unique in practice.
std::string NewId(Random& random);

// Weight for highest-random-weight (rendezvous) hashing (Thaler and
// Ravishankar, 1998). Everyone with the same set of nodes chooses the same node
// for `key`, the one with the greatest weight; adding or removing a node only
// moves that node's keys.
uint64_t RendezvousWeight(std::string_view node, std::string_view key);

}  // namespace pinford

#endif  // UTIL_HASH_H_
