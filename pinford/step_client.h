// Interface between the logic of a completion (completion_driver.h) and the
// engines.

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

// How a step, or a tokenize call, ended.
enum class StepStatus {
  kOk,              // ran; the reply is complete
  kNotSent,         // never left the box
  kRefusedLeaving,  // refused before it started: accepts no new sessions
  kRefusedBusy,     // refused before it started: at capacity
  kRefusedRange,    // refused before it started: does not hold the layers
  kRefusedCache,    // refused before it started: the cache is not as stated
  kRejected,        // the request is invalid on any engine
  kLost,            // may have run; no complete reply arrived
};

std::string_view StepStatusName(StepStatus s);

struct StepResult {
  StepStatus status = StepStatus::kLost;
  StepReply reply;
  std::string error;                // for kRejected: the reason
  std::optional<Duration> backoff;  // requested by an engine that refuses
};

struct TokenizeResult {
  StepStatus status = StepStatus::kLost;
  std::vector<int> tokens;
  std::string error;
  std::optional<Duration> backoff;
};

// Sends steps to engines. Callbacks are never invoked from within the call, and
// not at all after it was cancelled. Ids are never 0.
template <typename E>
concept StepClient = requires(E e, const std::string& s,
                              const StepRequest& step, uint64_t id,
                              std::function<void(StepResult)> on_step,
                              std::function<void(TokenizeResult)> on_tokens) {
  { e.SendStep(s, step, on_step) } -> std::same_as<uint64_t>;
  { e.SendTokenize(s, s, on_tokens) } -> std::same_as<uint64_t>;
  {e.CancelCall(id)};
  // Frees a session's cache without waiting for a reply.
  {e.EndSession(s, s, uint32_t{})};
};

}  // namespace pinford

#endif  // PINFORD_STEP_CLIENT_H_
