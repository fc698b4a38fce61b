#ifndef UTIL_KEYED_HASH_H_
#define UTIL_KEYED_HASH_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace pinford {

inline constexpr size_t kKeyedHashBytes = 16;

// HMAC-SHA256, cut to kKeyedHashBytes. Without the key it can neither be
// predicted nor made to collide.
std::string KeyedHash(std::string_view key, std::string_view data);

}  // namespace pinford

#endif  // UTIL_KEYED_HASH_H_
