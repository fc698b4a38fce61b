// Measures the cost of idle boxes, over real processes: CPU time, memory, bytes
// exchanged with peers and store calls; and the time until a submitted
// configuration is in force on all boxes.

#include <algorithm>
#include <cstdio>

#include "pinford/testing/cluster.h"
#include "pinford/testing/pool_simulation.h"
#include "pinford/testing/process_usage.h"

namespace pinford {
namespace {

constexpr double kMeasuredSeconds = 15;

void MeasureRow(int boxes, int engines) {
  Cluster::Options options;
  options.boxes = boxes;
  options.services = 0;
  options.policy = "";
  options.engines.clear();
  for (int i = 0; i < engines; i++) {
    const int begin = i % 4 * 2;
    options.engines.push_back({"e" + std::to_string(i), {begin, begin + 2}});
  }
  Cluster cluster(options);
  if (!cluster.Start()) return;
  // Membership gossips full rows of new members for the first seconds.
  WaitUntil(seconds(15), [] { return false; });
  auto sum = [&](const char* series) {
    double total = 0;
    for (int i = 0; i < boxes; i++) total += cluster.Metric(i, series);
    return total;
  };
  auto processor = [&] {
    double total = 0;
    for (int i = 0; i < boxes; i++) {
      total += ProcessorSeconds(cluster.process(Cluster::BoxName(i)).pid());
    }
    return total;
  };
  EventLoop clock;
  const double sent = sum("peer_bytes_sent");
  const double received = sum("peer_bytes_received");
  const double calls = sum("store_calls");
  const double used = processor();
  const Time start = clock.now();
  WaitUntil(FromSeconds(kMeasuredSeconds), [] { return false; });
  const double took = ToSeconds(clock.now() - start);
  const double used_rate = (processor() - used) / took / boxes;
  const double sent_rate = (sum("peer_bytes_sent") - sent) / took / boxes;
  const double received_rate =
      (sum("peer_bytes_received") - received) / took / boxes;
  const double call_rate = (sum("store_calls") - calls) / took;
  double memory = 0;
  for (int i = 0; i < boxes; i++) {
    memory = std::max(
        memory, ResidentMegabytes(cluster.process(Cluster::BoxName(i)).pid()));
  }
  std::vector<double> adoption_ms;
  for (int round = 1; round <= 5; round++) {
    std::string output;
    cluster.Run({"policy", "submit",
                 "--operator=" + cluster.operators(round % boxes).ToString(),
                 "--key-file=" + cluster.key_file(),
                 std::string(SOURCE_DIR) + "/examples/tablewise.lua"},
                &output);
    const Time accepted = clock.now();
    WaitUntil(seconds(10), [&] {
      for (int i = 0; i < boxes; i++) {
        if (cluster.Metric(i, "generation") < round) return false;
      }
      return true;
    });
    adoption_ms.push_back(ToSeconds(clock.now() - accepted) * 1000);
  }
  printf("| %d | %d | %.2f%% | %.1f | %.0f | %.0f | %.2f | %.0f |\n", boxes,
         engines, used_rate * 100, memory, sent_rate, received_rate, call_rate,
         Quantile(adoption_ms, 1));
  fflush(stdout);
}

int Main() {
  printf(
      "| boxes | endpoints | CPU per box | max memory MB | bytes/s sent per "
      "box | received | store calls/s, all boxes | in force on all boxes, max "
      "of 5, ms |\n|---|---|---|---|---|---|---|---|\n");
  const struct {
    int boxes, engines;
  } rows[] = {{8, 8}, {16, 8}, {33, 8}, {66, 8}, {8, 32}, {8, 96}};
  for (const auto& r : rows) MeasureRow(r.boxes, r.engines);
  return 0;
}

}  // namespace
}  // namespace pinford

int main() { return pinford::Main(); }
