// Compression of texts sent to peers, in zlib format.

#ifndef UTIL_DEFLATE_H_
#define UTIL_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

// Uses the fastest level: even so, JSON lists shrink to a tenth or less.
std::string Deflate(std::string_view text);

// Returns nullopt if `bytes` is not a complete zlib stream or expands to more
// than `max_size` bytes.
std::optional<std::string> Inflate(std::string_view bytes, size_t max_size);

}  // namespace pinford

#endif  // UTIL_DEFLATE_H_
