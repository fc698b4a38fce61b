// Method: dynamic programming over layer boundaries from left to right.
// best_[e] is the lowest cost of a path that has run all layers before the
// current one and ends at endpoint e. At each layer, every endpoint that holds
// it is reached either from itself or from the cheapest endpoint of the
// previous layer. The predecessor chosen for each (layer, endpoint) is kept,
// and the path is read backwards at the end.

#include "pinford/chain_picker.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>

namespace pinford {

static constexpr double kNoPath = std::numeric_limits<double>::infinity();

static int HallCount(const std::vector<Candidate>& candidates) {
  int halls = 1;
  for (const Candidate& c : candidates) halls = std::max(halls, c.hall + 1);
  return halls;
}

namespace {

// A stage of a path: a candidate's index and the layers that it runs.
struct PathStage {
  int candidate;
  LayerRange range;
};
using Path = std::vector<PathStage>;

// Additional constraints on a path: `pinned[layer]` is the index of the
// candidate that must run the layer.
using Pinned = std::map<int, int>;

// Finds the cheapest path, in which an endpoint may occur more than once. Work
// and memory are proportional to the layers that the candidates hold, not to
// candidates times layers: one of 3,000 runners holds about ten layers of
// eighty.
class PathSearch {
 public:
  PathSearch(const std::vector<Candidate>& candidates, const LayerRange& range,
             double cross_hall_cost)
      : candidates_(candidates),
        range_(range),
        cross_hall_cost_(cross_hall_cost),
        cheapest_in_hall_(HallCount(candidates)),
        best_(candidates.size(), kNoPath),
        from_offset_(candidates.size()),
        holders_(range.size()) {
    int held = 0;
    for (size_t e = 0; e < candidates.size(); e++) {
      const int begin = std::max(candidates[e].holds.begin, range.begin);
      const int end = std::min(candidates[e].holds.end, range.end);
      from_offset_[e] = held - begin;
      if (end > begin) held += end - begin;
      for (int layer = begin; layer < end; layer++) {
        holders_[layer - range.begin].push_back(static_cast<int>(e));
      }
    }
    from_.resize(held);
  }

  std::optional<Path> Find(const Pinned& pinned) {
    if (range_.empty()) return Path();
    for (int layer = range_.begin; layer < range_.end; layer++) {
      const bool first = layer == range_.begin;
      if (!first && !FindCheapest(layer - 1)) return std::nullopt;
      const auto required = pinned.find(layer);
      ExtendTo(layer, required != pinned.end() ? required->second : -1);
    }
    if (!FindCheapest(range_.end - 1)) return std::nullopt;
    return Backtrack();
  }

 private:
  const std::vector<int>& HoldersOf(int layer) const {
    return holders_[layer - range_.begin];
  }
  // Who ran the previous layer on the cheapest path that ends at `e` here.
  int& From(int e, int layer) { return from_[from_offset_[e] + layer]; }

  // Finds the cheapest endpoint among those that have run `layer`, overall and
  // for each hall. Returns false if none has.
  bool FindCheapest(int layer) {
    cheapest_ = -1;
    std::fill(cheapest_in_hall_.begin(), cheapest_in_hall_.end(), -1);
    for (const int e : HoldersOf(layer)) {
      if (best_[e] == kNoPath) continue;
      int& in_hall = cheapest_in_hall_[candidates_[e].hall];
      if (in_hall < 0 || best_[e] < best_[in_hall]) in_hall = e;
      if (cheapest_ < 0 || best_[e] < best_[cheapest_]) cheapest_ = e;
    }
    return cheapest_ >= 0;
  }

  // Extends the paths by `layer`, run by each of its holders, or by `required`
  // alone unless that is -1.
  void ExtendTo(int layer, int required) {
    const bool first = layer == range_.begin;
    next_.clear();
    for (const int e : HoldersOf(layer)) {
      next_.push_back(required < 0 || required == e ? CostAt(e, layer, first)
                                                    : kNoPath);
    }
    if (!first) {
      for (const int e : HoldersOf(layer - 1)) best_[e] = kNoPath;
    }
    for (size_t i = 0; i < next_.size(); i++) {
      best_[HoldersOf(layer)[i]] = next_[i];
    }
  }

  double CostAt(int e, int layer, bool first) {
    const Candidate& c = candidates_[e];
    int before = cheapest_;
    double enter = c.handoff_cost;
    if (first) {
      enter += c.first_stage_cost;
    } else {
      const int in_hall = cheapest_in_hall_[c.hall];
      const bool same = candidates_[cheapest_].hall == c.hall;
      const double across = best_[cheapest_] + (same ? 0 : cross_hall_cost_);
      if (in_hall >= 0 && best_[in_hall] <= across) before = in_hall;
      enter += before == cheapest_ ? across : best_[in_hall];
    }
    const bool stay = !first && best_[e] <= enter;
    From(e, layer) = stay ? e : before;
    return (stay ? best_[e] : enter) + c.layer_cost;
  }

  // Reads the path backwards from its cheapest end; adjacent layers on the same
  // endpoint become one stage.
  Path Backtrack() {
    Path path;
    int at = cheapest_;
    for (int layer = range_.end - 1; layer >= range_.begin; layer--) {
      if (!path.empty() && path.back().candidate == at) {
        path.back().range.begin = layer;
      } else {
        path.push_back({at, {layer, layer + 1}});
      }
      at = From(at, layer);
    }
    std::reverse(path.begin(), path.end());
    return path;
  }

  const std::vector<Candidate>& candidates_;
  LayerRange range_;
  double cross_hall_cost_;
  int cheapest_ = -1;
  std::vector<int> cheapest_in_hall_;
  // cost of the best path that ends at each candidate
  std::vector<double> best_;
  std::vector<double> next_;
  // By candidate: the index in from_ that layer 0 would have.
  std::vector<int> from_offset_;
  std::vector<int> from_;
  std::vector<std::vector<int>> holders_;  // by layer
};

}  // namespace

static Chain ToChain(const std::vector<Candidate>& candidates,
                     const Path& path) {
  Chain chain;
  chain.reserve(path.size());
  for (const PathStage& p : path) {
    chain.push_back({candidates[p.candidate].name, p.range});
  }
  return chain;
}

static double PathCost(const std::vector<Candidate>& candidates,
                       const Path& path, double cross_hall_cost) {
  double cost = 0;
  const Candidate* before = nullptr;
  for (const PathStage& p : path) {
    const Candidate& c = candidates[p.candidate];
    assert(c.holds.Contains(p.range));
    cost += c.handoff_cost + c.layer_cost * p.range.size();
    if (before == nullptr) cost += c.first_stage_cost;
    if (before != nullptr && before->hall != c.hall) cost += cross_hall_cost;
    before = &c;
  }
  return cost;
}

std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range,
                               double cross_hall_cost) {
  const auto path =
      PathSearch(candidates, range, cross_hall_cost).Find(Pinned());
  if (!path) return std::nullopt;
  Chain chain = ToChain(candidates, *path);
  assert(Partitions(chain, range));
  return chain;
}

namespace {

// Finds the cheapest path without repeats by branch and bound.
class SimplePathSearch {
 public:
  SimplePathSearch(const LayerRange& range, double cross_hall_cost,
                   int max_further_paths)
      : range_(range),
        cross_hall_cost_(cross_hall_cost),
        max_further_paths_(max_further_paths) {}

  void Search(const std::vector<Candidate>& candidates, const Pinned& pinned) {
    if (paths_ >= max_paths_) return;
    paths_++;
    std::optional<Path> path =
        PathSearch(candidates, range_, cross_hall_cost_).Find(pinned);
    if (!path) return;
    // No branch is cheaper than the path without the branch's constraints.
    const double cost = PathCost(candidates, *path, cross_hall_cost_);
    if (best_ && cost >= best_cost_) return;
    const std::optional<PathStage> repeated = FirstRepeated(*path);
    if (!repeated) {
      if (!best_) max_paths_ = std::min(kMaxPaths, paths_ + max_further_paths_);
      best_ = std::move(path);
      best_cost_ = cost;
      return;
    }
    Branch(candidates, pinned, repeated->candidate, repeated->range.end);
  }

  const std::optional<Path>& best() const { return best_; }
  int paths() const { return paths_; }

 private:
  // The first stage whose endpoint occurs again in the path, if there is one.
  static std::optional<PathStage> FirstRepeated(const Path& path) {
    for (size_t i = 0; i < path.size(); i++) {
      for (size_t j = i + 1; j < path.size(); j++) {
        if (path[i].candidate == path[j].candidate) return path[i];
      }
    }
    return std::nullopt;
  }

  // `gap` is the layer that another endpoint runs before this one occurs again.
  void Branch(const std::vector<Candidate>& candidates, const Pinned& pinned,
              int candidate, int gap) {
    const LayerRange holds = candidates[candidate].holds;
    Pinned gap_pinned = pinned;
    gap_pinned[gap] = candidate;
    Search(candidates, gap_pinned);
    std::vector<Candidate> restricted = candidates;
    restricted[candidate].holds = {holds.begin, gap};
    Search(restricted, pinned);
    restricted[candidate].holds = {gap + 1, holds.end};
    Search(restricted, pinned);
  }

  LayerRange range_;
  double cross_hall_cost_;
  int max_further_paths_;
  int max_paths_ = kMaxPaths;
  int paths_ = 0;
  std::optional<Path> best_;
  double best_cost_ = 0;
};

}  // namespace

SimpleChainChoice PickSimpleChain(const std::vector<Candidate>& candidates,
                                  const LayerRange& range,
                                  double cross_hall_cost,
                                  int max_further_paths) {
  SimplePathSearch search(range, cross_hall_cost, max_further_paths);
  search.Search(candidates, Pinned());
  if (!search.best()) return {std::nullopt, search.paths()};
  Chain chain = ToChain(candidates, *search.best());
  assert(Partitions(chain, range));
  return {std::move(chain), search.paths()};
}

double ChainCost(const std::vector<Candidate>& candidates, const Chain& chain,
                 double cross_hall_cost) {
  Path path;
  for (const Stage& stage : chain) {
    auto it = std::find_if(
        candidates.begin(), candidates.end(),
        [&stage](const Candidate& c) { return c.name == stage.endpoint; });
    assert(it != candidates.end());
    path.push_back({static_cast<int>(it - candidates.begin()), stage.range});
  }
  return PathCost(candidates, path, cross_hall_cost);
}

double LoadedLayerCost(double idle_cost, double backlog, double mean,
                       const CostOptions& options) {
  const double ratio = backlog / std::max(mean, options.min_mean);
  return idle_cost *
         std::pow(options.factor, std::min(ratio, options.max_ratio));
}

}  // namespace pinford
