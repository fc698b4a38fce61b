#include "pinford/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pinford {

// A longer duration would overflow. A year exceeds any backoff.
static constexpr double kMaxSeconds = 366.0 * 24 * 3600;

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool out_of_range = ec == std::errc::result_out_of_range;
  if (p != end || text.empty() || (ec != std::errc() && !out_of_range)) {
    return std::nullopt;
  }
  if (out_of_range) value = kMaxSeconds;
  // from_chars accepts "inf" and "nan".
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return FromSeconds(std::min(value, kMaxSeconds));
}

std::optional<Duration> RequestedBackoff(int status,
                                         std::string_view retry_after) {
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  if (status != kTooManyRequests && status != kServiceUnavailable)
    return std::nullopt;
  return ParseRetryAfter(retry_after);
}

}  // namespace pinford
