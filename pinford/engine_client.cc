#include "pinford/engine_client.h"

#include "pinford/engine_protocol.h"
#include "pinford/retry_after.h"
#include "util/json.h"

namespace pinford {

static constexpr Duration kCallBound = seconds(60);
static constexpr Duration kEndSessionBound = seconds(2);

HttpCall EngineClient::Call(const std::string& endpoint, HttpMethod method,
                            std::string target, std::string body) const {
  HttpCall call;
  call.method = method;
  // An endpoint that has left the table since is met with a refused
  // connection: port 0 is never open.
  call.to = table_->AddressOf(endpoint).value_or(Address{"127.0.0.1", 0});
  call.target = std::move(target);
  call.body = std::move(body);
  call.timeout = kCallBound;
  return call;
}

// What a call's end says, before its body is looked at.
template <typename Result>
static void ReadEnd(const HttpResult& r, Result* result) {
  if (r.transport == Transport::kNotSent) {
    result->status = StepStatus::kNotSent;
  } else if (r.transport != Transport::kOk) {
    result->status = StepStatus::kLost;
  } else {
    result->status = StepStatusOf(r.status, r.body, &result->error);
    result->backoff = RequestedBackoff(r.status, r.header("Retry-After"));
  }
}

uint64_t EngineClient::SendStep(const std::string& endpoint,
                                const StepRequest& step,
                                std::function<void(StepResult)> fn) {
  HttpCall call =
      Call(endpoint, HttpMethod::kPost, "/v1/steps", WriteStepRequest(step));
  return http_->Send(std::move(call), [fn = std::move(fn)](HttpResult r) {
    StepResult result;
    ReadEnd(r, &result);
    if (result.status == StepStatus::kOk) {
      std::optional<StepReply> reply = ParseStepReply(r.body);
      if (reply) {
        result.reply = std::move(*reply);
      } else {
        result.status = StepStatus::kLost;
      }
    }
    fn(std::move(result));
  });
}

uint64_t EngineClient::SendTokenize(const std::string& endpoint,
                                    const std::string& text,
                                    std::function<void(TokenizeResult)> fn) {
  HttpCall call = Call(endpoint, HttpMethod::kPost, "/v1/tokenize",
                       DumpJson(Json{{"text", text}}));
  return http_->Send(std::move(call), [fn = std::move(fn)](HttpResult r) {
    TokenizeResult result;
    ReadEnd(r, &result);
    if (result.status == StepStatus::kOk) {
      std::optional<std::vector<int>> tokens = ParseTokens(r.body);
      if (tokens) {
        result.tokens = std::move(*tokens);
      } else {
        result.status = StepStatus::kLost;
      }
    }
    fn(std::move(result));
  });
}

void EngineClient::EndSession(const std::string& endpoint,
                              const std::string& request, uint32_t session) {
  HttpCall call = Call(
      endpoint, HttpMethod::kDelete,
      "/v1/sessions?request=" + request + "&session=" + std::to_string(session),
      "");
  call.timeout = kEndSessionBound;
  http_->Send(std::move(call), [](const HttpResult&) {});
}

void EngineClient::SendOrder(const std::string& runner, const Order& order,
                             Duration limit,
                             std::function<void(OrderStatus)> fn) {
  HttpCall call =
      Call(runner, HttpMethod::kPost, "/v1/orders", WriteOrder(order));
  call.timeout = limit;
  http_->Send(std::move(call), [fn = std::move(fn)](const HttpResult& r) {
    const bool fenced = r.transport == Transport::kOk && r.status == 409;
    fn(r.ok()   ? OrderStatus::kDone
       : fenced ? OrderStatus::kFenced
                : OrderStatus::kLost);
  });
}

}  // namespace pinford
