// What endpoints say in Retry-After.

#ifndef PINFORD_RETRY_AFTER_H_
#define PINFORD_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "util/clock.h"

namespace pinford {

// The seconds of a Retry-After header, whole or with a fraction (RFC 9110,
// 10.2.3, of which only the seconds: no decision here reads the time of day).
// Nothing for what is no number, or below 0.
std::optional<Duration> RetryAfterOf(std::string_view text);

// For how long an endpoint that answers so wants no more requests: 503 and 429
// turn the request away; with other answers the header means something else.
std::optional<Duration> RequestedBackoff(int status,
                                         std::string_view retry_after);

}  // namespace pinford

#endif  // PINFORD_RETRY_AFTER_H_
