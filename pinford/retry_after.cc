#include "pinford/retry_after.h"

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

std::optional<Duration> RequestedBackoff(int status,
                                         std::string_view retry_after) {
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  if (status != kTooMany && status != kUnavailable) return std::nullopt;
  return RetryAfterOf(retry_after);
}

}  // namespace pinford
