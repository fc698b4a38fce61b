// Measures how long a caller waits for the next token when a stage is lost,
// over real processes: the runner is killed (the connection breaks), suspended
// (it stops responding), or healthy. Each round streams one response and
// injects the fault in its middle.

#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "pinford/endpoint.h"
#include "pinford/operator_client.h"
#include "pinford/testing/cluster.h"
#include "pinford/testing/pool_simulation.h"

namespace pinford {
namespace {

constexpr int kRounds = 15;
constexpr int kTokens = 120;

struct Round {
  double longest_gap = 0;  // seconds between two tokens
  bool complete = false;
  std::string victim;  // the runner with the fault, or ""
};

// The runner of the middle layers that serves the only stream.
std::string FindStreamRunner(const Cluster& cluster) {
  for (const char* name : {"b0", "b1"}) {
    HttpCall call;
    call.to = cluster.engine(name);
    call.target = "/v1/load";
    const std::optional<LoadReport> report =
        ParseLoadReport(CallAndWait(call).body);
    if (report && report->running > 0) return name;
  }
  return "";
}

Round StreamWithFault(Cluster* cluster, int signal, int round) {
  RawCaller caller(cluster->callers(0));
  EventLoop clock;
  const std::string prompt = "recovery " + std::to_string(round);
  caller.Send(RawChatRequest(prompt, kTokens, "X-Kind: host\r\n"));
  Round result;
  Time last{};
  size_t seen = 0;
  bool fault_injected = signal == 0;
  std::string read;
  while (read.find("[DONE]") == std::string::npos) {
    read = caller.ReadMore(seconds(10));
    if (read.size() == seen) break;
    const Time now = clock.now();
    // The wait for the first token is no gap between tokens.
    if (seen > 0 && last != Time{}) {
      result.longest_gap = std::max(result.longest_gap, ToSeconds(now - last));
    }
    if (read.find("data: ") != std::string::npos) last = now;
    seen = read.size();
    if (!fault_injected && read.size() > 5000) {
      fault_injected = true;
      result.victim = FindStreamRunner(*cluster);
      if (!result.victim.empty()) {
        cluster->process(result.victim).Signal(signal);
      }
    }
  }
  const std::string expected =
      ToyModel().AnswerText(EnginePrompt(prompt), kTokens);
  bool ended = false;
  // The chunked encoding's sizes are on lines of their own, which ResponseText
  // ignores.
  result.complete = ResponseText(read, true, &ended) == expected && ended;
  return result;
}

void RunCase(const char* name, int signal) {
  Cluster::Options options;
  options.boxes = 1;
  options.services = 0;
  options.policy = "";
  Cluster cluster(options);
  if (!cluster.Start()) return;
  std::vector<double> gaps;
  int complete = 0;
  int faults = 0;
  for (int i = 0; i < kRounds; i++) {
    const Round r = StreamWithFault(&cluster, signal, i);
    complete += r.complete;
    gaps.push_back(r.longest_gap * 1000);
    if (signal == SIGKILL && !r.victim.empty()) {
      cluster.process(r.victim).Wait(seconds(5));
      cluster.StartEngine(options.engines[r.victim == "b0" ? 2 : 3]);
    } else if (signal != 0 && !r.victim.empty()) {
      cluster.process(r.victim).Signal(SIGCONT);
    }
    faults += !r.victim.empty();
    cluster.WaitForBoxes(seconds(20));
  }
  printf("| %s | %d | %d of %d | %.0f | %.0f | %.0f |\n", name, faults,
         complete, kRounds, Quantile(gaps, 0.5), Quantile(gaps, 0.9),
         Quantile(gaps, 1));
}

int Main() {
  printf(
      "| fault | faults | complete responses | longest gap: median ms | p90 ms "
      "| max ms |\n|---|---|---|---|---|---|\n");
  RunCase("none", 0);
  RunCase("a runner killed", SIGKILL);
  RunCase("a runner frozen", SIGSTOP);
  return 0;
}

}  // namespace
}  // namespace pinford

int main() { return pinford::Main(); }
