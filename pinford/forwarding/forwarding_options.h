// Derives the options of a forwarding box's components from its settings.
// Options that are the same for all forwarding boxes are set here too.

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

Membership::Options MembershipOptions(const Settings& s);
CallerServer::Limits CallerServerLimits(const Settings& s);
UpstreamClient::Options UpstreamClientOptions(const ForwardProtocol& p);
EndpointTable::Options TableOptions(const Settings& s);
// `off` lists the disabled mechanisms, which do not change while running.
RetryShare::Options RetryShareOptions(const Settings& s,
                                      const MechanismSwitches& mechanisms);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDING_OPTIONS_H_
