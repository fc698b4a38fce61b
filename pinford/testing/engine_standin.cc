#include "pinford/testing/engine_standin.h"

#include <algorithm>

#include "pinford/box_context.h"
#include "pinford/engine_protocol.h"
#include "util/json.h"

namespace pinford {

static constexpr double kExtraPositionCost = 1.0 / 16;

static HttpServer::Options EngineOptions() {
  HttpServer::Options options;
  options.max_body_bytes = 64 << 20;  // activations of a long prompt
  return options;
}

EngineStandin::EngineStandin(EventLoop* loop, const Options& options)
    : loop_(loop),
      options_(options),
      server_(loop, EngineOptions(),
              [this](ExchangePtr e) { OnRequest(std::move(e)); }),
      incarnation_(WallMillis()) {}

void EngineStandin::OnRequest(ExchangePtr exchange) {
  if (exchange->path() == "/faults") {
    HandleFaults(exchange);
  } else if (!faults_.HoldIfFrozen(exchange)) {
    Serve(exchange);
  }
}

void EngineStandin::Serve(const ExchangePtr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/v1/steps") {
    HandleStep(exchange);
  } else if (path == "/v1/tokenize") {
    HandleTokenize(exchange);
  } else if (path == "/v1/load") {
    HandleLoad(exchange);
  } else if (path == "/v1/sessions") {
    const uint32_t session = atoi(exchange->query("session").c_str());
    sessions_.erase({exchange->query("request"), session});
    ApplyOrder();
    exchange->Reply(200, kJsonType, "{}");
  } else if (path == "/records") {
    HandleRecords(exchange);
  } else if (path == "/v1/orders") {
    HandleOrder(exchange);
  } else if (path == "/offers") {
    HandleOffers(exchange);
  } else {
    exchange->Reply(404, kJsonType, "{}");
  }
}

static void Refuse(const ExchangePtr& exchange, StepStatus status) {
  const Refusal refusal = RefusalOf(status);
  exchange->Reply(refusal.http_status, kJsonType,
                  WriteError(refusal.code, StepStatusName(status)));
}

void EngineStandin::HandleStep(const ExchangePtr& exchange) {
  const std::optional<StepRequest> step = ParseStepRequest(exchange->body());
  if (!step) {
    Refuse(exchange, StepStatus::kRejected);
    return;
  }
  if (!options_.holds.Contains(step->id.range) ||
      step->model != options_.model.name ||
      step->version != options_.model.version) {
    Refuse(exchange, StepStatus::kRefusedRange);
    return;
  }
  const ToyModel::SessionKey key(step->id.request, step->id.session);
  if (!sessions_.contains(key)) {
    const bool no_free_slot =
        static_cast<int>(sessions_.size()) >= options_.slots;
    if (faults_.leaving()) {
      offers_++;
      last_offer_ = loop_->now();
      Refuse(exchange, StepStatus::kRefusedLeaving);
      return;
    }
    if (faults_.full() || no_free_slot || pending_order_) {
      Refuse(exchange, StepStatus::kRefusedBusy);
      return;
    }
  }
  const std::optional<StepReply> reply =
      options_.model.Run(*step, &sessions_[key], options_.name,
                         options_.records ? &runs_ : nullptr);
  if (!reply) {
    Refuse(exchange, StepStatus::kRefusedCache);
    return;
  }
  const double positions = 1 + kExtraPositionCost * (step->inputs() - 1);
  const Duration duration = Duration(
      static_cast<int64_t>(static_cast<double>(options_.layer_time.count()) *
                           step->id.range.size() * positions));
  loop_->After(duration + faults_.delay(),
               [this, exchange, reply] { SendReply(exchange, *reply); });
}

void EngineStandin::SendReply(const ExchangePtr& exchange,
                              const StepReply& reply) {
  if (faults_.ShouldLoseReply()) {
    exchange->Abort();
    return;
  }
  if (faults_.frozen()) {
    loop_->After(milliseconds(10),
                 [this, exchange, reply] { SendReply(exchange, reply); });
    return;
  }
  exchange->Reply(200, kJsonType, WriteStepReply(reply));
}

void EngineStandin::HandleTokenize(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  exchange->Reply(200, kJsonType,
                  WriteTokens(options_.model.Tokenize(
                      JsonField<std::string>(v, "text", ""))));
}

LoadReport EngineStandin::CurrentReport() const {
  LoadReport r;
  r.incarnation = incarnation_;
  r.leaving = faults_.leaving();
  r.running = static_cast<int>(sessions_.size());
  for (const auto& [key, session] : sessions_) r.work += session.range.size();
  r.slots = options_.slots;
  r.model = options_.model.name;
  r.version = options_.model.version;
  r.layers = options_.model.layers;
  r.holds = options_.holds;
  r.layer_seconds = ToSeconds(options_.layer_time);
  return r;
}

void EngineStandin::HandleLoad(const ExchangePtr& exchange) {
  const Time now = loop_->now();
  reports_.emplace_back(now, CurrentReport());
  while (reports_.size() > 1 && reports_[1].first + report_lag_ <= now) {
    reports_.pop_front();
  }
  exchange->Reply(200, kJsonType, WriteLoadReport(reports_.front().second));
}

void EngineStandin::HandleRecords(const ExchangePtr& exchange) {
  Json list = Json::array();
  for (const LayerRun& r : runs_) {
    list.push_back({r.request, r.session, r.layer, r.position, r.recomputed});
  }
  exchange->Reply(200, kJsonType, DumpJson(list));
}

void EngineStandin::HandleOrder(const ExchangePtr& exchange) {
  const std::optional<Order> order = ParseOrder(exchange->body());
  if (!order) {
    exchange->Reply(400, kJsonType, "{}");
    return;
  }
  if (options_.checks_fence && order->token < highest_token_) {
    exchange->Reply(409, kJsonType, "{}");
    return;
  }
  highest_token_ = std::max(highest_token_, order->token);
  pending_order_ = order->hold;
  ApplyOrder();
  exchange->Reply(200, kJsonType, "{}");
}

void EngineStandin::ApplyOrder() {
  if (!pending_order_ || !sessions_.empty()) return;
  options_.model.name = pending_order_->model;
  options_.model.version = pending_order_->version;
  options_.holds = pending_order_->range;
  pending_order_.reset();
}

void EngineStandin::HandleOffers(const ExchangePtr& exchange) {
  exchange->Reply(
      200, kJsonType,
      DumpJson(Json{{"offers", offers_},
                    {"last_ms", ToMillis(last_offer_ - leaving_since_)}}));
}

void EngineStandin::HandleFaults(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  if (!faults_.leaving()) leaving_since_ = last_offer_ = loop_->now();
  faults_.Set(exchange->body());
  report_lag_ = milliseconds(
      JsonField<int64_t>(v, "report_lag_ms", ToMillis(report_lag_)));
  exchange->Reply(200, kJsonType, "{}");
  for (const ExchangePtr& e : faults_.ReleaseHeld()) Serve(e);
}

}  // namespace pinford
