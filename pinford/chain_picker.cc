// Method: dynamic programming over layer boundaries from left to right.
// best[e] is the least cost of a path that has run all layers before the
// current one and stands at endpoint e. At each layer every endpoint either
// stays where it was or is entered from the cheapest endpoint of the layer
// before; the chosen predecessor of each (layer, endpoint) is kept and walked
// back at the end.

#include "pinford/chain_picker.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>

namespace pinford {

static constexpr double kNoPath = std::numeric_limits<double>::infinity();

static bool Runs(const Candidate& c, int layer) {
  return c.holds.begin <= layer && layer < c.holds.end;
}

static int Cheapest(const std::vector<double>& cost) {
  auto it = std::min_element(cost.begin(), cost.end());
  if (it == cost.end() || *it == kNoPath) return -1;
  return static_cast<int>(it - cost.begin());
}

// The cheapest endpoint of each hall; -1 where a hall has none.
static std::vector<int> CheapestOfHalls(
    const std::vector<Candidate>& candidates, const std::vector<double>& cost,
    int halls) {
  std::vector<int> of_hall(halls, -1);
  for (size_t e = 0; e < cost.size(); e++) {
    if (cost[e] == kNoPath) continue;
    int& least = of_hall[candidates[e].hall];
    if (least < 0 || cost[e] < cost[least]) least = static_cast<int>(e);
  }
  return of_hall;
}

static int HallsOf(const std::vector<Candidate>& candidates) {
  int halls = 1;
  for (const Candidate& c : candidates) halls = std::max(halls, c.hall + 1);
  return halls;
}

// Walks the predecessors back from `last` and merges equal neighbours into
// stages. from[i][e] is the endpoint that ran layer i - 1.
static Chain WalkBack(const std::vector<Candidate>& candidates,
                      const std::vector<std::vector<int>>& from, int last,
                      const LayerRange& range) {
  Chain chain;
  int at = last;
  for (int layer = range.end - 1; layer >= range.begin; layer--) {
    const std::string& name = candidates[at].name;
    if (!chain.empty() && chain.back().endpoint == name) {
      chain.back().range.begin = layer;
    } else {
      chain.push_back({name, {layer, layer + 1}});
    }
    at = from[layer - range.begin][at];
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

// What a path must keep to beyond what the endpoints hold: `only[layer]` is
// the endpoint that must run the layer, by its place among the candidates.
using Only = std::map<int, int>;

// The cheapest path, in which an endpoint may stand more than once.
static std::optional<Chain> CheapestPath(
    const std::vector<Candidate>& candidates, const LayerRange& range,
    double cross_cost, const Only& only) {
  if (range.empty()) return Chain();
  const int n = static_cast<int>(candidates.size());
  const int halls = HallsOf(candidates);
  std::vector<double> best(n, kNoPath);
  std::vector<std::vector<int>> from(range.size(), std::vector<int>(n, -1));

  for (int layer = range.begin; layer < range.end; layer++) {
    const bool first = layer == range.begin;
    const int cheapest = first ? -1 : Cheapest(best);
    if (!first && cheapest < 0) return std::nullopt;
    const std::vector<int> of_hall = CheapestOfHalls(candidates, best, halls);
    std::vector<double> next(n, kNoPath);
    const auto must = only.find(layer);
    for (int e = 0; e < n; e++) {
      const Candidate& c = candidates[e];
      if (!Runs(c, layer)) continue;
      if (must != only.end() && must->second != e) continue;
      int before = cheapest;
      double enter = c.entry_cost;
      if (first) {
        enter += c.first_cost;
      } else {
        const int near = of_hall[c.hall];
        const double across =
            best[cheapest] +
            (candidates[cheapest].hall == c.hall ? 0 : cross_cost);
        if (near >= 0 && best[near] <= across) before = near;
        enter += before == cheapest ? across : best[near];
      }
      const bool stay = !first && best[e] <= enter;
      next[e] = (stay ? best[e] : enter) + c.layer_cost;
      from[layer - range.begin][e] = stay ? e : before;
    }
    best = std::move(next);
  }
  const int last = Cheapest(best);
  if (last < 0) return std::nullopt;
  Chain chain = WalkBack(candidates, from, last, range);
  assert(Partitions(chain, range));
  return chain;
}

std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range, double cross_cost) {
  return CheapestPath(candidates, range, cross_cost, Only());
}

namespace {

constexpr int kMostBranches = 200;

// Finds the cheapest chain without repeats by branch and bound.
class SimpleChainSearch {
 public:
  SimpleChainSearch(const LayerRange& range, double cross_cost)
      : range_(range), cross_cost_(cross_cost) {}

  void Try(const std::vector<Candidate>& candidates, const Only& only) {
    if (++paths_ > kMostBranches) return;
    std::optional<Chain> path =
        CheapestPath(candidates, range_, cross_cost_, only);
    if (!path) return;
    // Whatever a branch gives is no cheaper than the path without its bounds.
    const double cost = ChainCost(candidates, *path, cross_cost_);
    if (best_ && cost >= best_cost_) return;
    const int gap = FirstGap(*path);
    if (gap < 0) {
      best_ = std::move(path);
      best_cost_ = cost;
      return;
    }
    Branch(candidates, only, repeated_, gap);
  }

  std::optional<Chain> best() { return std::move(best_); }

 private:
  // The first layer after a stage whose endpoint comes back later, or -1.
  int FirstGap(const Chain& path) {
    for (size_t i = 0; i < path.size(); i++) {
      for (size_t j = i + 1; j < path.size(); j++) {
        if (path[i].endpoint != path[j].endpoint) continue;
        repeated_ = path[i].endpoint;
        return path[i].range.end;
      }
    }
    return -1;
  }

  void Branch(const std::vector<Candidate>& candidates, const Only& only,
              const std::string& name, int gap) {
    const auto at =
        std::find_if(candidates.begin(), candidates.end(),
                     [&name](const Candidate& c) { return c.name == name; });
    const size_t e = at - candidates.begin();
    Only with = only;
    with[gap] = static_cast<int>(e);
    Try(candidates, with);
    std::vector<Candidate> bound = candidates;
    bound[e].holds = {at->holds.begin, gap};
    Try(bound, only);
    bound[e].holds = {gap + 1, at->holds.end};
    Try(bound, only);
  }

  LayerRange range_;
  double cross_cost_;
  int paths_ = 0;
  std::string repeated_;
  std::optional<Chain> best_;
  double best_cost_ = 0;
};

}  // namespace

std::optional<Chain> PickSimpleChain(const std::vector<Candidate>& candidates,
                                     const LayerRange& range,
                                     double cross_cost) {
  SimpleChainSearch search(range, cross_cost);
  search.Try(candidates, Only());
  return search.best();
}

double ChainCost(const std::vector<Candidate>& candidates, const Chain& chain,
                 double cross_cost) {
  double cost = 0;
  const Candidate* before = nullptr;
  for (const Stage& stage : chain) {
    auto it = std::find_if(
        candidates.begin(), candidates.end(),
        [&stage](const Candidate& c) { return c.name == stage.endpoint; });
    assert(it != candidates.end() && it->holds.Contains(stage.range));
    cost += it->entry_cost + it->layer_cost * stage.range.size();
    if (before == nullptr) cost += it->first_cost;
    if (before != nullptr && before->hall != it->hall) cost += cross_cost;
    before = &*it;
  }
  return cost;
}

double PricedLayerCost(double idle_cost, double backlog, double mean,
                       const PriceOptions& options) {
  const double ratio = backlog / std::max(mean, options.least_mean);
  return idle_cost *
         std::pow(options.factor, std::min(ratio, options.max_ratio));
}

}  // namespace pinford
