// What is known of a request when it has been let in, and what follows from
// it for the policy and for where it may run.

#ifndef PINFORD_FORWARDING_ADMITTED_REQUEST_H_
#define PINFORD_FORWARDING_ADMITTED_REQUEST_H_

#include <memory>
#include <string>

#include "pinford/forwarding/caller_server.h"
#include "pinford/forwarding/forward_target.h"
#include "pinford/forwarding/route_table.h"
#include "pinford/policy.h"

namespace pinford {

struct ForwardContext;

struct AdmittedRequest {
  CallerExchangePtr exchange;
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  std::string customer;        // "" for none
  bool requires_key = false;   // let in by a key, which may be taken away
  int priority = 5;            // of the customer or the route; 0 is most urgent
  RequestClass request_class;  // by the policy
  std::string service;
  std::string id;
  Time limit{};  // when the caller, or the route, waits no longer
};

// What the policy sees of a request.
RequestFacts FactsOf(const AdmittedRequest& order);

// What its target depends on.
ForwardTarget::Options TargetOptions(const ForwardContext& context,
                                     const AdmittedRequest& order);

// How long a request may be silent before it is looked after: until its answer
// begins, or between events if those have `begun`. `usual` is what that takes
// of late, over all requests.
Duration SilenceTimeout(const Route& route, bool begun, Duration usual);

// What engines are told, from 0 (most urgent) to 9, of the policy's tiers.
int UrgencyOf(Tier tier);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ADMITTED_REQUEST_H_
