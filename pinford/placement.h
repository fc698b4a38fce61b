// Which runner of a hall should hold which layers.
//
// The policy says how many replicas of a model the hall should have. A hall
// has as many replicas as the least covered layer has holders. Where that is
// too few, one runner at a time is moved: the one whose going leaves the layers
// that it holds with as many holders as they should have, least loaded first,
// to the layers that lack holders. It may come from the same model. One move at
// a time, and a rest for a runner that was moved, keep weights from travelling
// to and fro as demand wavers.

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

// What a runner holds, or should.
struct Holding {
  std::string model;
  std::string version;
  LayerRange range;
  friend bool operator==(const Holding&, const Holding&) = default;
};

// The desired holdings of one hall, as kept in the platform's service.
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

// Replicas of `model` among the runners: holders of its least covered layer.
int ReplicasOf(const std::vector<PlannedRunner>& runners,
               const std::string& model);

// A runner and what it should hold instead of what it holds.
struct Move {
  std::string runner;
  Holding to;
};

// The next move towards `wanted` replicas a model, if one is due.
std::optional<Move> NextMove(const std::vector<PlannedRunner>& runners,
                             const std::map<std::string, int>& wanted);

}  // namespace pinford

#endif  // PINFORD_PLACEMENT_H_
