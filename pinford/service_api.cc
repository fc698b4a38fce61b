#include "pinford/service_api.h"

#include <memory>
#include <utility>

#include "pinford/caller_request.h"
#include "pinford/caller_response.h"

namespace pinford {

static constexpr Duration kNoRetry = Duration(0);
static constexpr Duration kRetryDelay = seconds(1);

// Converts a caller's request: the path /services/NAME/REST becomes a call to
// /REST of the service NAME.
static ServiceCall MakeCall(const HttpExchange& exchange, std::string id,
                            Duration timeout) {
  const std::string service_and_target =
      exchange.path().substr(sizeof(kServicesPath) - 1);
  const size_t slash = service_and_target.find('/');
  ServiceCall call;
  call.request = std::move(id);
  call.service = service_and_target.substr(0, slash);
  call.target =
      slash == std::string::npos ? "/" : service_and_target.substr(slash);
  if (!exchange.query_text().empty()) {
    call.target += "?" + exchange.query_text();
  }
  call.customer = exchange.header(kCustomerHeader);
  call.method = HttpMethodName(exchange.method());
  call.type = exchange.header("Content-Type");
  call.body = exchange.body();
  call.key = exchange.header(kIdempotencyHeader);
  call.timeout = timeout;
  return call;
}

void ServiceApi::OnRequest(ExchangePtr exchange) {
  const std::string id = NewId(context_->random);
  ServiceCall call = MakeCall(*exchange, id, context_->settings.call_timeout);
  if (call.service.empty() || exchange->method() == HttpMethod::kOther) {
    exchange->Reply(
        405, kJsonType,
        WriteCallerError(id, OutcomeName(Outcome::kNotRun), "method",
                         "a service takes GET, POST, PUT and DELETE"),
        ResponseHeaders(id, Outcome::kNotRun));
    return;
  }
  Start(exchange, std::move(call));
}

void ServiceApi::Start(const ExchangePtr& exchange, ServiceCall call) {
  const std::string id = call.request;
  const bool repeatable = context_->policy->IsIdempotent(
      {call.customer, call.service, call.method, call.target});
  context_->ReportPolicyErrors();
  context_->timeline.Add(EventKind::kRequestArrived, id,
                         call.method + " " + exchange->path() +
                             (repeatable ? "" : ", not repeatable"));
  active_++;
  CallEvents events;
  events.on_leaving = context_->announce_leaving;
  events.on_end = [this, exchange, id](const CallEnd& end) {
    active_--;
    exchange->set_on_disconnect(nullptr);
    Respond(exchange, id, end);
  };
  const std::weak_ptr<Call> running =
      Call::Start(&context_->store, &context_->services, context_->loop,
                  &context_->table, &context_->retries, CallOptions(),
                  std::move(call), repeatable, id, std::move(events));
  exchange->set_on_disconnect([this, running] {
    context_->metrics.Count("hang_ups_total");
    if (Call::Ptr p = running.lock()) p->Abandon();
  });
}

void ServiceApi::Respond(const ExchangePtr& exchange, const std::string& id,
                         const CallEnd& end) {
  const std::string_view outcome = OutcomeName(end.outcome);
  context_->metrics.Count("calls_total",
                          "outcome=\"" + std::string(outcome) + "\"");
  context_->timeline.Add(
      EventKind::kCallEnded, id,
      std::string(outcome) + (end.repeated ? ", recorded earlier" : ""));
  const bool answered =
      end.result.status == CallStatus::kAnswered && end.result.http_status != 0;
  if (answered) {
    HttpHeaders headers = ResponseHeaders(id, end.outcome);
    if (end.repeated) headers.emplace_back("X-Pinford-Repeated", "true");
    exchange->Reply(end.result.http_status,
                    end.result.type.empty() ? kJsonType : end.result.type,
                    end.result.body, headers);
    return;
  }
  struct ErrorResponse {
    int status;
    std::string_view code;
    Duration retry_after;
  };
  ErrorResponse response{503, "endpoints", kRetryDelay};
  if (end.error == CallError::kNoStore) response = {503, "store", kRetryDelay};
  if (end.error == CallError::kLost) response = {502, "lost", kNoRetry};
  if (end.error == CallError::kInProgress)
    response = {409, "in_progress", kRetryDelay};
  exchange->Reply(
      response.status, kJsonType,
      WriteCallerError(id, outcome, response.code, CallErrorText(end.error)),
      ResponseHeaders(id, end.outcome, response.retry_after));
}

}  // namespace pinford
