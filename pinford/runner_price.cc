#include "pinford/runner_price.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pinford {

double SpeedWeight(double gap_share) {
  // With no weight at all chains grew longer: 2,207 late answers of 41,898 for
  // 1,680 with the square root.
  constexpr double kMinWeight = 0.5;
  // Events that take so much of the allowed pause leave too little room for
  // slower chains. Found by comparison (SpeedWeight), not derived.
  constexpr double kFullWeightShare = 0.25;
  return std::clamp(gap_share / kFullWeightShare, kMinWeight, 1.0);
}

double QueueFactor(double queue_seconds) {
  // A fifth of the half second that callers allow until a first event.
  constexpr double kTolerableWait = 0.1;
  return 1 + queue_seconds / kTolerableWait;
}

double LayerCost(const RunnerLoad& load, double mean_idle,
                 double speed_weight) {
  constexpr double kMinFree = 0.02;
  // Prompts wait for each other long before all time goes to them.
  constexpr double kMinIdle = 0.05;
  const double idle = std::pow(load.idle_layer_seconds, speed_weight) *
                      std::pow(mean_idle, 1 - speed_weight);
  const double free_time = std::max(kMinIdle, 1 - load.prefill_load);
  const double free_memory = std::max(kMinFree, 1 - load.memory_used);
  // Squared: a slow one holds up all that waits behind it, too.
  const double queue = QueueFactor(load.queue_seconds);
  return idle * load.pace * load.pace * queue / (free_time * free_memory);
}

double FirstStageSlotCost(double entries, int slots) {
  // Of 192 slots this leaves 15 for what peers begin in the second until they
  // tell it.
  constexpr double kMaxUtilization = 0.92;
  // At half of the slots as much as a hand-over between halls costs.
  constexpr double kHalfFullSeconds = 0.001;
  const double utilization = entries / std::max(1, slots);
  if (utilization >= kMaxUtilization)
    return std::numeric_limits<double>::infinity();
  return kHalfFullSeconds * utilization / (1 - utilization);
}

}  // namespace pinford
