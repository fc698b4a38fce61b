#include "util/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace pinford {

static bool IsIp(const std::string& ip) {
  in6_addr buf;
  return inet_pton(AF_INET, ip.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), &buf) == 1;
}

std::optional<Address> Address::Parse(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  std::string_view port = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  Address a;
  a.ip = std::string(ip);
  const char* end = port.data() + port.size();
  auto [p, ec] = std::from_chars(port.data(), end, a.port);
  if (ec != std::errc() || p != end || a.port == 0) return std::nullopt;
  if (!IsIp(a.ip)) return std::nullopt;
  return a;
}

std::string Address::ToString() const {
  bool v6 = ip.find(':') != std::string::npos;
  std::string host = v6 ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(port);
}

}  // namespace pinford
