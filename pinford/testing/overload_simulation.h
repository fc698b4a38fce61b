// Admission under load on a paused clock: one box, a pool of slots with a
// fixed rate, and callers of several tiers and customers.
//
// A request occupies a slot for its tokens divided by the rate of one slot. The
// orders compared are first come first served, pinford's two levels of fair
// queueing, and headroom per tier after Vestrum, Raeesi and Rod, "Extending
// Llumnix's binary priority model to multi-tier SLA scheduling": tier p of K
// may start only while H_q = h_max * M * exp(-lambda q) slots stay free for
// each higher tier q that has work waiting or running.

#ifndef PINFORD_TESTING_OVERLOAD_SIMULATION_H_
#define PINFORD_TESTING_OVERLOAD_SIMULATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "pinford/admission.h"

namespace pinford {

enum class OrderRule { kFirstCome, kFairQueueing, kHeadroom };

struct OverloadOptions {
  OrderRule rule = OrderRule::kFairQueueing;
  int tiers = kTierCount;  // into which the four classes are folded
  double offered = 2;      // fraction of the slots' capacity
  int slots = 64;
  double slot_rate = 20;  // tokens per second
  double h_max = 0.20;
  double lambda = 0.5;
  Duration length = seconds(300);
  uint64_t seed = 1;
};

struct OverloadResult {
  struct Class {
    int offered = 0;
    int served = 0;
    int refused = 0;
    double wait_p50 = 0;  // seconds from arrival to start
    double wait_p95 = 0;
    double refuse_p95 = 0;  // seconds from arrival to the refusal
  };
  std::array<Class, kTierCount> classes;
  double goodput = 0;      // tokens of requests started in time / capacity
  double small_share = 0;  // served fraction of the small customers' tokens
};

OverloadResult SimulateOverload(const OverloadOptions& options);

}  // namespace pinford

#endif  // PINFORD_TESTING_OVERLOAD_SIMULATION_H_
