// Hashing and identifiers, over xxHash and the standard generators.

#ifndef UTIL_HASH_H_
#define UTIL_HASH_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace pinford {

using Random = std::mt19937_64;

// XXH3, 64 bits. Stable over processes and versions.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

// The same as a number in [0, 1).
double UnitHash(std::string_view data);

// XXH3, 128 bits, as 32 hexadecimal digits.
std::string Hash128Hex(std::string_view data);

std::string Hex64(uint64_t v);

// A generator seeded from the system's entropy.
Random SeededRandom();

// 32 hexadecimal digits, unique in practice.
std::string NewId(Random& random);

// Highest-random-weight hashing (Thaler and Ravishankar, 1998): every caller
// with the same set of nodes picks the same node for `key`, and a change of
// the set moves only the keys of the node that came or went.
uint64_t RendezvousWeight(std::string_view node, std::string_view key);

}  // namespace pinford

#endif  // UTIL_HASH_H_
