// Measures the cost of a box, over real processes on loopback: the latency that
// it adds to a token, its CPU time per token and per step, and its memory with
// 1,000 open streams. As a baseline, this process makes the same steps on the
// same engines without a box, in the same run.

#include <algorithm>
#include <cstdio>

#include "pinford/chain_run.h"
#include "pinford/engine_protocol.h"
#include "pinford/operator_client.h"
#include "pinford/testing/cluster.h"
#include "pinford/testing/pool_simulation.h"
#include "pinford/testing/process_usage.h"

namespace pinford {
namespace {

constexpr int kLayers = 8;
const std::vector<EngineSpec> kEngines = {
    {"a", {0, 3}, 4000, 0}, {"b", {3, 6}, 4000, 0}, {"c", {6, 8}, 4000, 0}};

// Runs one stream without a box and measures the seconds between its tokens.
class DirectStream {
 public:
  explicit DirectStream(const Cluster& cluster)
      : cluster_(cluster), http_(&loop_, HttpClient::Options()) {}

  std::vector<double> Run(int tokens) {
    run_.emplace("direct", kLayers, std::vector<int>{1, 2, 3},
                 ChainRun::Options());
    run_->Fill({0, kLayers}, {{"a", {0, 3}}, {"b", {3, 6}}, {"c", {6, 8}}});
    tokens_left_ = tokens;
    last_ = loop_.now();
    Step();
    loop_.Run();
    return gaps_;
  }

 private:
  void Step() {
    StepRequest step = run_->NextStep();
    step.model = ToyModel().name;
    step.version = ToyModel().version;
    HttpCall call;
    call.method = HttpMethod::kPost;
    call.to = cluster_.engine(run_->step_endpoint());
    call.target = "/v1/steps";
    call.body = WriteStepRequest(step);
    http_.Send(std::move(call), [this](const HttpResult& r) {
      if (run_->OnReply(*ParseStepReply(r.body)) == ReplyVerdict::kToken) {
        gaps_.push_back(ToSeconds(loop_.now() - last_));
        last_ = loop_.now();
        if (--tokens_left_ == 0) {
          loop_.Stop();
          return;
        }
      }
      Step();
    });
  }

  const Cluster& cluster_;
  EventLoop loop_;
  HttpClient http_;
  std::optional<ChainRun> run_;
  int tokens_left_ = 0;
  Time last_{};
  std::vector<double> gaps_;
};

// Seconds between the tokens of one response streamed by the box.
std::vector<double> BoxTokenGaps(const Cluster& cluster, int tokens) {
  RawCaller caller(cluster.callers(0));
  EventLoop clock;
  caller.Send(RawChatRequest("one two three", tokens));
  std::vector<double> gaps;
  Time last = clock.now();
  size_t seen = 0;
  std::string read;
  while (read.find("[DONE]") == std::string::npos) {
    const size_t before = read.size();
    read = caller.ReadMore(seconds(5));
    if (read.size() == before) break;
    size_t events = 0;
    for (size_t at = 0; (at = read.find("data: ", at)) != std::string::npos;
         at++) {
      events++;
    }
    const Time now = clock.now();
    if (events > seen) {
      const double each =
          ToSeconds(now - last) / static_cast<double>(events - seen);
      gaps.insert(gaps.end(), events - seen, each);
    }
    seen = events;
    last = now;
  }
  return gaps;
}

// Limits for the measured values; the program fails if one is exceeded.
constexpr double kMaxAddedUs = 1000;
constexpr double kMaxRatio = 3;
constexpr double kMaxMegabytes = 128;

bool CheckBound(const char* what, double value, double limit) {
  if (value <= limit) return true;
  printf("| LIMIT of %.0f EXCEEDED: %s | %.1f |\n", limit, what, value);
  return false;
}

bool Latency(const Cluster& cluster) {
  constexpr int kTokens = 600;
  std::vector<double> direct = DirectStream(cluster).Run(kTokens);
  std::vector<double> box = BoxTokenGaps(cluster, kTokens);
  const double d = Quantile(direct, 0.5) * 1e6;
  const double b = Quantile(box, 0.5) * 1e6;
  printf("| a token, three stages, direct, median | %.0f us |\n", d);
  printf("| the same through the box | %.0f us |\n", b);
  printf("| added by the box to a token | %.0f us |\n", b - d);
  printf("| through the box over direct | %.2f |\n", b / d);
  const bool added = CheckBound("added us", b - d, kMaxAddedUs);
  return CheckBound("ratio", b / d, kMaxRatio) && added;
}

void Load(Cluster* cluster) {
  const pid_t pid = cluster->process("box-0").pid();
  for (int callers : {8, 32, 128}) {
    EventLoop loop;
    HttpClient http(&loop, HttpClient::Options());
    const int requests = callers * 8;
    constexpr int kTokens = 40;
    int sent = 0;
    int done = 0;
    int succeeded = 0;
    std::function<void()> next = [&] {
      if (sent == requests) return;
      HttpCall call;
      call.method = HttpMethod::kPost;
      call.to = cluster->callers(0);
      call.target = "/v1/chat/completions";
      call.body = ChatBody("load " + std::to_string(sent++), kTokens, false);
      call.timeout = seconds(60);
      http.Send(std::move(call), [&](const HttpResult& r) {
        succeeded += r.ok();
        if (++done == requests) loop.Stop();
        next();
      });
    };
    const double before = ProcessorSeconds(pid);
    const Time start = loop.now();
    for (int i = 0; i < callers; i++) next();
    loop.Run();
    const double wall = ToSeconds(loop.now() - start);
    const double used = ProcessorSeconds(pid) - before;
    const double tokens = static_cast<double>(succeeded) * kTokens;
    printf("| %d callers: tokens a second | %.0f |\n", callers, tokens / wall);
    printf(
        "| %d callers: box's processor time a token (three steps) | %.0f us "
        "|\n",
        callers, used / tokens * 1e6);
    printf("| %d callers: requests of %d tokens a core-second | %.0f |\n",
           callers, kTokens, succeeded / used);
    if (succeeded != requests)
      printf("| FAILED requests | %d |\n", requests - succeeded);
  }
}

bool Memory(Cluster* cluster) {
  const pid_t pid = cluster->process("box-0").pid();
  std::vector<std::unique_ptr<RawCaller>> callers;
  // Slow engines, so that the streams stay open.
  for (const EngineSpec& e : kEngines) {
    cluster->SetFault(cluster->engine(e.name), R"({"delay_ms": 1000})");
  }
  // A few streams first, so that the box's deadlines adapt to the slow engines.
  for (int i = 0; i < 4; i++) {
    callers.push_back(std::make_unique<RawCaller>(cluster->callers(0)));
    callers.back()->Send(RawChatRequest("first " + std::to_string(i), 4000));
  }
  WaitUntil(seconds(12), [] { return false; });
  printf("| resident memory, 4 streams | %.1f MB |\n", ResidentMegabytes(pid));
  for (int target : {250, 500, 1000}) {
    while (static_cast<int>(callers.size()) < target) {
      callers.push_back(std::make_unique<RawCaller>(cluster->callers(0)));
      callers.back()->Send(
          RawChatRequest("stream " + std::to_string(callers.size()), 4000));
    }
    const bool open = WaitUntil(seconds(20), [&] {
      return cluster->Metric(0, "running_requests") >= target;
    });
    WaitUntil(seconds(4), [] { return false; });
    printf("| resident memory, %d streams%s | %.1f MB |\n", target,
           open ? "" : " (NOT ALL OPEN)", ResidentMegabytes(pid));
  }
  return CheckBound("MB with 1,000 streams", ResidentMegabytes(pid),
                    kMaxMegabytes);
}

int Main() {
  Cluster::Options options;
  options.boxes = 1;
  options.engines = kEngines;
  options.services = 0;
  options.policy = "";
  options.records = false;
  Cluster cluster(options);
  if (!cluster.Start()) return 1;
  printf("| what | figure |\n|---|---|\n");
  const bool latency = Latency(cluster);
  Load(&cluster);
  const bool memory = Memory(&cluster);
  return latency && memory ? 0 : 1;
}

}  // namespace
}  // namespace pinford

int main() { return pinford::Main(); }
