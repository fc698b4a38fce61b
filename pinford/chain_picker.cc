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

// The cheapest path, in which an endpoint may stand more than once.
static std::optional<Chain> CheapestPath(
    const std::vector<Candidate>& candidates, const LayerRange& range,
    double cross_cost) {
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
    for (int e = 0; e < n; e++) {
      const Candidate& c = candidates[e];
      if (!Runs(c, layer)) continue;
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

// The longest stage of an endpoint that stands in `chain` more than once.
static const Stage* LongestRepeated(const Chain& chain) {
  const Stage* longest = nullptr;
  for (const Stage& a : chain) {
    const auto stands = std::count_if(
        chain.begin(), chain.end(),
        [&a](const Stage& b) { return b.endpoint == a.endpoint; });
    if (stands < 2) continue;
    if (longest == nullptr || a.range.size() > longest->range.size()) {
      longest = &a;
    }
  }
  return longest;
}

std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range, double cross_cost) {
  std::vector<Candidate> left = candidates;
  for (;;) {
    std::optional<Chain> chain = CheapestPath(left, range, cross_cost);
    if (!chain) return std::nullopt;
    const Stage* repeated = LongestRepeated(*chain);
    if (repeated == nullptr) return chain;
    // Each turn narrows one endpoint for good, so the turns end.
    for (Candidate& c : left) {
      if (c.name == repeated->endpoint) c.holds = repeated->range;
    }
  }
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
