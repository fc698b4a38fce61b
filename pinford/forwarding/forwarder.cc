#include "pinford/forwarding/forwarder.h"

#include <charconv>

#include "pinford/error_body.h"
#include "pinford/forwarding/forwarded_request.h"
#include "pinford/log.h"

namespace pinford {

// The Retry-After of refusals, in seconds. A box without a current
// configuration gets one with the store's next response. Both are well within
// the time that callers of a plain service wait.
static constexpr std::string_view kRetryAfter = "0.3";

struct Forwarder::Refusal {
  int status;
  std::string_view code;
  std::string_view message;
  std::string_view retry_after = kRetryAfter;  // sent with a 503
};

Forwarder::Forwarder(ForwardContext* context)
    : context_(context),
      start_queue_(StartQueueOptions()),
      watch_(EndpointWatch::Options()) {}

Forwarder::~Forwarder() = default;

void Forwarder::Refuse(const CallerExchangePtr& exchange, const Refusal& why) {
  const std::string id(
      exchange->head().header(context_->protocol.headers.request_id));
  HttpHeaders headers = {{"Content-Type", std::string(kJsonType)}};
  if (!id.empty()) {
    headers.emplace_back(context_->protocol.headers.request_id, id);
  }
  if (why.status == 503) headers.emplace_back("Retry-After", why.retry_after);
  LogEvent(LogPart::kCallers, LogLevel::kInfo, "request_refused",
           LogFields()
               .Add("id", id)
               .Add("status", why.status)
               .Add("code", why.code)
               .Add("host", exchange->head().header("Host"))
               .Add("target", exchange->head().target)
               .Add("config", routes_ != nullptr ? routes_->version() : 0)
               .Add("proof_age_ms", ToMillis(context_->freshness_age())));
  context_->metrics->Count("refused_total",
                           "code=\"" + std::string(why.code) + "\"");
  exchange->Reply(why.status, "", headers,
                  ErrorBody(why.code, why.message, Outcome::kNotRun));
}

// Returns the caller's time limit in ms, if the header has one.
static std::optional<int64_t> ParseMillis(std::string_view text) {
  int64_t ms = 0;
  const auto [p, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || ms < 0) return std::nullopt;
  return ms;
}

bool Forwarder::IsInitialized() {
  initialized_ =
      initialized_ || (routes_ != nullptr && !context_->table->rows().empty());
  return initialized_;
}

void Forwarder::Enqueue(const CallerExchangePtr& exchange) {
  if (!start_queue_.Add(context_->loop->now(), exchange)) {
    Refuse(exchange, {503, "starting", "too many wait for a configuration"});
    return;
  }
  if (context_->on_caller_waiting) context_->on_caller_waiting();
}

void Forwarder::AdmitWaiting() {
  if (!IsInitialized()) return;
  for (CallerExchangePtr& exchange : start_queue_.PopAll()) {
    if (exchange->open()) Handle(std::move(exchange));
  }
}

void Forwarder::Handle(CallerExchangePtr exchange) {
  const HttpHead& head = exchange->head();
  const ForwardHeaders& names = context_->protocol.headers;
  if (!IsInitialized()) {
    Enqueue(exchange);
    return;
  }
  if (head.CountOf("Host") != 1 || head.target.empty() ||
      head.target[0] != '/') {
    Refuse(exchange, {400, "malformed", "one Host and a path are needed"});
    return;
  }
  if (head.CountOf(names.request_id) != 1) {
    Refuse(exchange, {400, "malformed", "one request id is needed"});
    return;
  }
  const bool config_fresh = context_->config_is_fresh();
  const Route* route = routes_->Find(head.header("Host"), head.target);
  if (route == nullptr && config_fresh) {
    Refuse(exchange, {404, "no_route", "no route has this host and path"});
    return;
  }
  const std::string_view key = head.header(names.key);
  const bool one_key = head.CountOf(names.key) == 1;
  const Customer* customer = one_key ? routes_->CustomerOf(key) : nullptr;
  const bool requires_key = route != nullptr && routes_->NeedsKey(*route);
  if (requires_key && customer == nullptr && config_fresh) {
    Refuse(exchange, {401, "no_key", "no customer has this key"});
    return;
  }
  if (!config_fresh && (route == nullptr || requires_key)) {
    Refuse(exchange, {503, "unproved", "the configuration may be out of date"});
    return;
  }
  if (!EndsBeforeStop(*route, context_->loop->now())) {
    Refuse(exchange, {503, "stopping", "this box stops"});
    return;
  }
  AdmittedRequest admitted;
  admitted.exchange = exchange;
  admitted.routes = routes_;
  admitted.route = route;
  admitted.requires_key = requires_key;
  admitted.priority = route->priority;
  if (customer != nullptr) {
    admitted.customer = customer->name;
    if (customer->priority) admitted.priority = *customer->priority;
  }
  const double draw =
      std::uniform_real_distribution<double>(0, 1)(*context_->random);
  admitted.service = DrawService(*route, draw);
  admitted.id = std::string(head.header(names.request_id));
  exchange->set_log_id(admitted.id);
  admitted.request_class = context_->classify(FactsOf(admitted));
  if (admitted.request_class.refuse) {
    Refuse(exchange, {503, "policy", "the policy refuses it now"});
    return;
  }
  if (RefusesAsQuarantined(&admitted)) {
    Refuse(exchange, {503, kQuarantinedCode, "endpoints crash when they run it",
                      kQuarantineRetryAfter});
    return;
  }
  Duration timeout = route->timeout;
  if (auto ms = ParseMillis(head.header(names.time_left))) {
    timeout = std::min(timeout, Duration(milliseconds(*ms)));
  }
  admitted.deadline = exchange->started() + timeout;
  context_->retries->OnRequest(context_->loop->now(), admitted.service);
  context_->metrics->Count("requests_total", "route=\"" + route->name + "\"");
  auto request =
      std::make_shared<ForwardedRequest>(context_, this, std::move(admitted));
  active_.push_back(request);
  request->Start();
}

bool Forwarder::RefusesAsQuarantined(AdmittedRequest* admitted) const {
  CrashLedger* crashes = context_->crashes;
  return crashes->quarantined() > 0 &&
         crashes->Refuse(context_->loop->now(),
                         FeaturesOf(*context_, admitted));
}

// Streams never do: they may take as long as their route allows, which is
// longer than the grace period.
bool Forwarder::EndsBeforeStop(const Route& route, Time now) const {
  if (now < refuse_from_) return true;
  return route.kind != RequestKind::kStream &&
         now + route.timeout < stop_deadline_;
}

void Forwarder::AbortAll() {
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->OnShutdown();
}

void Forwarder::OnRequestDone(ForwardedRequest* request) {
  for (auto it = active_.begin(); it != active_.end(); ++it) {
    if (it->get() != request) continue;
    // The caller is one of its methods: destroy it in the next loop iteration.
    context_->loop->After(Duration(0), [kept = std::move(*it)] {});
    active_.erase(it);
    return;
  }
}

void Forwarder::Tick() {
  // Silence is judged as of a time by which everything has been read.
  const Time now = context_->loop->timer_started();
  for (const CallerExchangePtr& exchange : start_queue_.PopExpired(now)) {
    if (!exchange->open()) continue;
    Refuse(exchange, {503, "starting", "no configuration is known yet"});
  }
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->Tick(now);
  if (!context_->mechanisms.enabled(Mechanism::kIdleProbe)) return;
  for (const std::string& name : watch_.EndpointsToProbe(now)) SendProbe(name);
}

void Forwarder::OnCollected() {
  if (collected_bytes() <= kMaxCollectedBytes) return;
  const auto largest = std::max_element(
      active_.begin(), active_.end(), [](const auto& a, const auto& b) {
        return a->collected_bytes() < b->collected_bytes();
      });
  const std::shared_ptr<ForwardedRequest> request = *largest;
  request->OnTooLarge();
}

// Updates a moving mean over about the last 50 samples.
template <typename T>
void Forwarder::UpdateMean(T sample, T* mean) {
  constexpr int kSpan = 50;
  *mean += (sample - *mean) / (*mean == T{} ? 1 : kSpan);
}

void Forwarder::OnFirstEvent(Duration took) {
  UpdateMean(took, &mean_first_event_);
}

void Forwarder::OnGap(Duration gap, Duration allowed) {
  UpdateMean(gap, &mean_gap_);
  if (allowed <= Duration(0)) return;
  UpdateMean(ToSeconds(gap) / ToSeconds(allowed), &mean_gap_ratio_);
  context_->table->set_gap_share(mean_gap_ratio_);
}

void Forwarder::ProbeIfDue(const std::string& endpoint) {
  if (watch_.BeginProbe(context_->loop->now(), endpoint)) SendProbe(endpoint);
}

void Forwarder::SendProbe(const std::string& endpoint) {
  context_->metrics->Count("endpoints_asked_total");
  const Time restarted = context_->table->LastRestartOf(endpoint);
  const Time sent = context_->loop->now();
  if (!watch_.IsDown(endpoint)) evidence_.OnSent(sent);
  context_->probe(
      endpoint, [this, endpoint, restarted, sent](const RunnerHealth& health) {
        // The result is of an earlier incarnation.
        if (context_->table->LastRestartOf(endpoint) != restarted) return;
        OnProbeResult(endpoint, sent, health);
      });
}

void Forwarder::ProbeAgain(const std::string& endpoint) {
  context_->metrics->Count("probes_undecided_total");
  if (!watch_.OnProbeInconclusive(endpoint)) return;
  ProbeControlRunner();
  ProbeIfDue(endpoint);
}

void Forwarder::ProbeControlRunner() {
  const Time now = context_->loop->now();
  if (now - control_probed_at_ < ProbeEvidence::kConcurrentWindow) return;
  control_probed_at_ = now;
  std::vector<const std::string*> candidates;
  for (const auto& [name, row] : context_->table->rows()) {
    const bool runner = row.listed.role == EndpointRole::kRunner;
    if (!runner || !context_->table->TakesNewWork(now, name)) continue;
    if (!watch_.IsSuspected(name)) candidates.push_back(&name);
  }
  if (candidates.empty()) return;
  std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
  ProbeIfDue(*candidates[any(*context_->random)]);
}

void Forwarder::OnProbeResult(const std::string& endpoint, Time sent,
                              const RunnerHealth& health) {
  if (health.answer == ProbeAnswer::kNoPath || PathLostSince(endpoint, sent)) {
    watch_.OnProbeDiscarded(endpoint);
    return;
  }
  if (health.answered) {
    evidence_.OnAnswered(sent);
  } else if (!watch_.IsDown(endpoint) && !evidence_.IndicatesFailure(sent)) {
    ProbeAgain(endpoint);
    return;
  }
  const EndpointWatch::Change change =
      watch_.OnProbeResult(endpoint, health.works, health.slowdown);
  context_->table->SetDown(endpoint, !health.works,
                           EvidenceOf(endpoint, health.answer));
  if (health.works) {
    context_->table->SetSlowdown(endpoint, health.slowdown);
    context_->table->OnObserved(context_->loop->now(), endpoint, health.used,
                                health.entries);
  }
  if (change == EndpointWatch::Change::kNone) return;
  capacities_.clear();
  const Duration took = context_->loop->now() - sent;
  LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "endpoint_health",
           LogFields()
               .Add("endpoint", endpoint)
               .Add("works", health.works)
               .Add("answer", ProbeAnswerName(health.answer))
               .Add("pace", health.slowdown)
               .Add("held_up_ms",
                    ToMillis(context_->loop->delays().LongestSince(sent)))
               .Add("ms", ToMillis(took)));
  if (change != EndpointWatch::Change::kWorse) return;
  // A slow runner delays all prompts that are still sent to it, so peers are
  // notified of it too: without that, 51 of 64 boxes had to find by themselves
  // that a first stage had become twelve times too slow.
  const bool notify =
      !health.works || context_->mechanisms.enabled(Mechanism::kTimedRecovery);
  if (notify && context_->on_impaired) context_->on_impaired(endpoint);
  MoveRequests(endpoint);
}

EndpointTable::DownEvidence Forwarder::EvidenceOf(const std::string& endpoint,
                                                  ProbeAnswer answer) const {
  using Evidence = EndpointTable::DownEvidence;
  if (answer == ProbeAnswer::kReport || answer == ProbeAnswer::kOther)
    return Evidence::kReport;
  const bool by_peer =
      answer == ProbeAnswer::kRefused && context_->paths.is_lost(endpoint);
  return by_peer ? Evidence::kPeerProbe : Evidence::kOwnProbe;
}

const PoolCapacity& Forwarder::CapacityOf(const std::string& service,
                                          const std::string& version) {
  const Time now = context_->loop->now();
  const std::pair pool(service, version);
  auto it = capacities_.find(pool);
  const bool fresh =
      it != capacities_.end() && now - it->second.as_of() < kTick;
  if (fresh) return it->second;
  capacities_.erase(pool);
  return capacities_
      .emplace(pool, PoolCapacity(now, *context_->table, service, version))
      .first->second;
}

void Forwarder::OnRestart(const std::string& endpoint) {
  if (context_->mechanisms.enabled(Mechanism::kMoveOnRestart)) {
    watch_.OnProbeResult(endpoint, false, 1);
    MoveRequests(endpoint);
  }
  watch_.OnRestart(endpoint);
}

void Forwarder::OnPathLost(const std::vector<std::string>& endpoints,
                           Time since) {
  const Time now = context_->loop->now();
  EndpointTable* table = context_->table;
  for (const std::string& name : endpoints) {
    path_lost_at_[name] = now;
    table->ForgiveFailures(name, since);
    const auto row = table->rows().find(name);
    if (row == table->rows().end() || !row->second.down) continue;
    watch_.OnProbeResult(name, true, row->second.slowdown);
    table->SetDown(name, false);
  }
  capacities_.clear();
}

bool Forwarder::PathLostSince(const std::string& endpoint, Time sent) const {
  const auto lost = path_lost_at_.find(endpoint);
  return lost != path_lost_at_.end() && sent < lost->second;
}

void Forwarder::MoveRequests(const std::string& endpoint) {
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->OnStageImpaired(endpoint);
}

}  // namespace pinford
