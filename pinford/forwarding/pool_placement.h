// Which layers an empty runner of a pool should hold.
//
// Chains are picked freely over whatever ranges the runners hold, so ranges
// need not line up; what matters is that every layer is held often enough
// where its requests are. A runner therefore takes the run of layers that has
// the fewest holders, those in its own hall first, since a chain that stays in
// a hall does not wait for the links between halls. The same rule fills an
// empty pool (fast runners first), a runner that came back empty, and one that
// was added.
//
// How many layers a runner takes is a share of its memory: what they leave
// holds the requests. All runners leave the same share, so all stages of a
// chain run out of room at about the same load.

#ifndef PINFORD_FORWARDING_POOL_PLACEMENT_H_
#define PINFORD_FORWARDING_POOL_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "pinford/forwarding/service_configuration.h"
#include "pinford/pipeline.h"

namespace pinford {

// A runner as the planner sees it.
struct PoolRunner {
  std::string name;
  std::string hall;
  std::string kind;
  LayerRange holds;  // what it holds, or was ordered to
};

struct PoolPlacementOptions {
  // Share of a runner's memory that layers may take. With the kinds of the
  // deployments today it gives five copies of 80 layers and room for about 480
  // requests of 900 tokens. More copies leave too little room when some are
  // lost (0.77: worth 0.54 on a day of crashes, 0.68: 0.81), fewer leave too
  // few to choose from (0.60: 0.74).
  double weight_share = 0.68;
};

// Layers that a runner of `kind` takes, 0 if it has no room for one.
int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options);

// The layers for `runner`, which holds none. Nothing if its kind is unknown
// or too small.
std::optional<LayerRange> RangeFor(const EnginePool& pool,
                                   const std::vector<PoolRunner>& runners,
                                   const PoolRunner& runner,
                                   const PoolPlacementOptions& options);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLACEMENT_H_
