#include "pinford/forwarding/forwarder.h"

#include <charconv>

#include "pinford/error_body.h"
#include "pinford/forwarding/forwarded_request.h"
#include "pinford/log.h"

namespace pinford {

// When a caller that is refused should come back. A box without a proved
// configuration gets one with the store's next answer; both are well inside
// the time that the callers of a plain service wait.
static constexpr std::string_view kComeBackSoon = "0.3";

struct Forwarder::Refusal {
  int status;
  std::string_view code;
  std::string_view message;
};

Forwarder::Forwarder(ForwardContext* parts)
    : parts_(parts),
      waiting_(StartQueueOptions()),
      watch_(EndpointWatch::Options()) {}

Forwarder::~Forwarder() = default;

void Forwarder::Refuse(const CallerExchangePtr& exchange, const Refusal& why) {
  const std::string id(
      exchange->head().header(parts_->protocol.headers.request_id));
  HttpHeaders headers = {{"Content-Type", std::string(kJsonType)}};
  if (!id.empty()) {
    headers.emplace_back(parts_->protocol.headers.request_id, id);
  }
  if (why.status == 503) headers.emplace_back("Retry-After", kComeBackSoon);
  LogEvent(LogPart::kCallers, LogLevel::kInfo, "request_refused",
           LogFields()
               .Add("id", id)
               .Add("status", why.status)
               .Add("code", why.code)
               .Add("host", exchange->head().header("Host"))
               .Add("target", exchange->head().target)
               .Add("config", routes_ != nullptr ? routes_->version() : 0)
               .Add("proof_age_ms", ToMillis(parts_->proof_age())));
  parts_->metrics->Count("refused_total",
                         "code=\"" + std::string(why.code) + "\"");
  exchange->Reply(why.status, "", headers,
                  ErrorBody(why.code, why.message, Outcome::kNotRun));
}

// The caller's limit in ms, if the header holds one.
static std::optional<int64_t> MillisOf(std::string_view text) {
  int64_t ms = 0;
  const auto [p, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || ms < 0) return std::nullopt;
  return ms;
}

bool Forwarder::HasBegun() {
  begun_ = begun_ || (routes_ != nullptr && !parts_->table->rows().empty());
  return begun_;
}

void Forwarder::Wait(const CallerExchangePtr& exchange) {
  if (!waiting_.Add(parts_->loop->now(), exchange)) {
    Refuse(exchange, {503, "starting", "too many wait for a configuration"});
    return;
  }
  if (parts_->on_waiting) parts_->on_waiting();
}

void Forwarder::AdmitWaiting() {
  if (!HasBegun()) return;
  for (CallerExchangePtr& exchange : waiting_.TakeAll()) {
    if (exchange->open()) Handle(std::move(exchange));
  }
}

void Forwarder::Handle(CallerExchangePtr exchange) {
  const HttpHead& head = exchange->head();
  const ForwardHeaders& names = parts_->protocol.headers;
  if (!HasBegun()) {
    Wait(exchange);
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
  const bool proved = parts_->proof_holds();
  const Route* route = routes_->Find(head.header("Host"), head.target);
  if (route == nullptr && proved) {
    Refuse(exchange, {404, "no_route", "no route has this host and path"});
    return;
  }
  const std::string_view key = head.header(names.key);
  const bool one_key = head.CountOf(names.key) == 1;
  const Customer* customer = one_key ? routes_->CustomerOf(key) : nullptr;
  const bool requires_key = route != nullptr && routes_->NeedsKey(*route);
  if (requires_key && customer == nullptr && proved) {
    Refuse(exchange, {401, "no_key", "no customer has this key"});
    return;
  }
  if (!proved && (route == nullptr || requires_key)) {
    Refuse(exchange, {503, "unproved", "the configuration may be out of date"});
    return;
  }
  if (!EndsInTime(*route, parts_->loop->now())) {
    Refuse(exchange, {503, "stopping", "this box stops"});
    return;
  }
  AdmittedRequest order;
  order.exchange = exchange;
  order.routes = routes_;
  order.route = route;
  order.requires_key = requires_key;
  order.priority = route->priority;
  if (customer != nullptr) {
    order.customer = customer->name;
    if (customer->priority) order.priority = *customer->priority;
  }
  const double draw =
      std::uniform_real_distribution<double>(0, 1)(*parts_->random);
  order.service = DrawService(*route, draw);
  order.id = std::string(head.header(names.request_id));
  exchange->set_log_id(order.id);
  order.request_class = parts_->classify(FactsOf(order));
  if (order.request_class.refuse) {
    Refuse(exchange, {503, "policy", "the policy refuses it now"});
    return;
  }
  Duration limit = route->timeout;
  if (auto ms = MillisOf(head.header(names.time_left))) {
    limit = std::min(limit, Duration(milliseconds(*ms)));
  }
  order.limit = exchange->started() + limit;
  parts_->retries->OnRequest(parts_->loop->now(), order.service);
  parts_->metrics->Count("requests_total", "route=\"" + route->name + "\"");
  auto request =
      std::make_shared<ForwardedRequest>(parts_, this, std::move(order));
  active_.push_back(request);
  request->Start();
}

// A stream may take as long as its route allows, which is longer than a stop.
bool Forwarder::EndsInTime(const Route& route, Time now) const {
  if (now < refuse_since_) return true;
  return route.kind != RequestKind::kStream && now + route.timeout < end_;
}

void Forwarder::AbortAll() {
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->OnBoxEnds();
}

void Forwarder::Done(ForwardedRequest* request) {
  for (auto it = active_.begin(); it != active_.end(); ++it) {
    if (it->get() != request) continue;
    // It is still at work: it goes with the next turn of the loop.
    parts_->loop->After(Duration(0), [kept = std::move(*it)] {});
    active_.erase(it);
    return;
  }
}

void Forwarder::Tick() {
  const Time now = parts_->loop->now();
  for (const CallerExchangePtr& exchange : waiting_.TakeOverdue(now)) {
    if (!exchange->open()) continue;
    Refuse(exchange, {503, "starting", "no configuration is known yet"});
  }
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->Tick(now);
  if (!parts_->mechanisms.enabled(Mechanism::kIdleProbe)) return;
  for (const std::string& name : watch_.EndpointsToProbe(now)) Ask(name);
}

// A moving mean over about the last fifty.
template <typename T>
void Forwarder::Learn(T seen, T* usual) {
  constexpr int kSpan = 50;
  *usual += (seen - *usual) / (*usual == T{} ? 1 : kSpan);
}

void Forwarder::OnFirstEvent(Duration took) { Learn(took, &usual_first_); }

void Forwarder::OnGap(Duration gap, Duration allowed) {
  Learn(gap, &usual_gap_);
  if (allowed <= Duration(0)) return;
  Learn(ToSeconds(gap) / ToSeconds(allowed), &usual_gap_share_);
  parts_->table->set_gap_share(usual_gap_share_);
}

void Forwarder::ProbeIfDue(const std::string& endpoint) {
  if (watch_.BeginProbe(parts_->loop->now(), endpoint)) Ask(endpoint);
}

void Forwarder::Ask(const std::string& endpoint) {
  parts_->metrics->Count("endpoints_asked_total");
  const Time life = parts_->table->LastRestartOf(endpoint);
  const Time asked = parts_->loop->now();
  if (!watch_.IsDown(endpoint)) evidence_.OnSent(asked);
  parts_->probe(endpoint,
                [this, endpoint, life, asked](const RunnerHealth& health) {
                  // An answer of a life that is over says nothing of the next
                  // one.
                  if (parts_->table->LastRestartOf(endpoint) != life) return;
                  OnHealth(endpoint, asked, health);
                });
}

void Forwarder::AskAgain(const std::string& endpoint) {
  parts_->metrics->Count("probes_undecided_total");
  if (!watch_.OnProbeInconclusive(endpoint)) return;
  AskControl();
  ProbeIfDue(endpoint);
}

void Forwarder::AskControl() {
  const Time now = parts_->loop->now();
  if (now - control_asked_ < ProbeEvidence::kConcurrentWindow) return;
  control_asked_ = now;
  std::vector<const std::string*> able;
  for (const auto& [name, row] : parts_->table->rows()) {
    const bool runner = row.listed.role == EndpointRole::kRunner;
    if (!runner || !parts_->table->TakesNewWork(now, name)) continue;
    if (!watch_.IsSuspected(name)) able.push_back(&name);
  }
  if (able.empty()) return;
  std::uniform_int_distribution<size_t> any(0, able.size() - 1);
  ProbeIfDue(*able[any(*parts_->random)]);
}

void Forwarder::OnHealth(const std::string& endpoint, Time asked,
                         const RunnerHealth& health) {
  if (health.answered) {
    evidence_.OnAnswered(asked);
  } else if (!watch_.IsDown(endpoint) && !evidence_.IndicatesFailure(asked)) {
    AskAgain(endpoint);
    return;
  }
  const EndpointWatch::Change change =
      watch_.OnProbeResult(endpoint, health.works, health.slowdown);
  parts_->table->SetDown(endpoint, !health.works);
  if (health.works) {
    parts_->table->SetSlowdown(endpoint, health.slowdown);
    parts_->table->OnObserved(parts_->loop->now(), endpoint, health.used,
                              health.entries);
  }
  if (change == EndpointWatch::Change::kNone) return;
  capacities_.clear();
  const Duration took = parts_->loop->now() - asked;
  LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "endpoint_health",
           LogFields()
               .Add("endpoint", endpoint)
               .Add("works", health.works)
               .Add("pace", health.slowdown)
               .Add("held_up_ms",
                    ToMillis(parts_->loop->delays().LongestSince(asked)))
               .Add("ms", ToMillis(took)));
  if (change != EndpointWatch::Change::kWorse) return;
  // One that is slow holds up all prompts that go on to be sent to it: of 64
  // boxes 51 found by themselves that a first stage had become twelve times too
  // slow.
  const bool tell =
      !health.works || parts_->mechanisms.enabled(Mechanism::kTimedRecovery);
  if (tell && parts_->on_down) parts_->on_down(endpoint);
  MoveRequests(endpoint);
}

const PoolCapacity& Forwarder::CapacityOf(const std::string& service,
                                          const std::string& version) {
  const Time now = parts_->loop->now();
  const std::pair pool(service, version);
  auto it = capacities_.find(pool);
  const bool fresh =
      it != capacities_.end() && now - it->second.as_of() < kTick;
  if (fresh) return it->second;
  capacities_.erase(pool);
  return capacities_
      .emplace(pool, PoolCapacity(now, *parts_->table, service, version))
      .first->second;
}

void Forwarder::OnRestart(const std::string& endpoint) {
  if (parts_->mechanisms.enabled(Mechanism::kMoveOnRestart)) {
    watch_.OnProbeResult(endpoint, false, 1);
    MoveRequests(endpoint);
  }
  watch_.OnRestart(endpoint);
}

void Forwarder::MoveRequests(const std::string& endpoint) {
  const std::list<std::shared_ptr<ForwardedRequest>> all = active_;
  for (const auto& request : all) request->OnStageImpaired(endpoint);
}

}  // namespace pinford
