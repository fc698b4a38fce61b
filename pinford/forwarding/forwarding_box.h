// A forwarding box of a deployment: the core, its mirrors of the deployment's
// store, and the planner of the runner pools.
//
// `P` is the deployment's platform. It only translates formats and calls; which
// data to trust and how to act on it is decided here and in the core.

#ifndef PINFORD_FORWARDING_FORWARDING_BOX_H_
#define PINFORD_FORWARDING_FORWARDING_BOX_H_

#include <concepts>
#include <memory>
#include <string>
#include <vector>

#include "pinford/forwarding/forwarding_core.h"
#include "pinford/forwarding/pool_planner.h"
#include "pinford/forwarding/prefix_mirror.h"
#include "pinford/forwarding/quarantine_store.h"
#include "pinford/log.h"
#include "pinford/store_era.h"

namespace pinford {

template <typename P>
concept Platform = requires(std::string_view text, const std::string& key,
                            Findings* findings) {
  requires Store<typename P::StoreClient>;
  requires PrefixStore<typename P::StoreClient>;
  requires PoolClient<typename P::RunnerClient>;
  // The last argument is called for each call to the store.
  requires std::constructible_from<typename P::StoreClient, HttpClient*,
                                   Address, StoreEra*, std::function<void()>>;
  requires std::constructible_from<typename P::RunnerClient, EndpointSender>;
  { P::Protocol() } -> std::same_as<ForwardProtocol>;
  // Keys of the configuration and of the endpoint list in the store.
  { P::ConfigurationKey() } -> std::convertible_to<std::string>;
  { P::ConfigurationPrefix() } -> std::convertible_to<std::string>;
  { P::EndpointPrefix() } -> std::convertible_to<std::string>;
  {
    P::ReadConfiguration(text, findings)
    } -> std::same_as<std::optional<ServiceConfiguration>>;
  {
    P::ReadEndpoint(key, text, findings)
    } -> std::same_as<std::optional<DirectoryEntry>>;
  { P::EndpointIdOf(key) } -> std::same_as<std::string>;
};

template <Platform P>
class ForwardingBox {
 public:
  ForwardingBox(const Settings& settings, EventLoop* loop)
      : core_(settings, loop, P::Protocol()),
        store_(core_.http(), settings.store, core_.store_era(),
               [this] { CountStoreCall(StoreTaskName(call_reason_)); }),
        planner_store_(core_.http(), settings.store, core_.store_era(),
                       [this] { CountStoreCall("planner"); }),
        quarantine_store_(core_.http(), settings.store, core_.store_era(),
                          [this] { CountStoreCall("quarantine"); }),
        runners_([this](const std::string& endpoint, HttpCall call,
                        HttpClient::Callback fn) {
          core_.endpoint_calls()->Send(endpoint, std::move(call),
                                       std::move(fn));
        }),
        quarantine_(&quarantine_store_, QuarantineEvents()),
        configuration_(&store_, loop, P::ConfigurationPrefix(),
                       ConfigurationOptions(), ConfigurationEvents()),
        endpoints_(&store_, loop, P::EndpointPrefix(), EndpointOptions(),
                   EndpointEvents()),
        planner_(&planner_store_, &runners_, loop, settings.box,
                 PlannerOptions(settings), PlannerEvents()),
        quarantine_enabled_(
            settings.mechanisms.enabled(Mechanism::kCrashQuarantine)) {
    core_.store_era()->set_on_increase([this](uint64_t before, uint64_t now) {
      core_.OnStoreRestored(before, now);
      planner_.OnStoreRestored();
      configuration_.Relist();
      endpoints_.Relist();
      quarantine_.Reset();
    });
    core_.set_refresh_metrics([this] {
      core_.metrics()->Set("planning", "", planner_.planning() ? 1 : 0);
    });
  }

  bool Start(std::string* error) {
    if (!core_.Start(error)) return false;
    core_.set_configuration_parser([](std::string_view text) {
      Findings findings;
      std::optional<ServiceConfiguration> c =
          P::ReadConfiguration(text, &findings);
      LogFindings(findings);
      return c;
    });
    InstallRunnerCalls();
    core_.set_update_store_task([this] { UpdateStoreTask(); });
    UpdateStoreTask();
    core_.loop()->Every(kTaskInterval, [this] { UpdateStoreTask(); });
    planner_.Start(kFirstPlanDelay);
    return true;
  }
  void BeginStop() { core_.BeginStop(); }
  void Reload(const Settings& settings) { core_.Reload(settings); }

 private:
  // By then the first answers of the store have arrived.
  static constexpr milliseconds kFirstPlanDelay{500};

  static constexpr milliseconds kTaskInterval{100};
  // Between calls of a standby that cannot reach the store either. The primary
  // of the hall retries four times as often, and its peers ask it.
  static constexpr milliseconds kStandbyRetryDelay{1000};

  // A runner answers within 3 ms in an idle hall. Lost packets are
  // retransmitted after 200 ms, which is too late to be useful here.
  static constexpr milliseconds kProbeTimeout{30};
  static constexpr milliseconds kRerouteTimeout{100};

  void InstallRunnerCalls() {
    core_.forward_context()->probe =
        [this](const std::string& id, std::function<void(RunnerHealth)> fn) {
          ProbeRunner(id, std::move(fn));
        };
    core_.forward_context()->check_refused =
        [this](const std::string& id, std::function<void(bool)> fn) {
          const DirectoryEntry* entry = core_.directory()->Find(id);
          if (entry == nullptr) return;
          runners_.Report(RefTo(*entry), kProbeTimeout,
                          [fn = std::move(fn)](const RunnerAnswer& answer) {
                            fn(answer.refused);
                          });
        };
    core_.forward_context()->reroute =
        [this](const RunnerRef& entry, const std::string& request,
               const std::vector<AddressedStage>& chain, RerouteHandler fn) {
          runners_.Reroute(entry, request, chain, kRerouteTimeout,
                           std::move(fn));
        };
  }

  void ProbeRunner(const std::string& id,
                   std::function<void(RunnerHealth)> fn) {
    const DirectoryEntry* entry = core_.directory()->Find(id);
    if (entry == nullptr || !entry->runner) {
      fn({});
      return;
    }
    const LayerRange listed = entry->runner->holds;
    const uint64_t incarnation = entry->listed.incarnation;
    runners_.Report(RefTo(*entry), kProbeTimeout,
                    [this, id, listed, incarnation,
                     fn = std::move(fn)](const RunnerAnswer& answer) {
                      fn(HealthOf(listed, incarnation, answer));
                      const std::optional<RunnerReport>& r = answer.report;
                      if (!r) return;
                      const bool changed =
                          r->state.leaving ||
                          IsNewerIncarnation(incarnation, r->state.incarnation);
                      if (!changed) return;
                      core_.directory()->OnRunnerState(core_.loop()->now(), id,
                                                       r->state);
                    });
  }

  // For callbacks of the mirrors, which the update may start and stop.
  void UpdateStoreTaskSoon() {
    core_.loop()->After(Duration(0), [this] { UpdateStoreTask(); });
  }

  // Mirrors the store or reads it once, as StoreTaskSelector decides.
  void UpdateStoreTask() {
    const StoreTask task = core_.ChooseStoreTask(planner_.planning());
    if (task != StoreTask::kNone) call_reason_ = task;
    core_.set_store_unreachable(Mirrors(task) && configuration_.failing());
    if (Mirrors(task)) {
      const bool primary = task == StoreTask::kMirror;
      configuration_.set_max_retry_delay(
          primary ? ConfigurationOptions().max_retry_delay
                  : kStandbyRetryDelay);
      configuration_.Start();
      endpoints_.Start();
      if (quarantine_enabled_) {
        quarantine_.Sync(core_.loop()->now(),
                         core_.crash_watch()->Quarantined());
      }
      return;
    }
    quarantine_.Reset();
    configuration_.Stop();
    endpoints_.Stop();
    if (task == StoreTask::kReadOnce) configuration_.ReadOnce();
  }

  void CountStoreCall(std::string_view reason) {
    core_.metrics()->Count("store_calls",
                           "reason=\"" + std::string(reason) + "\"");
  }

  static PoolPlannerOptions PlannerOptions(const Settings& settings) {
    PoolPlannerOptions options;
    options.mechanisms = settings.mechanisms;
    return options;
  }

  static PrefixMirrorOptions ConfigurationOptions() {
    PrefixMirrorOptions options;
    // With the delay between them, four lists a second while the store is
    // unreachable. Lapsed entries are dropped 2.2 s after its recovery is
    // noticed, and must be dropped within 3 s of the recovery itself.
    options.unreachable_timeout = milliseconds(20);
    // An unresponsive store is noticed 1.4 s after a watch was sent, and the
    // other boxes of the hall learn of it 0.4 s later.
    options.answer_timeout = milliseconds(400);
    return options;
  }

  static PrefixMirrorOptions EndpointOptions() {
    PrefixMirrorOptions options;
    // A connection may fall silent alone, while others to the store work. With
    // the default watch timeout of 1 s this is noticed within 1.4 s, which
    // leaves time to spread that an endpoint has left.
    options.answer_timeout = milliseconds(400);
    // Endpoints join and load one after the other, and without this each change
    // would cost a call. A leaving endpoint may be sent work for two seconds.
    options.min_watch_interval = milliseconds(200);
    // The mirror of the configuration is the first to notice that the store
    // recovered, and then makes this one retry immediately.
    options.max_retry_delay = milliseconds(2000);
    return options;
  }

  static void LogFindings(const Findings& findings) {
    for (const Finding& f : findings.list()) {
      LogEvent(LogPart::kConfig, LogLevel::kError, "unreadable",
               LogFields().Add("place", f.file).Add("why", f.text));
    }
  }

  // `failed`: calls failed before. False for the first answer to a mirror that
  // has just started.
  static void LogReachability(std::string_view mirror, bool reachable,
                              StoreStatus why, bool failed) {
    LogEvent(LogPart::kBox, reachable ? LogLevel::kInfo : LogLevel::kWarn,
             reachable ? "store_regained" : "store_lost",
             LogFields()
                 .Add("mirror", mirror)
                 .Add("why", StoreStatusName(why))
                 .Add("failed", failed));
  }

  typename QuarantineStore<typename P::StoreClient>::Events QuarantineEvents() {
    return {[this](const std::vector<CrashRecord>& records) {
              LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "quarantine_read",
                       LogFields().Add("records", records.size()));
              core_.crash_watch()->OnRecords(records);
            },
            [this](const std::string& fingerprint) {
              return core_.crash_watch()->IsCleared(fingerprint);
            }};
  }

  PrefixMirrorEvents ConfigurationEvents() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) {
      ApplyConfiguration(r);
      // The store answers, so reading the list is worth a call.
      if (!Mirrors(core_.store_task())) endpoints_.ReadOnce();
    };
    events.on_changes = [this](const PrefixResult& r) {
      ApplyConfiguration(r);
    };
    events.on_freshness = [this](Time fresh_as_of) {
      core_.OnStoreConfigurationFresh(fresh_as_of);
    };
    events.on_reachable = [this](bool reachable, StoreStatus why) {
      if (!reachable) UpdateStoreTaskSoon();
      LogReachability("configuration", reachable, why,
                      !reachable || configuration_.failing());
      if (reachable) endpoints_.RetryNow();
    };
    return events;
  }

  void ApplyConfiguration(const PrefixResult& r) {
    for (const StoreItem& item : r.items) {
      if (item.key != P::ConfigurationKey() || item.removed) continue;
      core_.OnStoreConfiguration(item.value);
    }
  }

  PrefixMirrorEvents EndpointEvents() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) { ApplyList(r); };
    events.on_changes = [this](const PrefixResult& r) { ApplyChanges(r); };
    events.on_freshness = [this](Time fresh_as_of) {
      core_.OnFreshness(DocumentKind::kEndpoints, core_.list_version().packed(),
                        fresh_as_of);
    };
    events.on_reachable = [this](bool reachable, StoreStatus why) {
      LogReachability("endpoints", reachable, why,
                      !reachable || endpoints_.failing());
      if (reachable) core_.directory()->OnStoreReachable(core_.loop()->now());
    };
    events.known = [this] { return core_.list_version(); };
    return events;
  }

  std::optional<DirectoryEntry> ParseEntry(const StoreItem& item) {
    Findings findings;
    std::optional<DirectoryEntry> entry =
        P::ReadEndpoint(item.key, item.value, &findings);
    for (const Finding& f : findings.list())
      core_.OnRejectedEntry(f.file, f.text);
    return entry;
  }

  void ApplyList(const PrefixResult& r) {
    const BusyTimer timer(core_.loop(), core_.busy_times(), Duty::kStoreData);
    std::vector<DirectoryEntry> entries;
    std::vector<std::string> unreadable;
    entries.reserve(r.items.size());
    for (const StoreItem& item : r.items) {
      if (auto entry = ParseEntry(item)) {
        entries.push_back(std::move(*entry));
      } else {
        unreadable.push_back(P::EndpointIdOf(item.key));
      }
    }
    core_.directory()->OnList(core_.loop()->now(), entries, unreadable);
    if (!r.items.empty()) core_.OnListVersion(r.at);
  }

  void ApplyChanges(const PrefixResult& r) {
    const BusyTimer timer(core_.loop(), core_.busy_times(), Duty::kStoreData);
    const Time now = core_.loop()->now();
    for (const StoreItem& item : r.items) {
      if (item.removed) {
        core_.directory()->OnRemoved(now, P::EndpointIdOf(item.key));
      } else if (auto entry = ParseEntry(item)) {
        core_.directory()->OnEntry(now, *entry);
      } else {
        core_.directory()->OnUnreadable(now, P::EndpointIdOf(item.key));
      }
    }
    core_.OnListVersion(r.at);
  }

  PoolPlannerEvents PlannerEvents() {
    PoolPlannerEvents events;
    events.on_busy = [this](Duration d) {
      core_.busy_times()->Add(Duty::kPlanner, d);
    };
    events.may_plan = [this] {
      // One box per hall competes for the lease: the one that mirrors the
      // store, or its standbys.
      return core_.configuration() != nullptr && !core_.stopping() &&
             !core_.directory()->entries().empty() &&
             (Mirrors(core_.store_task()) || planner_.planning());
    };
    events.configuration = [this] { return core_.configuration(); };
    events.entries = [this]() -> const std::map<std::string, DirectoryEntry>& {
      return core_.directory()->entries();
    };
    events.works = [this](const std::string& id) {
      const auto& rows = core_.table()->rows();
      const auto row = rows.find(id);
      return row == rows.end() || !row->second.down;
    };
    events.on_state = [this](const std::string& id, const RunnerState& s) {
      core_.directory()->OnRunnerState(core_.loop()->now(), id, s);
    };
    events.on_lease = [](uint64_t token) {
      LogEvent(LogPart::kEndpoints, LogLevel::kInfo,
               token != 0 ? "planner_lease_taken" : "planner_lease_lost",
               LogFields().Add("token", token));
    };
    events.on_order = [](const std::string& id, const LayerOrder& order,
                         LayerOrderStatus status) {
      LogEvent(LogPart::kEndpoints, LogLevel::kInfo, "order",
               LogFields()
                   .Add("endpoint", id)
                   .Add("begin", order.range.begin)
                   .Add("end", order.range.end)
                   .Add("fence", order.fence)
                   .Add("expected_orders", order.expected_orders)
                   .Add("status", LayerOrderStatusName(status)));
    };
    return events;
  }

  ForwardingCore core_;
  typename P::StoreClient store_;
  typename P::StoreClient planner_store_;
  typename P::StoreClient quarantine_store_;
  typename P::RunnerClient runners_;
  QuarantineStore<typename P::StoreClient> quarantine_;
  PrefixMirror<typename P::StoreClient, EventLoop> configuration_;
  PrefixMirror<typename P::StoreClient, EventLoop> endpoints_;
  PoolPlanner<typename P::StoreClient, typename P::RunnerClient, EventLoop>
      planner_;
  bool quarantine_enabled_;                       // Mechanism::kCrashQuarantine
  StoreTask call_reason_ = StoreTask::kReadOnce;  // label in the metrics
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_BOX_H_
