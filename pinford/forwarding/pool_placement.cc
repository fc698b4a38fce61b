#include "pinford/forwarding/pool_placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pinford {

// Gains that differ by less are rounding.
static constexpr double kBetter = 1e-9;

int LayersOfKind(const EnginePool& pool, const AcceleratorKind& kind,
                 const PoolPlacementOptions& options) {
  if (pool.layer_mb <= 0) return 0;
  const int n = static_cast<int>(
      std::floor(kind.memory_mb * options.weight_share / pool.layer_mb));
  return std::clamp(n, 0, pool.layers);
}

// What a layer's room is worth: the least without any, half of that missing
// with kHalf of a layer's weights, about what one holder of a share of 0.68
// leaves.
static double ValueOf(double room) {
  constexpr double kHalf = 0.4;
  return -1 / (std::max(0.0, room) + kHalf);
}

PoolMemory::PoolMemory(const EnginePool& pool,
                       const PoolPlacementOptions& options,
                       const std::vector<PoolRunner>& runners)
    : pool_(pool), options_(options), in_all_(pool.layers, 0) {
  for (const PoolRunner& r : runners) Add(r, r.holds);
}

double PoolMemory::RoomFor(const AcceleratorKind& kind, int n) const {
  return std::max(0.0, kind.memory_mb / n / pool_.layer_mb - 1);
}

void PoolMemory::Change(const PoolRunner& runner, const LayerRange& range,
                        int sign) {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int end = std::min(range.end, pool_.layers);
  if (kind == nullptr || range.begin >= end || pool_.layer_mb <= 0) return;
  const double room = sign * RoomFor(*kind, range.size());
  Layers& hall =
      in_hall_.try_emplace(runner.hall, pool_.layers, 0).first->second;
  for (int l = range.begin; l < end; l++) {
    hall[l] += room;
    in_all_[l] += room;
  }
}

void PoolMemory::Add(const PoolRunner& runner, const LayerRange& range) {
  Change(runner, range, 1);
}

void PoolMemory::Remove(const PoolRunner& runner, const LayerRange& range) {
  Change(runner, range, -1);
}

PoolMemory::Layers PoolMemory::GainsOf(const std::string& hall,
                                       double room) const {
  // A layer's room in all halls against that in one of them. With 1 and 3 the
  // shortest of 80 layers over 38 runners had 1.71 and 1.82 of a layer's
  // weights, at the same room in each hall; more gives way in the halls.
  constexpr double kAll = 3;
  const auto it = in_hall_.find(hall);
  Layers gains(pool_.layers);
  for (int l = 0; l < pool_.layers; l++) {
    const double here = it == in_hall_.end() ? 0 : it->second[l];
    const double all = in_all_[l];
    gains[l] = ValueOf(here + room) - ValueOf(here) +
               kAll * (ValueOf(all + room) - ValueOf(all));
  }
  return gains;
}

double PoolMemory::GainOf(const PoolRunner& runner,
                          const LayerRange& range) const {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int end = std::min(range.end, pool_.layers);
  if (kind == nullptr || range.begin >= end) return 0;
  const Layers gains = GainsOf(runner.hall, RoomFor(*kind, range.size()));
  return std::accumulate(gains.begin() + range.begin, gains.begin() + end, 0.0);
}

std::optional<PoolMemory::Fit> PoolMemory::BestFor(
    const PoolRunner& runner) const {
  return BestAround(runner, {});
}

std::optional<PoolMemory::Fit> PoolMemory::BestAround(
    const PoolRunner& runner, const LayerRange& keep) const {
  const AcceleratorKind* kind = pool_.Kind(runner.kind);
  const int n = kind != nullptr ? LayersOfKind(pool_, *kind, options_) : 0;
  if (n == 0) return std::nullopt;
  const int first = keep.empty() ? 0 : std::max(0, keep.end - n);
  const int last =
      keep.empty() ? pool_.layers - n : std::min(keep.begin, pool_.layers - n);
  if (first > last) return std::nullopt;
  const Layers gains = GainsOf(runner.hall, RoomFor(*kind, n));
  double gain =
      std::accumulate(gains.begin() + first, gains.begin() + first + n, 0.0);
  Fit best{{first, first + n}, gain};
  // Slides the range by one layer at a time.
  for (int b = first + 1; b <= last; b++) {
    gain += gains[b + n - 1] - gains[b - 1];
    if (gain > best.gain + kBetter) best = {{b, b + n}, gain};
  }
  return best;
}

double PoolMemory::MinFreeMemory() const {
  if (in_all_.empty()) return 0;
  return *std::min_element(in_all_.begin(), in_all_.end());
}

static double FactorOf(const EnginePool& pool, const PoolRunner& r) {
  const AcceleratorKind* kind = pool.Kind(r.kind);
  return kind != nullptr ? kind->step_factor : 0;
}

// Looks for a better range for each of the placed. False if there is none.
static bool Improve(const std::vector<const PoolRunner*>& open,
                    PoolMemory* room,
                    std::map<std::string, LayerRange>* placed) {
  bool better = false;
  for (const PoolRunner* r : open) {
    const auto it = placed->find(r->name);
    if (it == placed->end()) continue;
    room->Remove(*r, it->second);
    const double gain = room->GainOf(*r, it->second);
    const std::optional<PoolMemory::Fit> fit = room->BestAround(*r, r->holds);
    if (fit && fit->gain > gain + kBetter) {
      it->second = fit->range;
      better = true;
    }
    room->Add(*r, it->second);
  }
  return better;
}

// Whether a runner holds less than it could.
static bool HasRest(const EnginePool& pool, const PoolRunner& r,
                    const PoolPlacementOptions& options) {
  const AcceleratorKind* kind = pool.Kind(r.kind);
  return kind != nullptr && r.holds.size() < LayersOfKind(pool, *kind, options);
}

std::map<std::string, LayerRange> PlaceUnderfilledRunners(
    const EnginePool& pool, const std::vector<PoolRunner>& runners,
    const PoolPlacementOptions& options) {
  std::vector<const PoolRunner*> open;
  for (const PoolRunner& r : runners) {
    if (HasRest(pool, r, options)) open.push_back(&r);
  }
  if (open.empty()) return {};
  PoolMemory room(pool, options, runners);
  for (const PoolRunner* r : open) room.Remove(*r, r->holds);
  // Fast runners first: they get the first run of layers of their hall.
  std::stable_sort(open.begin(), open.end(),
                   [&pool](const PoolRunner* a, const PoolRunner* b) {
                     return FactorOf(pool, *a) < FactorOf(pool, *b);
                   });
  std::map<std::string, LayerRange> placed;
  for (const PoolRunner* r : open) {
    const std::optional<PoolMemory::Fit> fit = room.BestAround(*r, r->holds);
    if (!fit) {
      room.Add(*r, r->holds);
      continue;
    }
    placed[r->name] = fit->range;
    room.Add(*r, fit->range);
  }
  // Each round raises the value, so it ends; few are worth their time.
  constexpr int kMostRounds = 8;
  for (int i = 0; i < kMostRounds; i++) {
    if (!Improve(open, &room, &placed)) break;
  }
  return placed;
}

std::optional<PoolMove> BestMove(const EnginePool& pool,
                                 const std::vector<PoolRunner>& runners,
                                 const std::vector<size_t>& movable,
                                 double least_gain,
                                 const PoolPlacementOptions& options) {
  PoolMemory room(pool, options, runners);
  std::optional<PoolMove> best;
  for (const size_t i : movable) {
    const PoolRunner& r = runners[i];
    room.Remove(r, r.holds);
    const double held = room.GainOf(r, r.holds);
    const std::optional<PoolMemory::Fit> fit = room.BestFor(r);
    room.Add(r, r.holds);
    if (!fit) continue;
    const double gain = fit->gain - held;
    if (gain < least_gain || (best && gain <= best->gain + kBetter)) continue;
    best = PoolMove{r.name, fit->range, gain};
  }
  return best;
}

static bool Touches(const LayerRange& range,
                    const std::vector<LayerRange>& ranges) {
  return std::any_of(ranges.begin(), ranges.end(), [&](const LayerRange& r) {
    return range.begin < r.end && r.begin < range.end;
  });
}

std::vector<PoolMove> BestMoves(const EnginePool& pool,
                                std::vector<PoolRunner> runners,
                                std::vector<size_t> movable,
                                std::vector<LayerRange> moving, int most,
                                double least_gain,
                                const PoolPlacementOptions& options) {
  std::vector<PoolMove> moves;
  while (static_cast<int>(moves.size()) < most) {
    std::erase_if(movable,
                  [&](size_t i) { return Touches(runners[i].holds, moving); });
    const std::optional<PoolMove> move =
        BestMove(pool, runners, movable, least_gain, options);
    if (!move) break;
    const auto it = std::find_if(
        runners.begin(), runners.end(),
        [&](const PoolRunner& r) { return r.name == move->runner; });
    // What it gives up is bound too: that must not be given up twice.
    const bool free = !Touches(move->range, moving);
    moving.push_back(it->holds);
    if (!free) continue;
    moving.push_back(move->range);
    it->holds = move->range;
    moves.push_back(*move);
  }
  return moves;
}

}  // namespace pinford
