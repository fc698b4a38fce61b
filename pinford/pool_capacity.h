// What the runners of a pool can still read, hall by hall and layer by layer.
//
// A chain is as fast as its slowest layer, so that sums over a hall say
// little: a hall with ninety runners stands still when the only holder of one
// layer is lost. So the account is kept by layer, and asked for the least over
// a range.
//
// It is made from the endpoint table at one moment, by the engines' own
// figures (what a pass reads, what its steps cost, the runner's kind and pace)
// and what this box takes all boxes to have sent there. It is as old as what
// it was made of, which as_of() bounds from above.

#ifndef PINFORD_POOL_CAPACITY_H_
#define PINFORD_POOL_CAPACITY_H_

#include <map>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/pipeline.h"
#include "util/clock.h"

namespace pinford {

class PoolCapacity {
 public:
  // What the holders of one layer in one hall can take together.
  struct Layer {
    int holders = 0;           // that take new work
    double prefill_per_s = 0;  // tokens of prompts, beside what is sent already
    double free_memory = 0;    // memory, thousands of tokens
  };

  PoolCapacity(Time now, const EndpointTable& table, const std::string& model,
               const std::string& version);

  Time as_of() const { return as_of_; }
  std::vector<std::string> halls() const;
  // The least of each figure over the layers of `range` in `hall`; zeros for a
  // hall without runners.
  Layer MinOverLayers(const std::string& hall, const LayerRange& range) const;
  // The same over all layers of the model.
  Layer MinOverLayers(const std::string& hall) const;
  // The layer of `hall` whose holders read least.
  int BottleneckLayer(const std::string& hall) const;

 private:
  Time as_of_;
  int layers_;
  std::map<std::string, std::vector<Layer>> halls_;
};

}  // namespace pinford

#endif  // PINFORD_POOL_CAPACITY_H_
