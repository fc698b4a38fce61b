// Text made smaller for the way to a peer, in zlib's format.

#ifndef UTIL_DEFLATE_H_
#define UTIL_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

// Fast rather than small: lists in JSON shrink to a tenth or less all the same.
std::string Deflate(std::string_view text);

// Nothing for bytes that Deflate did not make, or that hold more than `most`.
std::optional<std::string> Inflate(std::string_view bytes, size_t max_size);

}  // namespace pinford

#endif  // UTIL_DEFLATE_H_
