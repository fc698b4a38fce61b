// Chooses the chain of endpoints that runs a range of layers.
//
// The choice is a shortest path. Nodes are (layer boundary, endpoint that
// runs the next layer); running a layer costs the endpoint's time for it at
// its present load, and handing over to another endpoint costs the link. As
// the price of an endpoint grows with its load, picking the cheapest path for
// each request in turn spreads requests close to the best split; that is the
// argument of Awerbuch, Azar and Plotkin, "Throughput-competitive on-line
// routing" (FOCS 1993), for exponential prices. Unlike a split computed ahead
// it needs no plan to be in step with the endpoints: a new, slow or lost
// endpoint changes the next pick.
//
// Cost: time and memory go by the sum of the layers that endpoints hold.

#ifndef PINFORD_CHAIN_PICKER_H_
#define PINFORD_CHAIN_PICKER_H_

#include <optional>
#include <string>
#include <vector>

#include "pinford/pipeline.h"

namespace pinford {

// An endpoint that could take part, priced.
struct Candidate {
  std::string name;
  LayerRange holds;
  double layer_cost = 0;    // seconds to run one layer of one token, with load
  double handoff_cost = 0;  // seconds to hand a token over to it
  int hall = 0;  // endpoints of one number hand over among themselves
  double first_stage_cost = 0;  // more, as the first stage of a chain
};

// The cheapest chain over `range`, or nothing if the candidates do not cover
// it. An endpoint may stand in it more than once, with others between. Where
// endpoints hand over to one another, `cross_hall_cost` is added for each stage
// whose predecessor stands in another hall.
std::optional<Chain> PickChain(const std::vector<Candidate>& candidates,
                               const LayerRange& range,
                               double cross_hall_cost = 0);

// The same of the chains in which no endpoint stands twice. Found by branching
// on the first endpoint that the cheapest path comes back to: it stays before
// the gap between its stages, or after it, or runs it too. Beyond kMaxBranches
// paths the best so far is taken.
std::optional<Chain> PickSimpleChain(const std::vector<Candidate>& candidates,
                                     const LayerRange& range,
                                     double cross_hall_cost = 0);

// What PickChain minimises: the cost of `chain`, whose stages must all be
// among `candidates`.
double ChainCost(const std::vector<Candidate>& candidates, const Chain& chain,
                 double cross_hall_cost = 0);

// How an endpoint's time for a layer is priced at a load.
struct CostOptions {
  // The price multiplies by this for each time that the endpoint's backlog
  // holds the mean one.
  double factor = 64;
  // Backlog over the mean beyond which the price stops growing.
  double max_ratio = 8;
  // The mean counts as no less than this, in seconds, so that small
  // differences between idle endpoints do not count.
  double min_mean = 0.010;
};

// `idle_cost` priced for an endpoint whose backlog is `backlog` seconds (what
// it would take to run one token of each stream in its care) where the mean
// over all candidates is `mean`.
double LoadedLayerCost(double idle_cost, double backlog, double mean,
                       const CostOptions& options);

}  // namespace pinford

#endif  // PINFORD_CHAIN_PICKER_H_
