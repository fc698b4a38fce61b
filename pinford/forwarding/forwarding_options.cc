#include "pinford/forwarding/forwarding_options.h"

#include "pinford/box_context.h"

namespace pinford {

// What boxes have on runners matters in all halls alike, since a runner's
// memory is shared by all.
Membership::Options PeerOptions(const Settings& s) {
  Membership::Options options = GossipOptions(s);
  options.other_hall_every = 2;
  return options;
}

CallerServer::Limits EntryLimits(const Settings& s) {
  CallerServer::Limits limits;
  limits.head_bytes = s.max_header_bytes;
  limits.body_bytes = s.max_body_bytes;
  limits.idle_timeout = s.idle_timeout;
  limits.connections = s.max_connections;
  return limits;
}

UpstreamClient::Options UpstreamOptions(const ForwardProtocol& p) {
  UpstreamClient::Options options;
  options.id_header = p.headers.request_id;
  return options;
}

EndpointTable::Options TableOptions(const Settings& s) {
  EndpointTable::Options options;
  options.mechanisms = s.mechanisms;
  // The list is mirrored: an entry holds until it changes.
  options.report_valid = hours(24 * 365);
  options.direct_handoff = true;
  // A token crosses in 0.75 ms, and its part of the prompt's activations takes
  // about 0.1 ms; the rest keeps the links between halls free for the halls
  // that need them. Seconds a token, as the price of a layer.
  options.cross_hall_seconds = 0.003;
  return options;
}

RetryShare::Options RetryOptions(const Settings& s,
                                 const MechanismSwitches& mechanisms) {
  RetryShare::Options options;
  options.ratio = s.retry_ratio;
  options.extra = s.retry_extra;
  options.window = s.retry_window;
  if (!mechanisms.enabled(Mechanism::kRetryLoans)) options.reserved_share = 0;
  return options;
}

}  // namespace pinford
