// A caller's completion request, read from its JSON body.

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

// Reads the body. Every fault is a finding whose place is the field's path.
std::optional<CallerRequest> ParseCallerRequest(CompletionForm form,
                                                std::string_view json,
                                                int token_limit,
                                                Findings* findings);

// How an answer ended, in the API's word.
enum class FinishReason { kNone, kStop, kLength };

// Bodies of answers in the OpenAI form.
std::string WriteResponse(const CallerRequest& request, std::string_view id,
                          std::string_view text, FinishReason reason,
                          int prompt_tokens, int answer_tokens);
// One event of a stream, with its "data: " and the blank line. The last event
// of a whole answer carries the reason and the outcome.
std::string WriteChunk(const CallerRequest& request, std::string_view id,
                       std::string_view text, FinishReason reason);
// What ends a stream: of a whole answer, and of a broken one.
std::string WriteStreamEnd();
std::string WriteStreamError(std::string_view id, std::string_view outcome,
                             std::string_view message);

// {"error": {"code", "message", "findings"}, "outcome", "request"}
std::string WriteCallerError(std::string_view id, std::string_view outcome,
                             std::string_view code, std::string_view message,
                             const Findings& findings = {});

}  // namespace pinford

#endif  // PINFORD_CALLER_REQUEST_H_
