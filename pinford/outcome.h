// What a caller is told became of a request.
//
// kNotRun is a promise: no layer and no call of the request has run or will
// run. It is said only when no byte of the work was handed to any endpoint,
// or every endpoint that got any refused it before starting. Whatever is
// neither that nor a whole answer is kFailed or kUnknown.

#ifndef PINFORD_OUTCOME_H_
#define PINFORD_OUTCOME_H_

#include <optional>
#include <string_view>

namespace pinford {

enum class Outcome {
  kComplete,  // the whole answer was given
  kNotRun,    // it did not run and will not
  kFailed,    // it ran, or partly ran, and failed
  kUnknown,   // it may have run
};

std::string_view OutcomeName(Outcome o);
std::optional<Outcome> ParseOutcome(std::string_view name);

}  // namespace pinford

#endif  // PINFORD_OUTCOME_H_
