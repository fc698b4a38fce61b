// Compares how chains are chosen with the maximum-flow bound and the baselines.
// Runs on a paused clock, so the results are the same on each run.

#include <cstdio>

#include "pinford/testing/pool_simulation.h"

namespace pinford {
namespace {

const struct {
  const char* name;
  int boxes;
  int report_lag_ms;
  double slow_link;
} kSettings[] = {
    {"one box, reports 0.1 s late", 1, 100, 1},
    {"eight boxes apart, reports 1 s late", 8, 1000, 1},
    {"the same, one link ten times slower", 8, 1000, 10},
};

void Row(const char* setting, ChainChoice choice, PoolOptions options) {
  options.choice = choice;
  PoolResult full = SimulatePool(options);
  options.offered = 0.8;
  const PoolResult at80 = SimulatePool(options);
  printf("| %s | %s | %.0f | %.0f | %.1f%% | %.1f%% | %.0f | %.0f |\n", setting,
         std::string(ChainChoiceName(choice)).c_str(), full.bound, full.tokens,
         full.share * 100, at80.share * 100 / 0.8, at80.first_p95 * 1000,
         at80.between_p95 * 1000);
}

int Main() {
  printf(
      "| setting | choice | bound tokens/s | tokens/s | of bound "
      "| at 80%% load: served | first token p95 ms | between p95 ms |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const auto& s : kSettings) {
    PoolOptions options;
    options.boxes = s.boxes;
    options.report_lag = milliseconds(s.report_lag_ms);
    options.slow_link = s.slow_link;
    for (ChainChoice choice : kAllChoices) Row(s.name, choice, options);
  }
  return 0;
}

}  // namespace
}  // namespace pinford

int main() { return pinford::Main(); }
