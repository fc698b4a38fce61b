#include "pinford/forwarding/request_fingerprint.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstdint>
#include <cstring>

#include "util/hash.h"

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
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest,
       &n);
  uint64_t words[2];
  std::memcpy(words, digest, sizeof(words));
  return Hex64(words[0]) + Hex64(words[1]);
}

}  // namespace pinford
