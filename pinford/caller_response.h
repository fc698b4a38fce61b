// Headers that all responses to callers have.

#ifndef PINFORD_CALLER_RESPONSE_H_
#define PINFORD_CALLER_RESPONSE_H_

#include <string>

#include "pinford/http.h"
#include "pinford/outcome.h"
#include "util/clock.h"

namespace pinford {

// The headers with the request's id and its outcome, and Retry-After, rounded
// up to whole seconds, if `retry_after` is above 0.
HttpHeaders ResponseHeaders(const std::string& id, Outcome outcome,
                            Duration retry_after = Duration(0));

}  // namespace pinford

#endif  // PINFORD_CALLER_RESPONSE_H_
