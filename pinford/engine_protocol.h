// The JSON bodies that boxes and engines exchange.
//
//   POST   /v1/steps      StepRequest; 200 StepReply
//   POST   /v1/tokenize   {text}; 200 {tokens}
//   DELETE /v1/sessions?request=R&session=N   frees the session's KV cache
//   GET    /v1/load       200 LoadReport (endpoint.h)
//   POST   /v1/orders     Order (order.h); 200, or 409 for a stale fence
//
// An engine that refuses a step before running any of it responds with
// {"error": {"code": C}} and 503 leaving, 429 busy, 404 range, 409 cache, or
// 400 rejected. After any other response but 200, the step may have run.

#ifndef PINFORD_ENGINE_PROTOCOL_H_
#define PINFORD_ENGINE_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/pipeline.h"
#include "pinford/step_client.h"

namespace pinford {

std::string WriteStepRequest(const StepRequest& step);
std::optional<StepRequest> ParseStepRequest(std::string_view json);
std::string WriteStepReply(const StepReply& reply);
std::optional<StepReply> ParseStepReply(std::string_view json);

std::string WriteTokens(const std::vector<int>& tokens);
std::optional<std::vector<int>> ParseTokens(std::string_view json);

// {"error": {"code": code, "message": message}}
std::string WriteError(std::string_view code, std::string_view message);

// The status of a step, by the status and body of its HTTP response. Sets
// `message` to the error's message, if there is one.
StepStatus StepStatusOf(int http_status, std::string_view body,
                        std::string* message);

// The HTTP status and error code that stand for a status in a response.
struct Refusal {
  int http_status;
  std::string_view code;
};
Refusal RefusalOf(StepStatus s);

}  // namespace pinford

#endif  // PINFORD_ENGINE_PROTOCOL_H_
