#include "pinford/forwarding/endpoint_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pinford {

// Beyond this a duration would not hold it. A year is longer than any rest.
static constexpr double kMostSeconds = 366.0 * 24 * 3600;

std::optional<Duration> RetryAfterOf(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool huge = ec == std::errc::result_out_of_range;
  if (p != end || text.empty() || (ec != std::errc() && !huge)) {
    return std::nullopt;
  }
  if (huge) value = kMostSeconds;
  // "inf" and "nan" are numbers to from_chars.
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return FromSeconds(std::min(value, kMostSeconds));
}

EndpointNotice ReadNotice(const HttpHead& answer, const ForwardHeaders& names) {
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  EndpointNotice notice;
  if (answer.status == kUnavailable || answer.status == kTooMany) {
    notice.rest = RetryAfterOf(answer.header(names.retry_after));
  }
  // 421 may come from another endpoint, to which the address went.
  notice.leaving = answer.status != kMisdirected &&
                   SaysLeaving(answer.header(names.leaving));
  return notice;
}

}  // namespace pinford
