// The platform-independent core of a forwarding box.
//
// A box forwards callers' requests to endpoints according to the operator's
// configuration. All boxes are equal and keep no persistent state.
// ForwardingBox (forwarding_box.h) connects the core to a deployment's store
// and runners.
//
// A box is ready if it knows a configuration and an endpoint list and is not
// stopping. A planned stop works as follows. The box stops being ready, and
// answers the requests in progress and those that still arrive; each response
// closes its connection. Once the balancer has had time to notice, the box
// closes idle connections and refuses, as not run, requests that might not end
// in time. It continues to listen, because the balancer still uses stopping
// boxes if all are stopping. It ends the event loop when nothing is left, or
// shortly before the grace period ends.

#ifndef PINFORD_FORWARDING_FORWARDING_CORE_H_
#define PINFORD_FORWARDING_FORWARDING_CORE_H_

#include <functional>
#include <memory>
#include <string>

#include "pinford/busy_times.h"
#include "pinford/endpoint_table.h"
#include "pinford/forwarding/caller_server.h"
#include "pinford/forwarding/crash_ledger.h"
#include "pinford/forwarding/crash_watch.h"
#include "pinford/forwarding/document_freshness.h"
#include "pinford/forwarding/endpoint_calls.h"
#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/endpoint_paths.h"
#include "pinford/forwarding/failure_gossip.h"
#include "pinford/forwarding/forward_policy.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/full_list_cache.h"
#include "pinford/forwarding/list_versions.h"
#include "pinford/forwarding/missing_gossip.h"
#include "pinford/forwarding/peer_source.h"
#include "pinford/forwarding/permit_exchange.h"
#include "pinford/forwarding/retry_loans.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/route_table.h"
#include "pinford/forwarding/source_selector.h"
#include "pinford/forwarding/startup_peer_check.h"
#include "pinford/forwarding/store_task_selector.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/gossip.h"
#include "pinford/http_client.h"
#include "pinford/http_server.h"
#include "pinford/log.h"
#include "pinford/metrics.h"
#include "pinford/send_budget.h"
#include "pinford/settings.h"
#include "pinford/store_era.h"
#include "pinford/store_revision.h"
#include "util/hash.h"

namespace pinford {

class ForwardingCore {
 public:
  ForwardingCore(const Settings& settings, EventLoop* loop,
                 ForwardProtocol protocol);
  ~ForwardingCore();

  // Returns false, with `error` set, if an address cannot be listened on or the
  // policy cannot be used.
  bool Start(std::string* error);
  void BeginStop();
  // Applies the settings that may change while running; the others are kept,
  // which is logged. Settings that cannot be used (a policy with a finding)
  // change nothing.
  void Reload(const Settings& settings);

  // Parses a configuration in the format of the store, which peers use too.
  using ConfigurationParser =
      std::function<std::optional<ServiceConfiguration>(std::string_view)>;
  void set_configuration_parser(ConfigurationParser parser) {
    parse_ = std::move(parser);
  }
  // Applies a configuration, unless it is not newer than the one in force.
  // Returns false if it cannot be parsed, which changes nothing.
  bool OnConfiguration(const std::string& text, std::string_view from);
  // A configuration from the store. The first one is held back until a peer has
  // been asked (startup_peer_check.h).
  void OnStoreConfiguration(const std::string& text);
  // The store's configuration, as told by then, was current at that time.
  void OnStoreConfigurationFresh(Time fresh_as_of);
  // An entry of the list was rejected because it is not a valid endpoint.
  void OnRejectedEntry(const std::string& place, std::string_view why);
  // The endpoint list now reflects this revision of the store.
  void OnListVersion(StoreRevision revision);
  StoreRevision list_version() const { return list_version_; }
  // That version of the document was the newest at that time.
  void OnFreshness(DocumentKind kind, uint64_t version, Time fresh_as_of);
  // Chooses the current store task of this box, and returns the last one
  // chosen. `is_planner`: this box plans the pools.
  StoreTask ChooseStoreTask(bool is_planner);
  StoreTask store_task() const { return task_; }
  // Called when the store task should be updated before its next regular
  // update.
  void set_update_store_task(std::function<void()> fn) {
    update_store_task_ = std::move(fn);
  }
  // Sets whether the store fails to answer this box, whose task is to mirror
  // it. The boxes that ask this one are told at once, so that a standby can
  // take over.
  void set_store_unreachable(bool v);
  bool ready() const {
    return configuration_ && list_version_ != StoreRevision() && !stopping_;
  }
  bool stopping() const { return stopping_; }
  std::shared_ptr<const ServiceConfiguration> configuration() const {
    return configuration_;
  }
  // The store era as observed by this box's store clients and its peers' lists.
  StoreEra* store_era() { return &era_; }
  // The store was restored from a backup: `before` and `now` are its eras.
  void OnStoreRestored(uint64_t before, uint64_t now);
  EndpointDirectory* directory() { return &directory_; }
  const EndpointTable* table() const { return &table_; }
  HttpClient* http() { return &http_; }
  EndpointCalls* endpoint_calls() { return &endpoint_calls_; }
  // Holds the calls to runners (ForwardContext).
  ForwardContext* forward_context() { return &forward_context_; }
  CrashWatch* crash_watch() { return &crash_watch_; }
  Metrics* metrics() { return &metrics_; }
  // Of the duties that PeerLink does not count itself.
  BusyTimes* busy_times() { return &busy_times_; }
  EventLoop* loop() { return loop_; }
  const Settings& settings() const { return settings_; }

  // Sets a function that updates gauges before the metrics are rendered.
  void set_refresh_metrics(std::function<void()> fn) {
    refresh_metrics_ = std::move(fn);
  }

 private:
  EndpointDirectory::Events DirectoryEvents();
  // What the log says of an update of an entry: where it came from, and the
  // version of the list that this box had.
  LogFields EntryFields(const std::string& id, EntrySource source) const;
  Gossip::Handlers PeerHandlers();
  PeerSourceEvents SourceEvents();
  ForwardContext::Paths PathCalls();
  void OnPeerJoined(const std::string& box);
  void OnPeerLeaving(const std::string& box);
  void UpdateOwnState();
  void OnDigest(const Digest& digest);
  // Applies the counts received from peers since the last tick, all at once,
  // because it walks over all members and runners, and the boxes of a hall
  // announce together. Done for each digest, it took 82% of the CPU time of one
  // of 298 boxes with 2,999 runners (a profile of 40 boxes over 20 s).
  void ApplyPeerCounts();
  void OnCallerWaiting();
  void OnRunnerDown(const std::string& endpoint);
  void OnFailureNotice(const FailureNotice& note);
  void OnMissingNotice(const MissingNotice& notice);
  void SendMissingNotices();
  PermitExchange::Calls PermitCalls();
  // The part of an endpoint's rate that this box may issue.
  double IssuedShare() const;
  void OnRateLimitNotice(const std::string& endpoint, uint64_t incarnation,
                         Time sent, const RateLimitNotice& notice);
  void OnRateLimitChange(const std::string& endpoint, RateLimits::Change change,
                         PermitExchange::Source source);
  // Asks for permits soon, with all that are wanted until then.
  void AskForPermits();
  void SharePermits();
  void RequestRetries();
  std::optional<RetryLoan> OnRetryRequest(const RetryRequest& request);
  void OnRetryLoan(const RetryLoan& loan);
  FetchReply OnFetch(const FetchRequest& request);
  uint64_t FreshnessAgeMs(Time fresh_as_of) const;
  // What is sent of a document besides its body.
  DocumentState DocumentStateOf(DocumentKind kind) const;
  DocumentState ListState(const FetchRequest& request);
  // The position from which the requester lacks changes; nullopt if it lacks
  // the whole list.
  std::optional<uint64_t> RequestersPosition(const FetchRequest& request) const;
  // The full list, of a version above `above`.
  const FullListCache& FullListAbove(uint64_t above);
  bool OnPeerBody(DocumentKind kind, const DocumentState& state,
                  const std::string& peer);
  bool IsSeed() const;
  struct PendingConfiguration {
    std::string text;
    uint64_t hash;  // of the text
    ServiceConfiguration parsed;
  };
  // Whether the text with that hash is the configuration in force.
  bool IsInForce(uint64_t hash) const;
  // Puts a configuration into force, unless a newer one is.
  void Adopt(const std::string& text, uint64_t hash, ServiceConfiguration c,
             std::string_view from);
  void AdoptPendingConfiguration();
  uint64_t VersionOf(DocumentKind kind) const;
  // When the version held was last known to be the newest; Time{} if never.
  Time FreshAsOf(DocumentKind kind) const;
  Duration FreshnessAge() const;
  void Tick();
  // Logs a scheduling delay of this process since the last tick.
  void LogLoopDelay(Time now);
  void LogReadiness();
  void FinishStop();
  bool IsFresh() const;
  void ServeOperators(const ExchangePtr& exchange);
  void RefreshMetrics();
  void RefreshCapacity(Time now);
  void RefreshPeerTraffic();
  void SetPeerTraffic(const std::string& way, const PeerTraffic& traffic);

  Settings settings_;
  EventLoop* loop_;
  Time rejection_log_reset_{};  // when the count below starts again
  int rejections_logged_ = 0;
  Random random_;
  Metrics metrics_;
  BusyTimes busy_times_;
  ForwardPolicy policy_;
  HttpClient http_;
  UpstreamClient upstream_;
  EndpointTable table_;
  EndpointDirectory directory_;
  RetryShare retries_;
  RetryLoans loans_;
  FailureGossip failure_gossip_;
  MissingGossip missing_gossip_;
  PermitExchange permits_;
  bool permits_wanted_ = false;  // they are asked for soon
  CrashLedger crashes_;
  ForwardContext forward_context_;
  Forwarder forwarder_;
  Membership membership_;
  Gossip gossip_;
  EndpointPaths paths_;
  EndpointCalls endpoint_calls_;
  CrashWatch crash_watch_;
  SourceSelector source_selector_;
  StoreTaskSelector task_selector_;
  PeerSource<PeerLink, EventLoop> peer_source_;
  CallerServer callers_;
  HttpServer operators_;
  HttpServer readiness_;

  ConfigurationParser parse_;
  StartupPeerCheck startup_check_;
  // The store's, until a peer was asked.
  std::optional<PendingConfiguration> pending_store_configuration_;
  // Of the store's configuration, 0 before the first; nullopt if it cannot be
  // parsed.
  std::optional<uint64_t> store_version_ = 0;
  std::shared_ptr<const ServiceConfiguration> configuration_;
  uint64_t configuration_hash_ = 0;       // of its text
  std::string compressed_configuration_;  // as sent to peers
  StoreEra era_;
  StoreRevision list_version_;
  DocumentFreshness freshness_[kDocumentKinds];
  FullListCache full_list_;
  SendBudget list_budget_;
  ListVersions list_versions_;
  // An endpoint left or went since the last version of the list.
  bool endpoint_withdrawn_ = false;
  bool digest_received_ = false;  // since the last tick
  StoreTask task_ = StoreTask::kNone;
  bool store_unreachable_ = false;
  bool caller_waited_ = false;  // for the first configuration or list
  bool was_fresh_ = false;
  bool was_ready_ = false;
  bool stopping_ = false;
  size_t unfinished_ = 0;  // requests aborted by a planned stop
  Time last_tick_{};
  Time stop_started_{};
  Time last_busy_{};  // when work was last left to do
  std::function<void()> refresh_metrics_ = [] {};
  std::function<void()> update_store_task_ = [] {};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_CORE_H_
