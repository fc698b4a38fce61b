// See claim.txt. Four boxes before seven runners. For some seconds, again and
// again, four runners spoil a few of their answers: they compress them, which
// no client asked for.

#include "../lab/runners.h"

using namespace lab;

namespace {

constexpr int kBoxes = 4;
constexpr int kRunners = 7;
constexpr int kRounds = 4;
constexpr int64_t kGarbleMs = 5000, kPauseMs = 3000;
constexpr double kSpoiledShare = 0.02;  // of the answers of four runners
constexpr int kPerSecond = 80;

struct Reply {
  int status = 0;  // 0: the channel closed without an answer
  bool whole = false;
  bool sealed = false;
  std::string encoding;
  std::string body;
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
    reply.sealed = m.Has("Response-Seal");
    reply.encoding = m.Header("Content-Encoding");
    reply.body = m.body;
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
  const EngineOptions engine;
  const Json route = {{"name", "draft"},         {"host", "tablewise.example"},
                      {"pathPrefix", "/draft/"}, {"kind", "streaming"},
                      {"resumeStream", true},    {"service", "pool"},
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
        Rec().Line("client of box-%d: request %s gets %d, %zu bytes%s%s%s",
                   box + 1, id.c_str(), reply.status, reply.body.size(),
                   reply.whole ? "" : ", not whole",
                   reply.encoding.empty() ? "" : ", Content-Encoding ",
                   reply.encoding.c_str());
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
      if (!trouble || r->holds().begin != 0 || garbling++ >= 4) continue;
      Rec().Line("disruption: runner %s spoils a few of its answers",
                 r->id().c_str());
      r->faults().encoded = kSpoiledShare;
    }
    SleepMs(kGarbleMs);
    for (auto& r : runners) r->faults().encoded = 0;
    SleepMs(kPauseMs);
  }
  stop = true;
  load.join();
  for (int i = 0; i < 100 && open > 0; i++) SleepMs(50);

  int64_t spoiled = 0;
  for (auto& r : runners) spoiled += r->encoded_answers();
  int sent = 0, whole = 0, encoded = 0, complete = 0;
  for (const auto& [id, reply] : replies) {
    sent++;
    const bool success = reply.status >= 200 && reply.status < 300;
    const bool right = reply.sealed && reply.encoding.empty() &&
                       reply.body == WholeStream(id, engine.events);
    whole += success && reply.whole && right;
    // A success that is cut off is no wrong answer, if what came is right.
    const bool prefix = reply.sealed && reply.encoding.empty() &&
                        WholeStream(id, engine.events)
                                .compare(0, reply.body.size(), reply.body) == 0;
    if (!success || (reply.whole ? right : prefix)) continue;
    encoded++;
    complete += reply.whole;
    Rec().Line(
        "MIXED: request %s gets a success with Content-Encoding '%s' and "
        "%zu bytes that are not the runner's %zu, %s",
        id.c_str(), reply.encoding.c_str(), reply.body.size(),
        WholeStream(id, engine.events).size(),
        reply.whole ? "as complete" : "cut off");
  }
  char summary[300];
  snprintf(summary, sizeof(summary),
           "%d requests: %d answered whole and right; %lld answers spoiled by "
           "runners; wrong successes received: %d, of them marked complete: %d",
           sent, whole, static_cast<long long>(spoiled), encoded, complete);
  Rec().Line("%s", summary);
  printf("%s\n", summary);
  if (whole < sent / 2) fleet.Exit(kCouldNotRun);
  fleet.Exit(encoded > 0 ? kBroken : kHeld);
}
