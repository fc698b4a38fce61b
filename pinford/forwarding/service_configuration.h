// What the operator of a deployment has configured: which request goes to
// which service, whose key is whose, and what callers may send.
//
// It is one document, replaced whole by one of a higher version. This is the
// product's own form of it; whatever an operator's store holds is decoded into
// it at the edge.

#ifndef PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_
#define PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"

namespace pinford {

// What may be done with a request whose fate is unknown.
enum class RequestKind {
  kIdempotent,  // may run more than once
  kAtMostOnce,  // runs at most once
  kStream,      // answered by a series of events
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
  bool resumable = false;  // a stream may be taken up after its last event
  bool anonymous = false;  // needs no key
  Duration timeout = seconds(30);        // a request is held no longer
  Duration target_latency = seconds(1);  // of an answer, or a first event
  Duration target_gap = seconds(1);      // between two events
  int priority = 5;                      // 0 is the most urgent
  int max_attempts = 1;  // endpoints that one request may be sent to
  std::vector<ServiceShare> services;

  // Whether a request that may have run may be sent again.
  bool may_repeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

// A kind of accelerator that a pool of runners has.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;     // of the time for a step, 1 is the reference
  double prefill_factor = 1;  // of the time to read a prompt
};

// A pool of runners that share one model.
struct EnginePool {
  std::string model;
  int layers = 1;
  double layer_mb = 0;
  double token_bytes = 0;  // memory that one token takes in all layers
  double transfer_seconds_per_token = 0;  // one token, the links between halls
  double step_seconds = 0;   // one token, all layers, the reference kind
  double prefill_per_s = 0;  // prompt tokens, all layers, the reference kind
  // A pass of an engine plays so many steps of the streams that it has begun,
  // and reads at most so many tokens of prompts.
  int steps_per_pass = 1;
  int prefill_tokens_per_pass = 1;
  double load_seconds = 0;     // to load all layers
  int concurrent_loads = 1;    // more at a time slow each other down
  int mean_prompt_tokens = 0;  // tokens, on the mean
  int mean_answer_tokens = 0;
  std::vector<AcceleratorKind> kinds;

  const AcceleratorKind* Kind(std::string_view name) const;
};

struct ServiceSpec {
  std::string name;
  int max_connections = 0;  // that one endpoint accepts, from all boxes
  std::optional<EnginePool> engine;  // of a pool of runners
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before the route's
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
  // Nothing: no request needs a key.
  std::optional<std::vector<Customer>> customers;
  CallerLimits limits;

  const ServiceSpec* Service(std::string_view name) const;
  // Whether some route sends requests to it.
  bool RoutesTo(std::string_view service) const;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_SERVICE_CONFIGURATION_H_
