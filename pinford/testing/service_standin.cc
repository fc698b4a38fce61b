#include "pinford/testing/service_standin.h"

#include "pinford/box_context.h"
#include "pinford/endpoint.h"
#include "util/json.h"

namespace pinford {

ServiceStandin::ServiceStandin(EventLoop* loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      server_(loop, HttpServer::Options(),
              [this](ExchangePtr e) { OnRequest(std::move(e)); }),
      incarnation_(WallMillis()) {}

void ServiceStandin::OnRequest(ExchangePtr exchange) {
  if (exchange->path() == "/faults") {
    HandleFaults(exchange);
  } else if (!faults_.HoldIfFrozen(exchange)) {
    Serve(exchange);
  }
}

static void RefuseCall(const ExchangePtr& exchange, int status,
                       const char* code) {
  exchange->Reply(
      status, kJsonType,
      DumpJson(Json{{"started", false}, {"error", {{"code", code}}}}));
}

void ServiceStandin::Serve(const ExchangePtr& exchange) {
  if (exchange->path() == "/v1/load") {
    LoadReport report;
    report.incarnation = incarnation_;
    report.leaving = faults_.leaving();
    report.slots = 64;
    exchange->Reply(200, kJsonType, WriteLoadReport(report));
    return;
  }
  if (exchange->path() == "/records") {
    HandleRecords(exchange);
    return;
  }
  if (faults_.leaving()) {
    RefuseCall(exchange, 503, "leaving");
    return;
  }
  if (faults_.full()) {
    RefuseCall(exchange, 429, "busy");
    return;
  }
  runs_.push_back({exchange->header(kRequestIdHeader),
                   exchange->header(kIdempotencyHeader),
                   exchange->method() == HttpMethod::kGet ? "GET" : "POST",
                   exchange->path()});
  const std::string body = DumpJson(Json{{"service", name_},
                                         {"path", exchange->path()},
                                         {"run", runs_.size()},
                                         {"body", exchange->body()}});
  loop_->After(faults_.delay(), [this, exchange, body] {
    if (faults_.ShouldLoseReply()) {
      exchange->Abort();
      return;
    }
    exchange->Reply(fail_ ? 500 : 200, kJsonType, body);
  });
}

void ServiceStandin::HandleRecords(const ExchangePtr& exchange) {
  Json list = Json::array();
  for (const Run& r : runs_) {
    list.push_back({{"request", r.request},
                    {"key", r.key},
                    {"method", r.method},
                    {"path", r.path}});
  }
  exchange->Reply(200, kJsonType, DumpJson(list));
}

void ServiceStandin::HandleFaults(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  faults_.Set(exchange->body());
  fail_ = JsonField(v, "fail", fail_);
  exchange->Reply(200, kJsonType, "{}");
  for (const ExchangePtr& e : faults_.ReleaseHeld()) Serve(e);
}

}  // namespace pinford
