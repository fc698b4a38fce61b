// Interface between the logic of a plain call (once_call.h) and the services.

#ifndef PINFORD_SERVICE_CLIENT_H_
#define PINFORD_SERVICE_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "util/clock.h"

namespace pinford {

// A call as it is sent to a service.
struct ServiceCall {
  std::string request;  // request id
  std::string customer;
  std::string service;
  std::string method;
  std::string target;  // path and query below the service
  std::string type;    // content type of the body
  std::string body;
  std::string key;  // the caller's Idempotency-Key, or empty
  Duration timeout = seconds(10);
};

enum class CallStatus {
  kAnswered,        // an answer arrived, with any HTTP status
  kNotSent,         // no byte of it left the box
  kRefusedLeaving,  // refused before it started: the service is leaving
  kRefusedBusy,     // refused before it started: the service is at capacity
  kLost,            // may have run; no answer arrived
};

struct CallResult {
  CallStatus status = CallStatus::kLost;
  std::optional<Duration> backoff;  // requested by a service that refuses
  int http_status = 0;
  std::string type;
  std::string body;
};

// `once` asks for a dedicated connection, so that a connection that closes
// while the call is written is not mistaken for one that was never established.
template <typename C>
concept ServiceClient = requires(C c, const std::string& endpoint,
                                 const ServiceCall& call, bool once,
                                 uint64_t id,
                                 std::function<void(CallResult)> fn) {
  { c.SendCall(endpoint, call, once, fn) } -> std::same_as<uint64_t>;
  {c.CancelCall(id)};
};

}  // namespace pinford

#endif  // PINFORD_SERVICE_CLIENT_H_
