#include "pinford/runner_cost.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pinford {

double SpeedWeight(double gap_share) {
  // Without any weight chains became longer: 2,207 late answers of 41,898,
  // against 1,680 with the square root.
  constexpr double kMinWeight = 0.5;
  // With a time between events above this fraction of the allowed pause, slower
  // chains are late. Found by comparison (SpeedWeight), not derived.
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
  // Prompts queue long before all of the runner's time goes to them.
  constexpr double kMinIdle = 0.05;
  const double idle = std::pow(load.idle_layer_seconds, speed_weight) *
                      std::pow(mean_idle, 1 - speed_weight);
  const double free_time = std::max(kMinIdle, 1 - load.prefill_load);
  const double free_memory = std::max(kMinFree, 1 - load.memory_used);
  // The slowdown is squared because a slow runner also delays all work queued
  // behind it.
  const double queue = QueueFactor(load.queue_seconds);
  return idle * load.slowdown * load.slowdown * queue /
         (free_time * free_memory);
}

double FirstStageSlotCost(double entries, int slots) {
  // Of 192 slots this leaves 15 for what peers start in the second before they
  // report it.
  constexpr double kMaxUtilization = 0.92;
  // With half of the slots in use, as much as a handoff between halls costs.
  constexpr double kHalfFullSeconds = 0.001;
  const double utilization = entries / std::max(1, slots);
  if (utilization >= kMaxUtilization)
    return std::numeric_limits<double>::infinity();
  return kHalfFullSeconds * utilization / (1 - utilization);
}

}  // namespace pinford
