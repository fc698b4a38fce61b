// Decides which layers the runners of a pool should hold.
//
// A request uses memory at every layer that it passes for as long as it runs,
// so the capacity of a pool is bounded by the layer with the least free memory.
// A layer's free memory is what its holders have left beside their weights,
// spread over the layers that they hold. Chains are picked freely over the
// ranges that runners hold, so ranges need not line up.
//
// PoolMemory sums up each layer's free memory, per hall and in total, and finds
// the range for one runner that increases the sum of a concave function of it
// most: the last free memory of a layer is worth more than all the rest. Free
// memory within a hall counts beside the total, because a chain that stays in a
// hall does not wait for the links between halls. The same rule fills an empty
// pool, fills a runner that restarted empty or was added, and finds the runner
// that should hold other layers after runners were lost.
//
// The layers of a runner take a fixed share of its memory; the rest is for
// requests. All runners leave the same share, so all stages of a chain run out
// of memory at about the same load.

#ifndef PINFORD_FORWARDING_POOL_PLACEMENT_H_
#define PINFORD_FORWARDING_POOL_PLACEMENT_H_

#include <map>
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
  LayerRange holds;  // current or planned
};

struct PoolPlacementOptions {
  // Share of a runner's memory for layers. With the accelerator kinds of
  // current deployments it gives four to five copies of 80 layers. More copies
  // leave too little free memory when some are lost, fewer leave too little
  // choice.
  double weight_share = 0.68;
};

// Layers held by a runner of `kind`; 0 if its memory is too small for one.
int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options);

// Free memory of a pool's layers, in units of one layer's weights. A runner of
// unknown kind contributes none.
class PoolMemory {
 public:
  // `pool` must outlive it.
  PoolMemory(const EnginePool& pool, const PoolPlacementOptions& options,
             const std::vector<PoolRunner>& runners);

  // Adds, or removes, the contribution of `runner` holding `range`.
  void Add(const PoolRunner& runner, const LayerRange& range);
  void Remove(const PoolRunner& runner, const LayerRange& range);

  struct Fit {
    LayerRange range;
    double gain = 0;  // in value, compared with the runner holding nothing
  };
  // The best range for `runner`, which must not be counted yet. nullopt if its
  // kind is unknown or too small.
  std::optional<Fit> BestFor(const PoolRunner& runner) const;
  // Like BestFor, among the ranges that contain `keep`.
  std::optional<Fit> BestContaining(const PoolRunner& runner,
                                    const LayerRange& keep) const;
  // The gain of `runner` holding `range`. It must not be counted yet.
  double GainOf(const PoolRunner& runner, const LayerRange& range) const;

  // The smallest total free memory of a layer.
  double MinFreeMemory() const;

 private:
  using PerLayer = std::vector<double>;

  void Change(const PoolRunner& runner, const LayerRange& range, int sign);
  // The gain at each layer of the hall from adding `memory`.
  PerLayer GainsOf(const std::string& hall, double memory) const;
  // Free memory of a runner of `kind` for each of its `n` layers.
  double FreeMemoryPerLayer(const AcceleratorKind& kind, int n) const;

  const EnginePool& pool_;
  PoolPlacementOptions options_;
  std::map<std::string, PerLayer> hall_memory_;
  PerLayer total_memory_;
};

// Ranges for those of `runners` that hold fewer layers than they can. A range
// contains the layers that the runner holds. Fast runners are placed first;
// then each range is improved given the others, until nothing is gained.
// Runners that cannot hold a layer are left out.
std::map<std::string, LayerRange> PlaceUnderfilledRunners(
    const EnginePool& pool, const std::vector<PoolRunner>& runners,
    const PoolPlacementOptions& options);

// A change of the layers that a runner holds.
struct PoolMove {
  std::string runner;
  LayerRange range;
  double gain = 0;
};

// The move with the highest gain among `movable` (indices of `runners`).
// nullopt if none gains `min_gain`.
std::optional<PoolMove> BestMove(const EnginePool& pool,
                                 const std::vector<PoolRunner>& runners,
                                 const std::vector<size_t>& movable,
                                 double min_gain,
                                 const PoolPlacementOptions& options);

// Up to `max_moves` such moves, highest gain first. Their layers overlap
// neither each other nor `moving`. Each is chosen as if those before it were
// done.
std::vector<PoolMove> BestMoves(const EnginePool& pool,
                                std::vector<PoolRunner> runners,
                                std::vector<size_t> movable,
                                std::vector<LayerRange> moving, int max_moves,
                                double min_gain,
                                const PoolPlacementOptions& options);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLACEMENT_H_
