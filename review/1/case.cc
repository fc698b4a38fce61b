// See claim.txt. Sixteen boxes before nine runners, which are short of memory
// at this load, so that they reject some requests. For some seconds, again and
// again, five runners follow a few of their answers with a second one.

#include "../lab/runners.h"

using namespace lab;

namespace {

constexpr int kBoxes = 16;
constexpr int kRunners = 9;
constexpr int kRounds = 13;
constexpr int64_t kSecondAnswerMs = 5000, kPauseMs = 1500;
constexpr double kSecondAnswerShare = 0.03;  // of the answers of five runners
constexpr int kPerSecond = 240;

struct Reply {
  int status = 0;  // 0: the channel closed without an answer
  bool whole = false;
};

Reply SendRequest(int port, const std::string& id) {
  Reply reply;
  const int fd = Dial(port);
  if (fd < 0) return reply;
  const std::string body = "a table for two at eight";
  Headers headers = {{"Host", "tablewise.example"},
                     {"Request-Id", id},
                     {"Key", "key-of-island-grill"},
                     {"Deadline-Ms", "20000"},
                     {"Model", "m0"},
                     {"Token-Count", "800,60"},
                     {"Prefix-Hash", "5c1e07a2:40," + id + ":760"},
                     {"Connection", "close"},
                     {"Content-Length", std::to_string(body.size())}};
  WriteAll(fd, WriteHead("POST /draft/1 HTTP/1.1", headers) + body);
  Reader reader(fd);
  Message m;
  const double until = Now() + 20;
  if (reader.ReadHead(&m, until)) {
    reader.ReadBody(&m, true, until);
    reply.status = m.Status();
    reply.whole = m.complete;
  }
  close(fd);
  return reply;
}

}  // namespace

int main(int, char** argv) {
  if (!Rec().Open(std::string(argv[1]) + "/record.txt")) return kCouldNotRun;
  const bool trouble = Trouble();
  Rec().Line("disruptions: %s", trouble ? "yes" : "none");
  Fleet fleet(kBoxes);
  Pool pool;
  Runs runs;
  EngineOptions engine;
  engine.token_bytes = 500000;  // a runner has memory for some forty requests
  const Json route = {{"name", "draft"},         {"host", "tablewise.example"},
                      {"pathPrefix", "/draft/"}, {"kind", "streaming"},
                      {"resumeStream", false},   {"service", "pool"},
                      {"maxAttempts", 2},        {"timeoutMs", 20000},
                      {"targetLatencyMs", 500},  {"gap_aim_ms", 200},
                      {"stickySession", true},   {"priority", 1}};
  const Json config = {
      {"version", 3},
      {"routes", Json::array({route})},
      {"services", Json::array({PoolService(engine)})},
      {"tenants", Json::array({{{"name", "island-grill"},
                                {"apiKeys", {"key-of-island-grill"}}}})},
      {"limits", Limits()}};
  fleet.store().Put("op/config", config.dump());
  std::vector<std::unique_ptr<Runner>> runners;
  const std::vector<int> ports = FreePorts(kRunners);
  for (int i = 0; i < kRunners; i++) {
    runners.push_back(std::make_unique<Runner>(
        "i-" + std::to_string(i + 1), Fleet::Hall(0), ports[i], &fleet.store(),
        &pool, &runs, engine));
  }
  fleet.StartBoxes();
  if (!fleet.WaitReady(15)) fleet.Exit(kCouldNotRun);
  const double placed_by = Now() + 20;
  while (Now() < placed_by) {
    int placed = 0;
    for (auto& r : runners) placed += r->holds().end > 0;
    if (placed == kRunners) break;
    SleepMs(100);
  }
  SleepMs(1500);

  std::mutex mutex;
  std::map<std::string, Reply> replies;
  std::atomic<bool> stop{false};
  std::atomic<int> open{0};
  std::thread load([&] {
    int n = 0;
    while (!stop) {
      const int box = n++ % kBoxes;
      open++;
      std::thread([&, box] {
        const std::string id = NewId();
        const Reply reply = SendRequest(fleet.box(box).ports().callers, id);
        Rec().Line("client of box-%d: request %s gets %d%s", box + 1,
                   id.c_str(), reply.status, reply.whole ? "" : ", not whole");
        {
          std::lock_guard lock(mutex);
          replies[id] = reply;
        }
        open--;
      }).detach();
      SleepMs(1000 / kPerSecond);
    }
  });

  SleepMs(2000);
  for (int round = 0; round < kRounds; round++) {
    int garbling = 0;
    for (auto& r : runners) {
      // First stages: others aren't sent requests.
      if (!trouble || r->holds().begin != 0 || garbling++ >= 5) continue;
      Rec().Line("disruption: runner %s sends second answers", r->id().c_str());
      r->faults().second_answer = kSecondAnswerShare;
    }
    SleepMs(kSecondAnswerMs);
    for (auto& r : runners) r->faults().second_answer = 0;
    SleepMs(kPauseMs);
  }
  stop = true;
  load.join();
  for (int i = 0; i < 100 && open > 0; i++) SleepMs(50);

  int64_t rejected = 0, second = 0;
  for (auto& r : runners) {
    rejected += r->rejected();
    second += r->second_answers();
  }
  int sent = 0, whole = 0, refused = 0, twice = 0, refused_yet_run = 0;
  const auto all = runs.All();
  for (const auto& [id, reply] : replies) {
    sent++;
    whole += reply.status == 200 && reply.whole;
    refused += reply.status == 503;
    const auto it = all.find(id);
    const size_t count = it == all.end() ? 0 : it->second.size();
    if (count > 1) {
      twice++;
      Rec().Line("TWICE: request %s ran %zu times, first at %s, then at %s",
                 id.c_str(), count, it->second[0].runner.c_str(),
                 it->second[1].runner.c_str());
    }
    if (reply.status == 503 && count > 0) {
      refused_yet_run++;
      Rec().Line("REFUSED: request %s got 503 and ran at %s", id.c_str(),
                 it->second[0].runner.c_str());
    }
  }
  char summary[300];
  snprintf(
      summary, sizeof(summary),
      "%d requests that must not be repeated: %d answered whole, %d refused; "
      "%lld rejections and %lld second answers by runners; ran twice: %d; "
      "refused yet run: %d",
      sent, whole, refused, static_cast<long long>(rejected),
      static_cast<long long>(second), twice, refused_yet_run);
  Rec().Line("%s", summary);
  printf("%s\n", summary);
  if (whole < sent / 2) fleet.Exit(kCouldNotRun);
  fleet.Exit(twice > 0 || refused_yet_run > 0 ? kBroken : kHeld);
}
