// Checks recorded layer runs against the guarantee that each layer runs exactly
// once per token and in order. Independent of the code under test: it knows
// nothing of chains, attempts or journals.

#ifndef PINFORD_TESTING_LAYER_CHECKER_H_
#define PINFORD_TESTING_LAYER_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pinford/testing/toy_model.h"

namespace pinford {

struct LayerCheck {
  // One line for each violation.
  std::vector<std::string> faults;
  // Triples (request, layer, position) that were appended to more than one
  // cache: the cost of repairs.
  int rebuilt = 0;
  // Outputs recomputed from surviving caches.
  int recomputed = 0;
};

// `positions` is the number of positions that each request must run in every
// layer.
inline LayerCheck CheckLayers(const std::vector<LayerRun>& runs, int layers,
                              const std::map<std::string, int>& positions) {
  LayerCheck check;
  using Cache = std::tuple<std::string, std::string, uint32_t, int>;
  std::map<Cache, int> next;  // next position in each cache's layer
  std::map<std::tuple<std::string, int, int>, int> appended;
  auto add_fault = [&check](const LayerRun& r, const std::string& what) {
    check.faults.push_back(r.request + " layer " + std::to_string(r.layer) +
                           " position " + std::to_string(r.position) + " on " +
                           r.endpoint + ": " + what);
  };
  for (const LayerRun& r : runs) {
    int& next_position = next[Cache(r.endpoint, r.request, r.session, r.layer)];
    if (r.recomputed) {
      check.recomputed++;
      if (r.position >= next_position) add_fault(r, "recomputed before it ran");
      continue;
    }
    if (r.position < next_position) add_fault(r, "ran twice in one cache");
    if (r.position > next_position) add_fault(r, "ran out of order");
    next_position = r.position + 1;
    // The previous layer must have run this position already.
    const bool lower_layer_ran =
        r.layer == 0 || appended[{r.request, r.layer - 1, r.position}] > 0;
    if (!lower_layer_ran) add_fault(r, "ran before the layer below");
    if (++appended[{r.request, r.layer, r.position}] > 1) check.rebuilt++;
  }
  for (const auto& [request, count] : positions) {
    for (int l = 0; l < layers; l++) {
      for (int p = 0; p < count; p++) {
        if (appended[{request, l, p}] == 0) {
          check.faults.push_back(request + ": layer " + std::to_string(l) +
                                 " never ran position " + std::to_string(p));
        }
      }
    }
  }
  return check;
}

}  // namespace pinford

#endif  // PINFORD_TESTING_LAYER_CHECKER_H_
