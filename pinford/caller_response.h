// What all answers to callers share.

#ifndef PINFORD_CALLER_RESPONSE_H_
#define PINFORD_CALLER_RESPONSE_H_

#include <string>

#include "pinford/http.h"
#include "pinford/outcome.h"
#include "util/clock.h"

namespace pinford {

// The headers that name the request and its outcome; with Retry-After, in
// whole seconds, if `retry_after` is over 0.
HttpHeaders AnswerHeaders(const std::string& id, Outcome outcome,
                          Duration retry_after = Duration(0));

}  // namespace pinford

#endif  // PINFORD_CALLER_RESPONSE_H_
