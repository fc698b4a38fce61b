// Accepts callers' requests and forwards each according to the current
// configuration.
//
// This class decides whether a request is forwarded and to which service: by
// the route, the customer, and whether the configuration is known to be
// current. ForwardedRequest handles the request from there on.
//
// A configuration that may be out of date is no basis for a refusal that is
// final. While it has not been confirmed for longer than the limit, requests
// that need a key are refused as not run, and no caller gets a response that a
// route or key does not exist.

#ifndef PINFORD_FORWARDING_FORWARDER_H_
#define PINFORD_FORWARDING_FORWARDER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "pinford/byte_account.h"
#include "pinford/endpoint_table.h"
#include "pinford/forwarding/caller_server.h"
#include "pinford/forwarding/crash_ledger.h"
#include "pinford/forwarding/endpoint_connection.h"
#include "pinford/forwarding/endpoint_watch.h"
#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/pool_client.h"
#include "pinford/forwarding/probe_evidence.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/route_table.h"
#include "pinford/forwarding/start_queue.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/metrics.h"
#include "pinford/pool_capacity.h"
#include "util/hash.h"

namespace pinford {

class ForwardedRequest;
struct AdmittedRequest;

// What forwarded requests share. All of it must outlive them.
struct ForwardContext {
  EventLoop* loop;
  UpstreamClient* upstream;
  EndpointTable* table;
  RetryShare* retries;
  Metrics* metrics;
  Random* random;
  ForwardProtocol protocol;
  // The operators' policy: the class of a request, and the weight of each hall
  // for a service.
  std::function<RequestClass(const RequestFacts&)> classify;
  std::function<double(const std::string& service, const std::string& hall)>
      hall_weight;
  // Whether the configuration was confirmed as current recently enough to act
  // on keys.
  std::function<bool()> config_is_fresh;
  // Time since that confirmation, for the log.
  std::function<Duration()> freshness_age;
  // Queries a runner for its health.
  std::function<void(const std::string& endpoint,
                     std::function<void(RunnerHealth)>)>
      probe;
  // A request waits for the first configuration or list of endpoints.
  std::function<void()> on_caller_waiting;
  // This box's own probe found a runner down or slow.
  std::function<void(const std::string& endpoint)> on_impaired;
  // A response reports that this incarnation of the endpoint is leaving.
  std::function<void(const std::string& endpoint, uint64_t incarnation)>
      on_leaving;
  // See PoolClient::Reroute.
  std::function<void(const RunnerRef& entry, const std::string& request,
                     const std::vector<AddressedStage>& chain, RerouteHandler)>
      reroute;
  MechanismSwitches mechanisms;
  // Key of RequestFingerprint().
  std::string fingerprint_key;
  CrashLedger* crashes;
  // Queries whether the endpoint's host refuses connections to it.
  std::function<void(const std::string& endpoint, std::function<void(bool)>)>
      check_refused;
  // This box's path to endpoints (endpoint_paths.h).
  struct Paths {
    // How to reach the endpoint through a peer, if this box's own path to it is
    // lost.
    std::function<std::optional<RelayHop>(const std::string& endpoint)> hop =
        [](const std::string&) { return std::nullopt; };
    // Whether this box's own path to the endpoint is lost.
    std::function<bool(const std::string& endpoint)> is_lost =
        [](const std::string&) { return false; };
    // Whether the path to the service may turn out to be lost soon.
    std::function<bool(const std::string& service)> in_doubt =
        [](const std::string&) { return false; };
    // Whether failures of the endpoint were shown to be its own.
    std::function<bool(const std::string& endpoint)> is_at_fault =
        [](const std::string&) { return true; };
    // What the peer relays has fallen silent.
    std::function<void(const Address& peer)> on_relay_silent =
        [](const Address&) {};
  };
  Paths paths = {};
  // What a response that arrives now says of its endpoint's rate limit. `sent`:
  // when its request was sent.
  std::function<void(const std::string& endpoint, uint64_t incarnation,
                     Time sent, const RateLimitNotice&)>
      on_rate_limit = {};
};

// The refusal of quarantined requests, which are not run for minutes: the error
// code, and the Retry-After in seconds.
inline constexpr std::string_view kQuarantinedCode = "quarantined";
inline constexpr std::string_view kQuarantineRetryAfter = "60";

class Forwarder {
 public:
  explicit Forwarder(ForwardContext* context);
  ~Forwarder();

  void set_routes(std::shared_ptr<const RouteTable> routes) {
    routes_ = std::move(routes);
  }
  const RouteTable* routes() const { return routes_.get(); }

  // The box is stopping: from `refuse_from` on, when the balancer no longer
  // sends requests here, those that could not end before `deadline` are refused
  // as not run.
  void BeginStop(Time refuse_from, Time deadline) {
    refuse_from_ = refuse_from;
    stop_deadline_ = deadline;
  }

  // Fails all requests in progress because the box exits.
  void AbortAll();

  void Handle(CallerExchangePtr exchange);
  // A configuration or a list of endpoints was received. Handles the requests
  // that waited for the first of each.
  void AdmitWaiting();
  // Refuses requests that waited too long, abandons stalled attempts and sends
  // probes that are due. Call it every kTick.
  void Tick();

  EndpointWatch* watch() { return &watch_; }
  // Probes a runner that a request suspects to be faulty, unless it was probed
  // recently.
  void ProbeIfDue(const std::string& endpoint);
  // Update the moving means over all requests: of the time to the first event
  // and of the gap between two events.
  void OnFirstEvent(Duration took);
  // `allowed` is the longest gap that the caller allows; 0 if unlimited.
  void OnGap(Duration gap, Duration allowed);
  Duration mean_first_event() const { return mean_first_event_; }
  Duration mean_gap() const { return mean_gap_; }
  // The pool's prefill capacity, at most kTick old.
  const PoolCapacity& CapacityOf(const std::string& service,
                                 const std::string& version);
  void RemoveEndpoint(const std::string& endpoint) {
    watch_.Forget(endpoint);
    path_lost_at_.erase(endpoint);
  }
  // The endpoint has restarted: requests that ran there are lost and move to
  // other runners at once.
  void OnRestart(const std::string& endpoint);
  // This box has lost its path to these endpoints, since then: what it took for
  // their failures was due to that.
  void OnPathLost(const std::vector<std::string>& endpoints, Time since);

  size_t active() const { return active_.size(); }
  // Bytes of the responses that are being collected.
  size_t collected_bytes() const { return collected_->total(); }

  // Bounds collected_bytes(). Half of the memory that a box is meant to use.
  static constexpr size_t kMaxCollectedBytes = 64 << 20;
  // Short compared with the shortest gap between events that counts as a stall.
  static constexpr Duration kTick = milliseconds(20);

 private:
  friend class ForwardedRequest;
  struct Refusal;

  // Whether a configuration and endpoints are known, or once were.
  bool IsInitialized();
  void Enqueue(const CallerExchangePtr& exchange);
  void Refuse(const CallerExchangePtr& exchange, const Refusal& why);
  // Counts the refusal, since a trial follows after many (CrashLedger::Refuse).
  bool RefusesAsQuarantined(AdmittedRequest* admitted) const;
  void OnRequestDone(ForwardedRequest* request);
  // More of a response was collected.
  void OnCollected();

  ForwardContext* context_;
  std::shared_ptr<const RouteTable> routes_;
  bool initialized_ = false;
  StartQueue<CallerExchangePtr> start_queue_;
  std::shared_ptr<ByteAccount> collected_ = std::make_shared<ByteAccount>();
  std::list<std::shared_ptr<ForwardedRequest>> active_;
  template <typename T>
  static void UpdateMean(T sample, T* mean);

  bool EndsBeforeStop(const Route& route, Time now) const;

  Time refuse_from_ = Time::max();
  Time stop_deadline_ = Time::max();
  void SendProbe(const std::string& endpoint);
  // Probes the endpoint again after it and all others probed with it did not
  // respond, together with one that is not suspected, as a control.
  void ProbeAgain(const std::string& endpoint);
  void ProbeControlRunner();
  // Applies the result of the probe that was sent at `sent`.
  void OnProbeResult(const std::string& endpoint, Time sent,
                     const RunnerHealth& health);
  // Moves the requests that run there to other runners.
  void MoveRequests(const std::string& endpoint);

  // What a probe with this answer shows, if it shows that the endpoint is down.
  EndpointTable::DownEvidence EvidenceOf(const std::string& endpoint,
                                         ProbeAnswer answer) const;
  // Whether the path to the endpoint was lost after `sent`, so that a probe of
  // then tells nothing.
  bool PathLostSince(const std::string& endpoint, Time sent) const;

  EndpointWatch watch_;
  ProbeEvidence evidence_;
  std::map<std::string, Time> path_lost_at_;  // by endpoint
  Time control_probed_at_{};
  // By service and version.
  std::map<std::pair<std::string, std::string>, PoolCapacity> capacities_;
  Duration mean_first_event_{};
  Duration mean_gap_{};
  double mean_gap_ratio_ = 0;  // to the longest gap allowed
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDER_H_
