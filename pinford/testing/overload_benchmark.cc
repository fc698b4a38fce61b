// Order and limits under load, compared with headroom per tier as in the paper
// (overload_simulation.h). Runs on a paused clock, so the results are the same
// on each run.

#include <cstdio>

#include "pinford/testing/overload_simulation.h"

namespace pinford {
namespace {

void Row(const char* name, const OverloadOptions& options) {
  const OverloadResult r = SimulateOverload(options);
  const auto& c = r.classes;
  auto served = [&c](int k) {
    return 100.0 * c[k].served / std::max(1, c[k].offered);
  };
  printf(
      "| %.1f | %s | %.1f%% | %.2f | %.0f%% | %.2f | %.0f%% | %.0f%% | "
      "%.0f%% | %.2f | %.0f%% |\n",
      options.offered, name, r.goodput * 100, c[0].wait_p95, served(0),
      c[1].wait_p95, served(1), served(2), served(3), c[1].refuse_p95,
      r.small_share * 100);
}

int Main() {
  printf(
      "| load | rule | goodput | critical: wait p95 s | served | high: wait "
      "p95 s | served | standard served | background served | high: time "
      "to refusal p95 s | small customers got |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (double offered : {0.8, 1.2, 2.0}) {
    OverloadOptions options;
    options.offered = offered;
    options.rule = OrderRule::kFirstCome;
    Row("first come", options);
    options.rule = OrderRule::kFairQueueing;
    for (int tiers : {1, 2, 4}) {
      options.tiers = tiers;
      const std::string name =
          "fair queueing, " + std::to_string(tiers) + " tiers";
      Row(name.c_str(), options);
    }
    options.rule = OrderRule::kHeadroom;
    for (int tiers : {2, 4}) {
      options.tiers = tiers;
      const std::string name = "headroom, " + std::to_string(tiers) + " tiers";
      Row(name.c_str(), options);
    }
  }
  return 0;
}

}  // namespace
}  // namespace pinford

int main() { return pinford::Main(); }
