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
#include <memory>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/endpoint_watch.h"
#include "pinford/forwarding/entry_server.h"
#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/pool_client.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/route_table.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/metrics.h"
#include "util/hash.h"

namespace pinford {

class ForwardedRequest;

// What forwarded requests share. All outlive them.
struct ForwardParts {
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
  // Asks a runner; no answer within `limit` is none.
  std::function<void(const std::string& endpoint, Duration limit,
                     std::function<void(RunnerHealth)>)>
      ask;
  // As PoolClient::Reroute.
  std::function<void(const Address& entry, const std::string& request,
                     const std::vector<AddressedStage>& chain,
                     std::function<void(RerouteStatus)>)>
      reroute;
  MechanismsOff off;
  // An endpoint was found not to answer, or slow, by this box itself.
  std::function<void(const std::string& endpoint)> on_impaired =
      [](const std::string&) {};
};

class Forwarder {
 public:
  explicit Forwarder(ForwardParts* parts);
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

  void Handle(EntryPtr exchange);
  // Looks for requests that stand still. Call it every kTick.
  void Tick();

  EndpointWatch* watch() { return &watch_; }
  // A request has reason to doubt that the endpoint works.
  void Ask(const std::string& endpoint);
  // The same, unless it is being asked or was just now.
  void AskIfDue(const std::string& endpoint);
  // Asks it for others: a box that is busy must not take it for dead.
  void AskPatiently(const std::string& endpoint,
                    std::function<void(bool works, double pace)> fn);
  // Another box, which asks it on, says how it does.
  void OnTold(const std::string& endpoint, bool works, double pace);
  // What is usual of late, over all requests: the time to a first event, and
  // between two.
  void OnFirstEvent(Duration took) { Learn(took, &usual_first_); }
  void OnGap(Duration gap) { Learn(gap, &usual_gap_); }
  Duration usual_first() const { return usual_first_; }
  Duration usual_gap() const { return usual_gap_; }
  void ForgetEndpoint(const std::string& endpoint) { watch_.Forget(endpoint); }

  size_t active() const { return active_.size(); }

  // Short against the shortest gap between events that is noticed.
  static constexpr Duration kTick = milliseconds(20);
  // A runner answers at once, in an idle hall within 3 ms; lost packets are
  // sent again after 200 ms, which is too late to be of use to a request.
  static constexpr Duration kAskLimit = milliseconds(30);
  static constexpr Duration kPatientLimit = milliseconds(250);

 private:
  friend class ForwardedRequest;
  struct Refusal;

  void Refuse(const EntryPtr& exchange, const Refusal& why);
  void Done(ForwardedRequest* request);

  ForwardParts* parts_;
  std::shared_ptr<const RouteTable> routes_;
  std::list<std::shared_ptr<ForwardedRequest>> active_;
  static void Learn(Duration seen, Duration* usual);

  bool EndsInTime(const Route& route, Time now) const;

  Time refuse_since_ = Time::max();
  Time end_ = Time::max();
  void OnHealth(const std::string& endpoint, const RunnerHealth& health);
  // What a runner that works says of itself.
  void NoteSaid(const std::string& endpoint, const RunnerHealth& health);
  // Requests that run there go elsewhere.
  void MoveRequests(const std::string& endpoint);

  EndpointWatch watch_;
  Duration usual_first_{};
  Duration usual_gap_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDER_H_
