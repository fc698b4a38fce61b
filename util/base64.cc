#include "util/base64.h"

#include <openssl/evp.h>

namespace pinford {

static const unsigned char* Bytes(std::string_view s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}

std::string EncodeBase64(std::string_view bytes) {
  // OpenSSL writes a terminating zero byte.
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                Bytes(bytes), static_cast<int>(bytes.size()));
  out.resize(n);
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.empty()) return "";
  if (text.size() % 4 != 0) return std::nullopt;
  // EVP_DecodeBlock accepts padding anywhere and counts it as data bytes.
  const size_t end = text.find_last_not_of('=') + 1;  // 0 if all is padding
  const size_t padding = text.size() - end;
  const bool inside = text.substr(0, end).find('=') != std::string_view::npos;
  if (padding > 2 || inside) return std::nullopt;
  std::string out(text.size() / 4 * 3, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                Bytes(text), static_cast<int>(text.size()));
  if (n < 0 || static_cast<size_t>(n) < padding) return std::nullopt;
  out.resize(static_cast<size_t>(n) - padding);
  return out;
}

}  // namespace pinford
