// Writes the head of a request for an endpoint, and chooses the headers of an
// endpoint's answer that a caller gets.
//
// Everything passes unchanged but what concerns a single connection, what
// names the caller's key, and what pinford says itself.

#ifndef PINFORD_FORWARDING_FORWARD_HEAD_H_
#define PINFORD_FORWARDING_FORWARD_HEAD_H_

#include <string>
#include <vector>

#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/http_reader.h"
#include "util/clock.h"

namespace pinford {

// What pinford says to an endpoint about one attempt.
struct AttemptHeaders {
  std::string customer;  // "" for none
  std::string instance;
  Duration time_left{};
  std::vector<AddressedStage> chain;  // of a request to a pool of runners
  int urgency = -1;                   // -1 says nothing
  std::string last_event;             // "" keeps the caller's
};

// The whole request as bytes: head and body.
std::string WriteForwardedRequest(const HttpHead& head, const std::string& body,
                                  const ForwardProtocol& protocol,
                                  const AttemptHeaders& notes);

// The headers of an answer that are passed on.
HttpHeaders ForwardedResponseHeaders(const HttpHead& answer,
                                     const ForwardProtocol& protocol);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_HEAD_H_
