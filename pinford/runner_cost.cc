#include "pinford/runner_cost.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pinford {

double SpeedWeight(double gap_share) {
  // With no weight at all chains grew longer: 2,207 late answers of 41,898 for
  // 1,680 with the square root.
  constexpr double kLeast = 0.5;
  // Events that take so much of the allowed pause leave too little room for
  // slower chains. Found by comparison (SpeedWeight), not derived.
  constexpr double kFullAt = 0.25;
  return std::clamp(gap_share / kFullAt, kLeast, 1.0);
}

double QueueFactor(double waiting_seconds) {
  // A fifth of the half second that callers allow until a first event.
  constexpr double kTolerable = 0.1;
  return 1 + waiting_seconds / kTolerable;
}

double LayerPrice(const RunnerLoad& load, double mean_idle,
                  double speed_weight) {
  constexpr double kLeastFree = 0.02;
  // Prompts wait for each other long before all time goes to them.
  constexpr double kLeastIdle = 0.05;
  const double idle = std::pow(load.idle_seconds, speed_weight) *
                      std::pow(mean_idle, 1 - speed_weight);
  const double waits = std::max(kLeastIdle, 1 - load.reading);
  const double free = std::max(kLeastFree, 1 - load.taken);
  // Squared: a slow one holds up all that waits behind it, too.
  const double queue = QueueFactor(load.waiting);
  return idle * load.slowdown * load.slowdown * queue / (waits * free);
}

double EntrySlotPrice(double entries, int slots) {
  // Of 192 slots this leaves 15 for what peers begin in the second until they
  // tell it.
  constexpr double kMostTaken = 0.92;
  // At half of the slots as much as a hand-over between halls costs.
  constexpr double kSeconds = 0.001;
  const double taken = entries / std::max(1, slots);
  if (taken >= kMostTaken) return std::numeric_limits<double>::infinity();
  return kSeconds * taken / (1 - taken);
}

}  // namespace pinford
