#include "pinford/forwarding/forwarding_options.h"

#include "pinford/box_context.h"

namespace pinford {

// The load that boxes put on runners matters equally in all halls, since all of
// them share a runner's memory.
Membership::Options MembershipOptions(const Settings& s) {
  Membership::Options options = GossipOptions(s);
  options.other_hall_every = 2;
  return options;
}

CallerServer::Limits CallerServerLimits(const Settings& s) {
  CallerServer::Limits limits;
  limits.head_bytes = s.max_header_bytes;
  limits.body_bytes = s.max_body_bytes;
  limits.idle_timeout = s.idle_timeout;
  limits.connections = s.max_connections;
  limits.held_bytes = s.max_held_bytes;
  return limits;
}

UpstreamClient::Options UpstreamClientOptions(const ForwardProtocol& p) {
  UpstreamClient::Options options;
  options.id_header = p.headers.request_id;
  return options;
}

EndpointTable::Options TableOptions(const Settings& s) {
  EndpointTable::Options options;
  options.mechanisms = s.mechanisms;
  // The list is mirrored, so a report holds until it changes.
  options.report_valid = hours(24 * 365);
  options.direct_handoff = true;
  // Seconds per token, on the scale of the cost of a layer. A token takes 0.75
  // ms to another hall, and its share of the prompt's activations about 0.1 ms;
  // the rest keeps the links between halls free for the halls that need them.
  options.cross_hall_seconds = 0.003;
  return options;
}

RetryShare::Options RetryShareOptions(const Settings& s,
                                      const MechanismSwitches& mechanisms) {
  RetryShare::Options options;
  options.ratio = s.retry_ratio;
  options.extra = s.retry_extra;
  options.window = s.retry_window;
  if (!mechanisms.enabled(Mechanism::kRetryLoans)) options.reserved_share = 0;
  return options;
}

}  // namespace pinford
