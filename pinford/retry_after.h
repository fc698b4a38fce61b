// Reads the Retry-After header of endpoints' answers.

#ifndef PINFORD_RETRY_AFTER_H_
#define PINFORD_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "util/clock.h"

namespace pinford {

// Parses the seconds of a Retry-After header, whole or with a fraction (RFC
// 9110, 10.2.3, without dates, as no decision here uses the time of day).
// Returns nothing if `text` is not a number or is below 0.
std::optional<Duration> ParseRetryAfter(std::string_view text);

// The backoff that such an answer requests. Only 503 and 429 refuse the
// request; with other statuses the header means something else.
std::optional<Duration> RequestedBackoff(int status,
                                         std::string_view retry_after);

}  // namespace pinford

#endif  // PINFORD_RETRY_AFTER_H_
