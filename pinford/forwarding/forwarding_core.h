// What a forwarding box is made of, whatever store and runners it speaks to.
//
// A box forwards callers' requests to endpoints by the operator's
// configuration. All boxes are equal and keep nothing. ForwardingBox
// (forwarding_box.h) puts this together with a deployment's store.
//
// Ready means: a configuration and a list of endpoints are known, and the box
// does not stop. Stopping is planned: the box is not ready from then on,
// answers what it has and what still comes, each answer closing its
// connection. Once the balancer has had time to look away it closes
// connections at rest and refuses, as not run, what might not end in time;
// it listens on, because where all boxes stop the balancer uses them all the
// same. It ends the loop when nothing is left, or the grace period nearly is.

#ifndef PINFORD_FORWARDING_FORWARDING_CORE_H_
#define PINFORD_FORWARDING_FORWARDING_CORE_H_

#include <functional>
#include <memory>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/caller_server.h"
#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/failure_gossip.h"
#include "pinford/forwarding/forward_policy.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/peer_source.h"
#include "pinford/forwarding/retry_loans.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/route_table.h"
#include "pinford/forwarding/send_budget.h"
#include "pinford/forwarding/source_selector.h"
#include "pinford/forwarding/startup_peer_check.h"
#include "pinford/forwarding/store_task_selector.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/forwarding/whole_list.h"
#include "pinford/gossip.h"
#include "pinford/http_client.h"
#include "pinford/http_server.h"
#include "pinford/metrics.h"
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

  // False, with `error` set, if an address cannot be listened on.
  bool Start(std::string* error);
  void BeginStop();
  // Takes over what may change while running; the rest is kept, and said so.
  // Settings that cannot be used (a policy with a finding) change nothing.
  void Reload(const Settings& settings);

  // Reads a configuration as the store, or a peer, has it. False if it cannot
  // be read; what was in force stays. One that is not newer changes nothing.
  using ConfigurationReader =
      std::function<std::optional<ServiceConfiguration>(std::string_view)>;
  void set_reader(ConfigurationReader read) { read_ = std::move(read); }
  bool OnConfiguration(const std::string& text, std::string_view from);
  // As the store has it: the first waits for the peers' word
  // (startup_peer_check.h).
  void OnStoreConfiguration(const std::string& text);
  // An entry of the list names no endpoint.
  void OnPassedOver(const std::string& place, std::string_view why);
  // The list of endpoints is as of this revision of the store's.
  void OnListVersion(StoreRevision revision);
  // At `proof` what this box has of the document was the newest.
  void OnProof(DocumentKind kind, Time fresh_as_of);
  // What this box has to do with the store now, and was last found to have.
  // `plans`: it plans the pools.
  StoreTask StoreTaskNow(bool plans);
  StoreTask store_task() const { return task_; }
  // Called when what this box has to do with the store should be asked for
  // before the next regular time.
  void set_follow_duty(std::function<void()> fn) {
    follow_duty_ = std::move(fn);
  }
  // The store does not answer this box, whose task it is to mirror it.
  void set_store_fails(bool v) { store_fails_ = v; }
  bool ready() const {
    return configuration_ && list_version_ != StoreRevision() && !stopping_;
  }
  bool stopping() const { return stopping_; }
  std::shared_ptr<const ServiceConfiguration> configuration() const {
    return configuration_;
  }
  // What this box's clients of the store, and its peers' lists, tell of the
  // store's life.
  StoreEra* store_era() { return &era_; }
  // The store has come back from a copy: `before` and `now` are its eras.
  void OnStoreRestored(uint64_t before, uint64_t now);
  EndpointDirectory* directory() { return &directory_; }
  const EndpointTable* table() const { return &table_; }
  HttpClient* http() { return &http_; }
  // How runners are asked and told (ForwardContext).
  ForwardContext* forward_context() { return &forward_context_; }
  Metrics* metrics() { return &metrics_; }
  EventLoop* loop() { return loop_; }
  const Settings& settings() const { return settings_; }

  // Fills in gauges before the metrics are shown.
  void set_refresh_metrics(std::function<void()> fn) {
    refresh_metrics_ = std::move(fn);
  }

 private:
  EndpointDirectory::Events DirectoryEvents();
  Gossip::Handlers PeerHandlers();
  PeerSourceEvents SourceEvents();
  void UpdateOwnState();
  void OnDigest(const Digest& digest);
  // What peers told since the last tick, all at once: it takes a walk over all
  // members and runners, and boxes of a hall announce together. Done for each
  // digest it was 82 in 100 of the processor time of a box of 298 before 2,999
  // runners (a profile of 40 boxes over 20 s).
  void TakeCountsOfPeers();
  void OnCallerWaiting();
  void OnRunnerDown(const std::string& endpoint);
  void OnFailureNotice(const FailureNotice& note);
  void AskForRetries();
  std::optional<RetryLoan> OnRetryRequest(const RetryRequest& ask);
  void OnRetryLoan(const RetryLoan& loan);
  FetchReply OnFetch(const FetchRequest& request);
  uint64_t ProofAgeMs(Time fresh_as_of) const;
  // What is told of a document beside its body.
  DocumentState StateOf(DocumentKind kind) const;
  DocumentState ListState(const FetchRequest& request);
  // The whole list, of a version above that.
  const WholeList& ListAbove(uint64_t above);
  bool OnPeerBody(DocumentKind kind, const DocumentState& state,
                  const std::string& peer);
  bool IsSeed() const;
  uint64_t VersionOf(DocumentKind kind) const;
  Duration ProofAge() const;
  void Tick();
  // Tells of a delay of this process's own since the last tick.
  void NoteHeldUp(Time now);
  void NoteReady();
  void FinishStop();
  bool ProofHolds() const;
  void ServeOperators(const ExchangePtr& exchange);
  void RefreshMetrics();
  void RefreshCapacity(Time now);

  Settings settings_;
  EventLoop* loop_;
  Time passed_over_next_{};  // when such entries are told again
  int passed_over_told_ = 0;
  Random random_;
  Metrics metrics_;
  ForwardPolicy policy_;
  HttpClient http_;
  UpstreamClient upstream_;
  EndpointTable table_;
  EndpointDirectory directory_;
  RetryShare retries_;
  RetryLoans loans_;
  FailureGossip news_;
  ForwardContext forward_context_;
  Forwarder forwarder_;
  Membership membership_;
  Gossip gossip_;
  SourceSelector roster_;
  StoreTaskSelector duty_;
  PeerSource<PeerLink, EventLoop> source_;
  CallerServer callers_;
  HttpServer operators_;
  HttpServer readiness_;

  ConfigurationReader read_;
  StartupPeerCheck peers_first_;
  std::string store_configuration_;  // that waits for the peers' word
  std::shared_ptr<const ServiceConfiguration> configuration_;
  uint64_t configuration_hash_ = 0;   // of its text
  std::string configuration_packed_;  // its text, for peers
  StoreEra era_;
  StoreRevision list_version_;
  Time proofs_[kDocumentKinds] = {};
  WholeList whole_list_;
  SendBudget list_budget_;
  bool endpoint_went_ = false;  // since the list's version was last told
  bool peers_told_ = false;     // a digest came since the last tick
  StoreTask task_ = StoreTask::kNone;
  bool store_fails_ = false;
  bool caller_waited_ = false;  // for the first configuration, or endpoints
  bool proof_held_ = false;
  bool was_ready_ = false;
  bool stopping_ = false;
  size_t unfinished_ = 0;  // requests for which a stop had no time
  Time ticked_{};
  Time stop_begun_{};
  Time busy_at_{};  // the last time that something was left to do
  std::function<void()> refresh_metrics_ = [] {};
  std::function<void()> follow_duty_ = [] {};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_CORE_H_
