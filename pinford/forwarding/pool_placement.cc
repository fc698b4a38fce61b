#include "pinford/forwarding/pool_placement.h"

#include <algorithm>
#include <cmath>

namespace pinford {

int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options) {
  if (pool.layer_mb <= 0) return 0;
  const int n = static_cast<int>(
      std::floor(kind.memory_mb * options.weight_share / pool.layer_mb));
  return std::clamp(n, 0, pool.layers);
}

// What one more holder of a layer is worth: much for the first in the hall,
// less for each that is there, and a little for holders elsewhere.
static double WorthOf(double in_hall, double in_all) {
  constexpr double kElsewhere = 0.05;
  return std::pow(4.0, -in_hall) + kElsewhere * std::pow(2.0, -in_all);
}

std::optional<LayerRange> RangeFor(const EnginePool& pool,
                                   const std::vector<PoolRunner>& runners,
                                   const PoolRunner& runner,
                                   const PoolPlacementOptions& options) {
  const AcceleratorKind* kind = pool.Kind(runner.kind);
  const int size = kind != nullptr ? LayersOfKind(pool, *kind, options) : 0;
  if (size == 0) return std::nullopt;
  std::vector<double> in_hall(pool.layers, 0);
  std::vector<double> in_all(pool.layers, 0);
  for (const PoolRunner& r : runners) {
    if (r.name == runner.name) continue;
    const int end = std::min(r.holds.end, pool.layers);
    for (int l = r.holds.begin; l < end; l++) {
      in_all[l] += 1;
      if (r.hall == runner.hall) in_hall[l] += 1;
    }
  }
  double worth = 0;
  for (int l = 0; l < size; l++) worth += WorthOf(in_hall[l], in_all[l]);
  double best = worth;
  int begin = 0;
  // Slides the run by one layer at a time.
  constexpr double kBetter = 1e-9;
  for (int b = 1; b + size <= pool.layers; b++) {
    worth -= WorthOf(in_hall[b - 1], in_all[b - 1]);
    worth += WorthOf(in_hall[b + size - 1], in_all[b + size - 1]);
    if (worth > best + kBetter) {
      best = worth;
      begin = b;
    }
  }
  return LayerRange{begin, begin + size};
}

}  // namespace pinford
