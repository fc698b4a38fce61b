#include "pinford/forwarding/forwarding_core.h"

#include <algorithm>

#include "pinford/box_context.h"
#include "pinford/forwarding/forwarding_options.h"
#include "pinford/log.h"
#include "util/deflate.h"

namespace pinford {

// The proof must hold when a request reaches its endpoint, not only when it
// leaves; a connection that has to be made first takes some of the time.
static constexpr milliseconds kProofMargin{300};
// Before the end of the grace period: what is unfinished is given up then.
static constexpr milliseconds kStopMargin{400};
// ... and what callers are told of it has been written.
static constexpr milliseconds kExitMargin{250};
// For the request of a connection that was opened just now.
static constexpr milliseconds kFirstRequest{500};
// The last time before the end of the grace period that callers may connect.
static constexpr milliseconds kLastConnections{1200};
// Answers may still be on their way out of connections that were closed.
static constexpr milliseconds kQuiet{500};

// A delay of the process's own that is told: as long as the shortest silence of
// an endpoint that is acted on.
static constexpr milliseconds kHeldUp{60};

// Entries that are passed over are told so many times in a span: one that
// cannot be read comes again with each of its heartbeats and each list.
static constexpr int kMostPassedOver = 20;
static constexpr seconds kPassedOverSpan{60};

ForwardingCore::ForwardingCore(const Settings& settings, EventLoop* loop,
                               ForwardProtocol protocol)
    : settings_(settings),
      loop_(loop),
      random_(SeededRandom()),
      policy_(&metrics_, settings.utc_offset_minutes),
      http_(loop, HttpClient::Options()),
      upstream_(loop, UpstreamOptions(protocol)),
      table_(settings.hall, TableOptions(settings), SeededRandom()),
      directory_(&table_, EndpointDirectory::Options(), DirectoryEvents()),
      retries_(loop->now(), RetryOptions(settings, settings.mechanisms)),
      loans_(&retries_, RetryLoans::Options(), SeededRandom()),
      news_(FailureGossip::Options()),
      forward_context_{
          loop,
          &upstream_,
          &table_,
          &retries_,
          &metrics_,
          &random_,
          std::move(protocol),
          [this](const RequestFacts& facts) { return policy_.Classify(facts); },
          [this](const std::string& service, const std::string& hall) {
            return policy_.HallWeight(service, hall);
          },
          [this] { return ProofHolds(); },
          [this] { return ProofAge(); },
          {},
          [this] { OnCallerWaiting(); },
          [this](const std::string& endpoint) { OnRunnerDown(endpoint); },
          [this](const std::string& endpoint, uint64_t incarnation) {
            directory_.OnLeaving(loop_->now(), endpoint, incarnation);
          },
          {},
          settings.mechanisms},
      forwarder_(&forward_context_),
      membership_(SelfRow(settings, WallMillis()), settings.seeds,
                  PeerOptions(settings), SeededRandom()),
      gossip_(loop, &membership_, settings.peer_key, PeerHandlers()),
      roster_(&membership_, SourceSelector::Options()),
      duty_(loop->now(), IsSeed(), StoreTaskSelector::Options(),
            SeededRandom()),
      source_(loop, &membership_, &roster_, membership_.other_seeds(),
              gossip_.link(), SeededRandom(), PeerSourceOptions(),
              SourceEvents()),
      callers_(
          loop, EntryLimits(settings),
          [this](CallerExchangePtr e) { forwarder_.Handle(std::move(e)); }),
      operators_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) { ServeOperators(e); }),
      readiness_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) {
                   e->Reply(ready() ? 200 : 503, "text/plain", "");
                 }),
      peers_first_(loop->now(), !membership_.other_seeds().empty()) {}

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
  events.on_leaving = [this](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_leaving",
             LogFields().Add("endpoint", id));
    gossip_.Announce();
  };
  events.on_removed = [this](const std::string& id) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_gone",
             LogFields().Add("endpoint", id));
    upstream_.DropConnections(id);
    forwarder_.RemoveEndpoint(id);
    endpoint_went_ = true;
  };
  events.on_restarted = [this](const DirectoryEntry& e, uint64_t before) {
    LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "endpoint_started_anew",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("incarnation", e.listed.incarnation)
                 .Add("before", before));
    metrics_.Count("endpoint_restarts_total");
    upstream_.DropConnections(e.listed.name);
    forwarder_.OnRestart(e.listed.name);
  };
  events.on_rejected = [this](const std::string& id, std::string_view why) {
    OnPassedOver(id, why);
  };
  events.on_layers_changed = [](const DirectoryEntry& e,
                                const LayerRange& before) {
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

void ForwardingCore::OnPassedOver(const std::string& place,
                                  std::string_view why) {
  metrics_.Count("entries_passed_over_total");
  const Time now = loop_->now();
  if (now >= passed_over_next_) passed_over_told_ = 0;
  if (passed_over_told_++ == 0) passed_over_next_ = now + kPassedOverSpan;
  if (passed_over_told_ > kMostPassedOver) return;
  LogEvent(LogPart::kEndpoints, LogLevel::kError, "entry_passed_over",
           LogFields().Add("place", place).Add("why", why));
}

bool ForwardingCore::Start(std::string* error) {
  const Settings& s = settings_;
  if (!policy_.Load(s.policy_file, error)) return false;
  if (!CheckListening(callers_.Listen(s.callers), "callers", s.callers,
                      error) ||
      !CheckListening(operators_.Listen(s.operators), "operators", s.operators,
                      error)) {
    return false;
  }
  if (s.ready.port != 0 && !CheckListening(readiness_.Listen(s.ready),
                                           "the balancer", s.ready, error)) {
    return false;
  }
  if (!CheckListening(gossip_.Listen(s.peers), "peers", s.peers, error))
    return false;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_started",
           LogFields()
               .Add("hall", s.hall)
               .Add("callers", s.callers.ToString())
               .Add("store", s.store.ToString())
               .Add("off", s.mechanisms.ToString())
               .Add("key_proof_ms", ToMillis(s.max_key_staleness)));
  gossip_.Start();
  loop_->Every(ForwardPolicy::kUpdateEvery,
               [this] { policy_.UpdateHallWeights(loop_->now(), table_); });
  loop_->Every(Forwarder::kTick, [this] { Tick(); });
  return true;
}

// What may change while running: the log's level, and bounds. Addresses and
// names stay what they were until the next start.
void ForwardingCore::Reload(const Settings& settings) {
  std::string error;
  if (!policy_.Load(settings.policy_file, &error)) {
    LogEvent(LogPart::kConfig, LogLevel::kError, "settings_not_reloaded",
             LogFields().Add("why", error));
    return;
  }
  SetLogLevel(settings.log_level);
  settings_.log_level = settings.log_level;
  settings_.max_key_staleness = settings.max_key_staleness;
  settings_.stop_timeout = settings.stop_timeout;
  settings_.stop_listening_after = settings.stop_listening_after;
  retries_.set_options(RetryOptions(settings, settings_.mechanisms));
  const bool same_places = settings.callers == settings_.callers &&
                           settings.store == settings_.store;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "settings_reloaded",
           LogFields().Add("addresses_kept", !same_places));
}

// --- what the box believes -------------------------------------------------

bool ForwardingCore::OnConfiguration(const std::string& text,
                                     std::string_view from) {
  const uint64_t hash = Hash64(text);
  if (configuration_ != nullptr && hash == configuration_hash_) return true;
  std::optional<ServiceConfiguration> read = read_(text);
  if (!read) return false;
  ServiceConfiguration& c = *read;
  const uint64_t before = configuration_ ? configuration_->version : 0;
  if (c.version <= before) {
    if (c.version < before) {
      LogEvent(LogPart::kConfig, LogLevel::kWarn, "configuration_too_old",
               LogFields().Add("version", c.version).Add("in_force", before));
    }
    return true;
  }
  configuration_hash_ = hash;
  configuration_packed_ = Deflate(text);
  CallerServer::Limits limits = EntryLimits(settings_);
  limits.head_bytes = c.limits.head_bytes;
  limits.body_bytes = c.limits.body_bytes;
  limits.head_timeout = c.limits.head_timeout;
  limits.idle_timeout = c.limits.idle_timeout;
  callers_.set_limits(limits);
  configuration_ = std::make_shared<const ServiceConfiguration>(std::move(c));
  membership_.set_version(DocumentKind::kConfiguration,
                          configuration_->version);
  forwarder_.set_routes(std::make_shared<const RouteTable>(configuration_));
  directory_.set_configuration(loop_->now(), configuration_);
  LogEvent(LogPart::kConfig, LogLevel::kInfo, "configuration_adopted",
           LogFields()
               .Add("version", configuration_->version)
               .Add("before", before)
               .Add("from", from)
               .Add("routes", configuration_->routes.size()));
  gossip_.Announce();
  forwarder_.AdmitWaiting();
  return true;
}

void ForwardingCore::OnStoreConfiguration(const std::string& text) {
  const bool first = configuration_ == nullptr;
  if (first && !peers_first_.Done(loop_->now())) {
    store_configuration_ = text;
  } else {
    OnConfiguration(text, "store");
  }
}

void ForwardingCore::OnListVersion(StoreRevision revision) {
  if (revision <= list_version_) return;
  list_version_ = revision;
  membership_.set_version(DocumentKind::kEndpoints, revision.packed());
  // The hall asks at once rather than within 0.4 s, or within 2 s where its
  // mirror has just been lost and this box stands in.
  if (std::exchange(endpoint_went_, false) && Mirrors(task_)) {
    gossip_.Announce();
  }
  forwarder_.AdmitWaiting();
}

void ForwardingCore::OnStoreRestored(uint64_t before, uint64_t now) {
  metrics_.Count("store_restored_total");
  LogEvent(LogPart::kBox, LogLevel::kWarn, "store_restored",
           LogFields()
               .Add("era", now)
               .Add("before", before)
               .Add("list_revision_before", list_version_.number())
               .Add("config", configuration_ ? configuration_->version : 0)
               .Add("proof_age_ms", ToMillis(ProofAge()))
               .Add("task", StoreTaskName(task_)));
  directory_.OnStoreRestored(loop_->now());
  // Peers refuse one of the era before.
  whole_list_ = WholeList();
}

void ForwardingCore::OnCallerWaiting() {
  if (std::exchange(caller_waited_, true)) return;
  const Time due = duty_.OnCallerWaiting();
  loop_->After(std::max(Duration(0), due - loop_->now()),
               [this] { follow_duty_(); });
}

void ForwardingCore::OnProof(DocumentKind kind, Time fresh_as_of) {
  Time& held = proofs_[IndexOf(kind)];
  held = std::max(held, fresh_as_of);
}

Duration ForwardingCore::ProofAge() const {
  return loop_->now() - proofs_[IndexOf(DocumentKind::kConfiguration)];
}

bool ForwardingCore::ProofHolds() const {
  if (settings_.max_key_staleness == Duration(0))
    return configuration_ != nullptr;
  return ProofAge() < settings_.max_key_staleness - kProofMargin;
}

StoreTask ForwardingCore::StoreTaskNow(bool plans) {
  const Time now = loop_->now();
  duty_.set_plans(plans);
  const StoreTask before = task_;
  task_ = duty_.ChooseTask(now, proofs_[IndexOf(DocumentKind::kConfiguration)],
                           &roster_);
  if (task_ != before) {
    LogEvent(LogPart::kBox, LogLevel::kInfo, "store_task",
             LogFields()
                 .Add("task", StoreTaskName(task_))
                 .Add("before", StoreTaskName(before))
                 .Add("rank", roster_.rank(now))
                 .Add("first_fails", roster_.first_fails(now))
                 .Add("hall_boxes", roster_.hall_boxes(now))
                 .Add("proof_age_ms", ToMillis(ProofAge())));
  }
  return task_;
}

bool ForwardingCore::IsSeed() const {
  const std::vector<Address>& seeds = settings_.seeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), settings_.peers) != seeds.end();
}

void ForwardingCore::NoteHeldUp(Time now) {
  const Duration delay = loop_->delays().LongestSince(ticked_);
  ticked_ = now;
  if (delay < kHeldUp) return;
  metrics_.Observe("held_up_seconds", "", ToSeconds(delay));
  LogEvent(LogPart::kBox, LogLevel::kWarn, "box_held_up",
           LogFields()
               .Add("ms", ToMillis(delay))
               .Add("active", forwarder_.active())
               .Add("config", configuration_ ? configuration_->version : 0)
               .Add("proof_age_ms", ToMillis(ProofAge())));
}

void ForwardingCore::Tick() {
  const Time now = loop_->now();
  NoteHeldUp(now);
  TakeCountsOfPeers();
  directory_.Tick(now);
  forwarder_.Tick();
  gossip_.Tick();
  AskForRetries();
  const bool asks_peers = !peers_first_.Done(now);
  if (!asks_peers && !store_configuration_.empty()) {
    OnConfiguration(std::exchange(store_configuration_, ""), "store");
  }
  // A box whose mirror gets no answer hands on what others have.
  source_.Tick(!Mirrors(task_) || store_fails_ || asks_peers);
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
  LogEvent(LogPart::kConfig, holds ? LogLevel::kInfo : LogLevel::kWarn,
           holds ? "proof_regained" : "proof_lost",
           LogFields().Add("proof_age_ms", ToMillis(ProofAge())));
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
  for (const RetryClass need : kRetryClasses) {
    metrics_.Set("retries_refused_by_need",
                 "need=\"" + std::string(RetryClassName(need)) + "\"",
                 static_cast<double>(retries_.refused(need)));
  }
  metrics_.Set("retry_asks", "", static_cast<double>(loans_.asks()));
  metrics_.Set("retries_lent", "", static_cast<double>(loans_.lent()));
  metrics_.Set("retries_borrowed", "", static_cast<double>(loans_.borrowed()));
  metrics_.Set(
      "configuration_version", "",
      configuration_ ? static_cast<double>(configuration_->version) : 0);
  metrics_.Set("proof_age_seconds", "", ToSeconds(ProofAge()));
  metrics_.Set("store_era", "", static_cast<double>(era_.now()));
  metrics_.Set("mirrors_store", "", Mirrors(task_) ? 1 : 0);
  metrics_.Set("live_boxes", "", membership_.live_boxes(now));
  metrics_.Set("peer_bytes_sent", "",
               static_cast<double>(gossip_.link()->bytes_sent()));
  int usable = 0;
  for (const auto& [name, row] : table_.rows()) {
    if (table_.TakesNewWork(now, name)) usable++;
  }
  metrics_.Set("usable_endpoints", "", usable);
  metrics_.Set("resting_endpoints", "",
               static_cast<double>(table_.BackingOff(now)));
  RefreshCapacity(now);
  metrics_.Set("unusable_entries", "",
               static_cast<double>(directory_.unusable()));
  refresh_metrics_();
}

// What each hall can still read and hold of each pool, by its shortest layer.
void ForwardingCore::RefreshCapacity(Time now) {
  constexpr double kTokens = 1000;  // room is counted in thousands
  for (const std::string& model : table_.Models()) {
    const auto version = table_.VersionFor(now, model, "");
    if (!version) continue;
    const PoolCapacity& capacity = forwarder_.CapacityOf(model, *version);
    for (const std::string& hall : capacity.halls()) {
      const PoolCapacity::Layer least = capacity.MinOverLayers(hall);
      const std::string labels =
          "service=\"" + model + "\",hall=\"" + hall + "\"";
      metrics_.Set("hall_read_tokens_per_second", labels, least.prefill_per_s);
      metrics_.Set("hall_free_tokens", labels, least.free_memory * kTokens);
      metrics_.Set("hall_least_holders", labels, least.holders);
      metrics_.Set("hall_shortest_layer", labels,
                   capacity.BottleneckLayer(hall));
    }
  }
}

// --- the planned stop ------------------------------------------------------

void ForwardingCore::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_begun_ = busy_at_ = loop_->now();
  forwarder_.BeginStop(stop_begun_ + settings_.stop_listening_after,
                       stop_begun_ + settings_.stop_timeout - kStopMargin);
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopping",
           LogFields().Add("active", forwarder_.active()));
  callers_.set_close_after_reply(true);
  membership_.set_leaving();
  gossip_.Announce();
}

void ForwardingCore::FinishStop() {
  const Time now = loop_->now();
  const Duration since = now - stop_begun_;
  if (since < settings_.stop_listening_after) return;
  // Who still comes then could not be answered before the end.
  if (since >= settings_.stop_timeout - kLastConnections) {
    callers_.StopListening();
  }
  // Callers that kept a connection would send on it to the end.
  callers_.CloseIdle(kFirstRequest);
  if (forwarder_.active() > 0 || callers_.connections() > 0) busy_at_ = now;
  const bool late = since >= settings_.stop_timeout - kStopMargin;
  if (late) {
    unfinished_ += forwarder_.active();
    forwarder_.AbortAll();
  }
  const bool over = since >= settings_.stop_timeout - kExitMargin;
  const bool told = late && callers_.connections() == 0;
  const bool quiet =
      now - std::max(busy_at_, callers_.last_activity()) >= kQuiet;
  if (!quiet && !told && !over) return;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopped",
           LogFields()
               .Add("unfinished", unfinished_)
               .Add("after_ms", ToMillis(since)));
  loop_->Stop();
}

}  // namespace pinford
