#include "pinford/testing/engine_standin.h"

#include <algorithm>

#include "pinford/box_context.h"
#include "pinford/engine_protocol.h"
#include "util/json.h"

namespace pinford {

static constexpr double kFurtherPosition = 1.0 / 16;

static HttpServer::Options EngineOptions() {
  HttpServer::Options options;
  options.max_body_bytes = 64 << 20;  // a long prompt's activations
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
    SetFaults(exchange);
  } else if (!faults_.Hold(exchange)) {
    Serve(exchange);
  }
}

void EngineStandin::Serve(const ExchangePtr& exchange) {
  const std::string& path = exchange->path();
  if (path == "/v1/steps") {
    Step(exchange);
  } else if (path == "/v1/tokenize") {
    Tokenize(exchange);
  } else if (path == "/v1/load") {
    Load(exchange);
  } else if (path == "/v1/sessions") {
    const uint32_t session = atoi(exchange->query("session").c_str());
    sessions_.erase({exchange->query("request"), session});
    ApplyOrder();
    exchange->Reply(200, kJsonType, "{}");
  } else if (path == "/records") {
    Records(exchange);
  } else if (path == "/v1/orders") {
    TakeOrder(exchange);
  } else if (path == "/offers") {
    Offers(exchange);
  } else {
    exchange->Reply(404, kJsonType, "{}");
  }
}

static void Refuse(const ExchangePtr& exchange, StepStatus status) {
  const Refusal refusal = RefusalOf(status);
  exchange->Reply(refusal.http_status, kJsonType,
                  WriteError(refusal.code, StepStatusName(status)));
}

void EngineStandin::Step(const ExchangePtr& exchange) {
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
    const bool no_room = static_cast<int>(sessions_.size()) >= options_.slots;
    if (faults_.leaving()) {
      offers_++;
      last_offer_ = loop_->now();
      Refuse(exchange, StepStatus::kRefusedLeaving);
      return;
    }
    if (faults_.full() || no_room || ordered_) {
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
  const double positions = 1 + kFurtherPosition * (step->inputs() - 1);
  const Duration took = Duration(
      static_cast<int64_t>(static_cast<double>(options_.layer_time.count()) *
                           step->id.range.size() * positions));
  loop_->After(took + faults_.delay(),
               [this, exchange, reply] { Answer(exchange, *reply); });
}

void EngineStandin::Answer(const ExchangePtr& exchange,
                           const StepReply& reply) {
  if (faults_.LoseReply()) {
    exchange->Abort();
    return;
  }
  if (faults_.frozen()) {
    loop_->After(milliseconds(10),
                 [this, exchange, reply] { Answer(exchange, reply); });
    return;
  }
  exchange->Reply(200, kJsonType, WriteStepReply(reply));
}

void EngineStandin::Tokenize(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  exchange->Reply(200, kJsonType,
                  WriteTokens(options_.model.Tokenize(
                      JsonField<std::string>(v, "text", ""))));
}

LoadReport EngineStandin::Report() const {
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

void EngineStandin::Load(const ExchangePtr& exchange) {
  const Time now = loop_->now();
  reports_.emplace_back(now, Report());
  while (reports_.size() > 1 && reports_[1].first + report_lag_ <= now) {
    reports_.pop_front();
  }
  exchange->Reply(200, kJsonType, WriteLoadReport(reports_.front().second));
}

void EngineStandin::Records(const ExchangePtr& exchange) {
  Json list = Json::array();
  for (const LayerRun& r : runs_) {
    list.push_back({r.request, r.session, r.layer, r.position, r.recomputed});
  }
  exchange->Reply(200, kJsonType, DumpJson(list));
}

void EngineStandin::TakeOrder(const ExchangePtr& exchange) {
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
  ordered_ = order->hold;
  ApplyOrder();
  exchange->Reply(200, kJsonType, "{}");
}

void EngineStandin::ApplyOrder() {
  if (!ordered_ || !sessions_.empty()) return;
  options_.model.name = ordered_->model;
  options_.model.version = ordered_->version;
  options_.holds = ordered_->range;
  ordered_.reset();
}

void EngineStandin::Offers(const ExchangePtr& exchange) {
  exchange->Reply(
      200, kJsonType,
      DumpJson(Json{{"offers", offers_},
                    {"last_ms", ToMillis(last_offer_ - leaving_since_)}}));
}

void EngineStandin::SetFaults(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  if (!faults_.leaving()) leaving_since_ = last_offer_ = loop_->now();
  faults_.Set(exchange->body());
  report_lag_ = milliseconds(
      JsonField<int64_t>(v, "report_lag_ms", ToMillis(report_lag_)));
  exchange->Reply(200, kJsonType, "{}");
  for (const ExchangePtr& e : faults_.TakeHeld()) Serve(e);
}

}  // namespace pinford
