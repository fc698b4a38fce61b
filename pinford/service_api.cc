#include "pinford/service_api.h"

#include <memory>
#include <utility>

#include "pinford/caller_request.h"
#include "pinford/caller_response.h"

namespace pinford {

static constexpr Duration kNoRetry = Duration(0);
static constexpr Duration kSoon = seconds(1);

// The call that a request asks for: /services/NAME/REST becomes /REST.
static ServiceCall CallOf(const HttpExchange& exchange, std::string id,
                          Duration timeout) {
  const std::string rest = exchange.path().substr(sizeof(kServicesPath) - 1);
  const size_t slash = rest.find('/');
  ServiceCall call;
  call.request = std::move(id);
  call.service = rest.substr(0, slash);
  call.target = slash == std::string::npos ? "/" : rest.substr(slash);
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

void CallApi::OnRequest(ExchangePtr exchange) {
  const std::string id = NewId(parts_->random);
  ServiceCall call = CallOf(*exchange, id, parts_->settings.call_timeout);
  if (call.service.empty() || exchange->method() == HttpMethod::kOther) {
    exchange->Reply(
        405, kJsonType,
        WriteCallerError(id, OutcomeName(Outcome::kNotRun), "method",
                         "a service takes GET, POST, PUT and DELETE"),
        AnswerHeaders(id, Outcome::kNotRun));
    return;
  }
  Start(exchange, std::move(call));
}

void CallApi::Start(const ExchangePtr& exchange, ServiceCall call) {
  const std::string id = call.request;
  const bool repeatable = parts_->policy->IsIdempotent(
      {call.customer, call.service, call.method, call.target});
  parts_->NotePolicyErrors();
  parts_->timeline.Add(EventKind::kRequestArrived, id,
                       call.method + " " + exchange->path() +
                           (repeatable ? "" : ", not repeatable"));
  active_++;
  CallEvents events;
  events.on_leaving = parts_->spread_leaving;
  events.on_end = [this, exchange, id](const CallEnd& end) {
    active_--;
    exchange->set_on_disconnect(nullptr);
    Answer(exchange, id, end);
  };
  const std::weak_ptr<Call> running =
      Call::Start(&parts_->store, &parts_->services, parts_->loop,
                  &parts_->table, &parts_->retries, CallOptions(),
                  std::move(call), repeatable, id, std::move(events));
  exchange->set_on_disconnect([this, running] {
    parts_->metrics.Count("hang_ups_total");
    if (Call::Ptr p = running.lock()) p->Abandon();
  });
}

void CallApi::Answer(const ExchangePtr& exchange, const std::string& id,
                     const CallEnd& end) {
  const std::string_view outcome = OutcomeName(end.outcome);
  parts_->metrics.Count("calls_total",
                        "outcome=\"" + std::string(outcome) + "\"");
  parts_->timeline.Add(
      EventKind::kCallEnded, id,
      std::string(outcome) + (end.repeated ? ", recorded earlier" : ""));
  const bool answered =
      end.result.status == CallStatus::kAnswered && end.result.http_status != 0;
  if (answered) {
    HttpHeaders headers = AnswerHeaders(id, end.outcome);
    if (end.repeated) headers.emplace_back("X-Pinford-Repeated", "true");
    exchange->Reply(end.result.http_status,
                    end.result.type.empty() ? kJsonType : end.result.type,
                    end.result.body, headers);
    return;
  }
  struct Told {
    int status;
    std::string_view code;
    Duration retry_after;
  };
  Told told{503, "endpoints", kSoon};
  if (end.error == CallError::kNoStore) told = {503, "store", kSoon};
  if (end.error == CallError::kLost) told = {502, "lost", kNoRetry};
  if (end.error == CallError::kInProgress) told = {409, "in_progress", kSoon};
  exchange->Reply(
      told.status, kJsonType,
      WriteCallerError(id, outcome, told.code, CallErrorText(end.error)),
      AnswerHeaders(id, end.outcome, told.retry_after));
}

}  // namespace pinford
