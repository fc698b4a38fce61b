// Chooses the chain of endpoints that runs a range of layers.
//
// The choice is a shortest path. Nodes are (layer boundary, endpoint that runs
// the next layer). Running a layer costs the endpoint's time for it at its
// present load, and a handoff to another endpoint costs the link. As an
// endpoint's cost grows with its load, picking the cheapest path for each
// request in turn spreads requests close to the best split; this is the
// argument of Awerbuch, Azar and Plotkin, "Throughput-competitive on-line
// routing" (FOCS 1993), for exponential costs. Unlike a split that is computed
// ahead, it does not depend on a plan that matches the present endpoints: a
// new, slow or lost endpoint changes the next pick.
//
// Time and memory are proportional to the sum of the layers that the endpoints
// hold.

#ifndef PINFORD_CHAIN_PICKER_H_
#define PINFORD_CHAIN_PICKER_H_

#include <optional>
#include <string>
#include <vector>

#include "pinford/pipeline.h"

namespace pinford {

// An endpoint that could run a stage, and its costs.
struct Candidate {
  std::string name;
  LayerRange holds;
  // seconds to run one layer of one token at its present load
  double layer_cost = 0;
  double handoff_cost = 0;      // seconds to hand a token off to it
  int hall = 0;                 // endpoints with the same number share a hall
  double first_stage_cost = 0;  // added when it is a chain's first stage
};

// Returns the cheapest chain over `range`, or nothing if the candidates do not
// cover it. An endpoint may occur more than once, with others in between. Where
// endpoints hand off to one another, `cross_hall_cost` is added for each stage
// whose predecessor is in another hall.
std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range,
                               double cross_hall_cost = 0);

// A chain in which no endpoint occurs twice, if one was found.
struct SimpleChainChoice {
  std::optional<Chain> chain;
  int paths = 0;  // that were searched
};

// Like PickChain, but for a chain in which no endpoint occurs twice. Branches
// on the first endpoint that the cheapest path returns to: it runs either only
// layers before the gap between its stages, or only layers after it, or the gap
// as well. The search ends after kMaxPaths paths, and after `max_further_paths`
// more once a chain was found: where many chains cost about the same, the proof
// that no other is cheaper takes most of the time. Returns the cheapest chain
// found so far.
SimpleChainChoice PickSimpleChain(const std::vector<Candidate>& candidates,
                                  const LayerRange& range,
                                  double cross_hall_cost,
                                  int max_further_paths);
inline constexpr int kMaxPaths = 200;

// The cost that PickChain minimizes, of `chain`, whose stages must all be among
// `candidates`.
double ChainCost(const std::vector<Candidate>& candidates, const Chain& chain,
                 double cross_hall_cost = 0);

// How an endpoint's layer cost depends on its load.
struct CostOptions {
  // The cost is multiplied by this for each mean backlog that the endpoint's
  // own backlog contains.
  double factor = 64;
  // Ratio of the backlog to the mean beyond which the cost stays the same.
  double max_ratio = 8;
  // Lower bound of the mean, in seconds, so that small differences between idle
  // endpoints do not count.
  double min_mean = 0.010;
};

// The cost of a layer for an endpoint that needs `idle_cost` without load and
// has a backlog of `backlog` seconds (the time to run one token of each of its
// streams), where `mean` is the mean backlog of all candidates.
double LoadedLayerCost(double idle_cost, double backlog, double mean,
                       const CostOptions& options);

}  // namespace pinford

#endif  // PINFORD_CHAIN_PICKER_H_
