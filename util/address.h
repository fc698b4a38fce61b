// An IP address and port: "127.0.0.1:8000" or "[::1]:8000".
//
// Host names are not resolved, so nothing in a box ever waits for a resolver.

#ifndef UTIL_ADDRESS_H_
#define UTIL_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

struct Address {
  std::string ip;
  uint16_t port = 0;

  // Returns nullopt unless `text` is a numeric IP address, ':' and a port
  // above 0.
  static std::optional<Address> Parse(std::string_view text);
  std::string ToString() const;

  friend auto operator<=>(const Address&, const Address&) = default;
};

}  // namespace pinford

#endif  // UTIL_ADDRESS_H_
