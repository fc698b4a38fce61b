// The outcome of a request, as reported to its caller.
//
// kNotRun is a guarantee: no layer and no call of the request has run or will
// run. It is reported only if no byte of the work was sent to any endpoint, or
// if every endpoint that received some refused it before starting. Anything
// that is neither that nor a complete answer is kFailed or kUnknown.

#ifndef PINFORD_OUTCOME_H_
#define PINFORD_OUTCOME_H_

#include <optional>
#include <string_view>

namespace pinford {

enum class Outcome {
  kComplete,  // the complete answer was returned
  kNotRun,    // did not run and will not run
  kFailed,    // ran, at least in part, and failed
  kUnknown,   // may have run
};

std::string_view OutcomeName(Outcome o);
std::optional<Outcome> ParseOutcome(std::string_view name);

}  // namespace pinford

#endif  // PINFORD_OUTCOME_H_
