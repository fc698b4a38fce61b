// What an endpoint reports about itself in the head of a response, whatever the
// outcome of the request: a requested backoff, a rate limit, and that it is
// leaving.
//
// The head is read as soon as it arrives. A stream may end twenty seconds
// later, and the notice holds from when it was sent.

#ifndef PINFORD_FORWARDING_ENDPOINT_NOTICE_H_
#define PINFORD_FORWARDING_ENDPOINT_NOTICE_H_

#include <optional>
#include <string_view>

#include "pinford/forwarding/forward_protocol.h"
#include "pinford/http_reader.h"
#include "pinford/rate_limits.h"
#include "util/clock.h"

namespace pinford {

struct EndpointNotice {
  // It rejected the request and requests no more from this box for this long.
  std::optional<Duration> backoff;
  bool leaving = false;
  // Holds over all boxes.
  RateLimitNotice rate_limit;
};

EndpointNotice ReadNotice(const HttpHead& answer, const ForwardHeaders& names);

// Parses the header by which endpoints announce that they are leaving.
inline bool ParseLeaving(std::string_view text) { return text == "1"; }

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_NOTICE_H_
