// The free capacity of a pool's runners, by hall and layer.
//
// A chain is as fast as its slowest layer, so sums over a hall are misleading:
// a hall with ninety runners stops when the only holder of one layer is lost.
// So the capacity is kept per layer, and queried as the minimum over a range.
//
// It is computed from the endpoint table at one moment, from the engines' own
// figures (prefill rate, cost of their steps, the runner's kind and slowdown)
// and this box's estimate of what all boxes have sent there. It is as old as
// its inputs; as_of() is an upper bound for their time.

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
    double prefill_per_s = 0;  // free prefill rate, in tokens
    double free_memory = 0;    // memory, thousands of tokens
  };

  PoolCapacity(Time now, const EndpointTable& table, const std::string& model,
               const std::string& version);

  Time as_of() const { return as_of_; }
  std::vector<std::string> halls() const;
  // The minimum of each figure over the layers of `range` in `hall`; zeros for
  // a hall without runners.
  Layer MinOverLayers(const std::string& hall, const LayerRange& range) const;
  // The same over all layers of the model.
  Layer MinOverLayers(const std::string& hall) const;
  // The layer of `hall` with the lowest free prefill rate.
  int BottleneckLayer(const std::string& hall) const;

 private:
  Time as_of_;
  int layers_;
  std::map<std::string, std::vector<Layer>> halls_;
};

}  // namespace pinford

#endif  // PINFORD_POOL_CAPACITY_H_
