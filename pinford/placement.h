// Decides which runner of a hall should hold which layers.
//
// The policy sets how many replicas of a model the hall should have. A hall has
// as many replicas as its least covered layer has holders. Where that is too
// few, one runner at a time is moved to the layers that lack holders: the least
// loaded one whose removal leaves its present layers with as many holders as
// they should have. It may belong to the same model. One move at a time, and a
// cooldown for a runner that was moved, keep weights from being moved back and
// forth as demand fluctuates.

#ifndef PINFORD_PLACEMENT_H_
#define PINFORD_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/pipeline.h"
#include "util/clock.h"

namespace pinford {

// What a runner holds, or should hold.
struct Holding {
  std::string model;
  std::string version;
  LayerRange range;
  friend bool operator==(const Holding&, const Holding&) = default;
};

// The desired holdings of one hall, as stored in the platform's service.
struct PlacementPlan {
  uint64_t token = 0;   // fencing token of the lease under which it was made
  uint64_t number = 0;  // grows with each plan
  std::map<std::string, Holding> holdings;  // by runner
  friend bool operator==(const PlacementPlan&, const PlacementPlan&) = default;
};

std::string WritePlan(const PlacementPlan& plan);
std::optional<PlacementPlan> ParsePlan(std::string_view json);

// A runner as the planner sees it.
struct PlannedRunner {
  std::string name;
  Holding holds;
  int layers = 0;             // of its model
  double load = 0;            // streams
  bool usable = true;         // takes new work
  bool cooling_down = false;  // was moved a short time ago
};

// Replicas of `model` among the runners: the holders of its least covered
// layer.
int ReplicasOf(const std::vector<PlannedRunner>& runners,
               const std::string& model);

// A runner and what it should hold instead of its present holding.
struct Move {
  std::string runner;
  Holding to;
};

// The next move towards `wanted` replicas for each model, if one is due.
std::optional<Move> NextMove(const std::vector<PlannedRunner>& runners,
                             const std::map<std::string, int>& wanted);

}  // namespace pinford

#endif  // PINFORD_PLACEMENT_H_
