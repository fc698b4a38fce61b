#include "pinford/forwarding/forwarding_core.h"

#include <algorithm>

#include "pinford/box_context.h"
#include "pinford/forwarding/forwarding_options.h"
#include "pinford/log.h"
#include "util/deflate.h"

namespace pinford {

// Freshness must still hold when a request reaches its endpoint, not only when
// it is sent; establishing a connection first takes some of the time.
static constexpr milliseconds kFreshnessMargin{300};
// Before the end of the grace period: unfinished requests are aborted then.
static constexpr milliseconds kAbortMargin{400};
// Before the end of the grace period: the responses of aborted requests have
// been written by then.
static constexpr milliseconds kExitMargin{250};
// How long a new connection is kept for its first request.
static constexpr milliseconds kFirstRequestGrace{500};
// Before the end of the grace period: the box stops listening then.
static constexpr milliseconds kStopListeningMargin{1200};
// Responses may still be in flight on connections that were closed.
static constexpr milliseconds kQuietPeriod{500};

// Minimum scheduling delay of this process that is logged: the shortest silence
// of an endpoint that is acted on.
static constexpr milliseconds kMinLoggedDelay{60};

// Rejected entries are logged at most this often per interval: an invalid entry
// recurs with each of its heartbeats and each list.
static constexpr int kMaxLoggedRejections = 20;
static constexpr seconds kRejectionLogInterval{60};

ForwardingCore::ForwardingCore(const Settings& settings, EventLoop* loop,
                               ForwardProtocol protocol)
    : settings_(settings),
      loop_(loop),
      random_(SeededRandom()),
      policy_(&metrics_, settings.utc_offset_minutes),
      http_(loop, HttpClient::Options()),
      upstream_(loop, UpstreamClientOptions(protocol)),
      table_(settings.hall, TableOptions(settings), SeededRandom()),
      directory_(&table_, EndpointDirectory::Options(), DirectoryEvents()),
      retries_(loop->now(), RetryShareOptions(settings, settings.mechanisms)),
      loans_(&retries_, RetryLoans::Options(), SeededRandom()),
      failure_gossip_(FailureGossip::Options()),
      missing_gossip_(MissingGossip::Options()),
      permits_(loop->now(), settings.peers.ToString(), table_.mutable_permits(),
               PermitExchange::Options(), PermitCalls(), SeededRandom()),
      crashes_(CrashLedger::Options(), SeededRandom()),
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
          [this] { return IsFresh(); },
          [this] { return FreshnessAge(); },
          {},
          [this] { OnCallerWaiting(); },
          [this](const std::string& endpoint) { OnRunnerDown(endpoint); },
          [this](const std::string& endpoint, uint64_t incarnation) {
            directory_.OnLeaving(loop_->now(), endpoint, incarnation,
                                 EntrySource::kEndpoint);
          },
          {},
          settings.mechanisms,
          settings.peer_key,
          &crashes_,
          {},
          PathCalls(),
          [this](const std::string& endpoint, uint64_t incarnation, Time sent,
                 const RateLimitNotice& notice) {
            OnRateLimitNotice(endpoint, incarnation, sent, notice);
          }},
      forwarder_(&forward_context_),
      membership_(SelfRow(settings, WallMillis()), settings.seeds,
                  MembershipOptions(settings), SeededRandom()),
      gossip_(loop, &membership_, settings.peer_key, PeerHandlers()),
      paths_({loop, &membership_, &directory_, &table_, &upstream_, &metrics_,
              [this](const std::vector<std::string>& endpoints, Time since) {
                forwarder_.OnPathLost(endpoints, since);
              },
              [this](size_t relayed) {
                // Each takes two sockets.
                return callers_.connections() + 2 * relayed <
                       static_cast<size_t>(settings_.max_connections);
              }},
             settings.box, settings.peer_key,
             settings.mechanisms.enabled(Mechanism::kRelays)),
      endpoint_calls_(loop, &http_, &upstream_, &paths_),
      crash_watch_({loop, &random_, &membership_, &directory_, &table_,
                    &gossip_, &metrics_, &forward_context_, &forwarder_},
                   &crashes_),
      source_selector_(&membership_, SourceSelector::Options()),
      task_selector_(loop->now(), IsSeed(), StoreTaskSelector::Options(),
                     SeededRandom()),
      peer_source_(loop, &membership_, &source_selector_,
                   membership_.other_seeds(), gossip_.link(), SeededRandom(),
                   PeerSourceOptions(), SourceEvents()),
      callers_(
          loop, CallerServerLimits(settings),
          [this](CallerExchangePtr e) { forwarder_.Handle(std::move(e)); }),
      operators_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) { ServeOperators(e); }),
      readiness_(loop, HttpServer::Options(),
                 [this](const ExchangePtr& e) {
                   e->Reply(ready() ? 200 : 503, "text/plain", "");
                 }),
      startup_check_(loop->now(), !membership_.other_seeds().empty()) {
  table_.mutable_permits()->set_on_wanted([this] { AskForPermits(); });
}

ForwardingCore::~ForwardingCore() = default;

ForwardContext::Paths ForwardingCore::PathCalls() {
  ForwardContext::Paths calls;
  calls.hop = [this](const std::string& endpoint) -> std::optional<RelayHop> {
    if (!paths_.IsLost(endpoint)) return std::nullopt;
    return paths_.HopTo(endpoint);
  };
  calls.is_lost = [this](const std::string& endpoint) {
    return paths_.IsLost(endpoint);
  };
  calls.in_doubt = [this](const std::string& service) {
    return paths_.InDoubt(service);
  };
  calls.is_at_fault = [this](const std::string& endpoint) {
    return paths_.IsAtFault(endpoint);
  };
  calls.on_relay_silent = [this](const Address& peer) {
    paths_.OnRelaySilent(peer);
  };
  return calls;
}

// The version is that before the update, since one update may hold many
// entries.
LogFields ForwardingCore::EntryFields(const std::string& id,
                                      EntrySource source) const {
  return LogFields()
      .Add("endpoint", id)
      .Add("from", EntrySourceName(source))
      .Add("list", list_version_.number());
}

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
  events.on_leaving = [this](const std::string& id, EntrySource source) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_leaving",
             EntryFields(id, source));
    endpoint_withdrawn_ = true;
  };
  events.on_leaving_reported = [this] { gossip_.Announce(); };
  events.on_missing = [this](const std::string& id, EntrySource source,
                             std::optional<Duration> keep) {
    LogFields fields = EntryFields(id, source);
    if (keep) fields.Add("kept_ms", ToMillis(*keep));
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_missing", fields);
  };
  events.on_missing_read = [this](const std::string& id, uint64_t incarnation) {
    missing_gossip_.OnRead(id, incarnation);
  };
  events.on_back = [this](const std::string& id, EntrySource source) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_back",
             EntryFields(id, source));
  };
  events.on_mostly_missing = [](const std::set<std::string>& services) {
    std::string names;
    for (const std::string& service : services) {
      if (!names.empty()) names += ' ';
      names += service;
    }
    LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "entries_mostly_missing",
             LogFields().Add("services", names));
  };
  events.on_removed = [this](const std::string& id, EntrySource source) {
    LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "endpoint_gone",
             EntryFields(id, source));
    upstream_.DropConnections(id);
    forwarder_.RemoveEndpoint(id);
    permits_.Forget(id);
    endpoint_withdrawn_ = true;
  };
  events.on_restarted = [this](const DirectoryEntry& e, uint64_t before) {
    LogEvent(LogPart::kEndpoints, LogLevel::kWarn, "endpoint_started_anew",
             LogFields()
                 .Add("endpoint", e.listed.name)
                 .Add("incarnation", e.listed.incarnation)
                 .Add("before", before));
    metrics_.Count("endpoint_restarts_total");
    upstream_.DropConnections(e.listed.name);
    permits_.Forget(e.listed.name);
    paths_.OnEndpointGone(e.listed.service, e.listed.name);
    forwarder_.OnRestart(e.listed.name);
  };
  events.on_rejected = [this](const std::string& id, std::string_view why) {
    OnRejectedEntry(id, why);
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

void ForwardingCore::OnRejectedEntry(const std::string& place,
                                     std::string_view why) {
  metrics_.Count("entries_passed_over_total");
  const Time now = loop_->now();
  if (now >= rejection_log_reset_) rejections_logged_ = 0;
  if (rejections_logged_++ == 0)
    rejection_log_reset_ = now + kRejectionLogInterval;
  if (rejections_logged_ > kMaxLoggedRejections) return;
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

// Only the log level, limits and the policy may change while running. Addresses
// and names keep their values until the next start.
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
  retries_.set_options(RetryShareOptions(settings, settings_.mechanisms));
  const bool addresses_unchanged = settings.callers == settings_.callers &&
                                   settings.store == settings_.store;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "settings_reloaded",
           LogFields().Add("addresses_kept", !addresses_unchanged));
}

// --- Documents -------------------------------------------------------------

bool ForwardingCore::OnConfiguration(const std::string& text,
                                     std::string_view from) {
  const uint64_t hash = Hash64(text);
  if (IsInForce(hash)) return true;
  std::optional<ServiceConfiguration> parsed = parse_(text);
  if (!parsed) return false;
  Adopt(text, hash, std::move(*parsed), from);
  return true;
}

bool ForwardingCore::IsInForce(uint64_t hash) const {
  return configuration_ != nullptr && hash == configuration_hash_;
}

void ForwardingCore::Adopt(const std::string& text, uint64_t hash,
                           ServiceConfiguration c, std::string_view from) {
  const uint64_t before = VersionOf(DocumentKind::kConfiguration);
  if (c.version <= before) {
    if (c.version < before) {
      LogEvent(LogPart::kConfig, LogLevel::kWarn, "configuration_too_old",
               LogFields().Add("version", c.version).Add("in_force", before));
    }
    return;
  }
  configuration_hash_ = hash;
  compressed_configuration_ = Deflate(text);
  CallerServer::Limits limits = CallerServerLimits(settings_);
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
}

void ForwardingCore::OnStoreConfiguration(const std::string& text) {
  const uint64_t hash = Hash64(text);
  if (IsInForce(hash)) {
    store_version_ = configuration_->version;
    return;
  }
  std::optional<ServiceConfiguration> parsed = parse_(text);
  if (!parsed) {
    store_version_ = std::nullopt;
    return;
  }
  store_version_ = parsed->version;
  pending_store_configuration_ = {text, hash, std::move(*parsed)};
  const bool first = configuration_ == nullptr;
  if (!first || startup_check_.Done(loop_->now())) AdoptPendingConfiguration();
}

void ForwardingCore::AdoptPendingConfiguration() {
  PendingConfiguration pending =
      *std::exchange(pending_store_configuration_, std::nullopt);
  Adopt(pending.text, pending.hash, std::move(pending.parsed), "store");
}

void ForwardingCore::OnStoreConfigurationFresh(Time fresh_as_of) {
  // What the store has is unknown, so it confirms nothing.
  if (!store_version_) return;
  OnFreshness(DocumentKind::kConfiguration, *store_version_, fresh_as_of);
}

void ForwardingCore::OnListVersion(StoreRevision revision) {
  const bool newer = revision > list_version_;
  missing_gossip_.OnListVersion(loop_->now(), newer ? revision.packed() : 0);
  if (!newer) return;
  list_version_ = revision;
  directory_.OnListVersion(loop_->now(), revision.packed());
  membership_.set_version(DocumentKind::kEndpoints, revision.packed());
  list_versions_.Record(revision.packed(), directory_.at());
  // The boxes that get the list from this one then ask immediately rather than
  // within 0.4 s, or within 2 s if their source was just lost.
  if (std::exchange(endpoint_withdrawn_, false)) {
    gossip_.AnnounceTo(source_selector_.children(loop_->now()));
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
               .Add("proof_age_ms", ToMillis(FreshnessAge()))
               .Add("task", StoreTaskName(task_)));
  directory_.OnStoreRestored(loop_->now());
  // Peers refuse a list of the previous era.
  full_list_ = FullListCache();
  list_versions_.Clear();
}

void ForwardingCore::OnCallerWaiting() {
  if (std::exchange(caller_waited_, true)) return;
  const Time due = task_selector_.OnCallerWaiting();
  loop_->After(std::max(Duration(0), due - loop_->now()),
               [this] { update_store_task_(); });
}

void ForwardingCore::OnFreshness(DocumentKind kind, uint64_t version,
                                 Time fresh_as_of) {
  freshness_[IndexOf(kind)].OnObserved(version, fresh_as_of);
}

Time ForwardingCore::FreshAsOf(DocumentKind kind) const {
  return freshness_[IndexOf(kind)].AsOf(VersionOf(kind));
}

Duration ForwardingCore::FreshnessAge() const {
  return loop_->now() - FreshAsOf(DocumentKind::kConfiguration);
}

bool ForwardingCore::IsFresh() const {
  if (settings_.max_key_staleness == Duration(0))
    return configuration_ != nullptr;
  return FreshnessAge() < settings_.max_key_staleness - kFreshnessMargin;
}

StoreTask ForwardingCore::ChooseStoreTask(bool is_planner) {
  const Time now = loop_->now();
  task_selector_.set_is_planner(is_planner);
  const StoreTask before = task_;
  task_ = task_selector_.ChooseTask(
      now, FreshAsOf(DocumentKind::kConfiguration), &source_selector_);
  if (task_ != before) {
    LogEvent(LogPart::kBox, LogLevel::kInfo, "store_task",
             LogFields()
                 .Add("task", StoreTaskName(task_))
                 .Add("before", StoreTaskName(before))
                 .Add("rank", source_selector_.rank(now))
                 .Add("first_fails", source_selector_.primary_failing(now))
                 .Add("hall_boxes", source_selector_.hall_boxes(now))
                 .Add("proof_age_ms", ToMillis(FreshnessAge())));
  }
  return task_;
}

void ForwardingCore::set_store_unreachable(bool v) {
  const bool lost = v && !store_unreachable_;
  store_unreachable_ = v;
  if (lost) gossip_.AnnounceTo(source_selector_.children(loop_->now()));
}

bool ForwardingCore::IsSeed() const {
  const std::vector<Address>& seeds = settings_.seeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), settings_.peers) != seeds.end();
}

void ForwardingCore::LogLoopDelay(Time now) {
  const Duration delay = loop_->delays().LongestSince(last_tick_);
  last_tick_ = now;
  if (delay < kMinLoggedDelay) return;
  metrics_.Observe("held_up_seconds", "", ToSeconds(delay));
  LogEvent(LogPart::kBox, LogLevel::kWarn, "box_held_up",
           LogFields()
               .Add("ms", ToMillis(delay))
               .Add("active", forwarder_.active())
               .Add("config", configuration_ ? configuration_->version : 0)
               .Add("proof_age_ms", ToMillis(FreshnessAge())));
}

void ForwardingCore::Tick() {
  const BusyTimer timer(loop_, &busy_times_, Duty::kTick);
  const Time now = loop_->now();
  LogLoopDelay(now);
  ApplyPeerCounts();
  directory_.Tick(now);
  paths_.Tick();
  forwarder_.Tick();
  gossip_.Tick();
  crash_watch_.Tick();
  RequestRetries();
  SendMissingNotices();
  SharePermits();
  const bool waiting_for_peers = !startup_check_.Done(now);
  if (!waiting_for_peers && pending_store_configuration_) {
    AdoptPendingConfiguration();
  }
  // A box whose mirror gets no answer distributes what other boxes have.
  peer_source_.Tick(!Mirrors(task_) || store_unreachable_ || waiting_for_peers);
  LogReadiness();
  if (stopping_) FinishStop();
}

void ForwardingCore::LogReadiness() {
  if (ready() != was_ready_) {
    was_ready_ = ready();
    LogEvent(LogPart::kBox, LogLevel::kInfo,
             was_ready_ ? "box_ready" : "box_not_ready",
             LogFields().Add("stopping", stopping_));
  }
  const bool fresh = IsFresh();
  if (fresh == was_fresh_) return;
  was_fresh_ = fresh;
  LogEvent(LogPart::kConfig, fresh ? LogLevel::kInfo : LogLevel::kWarn,
           fresh ? "proof_regained" : "proof_lost",
           LogFields().Add("proof_age_ms", ToMillis(FreshnessAge())));
}

// --- Operators -------------------------------------------------------------

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

// --- Planned stop ----------------------------------------------------------

void ForwardingCore::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_started_ = last_busy_ = loop_->now();
  forwarder_.BeginStop(stop_started_ + settings_.stop_listening_after,
                       stop_started_ + settings_.stop_timeout - kAbortMargin);
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopping",
           LogFields().Add("active", forwarder_.active()));
  permits_.BeginStop();
  callers_.set_close_after_reply(true);
  membership_.set_leaving();
  paths_.BeginStop();
  gossip_.Announce();
  gossip_.AnnounceTo(source_selector_.children(loop_->now()));
}

void ForwardingCore::FinishStop() {
  const Time now = loop_->now();
  const Duration since = now - stop_started_;
  if (since < settings_.stop_listening_after) return;
  // Callers that connect after this could not be answered in time.
  if (since >= settings_.stop_timeout - kStopListeningMargin) {
    callers_.StopListening();
  }
  // Callers with a kept-alive connection would send on it until the end.
  callers_.CloseIdle(kFirstRequestGrace);
  const bool busy = forwarder_.active() > 0 || callers_.connections() > 0 ||
                    paths_.relayed_for_peers() > 0;
  if (busy) last_busy_ = now;
  const bool aborting = since >= settings_.stop_timeout - kAbortMargin;
  if (aborting) {
    unfinished_ += forwarder_.active();
    forwarder_.AbortAll();
  }
  const bool grace_over = since >= settings_.stop_timeout - kExitMargin;
  const bool callers_informed = aborting && callers_.connections() == 0;
  const bool quiet =
      now - std::max(last_busy_, callers_.last_activity()) >= kQuietPeriod;
  if (!quiet && !callers_informed && !grace_over) return;
  LogEvent(LogPart::kBox, LogLevel::kInfo, "box_stopped",
           LogFields()
               .Add("unfinished", unfinished_)
               .Add("after_ms", ToMillis(since)));
  loop_->Stop();
}

}  // namespace pinford
