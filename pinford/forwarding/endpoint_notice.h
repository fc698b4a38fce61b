// What an endpoint says of itself in the head of an answer, whatever becomes of
// the request: how long it wants no more from this box, and that it leaves.
//
// It is read as soon as the head is there. A stream's end may be twenty seconds
// away, and what an endpoint says holds from when it says it.

#ifndef PINFORD_FORWARDING_ENDPOINT_NOTICE_H_
#define PINFORD_FORWARDING_ENDPOINT_NOTICE_H_

#include <optional>
#include <string_view>

#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/http_reader.h"
#include "util/clock.h"

namespace pinford {

struct EndpointNotice {
  // It turned the request away and wants nothing from this box for so long.
  std::optional<Duration> backoff;
  bool leaving = false;
};

EndpointNotice ReadNotice(const HttpHead& answer, const ForwardHeaders& names);

// Whether the header by which endpoints say that they leave says so.
inline bool ParseLeaving(std::string_view text) { return text == "1"; }

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_NOTICE_H_
