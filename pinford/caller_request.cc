#include "pinford/caller_request.h"

#include "util/enum_names.h"
#include "util/json.h"

namespace pinford {

static constexpr EnumName<FinishReason> kFinishReasonNames[] = {
    {FinishReason::kStop, "stop"},
    {FinishReason::kLength, "length"},
};

static constexpr char kBody[] = "body";

static std::string TextOf(const Json& v, const char* key, Findings* findings) {
  auto it = v.find(key);
  if (it != v.end() && it->is_string() && !it->get<std::string>().empty()) {
    return it->get<std::string>();
  }
  findings->Add(kBody, 0, std::string(key) + " must be a text");
  return "";
}

// The turns of a chat as one text, a line each.
static std::string ChatPrompt(const Json& v, Findings* findings) {
  auto it = v.find("messages");
  if (it == v.end() || !it->is_array() || it->empty()) {
    findings->Add(kBody, 0, "messages must be a list of messages");
    return "";
  }
  std::string prompt;
  for (size_t i = 0; i < it->size(); i++) {
    const Json& m = (*it)[i];
    const std::string role = JsonField<std::string>(m, "role", "");
    const std::string content = JsonField<std::string>(m, "content", "");
    const std::string place = "messages[" + std::to_string(i) + "]";
    if (role.empty()) findings->Add(kBody, 0, place + ".role must be a text");
    if (content.empty()) {
      findings->Add(kBody, 0, place + ".content must be a text");
    }
    prompt += role + ": " + content + "\n";
  }
  return prompt;
}

static void TakeMaxTokens(const Json& v, int most, CallerRequest* r,
                          Findings* findings) {
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    auto it = v.find(key);
    if (it == v.end() || it->is_null()) continue;
    const bool good = it->is_number_integer() && it->get<int64_t>() >= 1 &&
                      it->get<int64_t>() <= most;
    if (good) {
      r->max_tokens = it->get<int>();
    } else {
      findings->Add(kBody, 0,
                    std::string(key) + " must be a whole number from 1 to " +
                        std::to_string(most));
    }
  }
}

std::optional<CallerRequest> ParseCallerRequest(CompletionForm form,
                                                std::string_view json,
                                                int most_tokens,
                                                Findings* findings) {
  const Json v = ParseJson(json);
  if (!v.is_object()) {
    findings->Add(kBody, 0, "the body must be a JSON object");
    return std::nullopt;
  }
  Findings own;
  CallerRequest r;
  r.form = form;
  r.model = TextOf(v, "model", &own);
  r.prompt = form == CompletionForm::kChat ? ChatPrompt(v, &own)
                                           : TextOf(v, "prompt", &own);
  TakeMaxTokens(v, most_tokens, &r, &own);
  auto stream = v.find("stream");
  if (stream != v.end() && !stream->is_null()) {
    if (stream->is_boolean()) {
      r.stream = stream->get<bool>();
    } else {
      own.Add(kBody, 0, "stream must be true or false");
    }
  }
  auto n = v.find("n");
  if (n != v.end() && *n != 1) own.Add(kBody, 0, "n must be 1");
  for (const Finding& f : own.list()) findings->Add(f.file, f.line, f.text);
  if (!own.empty()) return std::nullopt;
  return r;
}

static Json ReasonToJson(FinishReason reason) {
  if (reason == FinishReason::kNone) return nullptr;
  return NameIn(kFinishReasonNames, reason);
}

std::string WriteAnswer(const CallerRequest& request, std::string_view id,
                        std::string_view text, FinishReason reason,
                        int prompt_tokens, int answer_tokens) {
  const bool chat = request.form == CompletionForm::kChat;
  Json choice{{"index", 0}, {"finish_reason", ReasonToJson(reason)}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return DumpJson(Json{{"id", id},
                       {"object", chat ? "chat.completion" : "text_completion"},
                       {"model", request.model},
                       {"choices", Json::array({choice})},
                       {"usage",
                        {{"prompt_tokens", prompt_tokens},
                         {"completion_tokens", answer_tokens},
                         {"total_tokens", prompt_tokens + answer_tokens}}},
                       {"outcome", "complete"}});
}

static std::string Event(const Json& v) {
  return "data: " + DumpJson(v) + "\n\n";
}

std::string WriteChunk(const CallerRequest& request, std::string_view id,
                       std::string_view text, FinishReason reason) {
  const bool chat = request.form == CompletionForm::kChat;
  Json choice{{"index", 0}, {"finish_reason", ReasonToJson(reason)}};
  if (chat) {
    choice["delta"] = Json::object();
    if (!text.empty()) choice["delta"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  Json v{{"id", id},
         {"object", chat ? "chat.completion.chunk" : "text_completion"},
         {"model", request.model},
         {"choices", Json::array({choice})}};
  if (reason != FinishReason::kNone) v["outcome"] = "complete";
  return Event(v);
}

std::string WriteStreamEnd() { return "data: [DONE]\n\n"; }

std::string WriteStreamError(std::string_view id, std::string_view outcome,
                             std::string_view message) {
  return Event(Json{{"id", id},
                    {"outcome", outcome},
                    {"error", {{"code", "failed"}, {"message", message}}}});
}

std::string WriteCallerError(std::string_view id, std::string_view outcome,
                             std::string_view code, std::string_view message,
                             const Findings& findings) {
  Json error{{"code", code}, {"message", message}};
  for (const Finding& f : findings.list()) {
    error["findings"].push_back(f.ToString());
  }
  return DumpJson(
      Json{{"error", error}, {"outcome", outcome}, {"request", id}});
}

}  // namespace pinford
