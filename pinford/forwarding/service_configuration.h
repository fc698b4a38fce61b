// The operator's configuration of a deployment: which requests go to which
// service, which keys belong to which customer, and limits for callers.
//
// It is one document, replaced as a whole by one of a higher version. This is
// pinford's own representation; the format in the operator's store is decoded
// into it at the edge.

#ifndef PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_
#define PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"

namespace pinford {

// How a request may be handled when it is unknown whether it ran.
enum class RequestKind {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // runs at most once
  kStream,      // answered by a stream of events
};

std::string_view RequestKindName(RequestKind k);

struct ServiceShare {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; begins and ends with '/'
  RequestKind kind = RequestKind::kAtMostOnce;
  bool resumable = false;  // a stream may be resumed after its last event
  bool anonymous = false;  // requires no key
  Duration timeout = seconds(30);        // upper bound for the whole request
  Duration target_latency = seconds(1);  // to the response or first event
  Duration target_gap = seconds(1);      // between two events
  int priority = 5;                      // 0 is the most urgent
  int max_attempts = 1;  // endpoints to which one request may be sent
  std::vector<ServiceShare> services;

  // Whether a request may be sent again after it may have run.
  bool may_repeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

// A kind of accelerator in a pool of runners.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;     // time of a decode step; 1 is the reference
  double prefill_factor = 1;  // time to prefill a prompt; 1 is the reference
};

// A pool of runners that share one model.
struct EnginePool {
  std::string model;
  int layers = 1;
  double layer_mb = 0;
  double token_bytes = 0;  // memory that a token occupies in all layers
  double transfer_seconds_per_token = 0;  // links between halls
  double step_seconds = 0;   // per token, all layers, reference accelerator
  double prefill_per_s = 0;  // prompt tokens, all layers, reference accelerator
  // One engine pass runs up to this many decode steps of the streams in
  // progress, and prefills up to this many prompt tokens.
  int steps_per_pass = 1;
  int prefill_tokens_per_pass = 1;
  double load_seconds = 0;   // time to load all layers
  int concurrent_loads = 1;  // further concurrent loads slow each other down
  int mean_prompt_tokens = 0;
  int mean_answer_tokens = 0;
  std::vector<AcceleratorKind> kinds;

  const AcceleratorKind* Kind(std::string_view name) const;
};

struct ServiceSpec {
  std::string name;
  int max_connections = 0;           // accepted by one endpoint, from all boxes
  std::optional<EnginePool> engine;  // set if a pool of runners serves it
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's
};

struct CallerLimits {
  size_t head_bytes = 16 << 10;
  size_t body_bytes = 4 << 20;
  Duration head_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct ServiceConfiguration {
  uint64_t version = 0;  // 0: none is known
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  // If not set, no request needs a key.
  std::optional<std::vector<Customer>> customers;
  CallerLimits limits;

  const ServiceSpec* Service(std::string_view name) const;
  // Whether any route sends requests to `service`.
  bool RoutesTo(std::string_view service) const;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_
