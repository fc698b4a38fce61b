// How a forwarding box's settings become the options of its parts, and what is
// chosen for all forwarding boxes alike.

#ifndef PINFORD_FORWARDING_FORWARDING_OPTIONS_H_
#define PINFORD_FORWARDING_FORWARDING_OPTIONS_H_

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/caller_server.h"
#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/membership.h"
#include "pinford/settings.h"

namespace pinford {

Membership::Options PeerOptions(const Settings& s);
CallerServer::Limits EntryLimits(const Settings& s);
UpstreamClient::Options UpstreamOptions(const ForwardProtocol& p);
EndpointTable::Options TableOptions(const Settings& s);
// `off`: the mechanisms that are off, which stay as they were at the start.
RetryShare::Options RetryOptions(const Settings& s,
                                 const MechanismSwitches& mechanisms);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_OPTIONS_H_
