#include "pinford/forwarding_core.h"

#include <cerrno>
#include <cstring>

#include "pinford/log.h"

namespace pinford {

// The proof must hold when a request reaches its endpoint, not only when it
// leaves; a connection that has to be made first takes some of the time.
static constexpr milliseconds kProofMargin{300};
// Beyond it a box says that it does not stop in time.
static constexpr milliseconds kStopMargin{400};

static EntryServer::Limits EntryLimits(const Settings& s) {
  EntryServer::Limits limits;
  limits.head_bytes = s.max_header_bytes;
  limits.body_bytes = s.max_body_bytes;
  limits.idle_timeout = s.idle_timeout;
  limits.connections = s.max_connections;
  return limits;
}

static UpstreamClient::Options UpstreamOptions(const ForwardProtocol& p) {
  UpstreamClient::Options options;
  options.id_header = p.headers.request_id;
  return options;
}

static EndpointTable::Options TableOptions() {
  EndpointTable::Options options;
  // The list is mirrored: an entry holds until it changes.
  options.report_valid = hours(24 * 365);
  options.hand_over_directly = true;
  // A prompt's activations cross between halls in tens of milliseconds, so a
  // crossing is worth about as much as a whole token's layers.
  options.other_hall_seconds = 0.010;
  return options;
}

static RetryShare::Options RetryOptions(const Settings& s) {
  RetryShare::Options options;
  options.ratio = s.retry_ratio;
  options.extra = s.retry_extra;
  options.window = s.retry_window;
  return options;
}

ForwardingCore::ForwardingCore(const Settings& settings, EventLoop* loop,
                               ForwardProtocol protocol)
    : settings_(settings),
      loop_(loop),
      random_(SeededRandom()),
      http_(loop, HttpClient::Options()),
      upstream_(loop, UpstreamOptions(protocol)),
      table_(settings.hall, TableOptions(), SeededRandom()),
      directory_(&table_, EndpointDirectory::Options(), DirectoryEvents()),
      retries_(RetryOptions(settings)),
      parts_{loop,       &upstream_, &table_, &retries_, &metrics_, &random_,
             std::move(protocol),
             [this] { return ProofHolds(); },
             [this] { return loop_->now() - proof_; }},
      forwarder_(&parts_),
      callers_(loop, EntryLimits(settings),
               [this](EntryPtr e) { forwarder_.Handle(std::move(e)); }),
      operators_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) { ServeOperators(e); }),
      readiness_(loop, HttpServer::Options(), [this](const ExchangePtr& e) {
        e->Reply(ready() ? 200 : 503, "text/plain", "");
      }) {}

ForwardingCore::~ForwardingCore() = default;

EndpointDirectory::Events ForwardingCore::DirectoryEvents() {
  EndpointDirectory::Events events;
  events.on_joined = [](const DirectoryEntry& e) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_joined",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("service", e.listed.service)
                 .Add("address", e.listed.address.ToString())
                 .Add("hall", e.listed.hall)
                 .Add("kind", e.runner ? e.runner->kind : "")
                 .Add("slots", e.slots));
  };
  events.on_leaving = [](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_leaving",
             LogFields().Add("endpoint", id));
  };
  events.on_gone = [this](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_gone",
             LogFields().Add("endpoint", id));
    upstream_.Forget(id);
    forwarder_.ForgetEndpoint(id);
  };
  events.on_holds = [](const DirectoryEntry& e, const LayerRange& before) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_holds",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("begin", e.runner->holds.begin)
                 .Add("end", e.runner->holds.end)
                 .Add("before_begin", before.begin)
                 .Add("before_end", before.end));
  };
  return events;
}

static bool ListenOr(bool listening, const char* what, const Address& address,
                     std::string* error) {
  if (listening) return true;
  *error = std::string("cannot listen for ") + what + " on " +
           address.ToString() + ": " + strerror(errno);
  return false;
}

bool ForwardingCore::Start(std::string* error) {
  const Settings& s = settings_;
  if (!ListenOr(callers_.Listen(s.callers), "callers", s.callers, error) ||
      !ListenOr(operators_.Listen(s.operators), "operators", s.operators,
                error)) {
    return false;
  }
  if (s.ready.port != 0 &&
      !ListenOr(readiness_.Listen(s.ready), "the balancer", s.ready, error)) {
    return false;
  }
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_started",
           LogFields()
               .Add("hall", s.hall)
               .Add("callers", s.callers.ToString())
               .Add("store", s.store.ToString())
               .Add("key_proof_ms", ToMillis(s.key_proof)));
  loop_->Every(Forwarder::kTick, [this] { Tick(); });
  return true;
}

// What may change while running: the log's level, and bounds. Addresses and
// names stay what they were until the next start.
void ForwardingCore::Reload(const Settings& settings) {
  SetLogLevel(settings.log_level);
  settings_.log_level = settings.log_level;
  settings_.key_proof = settings.key_proof;
  settings_.stop_at_latest = settings.stop_at_latest;
  settings_.stop_listening_after = settings.stop_listening_after;
  retries_.set_options(RetryOptions(settings));
  const bool same_places = settings.callers == settings_.callers &&
                           settings.store == settings_.store;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "settings_reloaded",
           LogFields().Add("addresses_kept", !same_places));
}

// --- what the box believes -------------------------------------------------

bool ForwardingCore::OnConfiguration(ServiceConfiguration c,
                                     std::string_view from) {
  const uint64_t before = configuration_ ? configuration_->version : 0;
  if (c.version <= before) {
    if (c.version < before) {
      LogEvent(LogPart::kConfig, LogLevel::kWarn, "configuration_too_old",
               LogFields().Add("version", c.version).Add("in_force", before));
    }
    return false;
  }
  EntryServer::Limits limits = EntryLimits(settings_);
  limits.head_bytes = c.limits.head_bytes;
  limits.body_bytes = c.limits.body_bytes;
  limits.head_timeout = c.limits.head_timeout;
  limits.idle_timeout = c.limits.idle_timeout;
  callers_.set_limits(limits);
  configuration_ = std::make_shared<const ServiceConfiguration>(std::move(c));
  forwarder_.set_routes(std::make_shared<const RouteTable>(configuration_));
  directory_.set_configuration(loop_->now(), configuration_);
  LogEvent(LogPart::kConfig, LogLevel::kInfo, "configuration_adopted",
           LogFields()
               .Add("version", configuration_->version)
               .Add("before", before)
               .Add("from", from)
               .Add("routes", configuration_->routes.size()));
  return true;
}

void ForwardingCore::OnProof(Time proof) {
  proof_ = std::max(proof_, proof);
}

void ForwardingCore::OnListKnown() { list_known_ = true; }

bool ForwardingCore::ProofHolds() const {
  if (settings_.key_proof == Duration(0)) return configuration_ != nullptr;
  return loop_->now() - proof_ < settings_.key_proof - kProofMargin;
}

void ForwardingCore::Tick() {
  const Time now = loop_->now();
  directory_.Tick(now);
  forwarder_.Tick();
  NoteReady();
  if (stopping_) FinishStop();
}

void ForwardingCore::NoteReady() {
  if (ready() != was_ready_) {
    was_ready_ = ready();
    LogEvent(LogPart::kBox, LogLevel::kInfo,
             was_ready_ ? "box_ready" : "box_not_ready",
             LogFields().Add("stopping", stopping_));
  }
  const bool holds = ProofHolds();
  if (holds == proof_held_) return;
  proof_held_ = holds;
  const Duration age = proof_ == Time{} ? Duration(-1) : loop_->now() - proof_;
  LogEvent(LogPart::kConfig, holds ? LogLevel::kInfo : LogLevel::kWarn,
           holds ? "proof_regained" : "proof_lost",
           LogFields().Add("proof_age_ms", ToMillis(age)));
}

// --- operators -------------------------------------------------------------

void ForwardingCore::ServeOperators(const ExchangePtr& exchange) {
  if (exchange->path() == "/metrics") {
    RefreshMetrics();
    exchange->Reply(200, "text/plain; version=0.0.4", metrics_.Text());
  } else if (exchange->path() == "/readyz") {
    exchange->Reply(ready() ? 200 : 503, "text/plain", "");
  } else {
    exchange->Reply(404, "text/plain", "");
  }
}

void ForwardingCore::RefreshMetrics() {
  const Time now = loop_->now();
  metrics_.Set("active_requests", "", static_cast<double>(forwarder_.active()));
  metrics_.Set("caller_connections", "",
               static_cast<double>(callers_.connections()));
  metrics_.Set("endpoint_connects", "",
               static_cast<double>(upstream_.connects()));
  metrics_.Set("refused_unread", "", static_cast<double>(callers_.refused()));
  metrics_.Set("retries_refused", "", static_cast<double>(retries_.refused()));
  metrics_.Set("configuration_version", "",
               configuration_ ? static_cast<double>(configuration_->version)
                              : 0);
  metrics_.Set("proof_age_seconds", "", ToSeconds(now - proof_));
  int usable = 0;
  for (const auto& [name, row] : table_.rows()) {
    if (table_.TakesNewWork(now, name)) usable++;
  }
  metrics_.Set("usable_endpoints", "", usable);
  refresh_metrics_();
}

// --- the planned stop ------------------------------------------------------

void ForwardingCore::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_begun_ = loop_->now();
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopping",
           LogFields().Add("active", forwarder_.active()));
  callers_.set_close_after_reply(true);
}

void ForwardingCore::FinishStop() {
  const Duration since = loop_->now() - stop_begun_;
  if (since < settings_.stop_listening_after) return;
  if (!closed_idle_) {
    closed_idle_ = true;
    callers_.StopListening();
    callers_.CloseIdle();
  }
  const bool late = since >= settings_.stop_at_latest - kStopMargin;
  const bool quiet = forwarder_.active() == 0 && callers_.connections() == 0;
  if (!quiet && !late) return;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopped",
           LogFields()
               .Add("unfinished", forwarder_.active())
               .Add("after_ms", ToMillis(since)));
  loop_->Stop();
}

}  // namespace pinford
