#include "pinford/forwarding/pool_placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pinford {

// Smaller differences are rounding errors.
static constexpr double kEpsilon = 1e-9;

int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options) {
  if (pool.layer_mb <= 0) return 0;
  const int n = static_cast<int>(
      std::floor(kind.memory_mb * options.weight_share / pool.layer_mb));
  return std::clamp(n, 0, pool.layers);
}

// The value of a layer's free memory, at most 0: lowest at none, and half as
// far below 0 at kHalfValueMemory of a layer's weights, about what one holder
// leaves at a weight share of 0.68.
static double ValueOf(double memory) {
  constexpr double kHalfValueMemory = 0.4;
  return -1 / (std::max(0.0, memory) + kHalfValueMemory);
}

PoolMemory::PoolMemory(const EnginePool& pool,
                       const PoolPlacementOptions& options,
                       const std::vector<PoolRunner>& runners)
    : pool_(pool), options_(options), total_memory_(pool.layers, 0) {
  for (const PoolRunner& r : runners) Add(r, r.holds);
}

double PoolMemory::FreeMemoryPerLayer(const AcceleratorKind& kind,
                                      int n) const {
  return std::max(0.0, kind.memory_mb / n / pool_.layer_mb - 1);
}

void PoolMemory::Change(const PoolRunner& runner, const LayerRange& range,
                        int sign) {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int end = std::min(range.end, pool_.layers);
  if (kind == nullptr || range.begin >= end || pool_.layer_mb <= 0) return;
  const double memory = sign * FreeMemoryPerLayer(*kind, range.size());
  PerLayer& hall =
      hall_memory_.try_emplace(runner.hall, pool_.layers, 0).first->second;
  for (int l = range.begin; l < end; l++) {
    hall[l] += memory;
    total_memory_[l] += memory;
  }
}

void PoolMemory::Add(const PoolRunner& runner, const LayerRange& range) {
  Change(runner, range, 1);
}

void PoolMemory::Remove(const PoolRunner& runner, const LayerRange& range) {
  Change(runner, range, -1);
}

PoolMemory::PerLayer PoolMemory::GainsOf(const std::string& hall,
                                         double memory) const {
  // Weight of a layer's total free memory relative to that in one hall. With 1
  // and 3 the smallest total of 80 layers over 38 runners was 1.71 and 1.82 of
  // a layer's weights, at the same minimum within each hall; larger weights
  // reduce the latter.
  constexpr double kTotalWeight = 3;
  const auto it = hall_memory_.find(hall);
  PerLayer gains(pool_.layers);
  for (int l = 0; l < pool_.layers; l++) {
    const double in_hall = it == hall_memory_.end() ? 0 : it->second[l];
    const double total = total_memory_[l];
    gains[l] = ValueOf(in_hall + memory) - ValueOf(in_hall) +
               kTotalWeight * (ValueOf(total + memory) - ValueOf(total));
  }
  return gains;
}

double PoolMemory::GainOf(const PoolRunner& runner,
                          const LayerRange& range) const {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int end = std::min(range.end, pool_.layers);
  if (kind == nullptr || range.begin >= end) return 0;
  const PerLayer gains =
      GainsOf(runner.hall, FreeMemoryPerLayer(*kind, range.size()));
  return std::accumulate(gains.begin() + range.begin, gains.begin() + end, 0.0);
}

std::optional<PoolMemory::Fit> PoolMemory::BestFor(
    const PoolRunner& runner) const {
  return BestContaining(runner, {});
}

std::optional<PoolMemory::Fit> PoolMemory::BestContaining(
    const PoolRunner& runner, const LayerRange& keep) const {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int n = kind != nullptr ? LayersOfKind(pool_, *kind, options_) : 0;
  if (n == 0) return std::nullopt;
  const int first = keep.empty() ? 0 : std::max(0, keep.end - n);
  const int last =
      keep.empty() ? pool_.layers - n : std::min(keep.begin, pool_.layers - n);
  if (first > last) return std::nullopt;
  const PerLayer gains = GainsOf(runner.hall, FreeMemoryPerLayer(*kind, n));
  double gain =
      std::accumulate(gains.begin() + first, gains.begin() + first + n, 0.0);
  Fit best{{first, first + n}, gain};
  // Slides the range by one layer at a time.
  for (int b = first + 1; b <= last; b++) {
    gain += gains[b + n - 1] - gains[b - 1];
    if (gain > best.gain + kEpsilon) best = {{b, b + n}, gain};
  }
  return best;
}

double PoolMemory::MinFreeMemory() const {
  if (total_memory_.empty()) return 0;
  return *std::min_element(total_memory_.begin(), total_memory_.end());
}

static double StepFactorOf(const EnginePool& pool, const PoolRunner& r) {
  const AcceleratorKind* kind = pool.Kind(r.kind);
  return kind != nullptr ? kind->step_factor : 0;
}

// Looks for a better range for each placed runner. False if there is none.
static bool Improve(const std::vector<const PoolRunner*>& underfilled,
                    PoolMemory* memory,
                    std::map<std::string, LayerRange>* placed) {
  bool improved = false;
  for (const PoolRunner* r : underfilled) {
    const auto it = placed->find(r->name);
    if (it == placed->end()) continue;
    memory->Remove(*r, it->second);
    const double gain = memory->GainOf(*r, it->second);
    const std::optional<PoolMemory::Fit> fit =
        memory->BestContaining(*r, r->holds);
    if (fit && fit->gain > gain + kEpsilon) {
      it->second = fit->range;
      improved = true;
    }
    memory->Add(*r, it->second);
  }
  return improved;
}

// Whether a runner holds fewer layers than it could.
static bool IsUnderfilled(const EnginePool& pool, const PoolRunner& r,
                          const PoolPlacementOptions& options) {
  const AcceleratorKind* kind = pool.Kind(r.kind);
  return kind != nullptr && r.holds.size() < LayersOfKind(pool, *kind, options);
}

std::map<std::string, LayerRange> PlaceUnderfilledRunners(
    const EnginePool& pool, const std::vector<PoolRunner>& runners,
    const PoolPlacementOptions& options) {
  std::vector<const PoolRunner*> underfilled;
  for (const PoolRunner& r : runners) {
    if (IsUnderfilled(pool, r, options)) underfilled.push_back(&r);
  }
  if (underfilled.empty()) return {};
  PoolMemory memory(pool, options, runners);
  for (const PoolRunner* r : underfilled) memory.Remove(*r, r->holds);
  // Fast runners first: they get the first range of layers in their hall.
  std::stable_sort(underfilled.begin(), underfilled.end(),
                   [&pool](const PoolRunner* a, const PoolRunner* b) {
                     return StepFactorOf(pool, *a) < StepFactorOf(pool, *b);
                   });
  std::map<std::string, LayerRange> placed;
  for (const PoolRunner* r : underfilled) {
    const std::optional<PoolMemory::Fit> fit =
        memory.BestContaining(*r, r->holds);
    if (!fit) {
      memory.Add(*r, r->holds);
      continue;
    }
    placed[r->name] = fit->range;
    memory.Add(*r, fit->range);
  }
  // Each round increases the value, so this terminates; more rounds are rarely
  // worth their time.
  constexpr int kMaxRounds = 8;
  for (int i = 0; i < kMaxRounds; i++) {
    if (!Improve(underfilled, &memory, &placed)) break;
  }
  return placed;
}

std::optional<PoolMove> BestMove(const EnginePool& pool,
                                 const std::vector<PoolRunner>& runners,
                                 const std::vector<size_t>& movable,
                                 double min_gain,
                                 const PoolPlacementOptions& options) {
  PoolMemory memory(pool, options, runners);
  std::optional<PoolMove> best;
  for (const size_t i : movable) {
    const PoolRunner& r = runners[i];
    memory.Remove(r, r.holds);
    const double held = memory.GainOf(r, r.holds);
    const std::optional<PoolMemory::Fit> fit = memory.BestFor(r);
    memory.Add(r, r.holds);
    if (!fit) continue;
    const double gain = fit->gain - held;
    if (gain < min_gain || (best && gain <= best->gain + kEpsilon)) continue;
    best = PoolMove{r.name, fit->range, gain};
  }
  return best;
}

static bool Overlaps(const LayerRange& range,
                     const std::vector<LayerRange>& ranges) {
  return std::any_of(ranges.begin(), ranges.end(), [&](const LayerRange& r) {
    return range.begin < r.end && r.begin < range.end;
  });
}

std::vector<PoolMove> BestMoves(const EnginePool& pool,
                                std::vector<PoolRunner> runners,
                                std::vector<size_t> movable,
                                std::vector<LayerRange> moving, int max_moves,
                                double min_gain,
                                const PoolPlacementOptions& options) {
  std::vector<PoolMove> moves;
  while (static_cast<int>(moves.size()) < max_moves) {
    std::erase_if(movable,
                  [&](size_t i) { return Overlaps(runners[i].holds, moving); });
    const std::optional<PoolMove> move =
        BestMove(pool, runners, movable, min_gain, options);
    if (!move) break;
    const auto it = std::find_if(
        runners.begin(), runners.end(),
        [&](const PoolRunner& r) { return r.name == move->runner; });
    // The layers that it gives up are blocked too, so that they are not given
    // up twice.
    const bool disjoint = !Overlaps(move->range, moving);
    moving.push_back(it->holds);
    if (!disjoint) continue;
    moving.push_back(move->range);
    it->holds = move->range;
    moves.push_back(*move);
  }
  return moves;
}

}  // namespace pinford
