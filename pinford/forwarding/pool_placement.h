// Which layers the runners of a pool should hold.
//
// A request takes memory at each layer that it passes, for as long as it runs,
// so what a pool can carry is bounded by its shortest layer. What a layer has
// is the memory that its holders leave beside their weights, spread over the
// layers that they hold: its room. Chains are picked freely over whatever
// ranges the runners hold, so ranges need not line up.
//
// PoolMemory counts each layer's room, in each hall and in all of them, and
// finds the range for one runner that raises the sum of a concave value of it
// most: the last room of a layer is worth more than all the rest. A layer's
// room in a hall counts beside that in all of them, since a chain that stays in
// a hall does not wait for the links between halls. The same rule fills an
// empty pool, a runner that came back empty or was added, and finds which
// runner should hold something else after others were lost.
//
// How many layers a runner takes is a share of its memory: what they leave
// holds the requests. All runners leave the same share, so all stages of a
// chain run out of room at about the same load.

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
  LayerRange holds;  // what it holds, or is to hold
};

struct PoolPlacementOptions {
  // Share of a runner's memory that layers may take. With the kinds of the
  // deployments today it gives four to five copies of 80 layers. More copies
  // leave too little room when some are lost, fewer leave too few to choose
  // from (docs/DECISIONS.md has the figures for 0.50 to 0.84).
  double weight_share = 0.68;
};

// Layers that a runner of `kind` takes, 0 if it has no room for one.
int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options);

// The room of a pool's layers. A runner whose kind is unknown has none.
class PoolMemory {
 public:
  // `pool` must outlive it.
  PoolMemory(const EnginePool& pool, const PoolPlacementOptions& options,
             const std::vector<PoolRunner>& runners);

  // Counts `range` of `runner` in, or out again.
  void Add(const PoolRunner& runner, const LayerRange& range);
  void Remove(const PoolRunner& runner, const LayerRange& range);

  struct Fit {
    LayerRange range;
    double gain = 0;  // of the value, over the runner holding nothing
  };
  // The best range for `runner`, which must not be counted in. Nothing if its
  // kind is unknown or too small.
  std::optional<Fit> BestFor(const PoolRunner& runner) const;
  // The same of the ranges that contain `keep`.
  std::optional<Fit> BestAround(const PoolRunner& runner,
                                const LayerRange& keep) const;
  // What `range` of `runner`, which must not be counted in, is worth there.
  double GainOf(const PoolRunner& runner, const LayerRange& range) const;

  // The least room of a layer over all halls, in weights of a layer.
  double MinFreeMemory() const;

 private:
  using Layers = std::vector<double>;  // room, in weights of a layer

  void Change(const PoolRunner& runner, const LayerRange& range, int sign);
  // What `room` more is worth at each layer of the hall.
  Layers GainsOf(const std::string& hall, double room) const;
  // What a runner of `kind` leaves for each of `n` layers.
  double RoomFor(const AcceleratorKind& kind, int n) const;

  const EnginePool& pool_;
  PoolPlacementOptions options_;
  std::map<std::string, Layers> in_hall_;
  Layers in_all_;
};

// Ranges for those of `runners` that hold less than they can: around what they
// hold, fast ones first, then each once more beside the others until nothing is
// gained. Runners that cannot hold a layer are left out.
std::map<std::string, LayerRange> PlaceUnderfilledRunners(
    const EnginePool& pool, const std::vector<PoolRunner>& runners,
    const PoolPlacementOptions& options);

// A runner that should hold something else.
struct PoolMove {
  std::string runner;
  LayerRange range;
  double gain = 0;
};

// The move of one of `movable` (by their place in `runners`) that gains most.
// Nothing if none gains `least_gain`.
std::optional<PoolMove> BestMove(const EnginePool& pool,
                                 const std::vector<PoolRunner>& runners,
                                 const std::vector<size_t>& movable,
                                 double least_gain,
                                 const PoolPlacementOptions& options);

// Up to `most` such moves, the greatest gain first, that touch none of the
// layers of each other nor of `moving`: each is judged as if those before it
// were done.
std::vector<PoolMove> BestMoves(const EnginePool& pool,
                                std::vector<PoolRunner> runners,
                                std::vector<size_t> movable,
                                std::vector<LayerRange> moving, int most,
                                double least_gain,
                                const PoolPlacementOptions& options);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLACEMENT_H_
