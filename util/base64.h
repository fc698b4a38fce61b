// Base64 with padding (RFC 4648, section 4), over OpenSSL.

#ifndef UTIL_BASE64_H_
#define UTIL_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace pinford {

std::string EncodeBase64(std::string_view bytes);
// Returns nullopt unless `text` is valid base64 with padding.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace pinford

#endif  // UTIL_BASE64_H_
