#include "util/keyed_hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace pinford {

std::string KeyedHash(std::string_view key, std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest,
       &n);
  return {reinterpret_cast<const char*>(digest), kKeyedHashBytes};
}

}  // namespace pinford
