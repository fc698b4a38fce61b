// The seam between the decisions about a plain call and the services.

#ifndef PINFORD_SERVICE_CLIENT_H_
#define PINFORD_SERVICE_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "util/clock.h"

namespace pinford {

// A call as a service gets it.
struct ServiceCall {
  std::string request;  // pinford's id of it
  std::string customer;
  std::string service;
  std::string method;
  std::string target;  // path and query below the service
  std::string type;    // of the body
  std::string body;
  std::string key;  // the caller's Idempotency-Key, or ""
  Duration timeout = seconds(10);
};

enum class CallStatus {
  kAnswered,        // an answer came back, whatever its HTTP status
  kNotSent,         // no byte of it left the box
  kRefusedLeaving,  // the service refused before it began: it is leaving
  kRefusedBusy,     // the service refused before it began: no room
  kLost,            // it may have run; no answer came
};

struct CallResult {
  CallStatus status = CallStatus::kLost;
  std::optional<Duration> backoff;  // that a refusing service asks for
  int http_status = 0;
  std::string type;
  std::string body;
};

// `once` asks for a connection of its own, so that a connection closing as
// the call is written cannot be taken for one that was never made.
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
