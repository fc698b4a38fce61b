// A completion is parsed, classified by the policy, admitted to its model's
// queue, started when a slot is free, run by a CompletionDriver, and closed
// exactly once. A stream's headers are sent with its first token, so that a
// request that is refused earlier still gets an error status.

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
static constexpr Duration kRetryDelay = seconds(1);

struct CallerApi::Completion {
  uint64_t item = 0;
  std::string id;
  std::string customer;
  ExchangePtr exchange;
  CallerRequest request;
  RequestClass request_class;
  std::string
      model;  // that serves it; the policy may replace the requested one
  Time arrived{};
  Time last_token{};
  double cost = 0;
  std::string text;          // generated so far, unless it is streamed
  size_t waiting_bytes = 0;  // its share of CallerApi::waiting_bytes_
  bool started = false;
  bool closed = false;
  std::unique_ptr<Driver> driver;
};

CallerApi::CallerApi(BoxContext* context)
    : context_(context), calls_(context) {}

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
    const bool healthy = path == "/healthz" || (ready_ && !context_->stopping);
    exchange->Reply(healthy ? 200 : 503, "text/plain",
                    healthy ? "ok\n" : "not ready\n");
  } else {
    const bool known =
        path == kChatPath || path == kTextPath || path == kModelsPath;
    const std::string id = NewId(context_->random);
    const std::string_view code = known ? "method" : "path";
    exchange->Reply(known ? 405 : 404, kJsonType,
                    WriteCallerError(id, OutcomeName(Outcome::kNotRun), code,
                                     "no such " + std::string(code)),
                    ResponseHeaders(id, Outcome::kNotRun));
  }
}

void CallerApi::OnModels(ExchangePtr exchange) {
  Json list = Json::array();
  for (const std::string& model : context_->table.Models()) {
    list.push_back({{"id", model}, {"object", "model"}});
  }
  exchange->Reply(200, kJsonType,
                  DumpJson(Json{{"object", "list"}, {"data", list}}));
}

// --- completions -----------------------------------------------------------

void CallerApi::OnCompletion(CompletionForm form, ExchangePtr exchange) {
  auto c = std::make_shared<Completion>();
  c->id = NewId(context_->random);
  c->exchange = exchange;
  c->arrived = c->last_token = context_->loop->now();
  c->customer = exchange->header(kCustomerHeader);
  c->item = next_item_++;
  active_++;
  completions_[c->item] = c;
  exchange->set_on_disconnect([this, c] { OnDisconnect(c); });

  Findings findings;
  std::optional<CallerRequest> request = ParseCallerRequest(
      form, exchange->body(), context_->settings.max_tokens, &findings);
  if (!request) {
    const std::string body =
        WriteCallerError(c->id, OutcomeName(Outcome::kNotRun), "request",
                         "the request has faults", findings);
    exchange->Reply(400, kJsonType, body,
                    ResponseHeaders(c->id, Outcome::kNotRun));
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
  facts.hour = context_->Hour();
  c->request_class = context_->policy->Classify(facts);
  context_->ReportPolicyErrors();
  c->model = c->request_class.model.empty() ? c->request.model
                                            : c->request_class.model;
  context_->timeline.Add(EventKind::kRequestArrived, c->id,
                         c->customer + " " + c->model + " " +
                             std::string(TierName(c->request_class.tier)));
  Admit(c);
}

void CallerApi::Admit(const std::shared_ptr<Completion>& c) {
  const Time now = context_->loop->now();
  if (!ready_ && !context_->stopping) {
    Refuse(c.get(), 503, "endpoints", "the box is not ready yet", kRetryDelay);
    return;
  }
  if (c->request_class.refuse) {
    Refuse(c.get(), 403, "policy", "the policy refuses the request", kNoRetry);
    return;
  }
  if (!context_->table.KnowsModel(c->model)) {
    Refuse(c.get(), 404, "model", "no endpoint holds the model " + c->model,
           kNoRetry);
    return;
  }
  auto [it, inserted] = pools_.try_emplace(
      c->model, Pool{Admission({.max_waiting = static_cast<size_t>(
                                    context_->settings.max_waiting)}),
                     0});
  Pool& pool = it->second;
  // The usual estimate for a prompt that is not tokenized yet.
  constexpr double kBytesPerToken = 4;
  c->cost = static_cast<double>(c->request.prompt.size()) / kBytesPerToken +
            c->request.max_tokens;
  AdmissionItem item;
  item.id = c->item;
  item.tier = c->request_class.tier;
  item.share =
      c->request_class.group.empty() ? c->customer : c->request_class.group;
  item.weight = c->request_class.weight;
  item.cost = c->cost;
  item.arrived = now;
  item.deadline = now + c->request_class.deadline;
  const size_t bytes = c->request.prompt.size();
  const size_t limit = context_->settings.max_waiting_bytes;
  const AdmissionVerdict verdict = waiting_bytes_ + bytes > limit
                                       ? AdmissionVerdict::kFull
                                       : pool.admission.Offer(now, item);
  if (verdict != AdmissionVerdict::kQueued) {
    Refuse(c.get(), 503, "overload", AdmissionVerdictText(verdict),
           pool.admission.RetryAfter(now));
    return;
  }
  c->waiting_bytes = bytes;
  waiting_bytes_ += bytes;
  StartQueued(c->model, &pool);
}

bool CallerApi::CanStart(const std::string& model, const Pool& pool) {
  const Time now = context_->loop->now();
  // This box may always use an equal share of the slots; beyond that, only
  // slots that seem to be free in the whole fleet.
  const double slots = context_->table.StreamSlots(now, model);
  const double own = slots / context_->membership.live_boxes(now);
  if (pool.running < own) return true;
  return context_->table.FreeStreamSlots(now, model) >= 1;
}

void CallerApi::StartQueued(const std::string& model, Pool* pool) {
  while (pool->admission.waiting() > 0 && CanStart(model, *pool)) {
    const std::vector<AdmissionItem> next = pool->admission.Take(1);
    if (next.empty()) return;
    auto it = completions_.find(next[0].id);
    if (it == completions_.end()) continue;
    const std::shared_ptr<Completion> c = it->second;
    StartCompletion(c);
  }
}

void CallerApi::ReleaseWaitingBytes(Completion* c) {
  waiting_bytes_ -= std::exchange(c->waiting_bytes, 0);
}

void CallerApi::StartCompletion(const std::shared_ptr<Completion>& c) {
  const Time now = context_->loop->now();
  ReleaseWaitingBytes(c.get());
  std::optional<std::string> version =
      context_->table.VersionFor(now, c->model, c->request_class.version);
  if (!version) {
    Refuse(c.get(), 503, "endpoints",
           CompletionErrorText(CompletionError::kNoEndpoints), kRetryDelay);
    return;
  }
  c->started = true;
  running_++;
  pools_.at(c->model).running++;
  context_->timeline.Add(EventKind::kRequestStarted, c->id, *version);
  context_->metrics.Observe("queue_seconds", "", ToSeconds(now - c->arrived));

  CompletionSpec spec;
  spec.request = c->id;
  spec.model = c->model;
  spec.version = *version;
  spec.prompt = c->request.prompt;
  spec.max_tokens = c->request.max_tokens;
  spec.priority = static_cast<int>(c->request_class.tier);
  spec.deadline = c->arrived + c->request_class.deadline;
  spec.hall_weight = [this, model = c->model](const std::string& hall) {
    auto weights = hall_weights_.find(model);
    if (weights == hall_weights_.end()) return 1.0;
    auto weight = weights->second.find(hall);
    return weight == weights->second.end() ? 1.0 : weight->second;
  };
  CompletionOptions options;
  options.run.max_journal_bytes = context_->settings.journal_bytes;
  CompletionEvents events;
  Completion* p = c.get();
  events.on_token = [this, p](std::string_view text) { OnToken(p, text); };
  events.on_end = [this, p](const CompletionEnd& end) { OnEnd(p, end); };
  events.on_repair = [this, p](const Repair& repair) {
    context_->metrics.Observe("repair_seconds", "",
                              ToSeconds(repair.interruption));
    context_->timeline.Add(
        EventKind::kStageRepaired, p->id,
        repair.endpoint + " " + std::string(StepStatusName(repair.cause)) +
            ", silent for " + std::to_string(ToMillis(repair.interruption)) +
            " ms");
  };
  events.on_leaving = context_->announce_leaving;
  c->driver = std::make_unique<Driver>(
      &context_->engines, context_->loop, &context_->table, &context_->retries,
      options, std::move(spec), std::move(events));
  c->driver->Start();
}

void CallerApi::OnToken(Completion* c, std::string_view text) {
  const Time now = context_->loop->now();
  const bool is_first = c->last_token == c->arrived;
  context_->metrics.Observe(
      is_first ? "first_token_seconds" : "between_token_seconds", "",
      ToSeconds(now - c->last_token));
  c->last_token = now;
  context_->metrics.Count("tokens_total");
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
  // A caller that does not read occupies memory here and a slot on the runners.
  const size_t limit = context_->settings.max_unsent_bytes;
  if (c->exchange->unsent() <= limit) return;
  context_->metrics.Count("slow_callers_total");
  Log(LogPart::kCallers, LogLevel::kWarn,
      "A caller does not read its answer. It is cut off.");
  c->driver->Cancel();
  c->exchange->Abort();
  // Deferred, since Close destroys the driver, which is on the call stack.
  context_->loop->After(Duration(0), [this, item = c->item] {
    auto it = completions_.find(item);
    if (it == completions_.end()) return;
    Close(it->second.get(), Outcome::kFailed, "caller too slow");
  });
}

void CallerApi::OnEnd(Completion* c, const CompletionEnd& end) {
  Respond(c, end);
  std::string detail = std::to_string(end.answer_tokens) + " tokens";
  if (end.error != CompletionError::kNone) {
    detail += ", " + std::string(CompletionErrorText(end.error));
  }
  const std::string model = c->model;
  pools_.at(model).admission.OnFinished(context_->loop->now(), c->cost);
  // Deferred, since Close destroys the driver, which calls this.
  context_->loop->After(Duration(0), [this, item = c->item,
                                      outcome = end.outcome, detail, model] {
    auto it = completions_.find(item);
    if (it != completions_.end()) Close(it->second.get(), outcome, detail);
    StartQueued(model, &pools_.at(model));
  });
}

void CallerApi::Respond(Completion* c, const CompletionEnd& end) {
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
                    WriteResponse(c->request, c->id, c->text, reason,
                                  end.prompt_tokens, end.answer_tokens),
                    ResponseHeaders(c->id, end.outcome));
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
  const Duration retry = rejected ? kNoRetry : kRetryDelay;
  exchange->Reply(
      rejected ? 400 : 503, kJsonType,
      WriteCallerError(c->id, outcome, rejected ? "rejected" : "endpoints",
                       message),
      ResponseHeaders(c->id, end.outcome, retry));
}

void CallerApi::Refuse(Completion* c, int status, std::string_view code,
                       std::string_view message, Duration retry_after) {
  c->exchange->set_on_disconnect(nullptr);
  c->exchange->Reply(
      status, kJsonType,
      WriteCallerError(c->id, OutcomeName(Outcome::kNotRun), code, message),
      ResponseHeaders(c->id, Outcome::kNotRun, retry_after));
  Close(c, Outcome::kNotRun, std::string(message));
}

void CallerApi::OnDisconnect(const std::shared_ptr<Completion>& c) {
  if (c->closed) return;
  auto it = pools_.find(c->model);
  if (!c->started && it != pools_.end()) it->second.admission.Cancel(c->item);
  if (c->driver != nullptr) c->driver->Cancel();
  context_->metrics.Count("hang_ups_total");
  // Deferred, since the driver or the server may be on the call stack.
  context_->loop->After(Duration(0), [this, c] {
    if (c->closed) return;
    Close(c.get(), c->started ? Outcome::kFailed : Outcome::kNotRun,
          "caller hung up");
  });
}

void CallerApi::Close(Completion* c, Outcome outcome,
                      const std::string& detail) {
  if (c->closed) return;
  c->closed = true;
  ReleaseWaitingBytes(c);
  active_--;
  if (c->started) {
    running_--;
    pools_.at(c->model).running--;
  }
  const std::string labels =
      "outcome=\"" + std::string(OutcomeName(outcome)) + "\",tier=\"" +
      std::string(TierName(c->request_class.tier)) + "\"";
  context_->metrics.Count("requests_total", labels);
  context_->timeline.Add(EventKind::kRequestEnded, c->id,
                         std::string(OutcomeName(outcome)) + ", " + detail);
  completions_.erase(c->item);
}

void CallerApi::Tick() {
  const Time now = context_->loop->now();
  for (auto& [model, pool] : pools_) {
    StartQueued(model, &pool);
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
