// A pool of queues on a paused clock, to measure how chains are chosen.
//
// An engine is one first-in-first-out queue with a rate in layer positions per
// second. A stream is a chain through which one token after the other passes.
// Boxes decide independently, each with its own table, from stale reports and
// peers' counts. The model has no failures, prompts or memory.

#ifndef PINFORD_TESTING_POOL_SIMULATION_H_
#define PINFORD_TESTING_POOL_SIMULATION_H_

#include <memory>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {

enum class ChainChoice {
  kPinford,
  kRoundRobin,
  kRandom,
  kLeastInFlight,
  kLeastBacklog,  // least work over rate, as this box's table has it
};
inline constexpr ChainChoice kAllChoices[] = {
    ChainChoice::kPinford, ChainChoice::kRoundRobin, ChainChoice::kRandom,
    ChainChoice::kLeastInFlight, ChainChoice::kLeastBacklog};
std::string_view ChainChoiceName(ChainChoice c);

struct PoolOptions {
  ChainChoice choice = ChainChoice::kPinford;
  int boxes = 1;
  int layers = 32;
  int runners = 30;
  int halls = 3;
  int stream_tokens = 30;
  Duration report_lag = milliseconds(100);
  Duration report_interval = milliseconds(500);
  Duration peer_lag = milliseconds(500);
  // One runner whose link is this many times slower; 1 for none.
  double slow_link = 1;
  // 0: as many streams as fill every queue. Otherwise streams arrive by a
  // Poisson process that offers this fraction of the bound.
  double offered = 0;
  Duration warm_up = seconds(20);
  Duration length = seconds(40);
  uint64_t seed = 1;
  EndpointTable::Options table;
};

struct PoolResult {
  double bound = 0;      // tokens per second, by maximum flow
  double tokens = 0;     // tokens per second that were measured
  double share = 0;      // tokens / bound
  double first_p95 = 0;  // seconds
  double between_p95 = 0;
  double between_p50 = 0;
};

PoolResult SimulatePool(const PoolOptions& options);

// The maximum tokens per second of endpoints with these holdings and rates
// (layer positions per second), if every token could use any endpoint for any
// layer.
double FlowBound(const std::vector<LayerRange>& holdings,
                 const std::vector<double>& rates, int layers);

// The quantile `q` of `values`; 0 for none.
double Quantile(std::vector<double> values, double q);

}  // namespace pinford

#endif  // PINFORD_TESTING_POOL_SIMULATION_H_
