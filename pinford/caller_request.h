// The JSON bodies of completion requests and their responses.

#ifndef PINFORD_CALLER_REQUEST_H_
#define PINFORD_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "pinford/finding.h"

namespace pinford {

enum class CompletionForm { kChat, kText };

struct CallerRequest {
  CompletionForm form = CompletionForm::kText;
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  bool stream = false;
};

// Parses a request's body. Returns nothing, and adds a finding for each invalid
// field, if the body is not valid.
std::optional<CallerRequest> ParseCallerRequest(CompletionForm form,
                                                std::string_view json,
                                                int token_limit,
                                                Findings* findings);

// Why a completion ended; named as in the API.
enum class FinishReason { kNone, kStop, kLength };

// The body of a whole response, in OpenAI's format.
std::string WriteResponse(const CallerRequest& request, std::string_view id,
                          std::string_view text, FinishReason reason,
                          int prompt_tokens, int answer_tokens);
// One server-sent event of a stream, with its "data: " and the blank line. The
// last event of a complete response has a reason, and carries the outcome.
std::string WriteChunk(const CallerRequest& request, std::string_view id,
                       std::string_view text, FinishReason reason);
// The last event of a stream that is complete, and of one that failed.
std::string WriteStreamEnd();
std::string WriteStreamError(std::string_view id, std::string_view outcome,
                             std::string_view message);

// {"error": {"code", "message", "findings"}, "outcome", "request"}
std::string WriteCallerError(std::string_view id, std::string_view outcome,
                             std::string_view code, std::string_view message,
                             const Findings& findings = {});

}  // namespace pinford

#endif  // PINFORD_CALLER_REQUEST_H_
