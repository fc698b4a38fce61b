// An admitted request, and what the policy and target selection derive from it.

#ifndef PINFORD_FORWARDING_ADMITTED_REQUEST_H_
#define PINFORD_FORWARDING_ADMITTED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

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
  std::string customer;       // "" if there is none
  bool requires_key = false;  // its key may be revoked
  int priority = 5;  // of the customer or the route; 0 is the most urgent
  RequestClass request_class;  // assigned by the policy
  std::string service;
  std::string id;
  Time deadline{};          // the earlier of the caller's and the route's
  std::string fingerprint;  // "" until FingerprintOf() is called
  // Of the parts of its prompt; not set until PartFingerprintsOf() is called.
  std::optional<std::vector<std::string>> part_fingerprints;
};

// Returns the request's fingerprint (request_fingerprint.h). Computes it only
// once, and only if called: most requests need none.
const std::string& FingerprintOf(const ForwardContext& context,
                                 AdmittedRequest* request);

// The same for the parts of its prompt that other requests may have too: all
// but the last, in the order of the prompt, each once, kMaxPromptParts at most.
// None if the request does not name them.
const std::vector<std::string>& PartFingerprintsOf(
    const ForwardContext& context, AdmittedRequest* request);
inline constexpr size_t kMaxPromptParts = 32;

// The fingerprints of all features of the request that may crash endpoints: its
// own, and those of the parts of its prompt.
std::vector<std::string> FeaturesOf(const ForwardContext& context,
                                    AdmittedRequest* request);

// Returns what the policy sees of a request.
RequestFacts FactsOf(const AdmittedRequest& order);

// Returns the options for choosing the request's target.
ForwardTarget::Options TargetOptions(const ForwardContext& context,
                                     const AdmittedRequest& order);

// How long a request may receive nothing before recovery starts: until the
// response begins or, if `stream_started`, between two events. `typical` is how
// long that recently took over all requests.
Duration SilenceTimeout(const Route& route, bool stream_started,
                        Duration typical);

// The urgency sent to engines, from 0 (most urgent) to 9, for a tier of the
// policy.
int UrgencyOf(Tier tier);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ADMITTED_REQUEST_H_
