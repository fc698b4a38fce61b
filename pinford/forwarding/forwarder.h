// Takes callers' requests in and forwards each by the configuration in force.
//
// What decides whether and where a request goes is here: the route, the
// customer, whether the configuration is known well enough, and how many
// requests of a service may be under way. What becomes of it then is
// ForwardedRequest's.
//
// A configuration that may be out of date says nothing for sure. While its
// proof is older than the bound, requests that need a key are refused as not
// run, and nobody is told that a route or key does not exist.

#ifndef PINFORD_FORWARDING_FORWARDER_H_
#define PINFORD_FORWARDING_FORWARDER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/caller_server.h"
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

// What forwarded requests share. All outlive them.
struct ForwardContext {
  EventLoop* loop;
  UpstreamClient* upstream;
  EndpointTable* table;
  RetryShare* retries;
  Metrics* metrics;
  Random* random;
  ForwardProtocol protocol;
  // The operators' policy: how a request is treated, and how much each hall
  // draws for a service.
  std::function<RequestClass(const RequestFacts&)> classify;
  std::function<double(const std::string& service, const std::string& hall)>
      hall_weight;
  // Whether the configuration is proved to be recent enough to act on keys.
  std::function<bool()> proof_holds;
  // The age of that proof, for the log.
  std::function<Duration()> proof_age;
  std::function<void(const std::string& endpoint,
                     std::function<void(RunnerHealth)>)>
      probe;
  // A caller waits for the first configuration or list of endpoints.
  std::function<void()> on_waiting;
  // This box's own question found a runner down, or slow.
  std::function<void(const std::string& endpoint)> on_down;
  // An answer of that life of the endpoint says that it leaves.
  std::function<void(const std::string& endpoint, uint64_t incarnation)>
      on_leaving;
  // As PoolClient::Reroute.
  std::function<void(const Address& entry, const std::string& request,
                     const std::vector<AddressedStage>& chain, RerouteHandler)>
      reroute;
  MechanismSwitches mechanisms;
};

class Forwarder {
 public:
  explicit Forwarder(ForwardContext* parts);
  ~Forwarder();

  void set_routes(std::shared_ptr<const RouteTable> routes) {
    routes_ = std::move(routes);
  }
  const RouteTable* routes() const { return routes_.get(); }

  // The box stops: what could not end before `end` is refused as not run
  // once `since` has passed, when the balancer looks elsewhere.
  void BeginStop(Time since, Time end) {
    refuse_since_ = since;
    end_ = end;
  }

  // The box ends: whoever still waits is told so, and the log says why.
  void AbortAll();

  void Handle(CallerExchangePtr exchange);
  // A configuration or a list of endpoints has come: who waited for the first
  // of each goes on.
  void AdmitWaiting();
  // Looks for requests that stand still. Call it every kTick.
  void Tick();

  EndpointWatch* watch() { return &watch_; }
  // A request has reason to doubt that the runner works: it is asked at once,
  // unless it was of late.
  void ProbeIfDue(const std::string& endpoint);
  // What is usual of late, over all requests: the time to a first event, and
  // between two.
  void OnFirstEvent(Duration took);
  // `allowed` is the longest that the caller allows.
  void OnGap(Duration gap, Duration allowed);
  Duration usual_first() const { return usual_first_; }
  Duration usual_gap() const { return usual_gap_; }
  // What the pool can read, as of some milliseconds ago at most.
  const PoolCapacity& CapacityOf(const std::string& service,
                                 const std::string& version);
  void RemoveEndpoint(const std::string& endpoint) { watch_.Forget(endpoint); }
  // It has started anew: what ran there is lost, and goes elsewhere at once.
  void OnRestart(const std::string& endpoint);

  size_t active() const { return active_.size(); }

  // Short against the shortest gap between events that is noticed.
  static constexpr Duration kTick = milliseconds(20);

 private:
  friend class ForwardedRequest;
  struct Refusal;

  // Whether a configuration and endpoints are known, or were once.
  bool HasBegun();
  void Wait(const CallerExchangePtr& exchange);
  void Refuse(const CallerExchangePtr& exchange, const Refusal& why);
  void Done(ForwardedRequest* request);

  ForwardContext* parts_;
  std::shared_ptr<const RouteTable> routes_;
  bool begun_ = false;
  StartQueue<CallerExchangePtr> waiting_;
  std::list<std::shared_ptr<ForwardedRequest>> active_;
  template <typename T>
  static void Learn(T seen, T* usual);

  bool EndsInTime(const Route& route, Time now) const;

  Time refuse_since_ = Time::max();
  Time end_ = Time::max();
  void Ask(const std::string& endpoint);
  // It has not answered, and neither have those that were asked with it: asks
  // it again, beside one more that nothing is suspected of.
  void AskAgain(const std::string& endpoint);
  void AskControl();
  // What came of the question that was put at `asked`.
  void OnHealth(const std::string& endpoint, Time asked,
                const RunnerHealth& health);
  // Requests that run there go elsewhere.
  void MoveRequests(const std::string& endpoint);

  EndpointWatch watch_;
  ProbeEvidence evidence_;
  Time control_asked_{};
  // By service and version.
  std::map<std::pair<std::string, std::string>, PoolCapacity> capacities_;
  Duration usual_first_{};
  Duration usual_gap_{};
  double usual_gap_share_ = 0;  // of the longest that is allowed
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDER_H_
