// The seam between the decisions about an answer and the engines.

#ifndef PINFORD_STEP_CLIENT_H_
#define PINFORD_STEP_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/pipeline.h"
#include "util/clock.h"

namespace pinford {

// What is known of a step, or of a tokenize call, once it is over.
enum class StepStatus {
  kOk,              // ran; the reply is whole
  kNotSent,         // never left the box
  kRefusedLeaving,  // refused before it began: takes no new sessions
  kRefusedBusy,     // refused before it began: no room now
  kRefusedRange,    // refused before it began: does not hold the layers (now)
  kRefusedCache,    // refused before it began: the cache is not as stated
  kRejected,        // the request is wrong and will be wrong elsewhere
  kLost,            // may have run; no whole reply came
};

std::string_view StepStatusName(StepStatus s);

struct StepResult {
  StepStatus status = StepStatus::kLost;
  StepReply reply;
  std::string error;                // of kRejected: what is wrong
  std::optional<Duration> backoff;  // that a refusing engine asks for
};

struct TokenizeResult {
  StepStatus status = StepStatus::kLost;
  std::vector<int> tokens;
  std::string error;
  std::optional<Duration> backoff;
};

// Sends to engines. Callbacks come later, never from within the call, and not
// at all once cancelled. Ids are never 0.
template <typename E>
concept StepClient = requires(E e, const std::string& s,
                              const StepRequest& step, uint64_t id,
                              std::function<void(StepResult)> on_step,
                              std::function<void(TokenizeResult)> on_tokens) {
  { e.SendStep(s, step, on_step) } -> std::same_as<uint64_t>;
  { e.SendTokenize(s, s, on_tokens) } -> std::same_as<uint64_t>;
  {e.CancelCall(id)};
  // Frees a session's cache. No answer is waited for.
  {e.EndSession(s, s, uint32_t{})};
};

}  // namespace pinford

#endif  // PINFORD_STEP_CLIENT_H_
