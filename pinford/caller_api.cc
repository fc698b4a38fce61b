// The life of a completion: it is read and checked, classed by the policy,
// admitted to its model's queue, begun when a slot is free, driven by a
// CompletionDriver, and closed once. A stream's headers wait for its first
// token, so that a refusal still has its own status.

#include "pinford/caller_api.h"

#include <algorithm>
#include <utility>

#include "pinford/log.h"
#include "util/json.h"

namespace pinford {

static constexpr char kChatPath[] = "/v1/chat/completions";
static constexpr char kTextPath[] = "/v1/completions";
static constexpr char kModelsPath[] = "/v1/models";
static constexpr char kEventStream[] = "text/event-stream";
static constexpr Duration kNoRetry = Duration(0);
static constexpr Duration kSoon = seconds(1);

struct CallerApi::Completion {
  uint64_t item = 0;
  std::string id;
  std::string customer;
  ExchangePtr exchange;
  CallerRequest request;
  RequestClass klass;
  std::string model;  // that runs it
  Time arrived{};
  Time last_token{};
  double cost = 0;
  std::string text;          // of an answer that is not streamed
  size_t waiting_bytes = 0;  // counted for it while it waits
  bool begun = false;
  bool closed = false;
  std::unique_ptr<Driver> driver;
};

CallerApi::CallerApi(BoxContext* parts) : parts_(parts), calls_(parts) {}

CallerApi::~CallerApi() {
  for (auto& [item, c] : completions_) c->exchange->set_on_disconnect(nullptr);
}

int CallerApi::waiting() const {
  size_t n = 0;
  for (const auto& [model, pool] : pools_) n += pool.admission.waiting();
  return static_cast<int>(n);
}

void CallerApi::OnRequest(ExchangePtr exchange) {
  const std::string& path = exchange->path();
  const bool post = exchange->method() == HttpMethod::kPost;
  const bool get = exchange->method() == HttpMethod::kGet;
  if (path == kChatPath && post) {
    OnCompletion(CompletionForm::kChat, std::move(exchange));
  } else if (path == kTextPath && post) {
    OnCompletion(CompletionForm::kText, std::move(exchange));
  } else if (path == kModelsPath && get) {
    OnModels(std::move(exchange));
  } else if (path.compare(0, sizeof(kServicesPath) - 1, kServicesPath) == 0) {
    calls_.OnRequest(std::move(exchange));
  } else if (path == "/readyz" || path == "/healthz") {
    const bool good = path == "/healthz" || (ready_ && !parts_->stopping);
    exchange->Reply(good ? 200 : 503, "text/plain",
                    good ? "ok\n" : "not ready\n");
  } else {
    const bool known =
        path == kChatPath || path == kTextPath || path == kModelsPath;
    const std::string id = NewId(parts_->random);
    const std::string_view code = known ? "method" : "path";
    exchange->Reply(known ? 405 : 404, kJsonType,
                    WriteCallerError(id, OutcomeName(Outcome::kNotRun), code,
                                     "no such " + std::string(code)),
                    AnswerHeaders(id, Outcome::kNotRun));
  }
}

void CallerApi::OnModels(ExchangePtr exchange) {
  Json list = Json::array();
  for (const std::string& model : parts_->table.Models()) {
    list.push_back({{"id", model}, {"object", "model"}});
  }
  exchange->Reply(200, kJsonType,
                  DumpJson(Json{{"object", "list"}, {"data", list}}));
}

// --- completions -----------------------------------------------------------

void CallerApi::OnCompletion(CompletionForm form, ExchangePtr exchange) {
  auto c = std::make_shared<Completion>();
  c->id = NewId(parts_->random);
  c->exchange = exchange;
  c->arrived = c->last_token = parts_->loop->now();
  c->customer = exchange->header(kCustomerHeader);
  c->item = next_item_++;
  active_++;
  completions_[c->item] = c;
  exchange->set_on_disconnect([this, c] { OnHangUp(c); });

  Findings findings;
  std::optional<CallerRequest> request = ParseCallerRequest(
      form, exchange->body(), parts_->settings.max_tokens, &findings);
  if (!request) {
    const std::string body =
        WriteCallerError(c->id, OutcomeName(Outcome::kNotRun), "request",
                         "the request has faults", findings);
    exchange->Reply(400, kJsonType, body,
                    AnswerHeaders(c->id, Outcome::kNotRun));
    Close(c.get(), Outcome::kNotRun, "bad request");
    return;
  }
  c->request = std::move(*request);

  RequestFacts facts;
  facts.customer = c->customer;
  facts.model = c->request.model;
  facts.kind = exchange->header("X-Kind");
  facts.prompt_bytes = static_cast<int>(c->request.prompt.size());
  facts.max_tokens = c->request.max_tokens;
  facts.hour = parts_->Hour();
  c->klass = parts_->policy->Classify(facts);
  parts_->NotePolicyErrors();
  c->model = c->klass.model.empty() ? c->request.model : c->klass.model;
  parts_->timeline.Add(EventKind::kRequestArrived, c->id,
                       c->customer + " " + c->model + " " +
                           std::string(TierName(c->klass.tier)));
  Admit(c);
}

void CallerApi::Admit(const std::shared_ptr<Completion>& c) {
  const Time now = parts_->loop->now();
  if (!ready_ && !parts_->stopping) {
    Refuse(c.get(), 503, "endpoints", "the box is not ready yet", kSoon);
    return;
  }
  if (c->klass.refuse) {
    Refuse(c.get(), 403, "policy", "the policy refuses the request", kNoRetry);
    return;
  }
  if (!parts_->table.KnowsModel(c->model)) {
    Refuse(c.get(), 404, "model", "no endpoint holds the model " + c->model,
           kNoRetry);
    return;
  }
  auto [it, fresh] = pools_.try_emplace(
      c->model, Pool{Admission({.max_waiting = static_cast<size_t>(
                                    parts_->settings.max_waiting)}),
                     0});
  Pool& pool = it->second;
  // Four bytes a token is the usual estimate before a prompt is tokenized.
  constexpr double kBytesPerToken = 4;
  c->cost = static_cast<double>(c->request.prompt.size()) / kBytesPerToken +
            c->request.max_tokens;
  AdmissionItem item;
  item.id = c->item;
  item.tier = c->klass.tier;
  item.share = c->klass.group.empty() ? c->customer : c->klass.group;
  item.weight = c->klass.weight;
  item.cost = c->cost;
  item.arrived = now;
  item.deadline = now + c->klass.deadline;
  const size_t bytes = c->request.prompt.size();
  const size_t most = parts_->settings.max_waiting_bytes;
  const AdmissionVerdict verdict = waiting_bytes_ + bytes > most
                                       ? AdmissionVerdict::kFull
                                       : pool.admission.Offer(now, item);
  if (verdict != AdmissionVerdict::kQueued) {
    Refuse(c.get(), 503, "overload", AdmissionVerdictText(verdict),
           pool.admission.RetryAfter(now));
    return;
  }
  c->waiting_bytes = bytes;
  waiting_bytes_ += bytes;
  Pump(c->model, &pool);
}

bool CallerApi::MayStart(const std::string& model, const Pool& pool) {
  const Time now = parts_->loop->now();
  // This box's even part of the slots is always its own; beyond it, it may
  // use what nobody seems to have.
  const double slots = parts_->table.StreamSlots(now, model);
  const double own = slots / parts_->membership.live_boxes(now);
  if (pool.running < own) return true;
  return parts_->table.FreeStreamSlots(now, model) >= 1;
}

void CallerApi::Pump(const std::string& model, Pool* pool) {
  while (pool->admission.waiting() > 0 && MayStart(model, *pool)) {
    const std::vector<AdmissionItem> next = pool->admission.Take(1);
    if (next.empty()) return;
    auto it = completions_.find(next[0].id);
    if (it == completions_.end()) continue;
    const std::shared_ptr<Completion> c = it->second;
    Begin(c);
  }
}

void CallerApi::StopWaiting(Completion* c) {
  waiting_bytes_ -= std::exchange(c->waiting_bytes, 0);
}

void CallerApi::Begin(const std::shared_ptr<Completion>& c) {
  const Time now = parts_->loop->now();
  StopWaiting(c.get());
  std::optional<std::string> version =
      parts_->table.VersionFor(now, c->model, c->klass.version);
  if (!version) {
    Refuse(c.get(), 503, "endpoints",
           CompletionErrorText(CompletionError::kNoEndpoints), kSoon);
    return;
  }
  c->begun = true;
  running_++;
  pools_.at(c->model).running++;
  parts_->timeline.Add(EventKind::kRequestStarted, c->id, *version);
  parts_->metrics.Observe("queue_seconds", "", ToSeconds(now - c->arrived));

  CompletionSpec spec;
  spec.request = c->id;
  spec.model = c->model;
  spec.version = *version;
  spec.prompt = c->request.prompt;
  spec.max_tokens = c->request.max_tokens;
  spec.priority = static_cast<int>(c->klass.tier);
  spec.deadline = c->arrived + c->klass.deadline;
  spec.hall_weight = [this, model = c->model](const std::string& hall) {
    auto weights = hall_weights_.find(model);
    if (weights == hall_weights_.end()) return 1.0;
    auto weight = weights->second.find(hall);
    return weight == weights->second.end() ? 1.0 : weight->second;
  };
  CompletionOptions options;
  options.run.max_journal_bytes = parts_->settings.journal_bytes;
  CompletionEvents events;
  Completion* p = c.get();
  events.on_token = [this, p](std::string_view text) { OnToken(p, text); };
  events.on_end = [this, p](const CompletionEnd& end) { OnEnd(p, end); };
  events.on_repair = [this, p](const Repair& repair) {
    parts_->metrics.Observe("repair_seconds", "",
                            ToSeconds(repair.interruption));
    parts_->timeline.Add(
        EventKind::kStageRepaired, p->id,
        repair.endpoint + " " + std::string(StepStatusName(repair.cause)) +
            ", silent for " + std::to_string(ToMillis(repair.interruption)) +
            " ms");
  };
  events.on_leaving = parts_->spread_leaving;
  c->driver = std::make_unique<Driver>(
      &parts_->engines, parts_->loop, &parts_->table, &parts_->retries, options,
      std::move(spec), std::move(events));
  c->driver->Start();
}

void CallerApi::OnToken(Completion* c, std::string_view text) {
  const Time now = parts_->loop->now();
  const bool first = c->last_token == c->arrived;
  parts_->metrics.Observe(
      first ? "first_token_seconds" : "between_token_seconds", "",
      ToSeconds(now - c->last_token));
  c->last_token = now;
  parts_->metrics.Count("tokens_total");
  if (!c->request.stream) {
    c->text += text;
    return;
  }
  if (!c->exchange->streaming()) {
    c->exchange->StartStream(
        200, kEventStream,
        {{kRequestIdHeader, c->id}, {"Cache-Control", "no-cache"}});
  }
  c->exchange->Write(WriteChunk(c->request, c->id, text, FinishReason::kNone));
  // A caller that does not read holds memory here and a slot there.
  const size_t most = parts_->settings.max_unsent_bytes;
  if (c->exchange->unsent() <= most) return;
  parts_->metrics.Count("slow_callers_total");
  Log(LogPart::kCallers, LogLevel::kWarn,
      "A caller does not read its answer. It is cut off.");
  c->driver->Cancel();
  c->exchange->Abort();
  // The driver is on the stack: it goes when this call is done.
  parts_->loop->After(Duration(0), [this, item = c->item] {
    auto it = completions_.find(item);
    if (it == completions_.end()) return;
    Close(it->second.get(), Outcome::kFailed, "caller too slow");
  });
}

void CallerApi::OnEnd(Completion* c, const CompletionEnd& end) {
  Answer(c, end);
  std::string detail = std::to_string(end.answer_tokens) + " tokens";
  if (end.error != CompletionError::kNone) {
    detail += ", " + std::string(CompletionErrorText(end.error));
  }
  const std::string model = c->model;
  pools_.at(model).admission.OnFinished(parts_->loop->now(), c->cost);
  // The driver that calls is on the stack.
  parts_->loop->After(Duration(0), [this, item = c->item, outcome = end.outcome,
                                    detail, model] {
    auto it = completions_.find(item);
    if (it != completions_.end()) Close(it->second.get(), outcome, detail);
    Pump(model, &pools_.at(model));
  });
}

void CallerApi::Answer(Completion* c, const CompletionEnd& end) {
  HttpExchange* exchange = c->exchange.get();
  exchange->set_on_disconnect(nullptr);
  const std::string_view outcome = OutcomeName(end.outcome);
  const FinishReason reason =
      end.reached_limit ? FinishReason::kLength : FinishReason::kStop;
  if (end.outcome == Outcome::kComplete && c->request.stream) {
    if (!exchange->streaming()) {
      exchange->StartStream(200, kEventStream, {{kRequestIdHeader, c->id}});
    }
    exchange->Write(WriteChunk(c->request, c->id, "", reason));
    exchange->Write(WriteStreamEnd());
    exchange->EndStream();
    return;
  }
  if (end.outcome == Outcome::kComplete) {
    exchange->Reply(200, kJsonType,
                    WriteAnswer(c->request, c->id, c->text, reason,
                                end.prompt_tokens, end.answer_tokens),
                    AnswerHeaders(c->id, end.outcome));
    return;
  }
  const std::string message = end.detail.empty()
                                  ? std::string(CompletionErrorText(end.error))
                                  : end.detail;
  if (exchange->streaming()) {
    exchange->Write(WriteStreamError(c->id, outcome, message));
    exchange->EndStream();
    return;
  }
  const bool rejected = end.error == CompletionError::kRejected;
  const Duration retry = rejected ? kNoRetry : kSoon;
  exchange->Reply(
      rejected ? 400 : 503, kJsonType,
      WriteCallerError(c->id, outcome, rejected ? "rejected" : "endpoints",
                       message),
      AnswerHeaders(c->id, end.outcome, retry));
}

void CallerApi::Refuse(Completion* c, int status, std::string_view code,
                       std::string_view message, Duration retry_after) {
  c->exchange->set_on_disconnect(nullptr);
  c->exchange->Reply(
      status, kJsonType,
      WriteCallerError(c->id, OutcomeName(Outcome::kNotRun), code, message),
      AnswerHeaders(c->id, Outcome::kNotRun, retry_after));
  Close(c, Outcome::kNotRun, std::string(message));
}

void CallerApi::OnHangUp(const std::shared_ptr<Completion>& c) {
  if (c->closed) return;
  auto pool = pools_.find(c->model);
  if (!c->begun && pool != pools_.end()) pool->second.admission.Cancel(c->item);
  if (c->driver != nullptr) c->driver->Cancel();
  parts_->metrics.Count("hang_ups_total");
  // Not from within whatever the driver or the server is doing.
  parts_->loop->After(Duration(0), [this, c] {
    if (c->closed) return;
    Close(c.get(), c->begun ? Outcome::kFailed : Outcome::kNotRun,
          "caller hung up");
  });
}

void CallerApi::Close(Completion* c, Outcome outcome,
                      const std::string& detail) {
  if (c->closed) return;
  c->closed = true;
  StopWaiting(c);
  active_--;
  if (c->begun) {
    running_--;
    pools_.at(c->model).running--;
  }
  const std::string labels = "outcome=\"" + std::string(OutcomeName(outcome)) +
                             "\",tier=\"" +
                             std::string(TierName(c->klass.tier)) + "\"";
  parts_->metrics.Count("requests_total", labels);
  parts_->timeline.Add(EventKind::kRequestEnded, c->id,
                       std::string(OutcomeName(outcome)) + ", " + detail);
  completions_.erase(c->item);
}

void CallerApi::Tick() {
  const Time now = parts_->loop->now();
  for (auto& [model, pool] : pools_) {
    Pump(model, &pool);
    for (const AdmissionItem& item : pool.admission.Expire(now)) {
      auto it = completions_.find(item.id);
      if (it == completions_.end()) continue;
      const std::shared_ptr<Completion> c = it->second;
      Refuse(c.get(), 503, "overload",
             AdmissionVerdictText(AdmissionVerdict::kTooLate),
             pool.admission.RetryAfter(now));
    }
  }
}

}  // namespace pinford
