#include "pinford/forwarding/request_fingerprint.h"

#include <cstdint>
#include <cstring>

#include "util/hash.h"
#include "util/keyed_hash.h"

namespace pinford {

// Precedes each field by its length, so that no two inputs write alike.
static void Append(std::string_view field, std::string* out) {
  out->append(Hex64(field.size()));
  out->append(field);
}

std::string RequestFingerprint(std::string_view key,
                               const FingerprintInput& input) {
  std::string text;
  for (const std::string_view field :
       {input.method, input.host, input.target, input.customer, input.body}) {
    Append(field, &text);
  }
  const std::string hash = KeyedHash(key, text);
  uint64_t words[2];
  static_assert(sizeof(words) == kKeyedHashBytes);
  std::memcpy(words, hash.data(), sizeof(words));
  return Hex64(words[0]) + Hex64(words[1]);
}

}  // namespace pinford
