#include "pinford/forwarding/request_fingerprint.h"

#include <cstdint>
#include <cstring>
#include <initializer_list>

#include "util/hash.h"
#include "util/keyed_hash.h"

namespace pinford {

// Precedes each field by its length, so that no two inputs write alike.
static void Append(std::string_view field, std::string* out) {
  out->append(Hex64(field.size()));
  out->append(field);
}

struct HashWords {
  uint64_t first;
  uint64_t second;
};
static_assert(sizeof(HashWords) == kKeyedHashBytes);

static HashWords HashFields(std::string_view key,
                            std::initializer_list<std::string_view> fields) {
  constexpr size_t kLengthDigits = 16;
  size_t bytes = 0;
  for (const std::string_view field : fields)
    bytes += kLengthDigits + field.size();
  std::string text;
  text.reserve(bytes);
  for (const std::string_view field : fields) Append(field, &text);
  const std::string hash = KeyedHash(key, text);
  HashWords words;
  std::memcpy(&words, hash.data(), sizeof(words));
  return words;
}

std::string RequestFingerprint(std::string_view key,
                               const FingerprintInput& input) {
  const HashWords hash = HashFields(
      key,
      {input.method, input.host, input.target, input.customer, input.body});
  return Hex64(hash.first) + Hex64(hash.second);
}

std::string PromptPartFingerprint(std::string_view key,
                                  std::string_view service,
                                  std::string_view part) {
  const HashWords hash = HashFields(key, {kPromptPartPrefix, service, part});
  return std::string(kPromptPartPrefix) + Hex64(hash.first);
}

bool IsPromptPart(std::string_view fingerprint) {
  return fingerprint.starts_with(kPromptPartPrefix);
}

}  // namespace pinford
