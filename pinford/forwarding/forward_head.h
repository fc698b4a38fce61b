// Serializes requests for endpoints and filters the headers of their responses
// for callers.
//
// All headers pass unchanged except hop-by-hop headers, the caller's key, and
// the headers that pinford sets itself.

#ifndef PINFORD_FORWARDING_FORWARD_HEAD_H_
#define PINFORD_FORWARDING_FORWARD_HEAD_H_

#include <string>
#include <vector>

#include "pinford/forwarding/forward_protocol.h"
#include "pinford/http_reader.h"
#include "util/clock.h"

namespace pinford {

// Values of the headers that pinford sets on one attempt.
struct AttemptHeaders {
  std::string customer;  // "" if there is none
  std::string instance;
  Duration time_left{};
  std::vector<AddressedStage>
      chain;               // if the request runs on a chain of runners
  int urgency = -1;        // -1 omits the header
  std::string last_event;  // "" keeps the caller's
};

// Returns the head of a request with a body of `body_bytes` in wire format.
std::string WriteForwardedHead(const HttpHead& head, size_t body_bytes,
                               const ForwardProtocol& protocol,
                               const AttemptHeaders& notes);

// Returns the response headers that are forwarded to the caller.
HttpHeaders ForwardedResponseHeaders(const HttpHead& answer,
                                     const ForwardProtocol& protocol);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_HEAD_H_
