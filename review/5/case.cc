// A box that starts beside a peer with an old configuration serves by that
// configuration as if the store had just confirmed it.
//
// Three boxes of one hall, a, b and c; a and b are the seeds. The store turns b
// away. The machines of a and c lose power. The operator takes a key away; the
// store acknowledges it. After more than revokeMs the two machines are back.
// While fewer than half of the hall's boxes are in, the platform passes new
// channels to all of them, so callers reach a as soon as it listens.

#include <atomic>
#include <thread>

#include "lab-2/lab.h"

using namespace lab;

// The pages' bounds of the site (claim.txt).
static constexpr double kRevoke = 5.0;
// Largest doses: the store turns machines away for 9 s; a loss of power lasts
// 5 s, and the processes start a short delay later.
static constexpr double kTurnedAway = 9.0;
static constexpr double kDark = 5.0;
static constexpr double kStartDelay = 0.4;

static std::string Configuration(int version, bool with_second_key) {
  const std::string keys =
      with_second_key ? R"(["key-kept","key-taken"])" : R"(["key-kept"])";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"get","host":"127.0.0.1","pathPrefix":"/get/",)"
         R"("kind":"idempotent","service":"plain","maxAttempts":2,)"
         R"("timeoutMs":1500,"targetLatencyMs":300}],)"
         R"("services":[{"name":"plain","maxConns":110}],)"
         R"("tenants":[{"name":"t1","apiKeys":)" +
         keys +
         R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

struct Sent {
  std::string id;
  double at = 0;  // when the last byte was sent
  int status = 0;
};

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  const std::string root = argv[1];
  const std::string standin = root + "/target/review-2/standins/standin";
  Record record(std::string(argv[2]) + "/record.txt");
  Lab lab(root);
  const int store = FreePort(), runner = FreePort(), control = FreePort(),
            store_of_b = FreePort();
  Box a, b, c;
  a.name = "box-a";
  b.name = "box-b";
  c.name = "box-c";
  for (Box* box : {&a, &b, &c}) {
    box->store = store;
    box->seeds = {a.peers, b.peers};
  }
  b.store = store_of_b;

  lab.Start("store", {standin, "metadata-store", "--listen=" + At(store)});
  lab.Start("proxies", {standin, "proxies", "--listen=" + At(control),
                        "store-of-b," + At(store_of_b) + "," + At(store)});
  const bool up = WaitFor(10, [&] {
    return Call(store, "GET", "/counts").status == 200 &&
           Call(control, "GET", "/links").status == 200;
  });
  if (!up) return kNotRun;
  Call(store, "PUT", "/put?key=op%2Fconfig", {}, Configuration(1, true));
  lab.Start("runner", {standin, "pool-runner", "--listen=" + At(runner),
                       "--name=i-plain", "--service=plain", "--hall=h1",
                       "--store=" + At(store), "--layers=0"});
  for (const Box* box : {&a, &b, &c}) StartBox(&lab, *box);
  const auto get = [&](const Box& box, const std::string& id,
                       const std::string& key) {
    return Call(box.callers, "GET", "/get/x",
                {{"Request-Id", id}, {"Key", key}, {"Deadline-Ms", "1500"}}, "",
                2);
  };
  int n = 0;
  const bool serving = WaitFor(15, [&] {
    for (const Box* box : {&a, &b, &c}) {
      const std::string id = "warm-" + std::to_string(n++);
      if (!IsReady(*box) || get(*box, id, "key-taken").status != 200)
        return false;
    }
    return true;
  });
  if (!serving) return kNotRun;
  // The boxes are in touch, and past their start.
  SleepUntil(Now() + 4);

  const bool trouble = Trouble();
  const double turned_away = Now();
  if (trouble) {
    Call(control, "POST", "/faults", {},
         R"({"link":"store-of-b","refuse_new":true,"reset":true})");
    record.Line("the store turns box-b away");
    SleepUntil(turned_away + 0.3);
  }
  const double dark = Now();
  if (trouble) {
    lab.Kill("box-a");
    lab.Kill("box-c");
    record.Line("box-a and box-c lose power");
  }
  const Answer put =
      Call(store, "PUT", "/put?key=op%2Fconfig", {}, Configuration(7, false));
  const double acked = Now();
  if (put.status != 200) return kNotRun;
  record.Line("ack of version 7, which takes key-taken away");

  // Clients that still hold the key keep sending. Those whose channels the
  // platform passes to box-a are played: one request each 10 ms, no more than
  // the site's 88 a second and its usual swing.
  std::vector<Sent> sent;
  std::mutex mutex;
  std::atomic<bool> done{false};
  const double back = dark + kDark + kStartDelay;
  std::vector<std::thread> clients;
  for (int k = 0; k < 1; k++) {
    clients.emplace_back([&, k] {
      SleepUntil(back - 0.1);
      for (int i = 0; !done; i++) {
        const std::string id =
            "revoked-" + std::to_string(k) + "-" + std::to_string(i);
        const int fd = Connect(a.callers, 1);
        if (fd >= 0) {
          Sent s;
          s.id = id;
          const std::string request =
              Request("GET", "/get/x",
                      {{"Request-Id", id},
                       {"Key", "key-taken"},
                       {"Deadline-Ms", "1500"}},
                      "");
          s.at = Now();
          WriteAll(fd, request);
          s.status = ReadAnswer(fd, Now() + 2).status;
          close(fd);
          std::lock_guard<std::mutex> lock(mutex);
          sent.push_back(s);
        }
        usleep(10000);
      }
    });
  }
  SleepUntil(back);
  if (trouble) {
    StartBox(&lab, a);
    StartBox(&lab, c);
    record.Line("box-a and box-c start");
  }
  SleepUntil(back + 1.2);
  done = true;
  for (std::thread& t : clients) t.join();
  if (trouble) {
    SleepUntil(turned_away + kTurnedAway);
    Call(control, "POST", "/faults", {},
         R"({"link":"store-of-b","refuse_new":false})");
    record.Line("the store serves box-b again");
  }
  const bool serves = WaitFor(10, [&] {
    return get(a, "after-" + std::to_string(n++), "key-kept").status == 200;
  });
  const std::string runs = Call(runner, "GET", "/records").body;
  std::sort(sent.begin(), sent.end(),
            [](const Sent& x, const Sent& y) { return x.at < y.at; });
  int broken = 0, answered = 0;
  for (const Sent& s : sent) {
    if (s.status != 0) answered++;
    const bool ran = runs.find("\"" + s.id + "\":") != std::string::npos;
    if (!ran) continue;
    const double after = s.at - acked;
    record.Line("%s was sent %.3f s after the ack, got %d, and ran",
                s.id.c_str(), after, s.status);
    if (after > kRevoke) broken++;
  }
  record.Line(
      "%zu requests with key-taken reached box-a, %d were answered, %d ran "
      "though sent more than %.0f ms after the ack",
      sent.size(), answered, broken, kRevoke * 1e3);
  std::map<int, int> by_status;
  for (const Sent& s : sent) by_status[s.status]++;
  for (const auto& [status, count] : by_status)
    record.Line("  status %d: %d", status, count);
  if (broken > 0) return kBroken;
  return serves && answered > 0 ? kHeld : kNotRun;
}
