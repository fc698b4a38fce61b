// A forwarding box in a deployment: the core, what it mirrors from the
// deployment's store, and its part in planning the pools.
//
// `P` is the deployment's platform. It only translates; what to believe, and
// what to do, is decided here and below.

#ifndef PINFORD_FORWARDING_FORWARDING_BOX_H_
#define PINFORD_FORWARDING_FORWARDING_BOX_H_

#include <concepts>
#include <memory>
#include <string>
#include <vector>

#include "pinford/forwarding/forwarding_core.h"
#include "pinford/forwarding/pool_planner.h"
#include "pinford/forwarding/prefix_mirror.h"
#include "pinford/log.h"
#include "pinford/store_era.h"

namespace pinford {

template <typename P>
concept Platform = requires(std::string_view text, const std::string& key,
                            Findings* findings) {
  requires Store<typename P::StoreClient>;
  requires PrefixStore<typename P::StoreClient>;
  requires PoolClient<typename P::RunnerClient>;
  // The last is told of each call.
  requires std::constructible_from<typename P::StoreClient, HttpClient*,
                                   Address, StoreEra*, std::function<void()>>;
  requires std::constructible_from<typename P::RunnerClient, HttpClient*>;
  { P::Protocol() } -> std::same_as<ForwardProtocol>;
  // Where the configuration and the list of endpoints lie in the store.
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
               [this] { CountCall(StoreTaskName(calling_for_)); }),
        planner_store_(core_.http(), settings.store, core_.store_era(),
                       [this] { CountCall("planner"); }),
        runners_(core_.http()),
        configuration_(&store_, loop, P::ConfigurationPrefix(),
                       ConfigurationOptions(), ConfigurationEvents()),
        endpoints_(&store_, loop, P::EndpointPrefix(), EndpointOptions(),
                   EndpointEvents()),
        planner_(&planner_store_, &runners_, loop, settings.box,
                 PlannerOptions(settings), PlannerEvents()) {
    core_.store_era()->set_on_increase([this](uint64_t before, uint64_t now) {
      core_.OnStoreRestored(before, now);
      planner_.OnStoreRestored();
      configuration_.Relist();
      endpoints_.Relist();
    });
    core_.set_refresh_metrics([this] {
      core_.metrics()->Set("planning", "", planner_.planning() ? 1 : 0);
    });
  }

  bool Start(std::string* error) {
    if (!core_.Start(error)) return false;
    core_.set_reader([](std::string_view text) {
      Findings findings;
      std::optional<ServiceConfiguration> c =
          P::ReadConfiguration(text, &findings);
      NoteFindings(findings);
      return c;
    });
    ServeRequests();
    core_.set_follow_duty([this] { FollowDuty(); });
    FollowDuty();
    core_.loop()->Every(kDutyLook, [this] { FollowDuty(); });
    planner_.Start(kFirstPlan);
    return true;
  }
  void BeginStop() { core_.BeginStop(); }
  void Reload(const Settings& settings) { core_.Reload(settings); }

 private:
  // The store's first answers are there by then.
  static constexpr milliseconds kFirstPlan{500};

  static constexpr milliseconds kDutyLook{100};
  // Between calls of a box that stands in, once the store fails it too: the
  // first of the hall tries four times as often, and is asked.
  static constexpr milliseconds kStandInRetry{1000};

  // A runner answers at once, in an idle hall within 3 ms; lost packets are
  // sent again after 200 ms, which is too late to be of use here.
  static constexpr milliseconds kAskLimit{30};
  static constexpr milliseconds kRerouteLimit{100};

  void ServeRequests() {
    core_.forward_context()->probe =
        [this](const std::string& id, std::function<void(RunnerHealth)> fn) {
          Ask(id, std::move(fn));
        };
    core_.forward_context()->reroute =
        [this](const Address& entry, const std::string& request,
               const std::vector<AddressedStage>& chain, RerouteHandler fn) {
          runners_.Reroute(entry, request, chain, kRerouteLimit, std::move(fn));
        };
  }

  void Ask(const std::string& id, std::function<void(RunnerHealth)> fn) {
    const DirectoryEntry* entry = core_.directory()->Find(id);
    if (entry == nullptr || !entry->runner) {
      fn({});
      return;
    }
    const LayerRange listed = entry->runner->holds;
    const uint64_t life = entry->listed.incarnation;
    runners_.Report(
        entry->listed.address, kAskLimit,
        [this, id, listed, life,
         fn = std::move(fn)](const RunnerAnswer& answer) {
          fn(HealthOf(listed, life, answer));
          const std::optional<RunnerReport>& r = answer.report;
          if (!r) return;
          const bool news = r->state.leaving ||
                            IsNewerIncarnation(life, r->state.incarnation);
          if (!news) return;
          core_.directory()->OnRunnerState(core_.loop()->now(), id, r->state);
        });
  }

  // Mirrors the store or looks at it, as StoreTaskSelector says.
  void FollowDuty() {
    const StoreTask task = core_.StoreTaskNow(planner_.planning());
    if (task != StoreTask::kNone) calling_for_ = task;
    core_.set_store_fails(Mirrors(task) && configuration_.failing());
    if (Mirrors(task)) {
      const bool first = task == StoreTask::kMirror;
      configuration_.set_max_retry_delay(
          first ? ConfigurationOptions().most_retry : kStandInRetry);
      configuration_.Start();
      endpoints_.Start();
      return;
    }
    configuration_.Stop();
    endpoints_.Stop();
    if (task == StoreTask::kReadOnce) configuration_.ReadOnce();
  }

  void CountCall(std::string_view reason) {
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
    // With the pause between them, four lists a second while the store is
    // silent. What lapsed is dropped 2.2 s after its return is noticed, and
    // must be within 3 s of the return itself.
    options.unreachable_timeout = milliseconds(20);
    // A silent store is noticed 1.4 s after a watch was sent, and the hall's
    // other boxes hear of it 0.4 s later.
    options.answer_timeout = milliseconds(400);
    return options;
  }

  static PrefixMirrorOptions EndpointOptions() {
    PrefixMirrorOptions options;
    // A change ends the wait at once. It only bounds how long a silent store
    // goes unnoticed here; the configuration's mirror notices sooner.
    options.wait = milliseconds(5000);
    // Endpoints join and load one after the other; each change alone would
    // cost a call. A leaving endpoint may get work for two seconds.
    options.least_pause = milliseconds(200);
    // The configuration's mirror hears first that the store is back, and has
    // this one try at once.
    options.most_retry = milliseconds(2000);
    return options;
  }

  static void NoteFindings(const Findings& findings) {
    for (const Finding& f : findings.list()) {
      LogEvent(LogPart::kConfig, LogLevel::kError, "unreadable",
               LogFields().Add("place", f.file).Add("why", f.text));
    }
  }

  static void NoteReachable(std::string_view mirror, bool reachable,
                            StoreStatus why) {
    LogEvent(
        LogPart::kBox, reachable ? LogLevel::kInfo : LogLevel::kWarn,
        reachable ? "store_regained" : "store_lost",
        LogFields().Add("mirror", mirror).Add("why", StoreStatusName(why)));
  }

  PrefixMirrorEvents ConfigurationEvents() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) {
      TakeConfiguration(r);
      // The store answers: a look at the list is worth its call.
      if (!Mirrors(core_.store_task())) endpoints_.ReadOnce();
    };
    events.on_changes = [this](const PrefixResult& r) { TakeConfiguration(r); };
    events.on_freshness = [this](Time fresh_as_of) {
      core_.OnProof(DocumentKind::kConfiguration, fresh_as_of);
    };
    events.on_reachable = [this](bool reachable, StoreStatus why) {
      NoteReachable("configuration", reachable, why);
      if (reachable) endpoints_.RetryNow();
    };
    return events;
  }

  void TakeConfiguration(const PrefixResult& r) {
    for (const StoreItem& item : r.items) {
      if (item.key != P::ConfigurationKey() || item.removed) continue;
      core_.OnStoreConfiguration(item.value);
    }
  }

  PrefixMirrorEvents EndpointEvents() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) { TakeList(r); };
    events.on_changes = [this](const PrefixResult& r) { TakeChanges(r); };
    events.on_freshness = [this](Time fresh_as_of) {
      core_.OnProof(DocumentKind::kEndpoints, fresh_as_of);
    };
    events.on_reachable = [this](bool reachable, StoreStatus why) {
      NoteReachable("endpoints", reachable, why);
      if (reachable) core_.directory()->OnStoreReachable(core_.loop()->now());
    };
    return events;
  }

  std::optional<DirectoryEntry> ReadEntry(const StoreItem& item) {
    Findings findings;
    std::optional<DirectoryEntry> entry =
        P::ReadEndpoint(item.key, item.value, &findings);
    for (const Finding& f : findings.list()) core_.OnPassedOver(f.file, f.text);
    return entry;
  }

  void TakeList(const PrefixResult& r) {
    std::vector<DirectoryEntry> entries;
    std::vector<std::string> unreadable;
    entries.reserve(r.items.size());
    for (const StoreItem& item : r.items) {
      if (auto entry = ReadEntry(item)) {
        entries.push_back(std::move(*entry));
      } else {
        unreadable.push_back(P::EndpointIdOf(item.key));
      }
    }
    core_.directory()->OnList(core_.loop()->now(), entries, unreadable);
    if (!r.items.empty()) core_.OnListVersion(r.at);
  }

  void TakeChanges(const PrefixResult& r) {
    const Time now = core_.loop()->now();
    for (const StoreItem& item : r.items) {
      if (item.removed) {
        core_.directory()->OnRemoved(now, P::EndpointIdOf(item.key));
      } else if (auto entry = ReadEntry(item)) {
        core_.directory()->OnEntry(now, *entry);
      } else {
        core_.directory()->OnUnreadable(now, P::EndpointIdOf(item.key));
      }
    }
    core_.OnListVersion(r.at);
  }

  PoolPlannerEvents PlannerEvents() {
    PoolPlannerEvents events;
    events.may_plan = [this] {
      // One box a hall tries for the lease: the one that mirrors the store, or
      // those that stand in for it.
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
  typename P::RunnerClient runners_;
  PrefixMirror<typename P::StoreClient, EventLoop> configuration_;
  PrefixMirror<typename P::StoreClient, EventLoop> endpoints_;
  PoolPlanner<typename P::StoreClient, typename P::RunnerClient, EventLoop>
      planner_;
  StoreTask calling_for_ =
      StoreTask::kReadOnce;  // what calls are counted under
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_BOX_H_
