#include "util/hash.h"

#include <xxhash.h>

#include <array>
#include <cmath>

namespace pinford {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Hex64(uint64_t v) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string s(16, '0');
  for (int i = 15; i >= 0; i--, v >>= 4) s[i] = kDigits[v & 15];
  return s;
}

double UnitHash(std::string_view data) {
  // A double represents integers of 53 bits exactly.
  constexpr int kBits = 53;
  return std::ldexp(static_cast<double>(Hash64(data) >> (64 - kBits)), -kBits);
}

std::string Hash128Hex(std::string_view data) {
  XXH128_hash_t h = XXH3_128bits(data.data(), data.size());
  return Hex64(h.high64) + Hex64(h.low64);
}

Random SeededRandom() {
  std::random_device device;
  std::array<uint32_t, 8> words{};
  for (uint32_t& w : words) w = device();
  std::seed_seq seq(words.begin(), words.end());
  return Random(seq);
}

std::string NewId(Random& random) { return Hex64(random()) + Hex64(random()); }

uint64_t RendezvousWeight(std::string_view node, std::string_view key) {
  return Hash64(key, Hash64(node));
}

}  // namespace pinford
