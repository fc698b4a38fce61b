#include "pinford/engine_protocol.h"

#include "util/json.h"

namespace pinford {

static const struct {
  StepStatus status;
  Refusal refusal;
} kRefusals[] = {
    {StepStatus::kRefusedLeaving, {503, "leaving"}},
    {StepStatus::kRefusedBusy, {429, "busy"}},
    {StepStatus::kRefusedRange, {404, "range"}},
    {StepStatus::kRefusedCache, {409, "cache"}},
    {StepStatus::kRejected, {400, "rejected"}},
};

Refusal RefusalOf(StepStatus s) {
  for (const auto& row : kRefusals) {
    if (row.status == s) return row.refusal;
  }
  return {500, "failed"};
}

static Json IdToJson(const StepId& id) {
  return Json{{"request", id.request},   {"attempt", id.attempt},
              {"session", id.session},   {"position", id.position},
              {"begin", id.range.begin}, {"end", id.range.end}};
}

static StepId IdFromJson(const Json& v) {
  StepId id;
  id.request = JsonField<std::string>(v, "request", "");
  id.attempt = JsonField<uint32_t>(v, "attempt", 0);
  id.session = JsonField<uint32_t>(v, "session", 0);
  id.position = JsonField(v, "position", -1);
  id.range = {JsonField(v, "begin", 0), JsonField(v, "end", 0)};
  return id;
}

static bool IsValid(const StepId& id) {
  return !id.request.empty() && id.attempt > 0 && id.position >= 0 &&
         id.range.begin >= 0 && !id.range.empty();
}

static bool ParseInts(const Json& v, const char* key, std::vector<int>* out) {
  auto it = v.find(key);
  if (it == v.end()) return true;
  if (!it->is_array()) return false;
  for (const Json& item : *it) {
    if (!item.is_number_integer()) return false;
    out->push_back(item.get<int>());
  }
  return true;
}

static bool ParseStrings(const Json& v, const char* key,
                         std::vector<std::string>* out) {
  auto it = v.find(key);
  if (it == v.end()) return true;
  if (!it->is_array()) return false;
  for (const Json& item : *it) {
    if (!item.is_string()) return false;
    out->push_back(item.get<std::string>());
  }
  return true;
}

std::string WriteStepRequest(const StepRequest& step) {
  Json v = IdToJson(step.id);
  v["model"] = step.model;
  v["version"] = step.version;
  v["cached"] = step.cached;
  v["last"] = step.last;
  v["priority"] = step.priority;
  if (!step.tokens.empty()) v["tokens"] = step.tokens;
  if (!step.activations.empty()) v["activations"] = step.activations;
  return DumpJson(v);
}

std::optional<StepRequest> ParseStepRequest(std::string_view json) {
  const Json v = ParseJson(json);
  if (!v.is_object()) return std::nullopt;
  StepRequest step;
  step.id = IdFromJson(v);
  step.model = JsonField<std::string>(v, "model", "");
  step.version = JsonField<std::string>(v, "version", "");
  step.cached = JsonField(v, "cached", -1);
  step.last = JsonField(v, "last", false);
  step.priority = JsonField(v, "priority", 0);
  if (!IsValid(step.id) || step.cached < 0) return std::nullopt;
  if (!ParseInts(v, "tokens", &step.tokens)) return std::nullopt;
  if (!ParseStrings(v, "activations", &step.activations)) return std::nullopt;
  if (step.inputs() == 0) return std::nullopt;
  return step;
}

std::string WriteStepReply(const StepReply& reply) {
  Json v = IdToJson(reply.id);
  if (!reply.activations.empty()) v["activations"] = reply.activations;
  v["token"] = reply.token;
  v["text"] = reply.text;
  v["stop"] = reply.end;
  return DumpJson(v);
}

std::optional<StepReply> ParseStepReply(std::string_view json) {
  const Json v = ParseJson(json);
  if (!v.is_object()) return std::nullopt;
  StepReply reply;
  reply.id = IdFromJson(v);
  if (!IsValid(reply.id)) return std::nullopt;
  if (!ParseStrings(v, "activations", &reply.activations)) return std::nullopt;
  reply.token = JsonField(v, "token", 0);
  reply.text = JsonField<std::string>(v, "text", "");
  reply.end = JsonField(v, "stop", false);
  return reply;
}

std::string WriteTokens(const std::vector<int>& tokens) {
  return DumpJson(Json{{"tokens", tokens}});
}

std::optional<std::vector<int>> ParseTokens(std::string_view json) {
  const Json v = ParseJson(json);
  std::vector<int> tokens;
  if (!v.is_object() || !v.contains("tokens")) return std::nullopt;
  if (!ParseInts(v, "tokens", &tokens)) return std::nullopt;
  return tokens;
}

std::string WriteError(std::string_view code, std::string_view message) {
  return DumpJson(Json{{"error", {{"code", code}, {"message", message}}}});
}

StepStatus StepStatusOf(int http_status, std::string_view body,
                        std::string* message) {
  if (http_status == 200) return StepStatus::kOk;
  const Json v = ParseJson(body);
  const Json error = v.is_object() ? v.value("error", Json()) : Json();
  const std::string code = JsonField<std::string>(error, "code", "");
  *message = JsonField<std::string>(error, "message", "");
  for (const auto& row : kRefusals) {
    if (row.refusal.http_status == http_status && row.refusal.code == code) {
      return row.status;
    }
  }
  return StepStatus::kLost;
}

}  // namespace pinford
