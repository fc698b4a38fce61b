// Plain calls under faults of the store and the service, alone and in random
// schedules with several boxes that share an idempotency key: kNotRun is
// reported only if nothing ran, and a non-repeatable call runs at most once.

#include "pinford/once_call.h"

#include <gtest/gtest.h>

#include "pinford/testing/fake_store.h"

namespace pinford {
namespace {

// A service that checks no fencing token and runs every call that reaches it.
class FakeService {
 public:
  struct Faults {
    double refuse_connection = 0;
    double refuse_busy = 0;
    double lose_request = 0;
    double lose_reply = 0;
    double fail = 0;                       // answers 500 after running
    std::optional<Duration> backoff = {};  // requested by refusals as busy
  };

  FakeService(PausedClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  Faults faults;
  std::map<std::string, int> runs;  // by request id
  std::map<std::string, int> runs_of_key;
  int refused = 0;  // calls refused as busy

  void Send(FakeBox* box, const ServiceCall& call,
            std::function<void(CallResult)> fn) {
    CallResult r;
    if (Chance(faults.refuse_connection)) {
      r.status = CallStatus::kNotSent;
      Reply(box, fn, r);
      return;
    }
    const Duration request_delay = milliseconds(1 + random_() % 20);
    clock_->After(request_delay,
                  [this, box, call, fn] { Arrive(box, call, fn); });
  }

 private:
  void Arrive(FakeBox* box, const ServiceCall& call,
              const std::function<void(CallResult)>& fn) {
    CallResult r;
    if (Chance(faults.lose_request)) {
      Reply(box, fn, r);
      return;
    }
    if (Chance(faults.refuse_busy)) {
      refused++;
      r.status = CallStatus::kRefusedBusy;
      r.backoff = faults.backoff;
      Reply(box, fn, r);
      return;
    }
    runs[call.request]++;
    runs_of_key[call.key]++;
    if (!Chance(faults.lose_reply)) {
      r.status = CallStatus::kAnswered;
      r.http_status = Chance(faults.fail) ? 500 : 200;
      r.body = "run by " + call.request;
    }
    Reply(box, fn, r);
  }

  void Reply(FakeBox* box, const std::function<void(CallResult)>& fn,
             const CallResult& r) {
    clock_->After(milliseconds(1 + random_() % 20),
                  [box, fn, r] { box->Deliver([fn, r] { fn(r); }); });
  }

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }

  PausedClock* clock_;
  Random random_;
};

class FakeServiceClient {
 public:
  FakeServiceClient(FakeBox* box, FakeService* service)
      : box_(box), service_(service) {}
  uint64_t SendCall(const std::string&, const ServiceCall& call, bool,
                    std::function<void(CallResult)> fn) {
    service_->Send(box_, call, std::move(fn));
    return 1;
  }
  void CancelCall(uint64_t) {}

 private:
  FakeBox* box_;
  FakeService* service_;
};

// One box: its clock, its connections and its endpoints.
struct BoxUnderTest {
  BoxUnderTest(PausedClock* clock, FakeStore* s, FakeService* service,
               uint64_t seed)
      : box(clock),
        store(&box, s),
        client(&box, service),
        table("a", EndpointTable::Options(), Random(seed)) {
    std::vector<ListedEndpoint> list;
    for (int i = 0; i < 3; i++) {
      ListedEndpoint e;
      e.name = "bookings-" + std::to_string(i);
      e.role = EndpointRole::kService;
      e.service = "bookings";
      e.address = {"127.0.0.1", 1};
      list.push_back(e);
    }
    table.OnList(list);
    LoadReport report;
    for (const ListedEndpoint& e : list) {
      // Dated far in the future, so that the report does not expire.
      table.OnReport(clock->now() + hours(1), e.name, report);
    }
  }
  FakeBox box;
  FakeStoreClient store;
  FakeServiceClient client;
  EndpointTable table;
  RetryBudget budget;
};

using TestCall = OnceCall<FakeStoreClient, FakeServiceClient, FakeBox>;

struct TestCluster {
  explicit TestCluster(uint64_t seed, int boxes)
      : store(&clock, seed), service(&clock, seed + 1) {
    for (int i = 0; i < boxes; i++) {
      this->boxes.push_back(
          std::make_unique<BoxUnderTest>(&clock, &store, &service, seed + i));
    }
  }

  void Begin(int box, const std::string& request, const std::string& key) {
    BoxUnderTest& b = *boxes[box];
    if (b.box.killed()) return;
    b.box.Deliver([this, &b, request, key] {
      ServiceCall call;
      call.request = request;
      call.customer = "diner";
      call.service = "bookings";
      call.method = "POST";
      call.target = "/tables";
      call.key = key;
      CallEvents events;
      events.on_end = [this, request](const CallEnd& end) {
        EXPECT_FALSE(ends.contains(request)) << "ended twice";
        ends[request] = end;
      };
      calls.push_back(TestCall::Start(&b.store, &b.client, &b.box, &b.table,
                                      &b.budget, CallOptions(), call, false,
                                      "attempt-" + request, events));
    });
  }

  PausedClock clock;
  FakeStore store;
  FakeService service;
  std::vector<std::unique_ptr<BoxUnderTest>> boxes;
  std::map<std::string, CallEnd> ends;
  std::vector<TestCall::Ptr> calls;
};

// Checks the reported outcomes against the service's own record.
void CheckOutcomes(const TestCluster& w) {
  for (const auto& [key, runs] : w.service.runs_of_key) {
    if (key.empty()) continue;
    EXPECT_LE(runs, 1) << "key " << key;
  }
  for (const auto& [request, end] : w.ends) {
    auto it = w.service.runs.find(request);
    const int runs = it == w.service.runs.end() ? 0 : it->second;
    EXPECT_LE(runs, 1) << request;
    if (end.outcome == Outcome::kNotRun) {
      EXPECT_EQ(runs, 0) << request << " was reported as not_run";
    }
    if (end.outcome == Outcome::kComplete && !end.repeated) {
      EXPECT_EQ(runs, 1) << request << " was reported as complete";
    }
    if (end.outcome == Outcome::kComplete) {
      const std::string& body = end.result.body;
      const std::string executed_request = body.substr(body.rfind(' ') + 1);
      EXPECT_EQ(w.service.runs.count(executed_request), 1u)
          << "an answer of a call that did not run";
    }
  }
}

struct Case {
  const char* name;
  void (*setup)(TestCluster*);
  Outcome outcome;
  int runs;
};

const Case kCases[] = {
    {"no fault", [](TestCluster*) {}, Outcome::kComplete, 1},
    {"store down", [](TestCluster* w) { w->store.faults.down = true; },
     Outcome::kNotRun, 0},
    {"store loses every reply",
     [](TestCluster* w) { w->store.faults.lose_reply = 1; }, Outcome::kNotRun,
     0},
    {"store loses every call",
     [](TestCluster* w) { w->store.faults.lose_request = 1; }, Outcome::kNotRun,
     0},
    {"service refuses connections",
     [](TestCluster* w) { w->service.faults.refuse_connection = 1; },
     Outcome::kNotRun, 0},
    {"service is busy",
     [](TestCluster* w) { w->service.faults.refuse_busy = 1; },
     Outcome::kNotRun, 0},
    {"request lost", [](TestCluster* w) { w->service.faults.lose_request = 1; },
     Outcome::kUnknown, 0},
    {"reply lost", [](TestCluster* w) { w->service.faults.lose_reply = 1; },
     Outcome::kUnknown, 1},
    {"service fails", [](TestCluster* w) { w->service.faults.fail = 1; },
     Outcome::kFailed, 1},
};

TEST(OnceCall, ReportsTheTrueOutcomeUnderEachFault) {
  for (const Case& c : kCases) {
    for (const char* key : {"", "key"}) {
      const bool store_fault = std::string(c.name).find("store") == 0;
      if (store_fault && key[0] == '\0') continue;  // the store is not used
      SCOPED_TRACE(std::string(c.name) + ", key '" + key + "'");
      TestCluster w(1, 1);
      c.setup(&w);
      w.Begin(0, "r", key);
      w.clock.Advance(seconds(90));
      CheckOutcomes(w);
      ASSERT_TRUE(w.ends.contains("r"));
      EXPECT_EQ(w.ends["r"].outcome, c.outcome);
      EXPECT_EQ(w.service.runs["r"], c.runs);
    }
  }
}

// All three endpoints refuse and request a backoff: no further call is sent to
// them until it is over.
TEST(OnceCall, EndpointsThatRequestBackoffGetNoCalls) {
  TestCluster w(5, 1);
  w.service.faults.refuse_busy = 1;
  w.service.faults.backoff = seconds(5);
  for (int i = 0; i < 20; i++) {
    w.Begin(0, "r" + std::to_string(i), "");
    w.clock.Advance(milliseconds(200));
  }
  EXPECT_EQ(w.service.refused, 3);
  w.service.faults = {};
  w.clock.Advance(seconds(5));
  w.Begin(0, "later", "");
  w.clock.Advance(seconds(1));
  EXPECT_EQ(w.ends["later"].outcome, Outcome::kComplete);
  CheckOutcomes(w);
}

TEST(OnceCall, FailsAtOnceWhenTheStoreIsDown) {
  TestCluster w(1, 1);
  w.store.faults.down = true;
  w.Begin(0, "r", "key");
  w.clock.Advance(milliseconds(100));
  ASSERT_TRUE(w.ends.contains("r"));
  EXPECT_EQ(w.ends["r"].error, CallError::kNoStore);
}

TEST(OnceCall, AnAbandonedKeyCanBeUsedAgain) {
  const struct {
    const char* name;
    void (*fault)(TestCluster*);
  } cases[] = {
      {"no endpoint",
       [](TestCluster* w) { w->service.faults.refuse_connection = 1; }},
      {"claims written, replies lost",
       [](TestCluster* w) { w->store.faults.lose_reply = 1; }},
      {"claims written late", [](TestCluster* w) { w->store.faults.late = 1; }},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    TestCluster w(2, 2);
    c.fault(&w);
    w.Begin(0, "first", "key");
    w.clock.Advance(seconds(10));
    ASSERT_EQ(w.ends["first"].outcome, Outcome::kNotRun);
    w.store.faults = {};
    w.service.faults = {};
    w.clock.Advance(seconds(70));
    w.Begin(1, "second", "key");
    w.clock.Advance(seconds(10));
    EXPECT_EQ(w.ends["second"].outcome, Outcome::kComplete);
    CheckOutcomes(w);
  }
}

TEST(OnceCall, ARepeatedKeyReturnsTheRecordedResult) {
  TestCluster w(3, 2);
  w.Begin(0, "first", "key");
  w.clock.Advance(seconds(1));
  w.Begin(1, "second", "key");
  w.clock.Advance(seconds(1));
  EXPECT_EQ(w.ends["second"].outcome, Outcome::kComplete);
  EXPECT_TRUE(w.ends["second"].repeated);
  EXPECT_EQ(w.ends["second"].result.body, "run by first");
  CheckOutcomes(w);
}

// Pauses or kills a box at every millisecond of a call, for longer than any
// timeout, while another box receives the same key.
TEST(OnceCall, APausedOrKilledBoxCausesNoSecondRun) {
  for (int at = 0; at < 60; at++) {
    for (bool kill : {false, true}) {
      SCOPED_TRACE(std::to_string(at) + (kill ? " killed" : " paused"));
      TestCluster w(4, 2);
      w.Begin(0, "first", "key");
      w.clock.Advance(milliseconds(at));
      if (kill) {
        w.boxes[0]->box.Kill();
      } else {
        w.boxes[0]->box.Pause();
      }
      w.Begin(1, "second", "key");
      w.clock.Advance(seconds(300));
      w.boxes[0]->box.Resume();
      w.clock.Advance(seconds(100));
      CheckOutcomes(w);
      EXPECT_TRUE(w.ends.contains("second"));
    }
  }
}

// The caller disconnects: a call that was not sent is not sent and its key can
// be used again; the result of one that was sent is recorded for the next
// request with the key.
TEST(OnceCall, ACallerThatDisconnects) {
  for (int at : {0, 3, 6, 9, 12, 15, 20, 30}) {
    SCOPED_TRACE(at);
    TestCluster w(6, 2);
    w.Begin(0, "first", "key");
    w.clock.Advance(milliseconds(at));
    if (!w.ends.contains("first")) w.calls[0]->Abandon();
    w.clock.Advance(seconds(5));
    EXPECT_TRUE(w.ends.contains("first"));
    w.Begin(1, "second", "key");
    w.clock.Advance(seconds(5));
    EXPECT_EQ(w.ends["second"].outcome, Outcome::kComplete);
    EXPECT_EQ(w.ends["second"].repeated, w.service.runs["first"] == 1);
    CheckOutcomes(w);
  }
}

// A claim that is acquired after its deadline is abandoned without a send.
TEST(OnceCall, AClaimAcquiredTooLateIsAbandoned) {
  TestCluster w(5, 2);
  w.Begin(0, "first", "key");
  w.boxes[0]->box.Pause();
  w.clock.Advance(seconds(10));
  w.boxes[0]->box.Resume();
  w.clock.Advance(seconds(1));
  ASSERT_TRUE(w.ends.contains("first"));
  EXPECT_EQ(w.ends["first"].outcome, Outcome::kNotRun);
  w.Begin(1, "second", "key");
  w.clock.Advance(seconds(1));
  EXPECT_EQ(w.ends["second"].outcome, Outcome::kComplete);
  CheckOutcomes(w);
}

// At least 10,000 schedules: several boxes that receive the same key
// repeatedly, random faults of the store and the service, pauses and kills.
TEST(OnceCall, RandomSchedules) {
  constexpr int kSchedules = 10000;
  int ends_by_outcome[4] = {};
  for (int seed = 0; seed < kSchedules; seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    auto chance = [&random] { return (random() % 4) * 0.1; };
    TestCluster w(seed, 3);
    w.store.faults = {chance(), chance(), chance(), false};
    w.service.faults = {chance(), chance(), chance(), chance(), chance()};
    for (int i = 0; i < 5; i++) {
      const std::string key = random() % 4 == 0 ? "other" : "key";
      const int box = static_cast<int>(random() % 3);
      w.clock.After(milliseconds(random() % 3000), [&w, box, i, key] {
        w.Begin(box, "r" + std::to_string(i), key);
      });
    }
    for (int i = 0; i < 3; i++) {
      FakeBox* box = &w.boxes[random() % 3]->box;
      const Duration at = milliseconds(random() % 3000);
      const Duration length = milliseconds(random() % 8000);
      const bool kill = random() % 6 == 0;
      w.clock.After(at, [box, kill] { kill ? box->Kill() : box->Pause(); });
      w.clock.After(at + length, [box] { box->Resume(); });
    }
    const Duration outage = milliseconds(random() % 4000);
    w.clock.After(outage, [&w] { w.store.faults.down = true; });
    w.clock.After(outage + milliseconds(random() % 2000),
                  [&w] { w.store.faults.down = false; });
    w.clock.Advance(seconds(120));
    CheckOutcomes(w);
    for (const auto& [request, end] : w.ends) {
      ends_by_outcome[static_cast<int>(end.outcome)]++;
    }
    if (HasFailure()) return;
  }
  // The test is only meaningful if the schedules reach every outcome.
  for (int n : ends_by_outcome) EXPECT_GT(n, 500);
}

}  // namespace
}  // namespace pinford
