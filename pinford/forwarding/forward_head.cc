#include "pinford/forwarding/forward_head.h"

#include <algorithm>
#include <string_view>

namespace pinford {

// Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which is recomputed.
static constexpr std::string_view kConnectionHeaders[] = {
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect",
};

static std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) {
    s.remove_prefix(1);
  }
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

// Whether a Connection header of `head` lists `name`.
static bool ListedInConnection(const HttpHead& head, std::string_view name) {
  for (const auto& [key, value] : head.headers) {
    if (!SameHeaderName(key, "Connection")) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      if (SameHeaderName(Trim(rest.substr(0, comma)), name)) return true;
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

static bool IsConnectionHeader(const HttpHead& head, std::string_view name) {
  const bool fixed = std::any_of(
      std::begin(kConnectionHeaders), std::end(kConnectionHeaders),
      [name](std::string_view h) { return SameHeaderName(h, name); });
  return fixed || ListedInConnection(head, name);
}

static void AppendHeader(std::string_view name, std::string_view value,
                         std::string* out) {
  out->append(name);
  out->append(": ");
  out->append(value);
  out->append("\r\n");
}

std::string WriteForwardedHead(const HttpHead& head, size_t body_bytes,
                               const ForwardProtocol& protocol,
                               const AttemptHeaders& notes) {
  const ForwardHeaders& names = protocol.headers;
  const std::string_view pinford_headers[] = {names.key,      names.time_left,
                                              names.customer, names.instance,
                                              names.chain,    names.urgency};
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto is_pinford_header = [&pinford_headers](std::string_view name) {
    return std::any_of(
        std::begin(pinford_headers), std::end(pinford_headers),
        [name](std::string_view h) { return SameHeaderName(h, name); });
  };
  for (const auto& [name, value] : head.headers) {
    if (IsConnectionHeader(head, name) || is_pinford_header(name)) continue;
    const bool replaces_last_event =
        !notes.last_event.empty() && SameHeaderName(name, names.last_event);
    if (!replaces_last_event) AppendHeader(name, value, &out);
  }
  const int64_t time_left_ms = std::max<int64_t>(1, ToMillis(notes.time_left));
  AppendHeader(names.time_left, std::to_string(time_left_ms), &out);
  AppendHeader(names.instance, notes.instance, &out);
  if (!notes.customer.empty())
    AppendHeader(names.customer, notes.customer, &out);
  if (!notes.chain.empty()) {
    AppendHeader(names.chain, protocol.write_chain(notes.chain), &out);
  }
  if (notes.urgency >= 0) {
    AppendHeader(names.urgency, std::to_string(notes.urgency), &out);
  }
  if (!notes.last_event.empty()) {
    AppendHeader(names.last_event, notes.last_event, &out);
  }
  const bool had_body = head.CountOf("Content-Length") > 0 ||
                        head.CountOf("Transfer-Encoding") > 0;
  if (had_body)
    AppendHeader("Content-Length", std::to_string(body_bytes), &out);
  out += "\r\n";
  return out;
}

HttpHeaders ForwardedResponseHeaders(const HttpHead& answer,
                                     const ForwardProtocol& protocol) {
  HttpHeaders out;
  for (const auto& [name, value] : answer.headers) {
    if (IsConnectionHeader(answer, name)) continue;
    if (SameHeaderName(name, protocol.headers.load)) continue;
    out.emplace_back(name, value);
  }
  return out;
}

}  // namespace pinford
