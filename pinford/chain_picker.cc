// Method: dynamic programming over layer boundaries from left to right.
// best_[e] is the least cost of a path that has run all layers before the
// current one and stands at endpoint e. At each layer every endpoint that holds
// it either stays where it was or is entered from the cheapest endpoint of the
// layer before; the chosen predecessor of each (layer, endpoint) is kept and
// walked back at the end.

#include "pinford/chain_picker.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>

namespace pinford {

static constexpr double kNoPath = std::numeric_limits<double>::infinity();

static int HallsOf(const std::vector<Candidate>& candidates) {
  int halls = 1;
  for (const Candidate& c : candidates) halls = std::max(halls, c.hall + 1);
  return halls;
}

namespace {

// A stage of a path: a candidate by its place, and the layers that it runs.
struct Part {
  int candidate;
  LayerRange range;
};
using Path = std::vector<Part>;

// What a path must keep to beyond what the endpoints hold: `only[layer]` is
// the endpoint that must run the layer, by its place among the candidates.
using Only = std::map<int, int>;

// The cheapest path, in which an endpoint may stand more than once. Work and
// memory go by the layers that the candidates hold, not by candidates times
// layers: of 3,000 runners one holds some ten layers of eighty.
class PathSearch {
 public:
  PathSearch(const std::vector<Candidate>& candidates, const LayerRange& range,
             double cross_cost)
      : candidates_(candidates),
        range_(range),
        cross_cost_(cross_cost),
        of_hall_(HallsOf(candidates)),
        best_(candidates.size(), kNoPath),
        first_from_(candidates.size()),
        holders_(range.size()) {
    int held = 0;
    for (size_t e = 0; e < candidates.size(); e++) {
      const int begin = std::max(candidates[e].holds.begin, range.begin);
      const int end = std::min(candidates[e].holds.end, range.end);
      first_from_[e] = held - begin;
      if (end > begin) held += end - begin;
      for (int layer = begin; layer < end; layer++) {
        holders_[layer - range.begin].push_back(static_cast<int>(e));
      }
    }
    from_.resize(held);
  }

  std::optional<Path> Find(const Only& only) {
    if (range_.empty()) return Path();
    for (int layer = range_.begin; layer < range_.end; layer++) {
      const bool first = layer == range_.begin;
      if (!first && !LookBack(layer - 1)) return std::nullopt;
      const auto must = only.find(layer);
      Enter(layer, must != only.end() ? must->second : -1);
    }
    if (!LookBack(range_.end - 1)) return std::nullopt;
    return WalkBack();
  }

 private:
  const std::vector<int>& HoldersOf(int layer) const {
    return holders_[layer - range_.begin];
  }
  // Who ran the layer before on the cheapest path that stands at `e` there.
  int& From(int e, int layer) { return from_[first_from_[e] + layer]; }

  // Finds the cheapest of those that have run `layer`, and of each hall. False
  // if nobody has.
  bool LookBack(int layer) {
    cheapest_ = -1;
    std::fill(of_hall_.begin(), of_hall_.end(), -1);
    for (const int e : HoldersOf(layer)) {
      if (best_[e] == kNoPath) continue;
      int& near = of_hall_[candidates_[e].hall];
      if (near < 0 || best_[e] < best_[near]) near = e;
      if (cheapest_ < 0 || best_[e] < best_[cheapest_]) cheapest_ = e;
    }
    return cheapest_ >= 0;
  }

  // Runs the layer at each of its holders, or at `must` alone if that is not
  // -1.
  void Enter(int layer, int must) {
    const bool first = layer == range_.begin;
    next_.clear();
    for (const int e : HoldersOf(layer)) {
      next_.push_back(must < 0 || must == e ? CostAt(e, layer, first)
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
    double enter = c.entry_cost;
    if (first) {
      enter += c.first_cost;
    } else {
      const int near = of_hall_[c.hall];
      const bool same = candidates_[cheapest_].hall == c.hall;
      const double across = best_[cheapest_] + (same ? 0 : cross_cost_);
      if (near >= 0 && best_[near] <= across) before = near;
      enter += before == cheapest_ ? across : best_[near];
    }
    const bool stay = !first && best_[e] <= enter;
    From(e, layer) = stay ? e : before;
    return (stay ? best_[e] : enter) + c.layer_cost;
  }

  // From the cheapest at the end; equal neighbours are one stage.
  Path WalkBack() {
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
  double cross_cost_;
  int cheapest_ = -1;
  std::vector<int> of_hall_;
  std::vector<double> best_;  // of those who have run the layer before
  std::vector<double> next_;
  std::vector<int> first_from_;  // where a candidate's row of from_ would begin
  std::vector<int> from_;
  std::vector<std::vector<int>> holders_;  // by layer
};

}  // namespace

static Chain ToChain(const std::vector<Candidate>& candidates,
                     const Path& path) {
  Chain chain;
  chain.reserve(path.size());
  for (const Part& p : path) {
    chain.push_back({candidates[p.candidate].name, p.range});
  }
  return chain;
}

static double PathCost(const std::vector<Candidate>& candidates,
                       const Path& path, double cross_cost) {
  double cost = 0;
  const Candidate* before = nullptr;
  for (const Part& p : path) {
    const Candidate& c = candidates[p.candidate];
    assert(c.holds.Contains(p.range));
    cost += c.entry_cost + c.layer_cost * p.range.size();
    if (before == nullptr) cost += c.first_cost;
    if (before != nullptr && before->hall != c.hall) cost += cross_cost;
    before = &c;
  }
  return cost;
}

std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range, double cross_cost) {
  const auto path = PathSearch(candidates, range, cross_cost).Find(Only());
  if (!path) return std::nullopt;
  Chain chain = ToChain(candidates, *path);
  assert(Partitions(chain, range));
  return chain;
}

namespace {

constexpr int kMostBranches = 200;

// Finds the cheapest path without repeats by branch and bound.
class SimplePathSearch {
 public:
  SimplePathSearch(const LayerRange& range, double cross_cost)
      : range_(range), cross_cost_(cross_cost) {}

  void Try(const std::vector<Candidate>& candidates, const Only& only) {
    if (++paths_ > kMostBranches) return;
    std::optional<Path> path =
        PathSearch(candidates, range_, cross_cost_).Find(only);
    if (!path) return;
    // Whatever a branch gives is no cheaper than the path without its bounds.
    const double cost = PathCost(candidates, *path, cross_cost_);
    if (best_ && cost >= best_cost_) return;
    const std::optional<Part> comes_back = FirstThatComesBack(*path);
    if (!comes_back) {
      best_ = std::move(path);
      best_cost_ = cost;
      return;
    }
    Branch(candidates, only, comes_back->candidate, comes_back->range.end);
  }

  const std::optional<Path>& best() const { return best_; }

 private:
  // The first stage whose endpoint stands in the path again, if there is one.
  static std::optional<Part> FirstThatComesBack(const Path& path) {
    for (size_t i = 0; i < path.size(); i++) {
      for (size_t j = i + 1; j < path.size(); j++) {
        if (path[i].candidate == path[j].candidate) return path[i];
      }
    }
    return std::nullopt;
  }

  // `gap`: the layer that another runs before the endpoint comes back.
  void Branch(const std::vector<Candidate>& candidates, const Only& only,
              int candidate, int gap) {
    const LayerRange holds = candidates[candidate].holds;
    Only with = only;
    with[gap] = candidate;
    Try(candidates, with);
    std::vector<Candidate> bound = candidates;
    bound[candidate].holds = {holds.begin, gap};
    Try(bound, only);
    bound[candidate].holds = {gap + 1, holds.end};
    Try(bound, only);
  }

  LayerRange range_;
  double cross_cost_;
  int paths_ = 0;
  std::optional<Path> best_;
  double best_cost_ = 0;
};

}  // namespace

std::optional<Chain> PickSimpleChain(const std::vector<Candidate>& candidates,
                                     const LayerRange& range,
                                     double cross_cost) {
  SimplePathSearch search(range, cross_cost);
  search.Try(candidates, Only());
  if (!search.best()) return std::nullopt;
  Chain chain = ToChain(candidates, *search.best());
  assert(Partitions(chain, range));
  return chain;
}

double ChainCost(const std::vector<Candidate>& candidates, const Chain& chain,
                 double cross_cost) {
  Path path;
  for (const Stage& stage : chain) {
    auto it = std::find_if(
        candidates.begin(), candidates.end(),
        [&stage](const Candidate& c) { return c.name == stage.endpoint; });
    assert(it != candidates.end());
    path.push_back({static_cast<int>(it - candidates.begin()), stage.range});
  }
  return PathCost(candidates, path, cross_cost);
}

double PricedLayerCost(double idle_cost, double backlog, double mean,
                       const PriceOptions& options) {
  const double ratio = backlog / std::max(mean, options.least_mean);
  return idle_cost *
         std::pow(options.factor, std::min(ratio, options.max_ratio));
}

}  // namespace pinford
