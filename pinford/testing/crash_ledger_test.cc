// The crash ledger: which evidence makes a request a suspect, and what many
// boxes together do with a request that crashes endpoints, with harmless ones
// beside it, and with messages that are lost, late or repeated.

#include "pinford/forwarding/crash_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pinford/testing/ledger_net.h"

namespace pinford {
namespace {

constexpr char kRequest[] = "request";

CrashLedger::HasEnded Ended(std::set<std::string> endpoints) {
  return [endpoints = std::move(endpoints)](const std::string& e, uint64_t) {
    return endpoints.contains(e);
  };
}

CrashLedger::HasEnded AllEnded() {
  return [](const std::string&, uint64_t) { return true; };
}

// A run on an endpoint of its own, in ms.
struct RunSpan {
  int began;
  int ended;
};

TEST(CrashLedger, SuspicionFollowsFromTheCrashesAndTheirOrder) {
  const struct {
    const char* name;
    std::vector<RunSpan> runs;
    Suspicion expected;
  } cases[] = {
      {"two crashes", {{0, 50}, {100, 150}}, Suspicion::kNone},
      {"three in sequence",
       {{0, 50}, {100, 150}, {200, 250}},
       Suspicion::kSuspect},
      {"four in sequence",
       {{0, 50}, {100, 150}, {200, 250}, {300, 350}},
       Suspicion::kQuarantined},
      {"four, two of them at once",
       {{0, 50}, {10, 50}, {100, 150}, {200, 250}},
       Suspicion::kQuarantined},
      {"two pairs at once",
       {{0, 50}, {10, 50}, {100, 150}, {110, 150}},
       Suspicion::kSuspect},
      {"two threes at once",
       {{0, 50}, {5, 50}, {10, 50}, {100, 150}, {105, 150}, {110, 150}},
       Suspicion::kQuarantined},
      {"many at once",
       {{0, 500},
        {10, 500},
        {20, 500},
        {30, 501},
        {40, 502},
        {50, 503},
        {60, 504},
        {70, 505}},
       Suspicion::kSuspect},
  };
  for (const auto& c : cases) {
    CrashLedger ledger(CrashLedger::Options(), Random(1));
    int n = 0;
    Time now{};
    for (const RunSpan& run : c.runs) {
      now = Time(milliseconds(run.ended));
      ledger.OnRunEnded(
          now, kRequest,
          {"e" + std::to_string(n++), 1, Time(milliseconds(run.began))});
      ledger.Tick(now, AllEnded());
    }
    EXPECT_EQ(ledger.Of(kRequest), c.expected) << c.name;
    EXPECT_EQ(ledger.Of("another"), Suspicion::kNone);
  }
}

// Crashes of one feature, each of an endpoint of its own.
struct Accusation {
  std::string feature;
  std::vector<int> crashes;  // numbers of the endpoints, in order of time
  bool survived = false;     // before all of them
};

TEST(CrashLedger, CrashesThatOthersExplainDoNotCount) {
  const std::string bad = "part:bad";
  const std::string shared = "part:shared";
  const struct {
    const char* name;
    std::vector<Accusation> accusations;
    std::vector<std::string> request;
    Suspicion expected;
  } cases[] = {
      {"a request with the bad part",
       {{bad, {1, 2, 3, 4}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {shared, bad, "r"},
       Suspicion::kQuarantined},
      {"one that shares the other part",
       {{bad, {1, 2, 3, 4, 5, 6}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {shared, "r"},
       Suspicion::kNone},
      {"the bad part without the other",
       {{bad, {1, 2, 3, 4, 5, 6}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {bad, "r"},
       Suspicion::kQuarantined},
      {"crashes of the bad part are not all known here",
       {{bad, {1, 2, 3, 4}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {shared, "r"},
       Suspicion::kNone},
      {"the shared part crashes endpoints by itself too",
       {{bad, {1, 2, 3, 4}}, {shared, {1, 2, 5, 6, 7, 8}, true}},
       {shared, "r"},
       Suspicion::kQuarantined},
      {"two bad parts",
       {{bad, {1, 2, 3, 4}},
        {"part:worse", {5, 6, 7, 8}},
        {shared, {1, 2, 3, 4, 5, 6, 7, 8}, true}},
       {shared, "r"},
       Suspicion::kNone},
      {"a part that no endpoint has survived, with fewer crashes",
       {{bad, {1, 2, 3, 4, 5}}, {"part:new", {1, 2, 3, 4}}},
       {"part:new", "r"},
       Suspicion::kNone},
      {"the bad part without it",
       {{bad, {1, 2, 3, 4, 5}}, {"part:new", {1, 2, 3, 4}}},
       {bad, "r"},
       Suspicion::kQuarantined},
      {"two such parts that always came together",
       {{bad, {1, 2, 3, 4}}, {"part:new", {1, 2, 3, 4}}},
       {bad, "part:new", "r"},
       Suspicion::kQuarantined},
      {"one of them alone",
       {{bad, {1, 2, 3, 4}}, {"part:new", {1, 2, 3, 4}}},
       {"part:new", "r"},
       Suspicion::kNone},
      {"a part that turned bad",
       {{bad, {1, 2, 3, 4, 5, 6, 7}, true}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {"part:other", bad, "r"},
       Suspicion::kQuarantined},
      {"a request that was moved along with the cause",
       {{bad, {1, 2, 3, 4}}, {"r", {1, 2, 3, 4}}},
       {shared, "r"},
       Suspicion::kNone},
      {"a request that was at a crash without the cause",
       {{bad, {1, 2, 3, 4}}, {"r", {1, 2, 3, 5}}},
       {shared, "r"},
       Suspicion::kQuarantined},
      {"a request with two crashes beside the cause",
       {{bad, {1, 2, 6, 7, 8}}, {"r", {1, 2, 3, 4}}},
       {shared, "r"},
       Suspicion::kQuarantined},
      {"the cause, where a request was moved along",
       {{bad, {1, 2, 3, 4}}, {"moved", {1, 2, 3, 4}}},
       {bad, "r"},
       Suspicion::kQuarantined},
      {"a request that crashes endpoints, with a part that others have",
       {{"r", {1, 2, 3, 4, 5, 6}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {shared, "r"},
       Suspicion::kQuarantined},
      {"others with that part",
       {{"r", {1, 2, 3, 4, 5, 6}}, {shared, {1, 2, 3, 4, 5, 6}, true}},
       {shared, "other"},
       Suspicion::kNone},
      {"a part that was survived before needs more crashes",
       {{shared, {1, 2, 3, 4}, true}},
       {shared, "r"},
       Suspicion::kNone},
  };
  for (const auto& c : cases) {
    CrashLedger ledger(CrashLedger::Options(), Random(1));
    for (const Accusation& a : c.accusations) {
      if (a.survived) ledger.OnSurvived(Time(milliseconds(1)), a.feature);
    }
    Time now{};
    for (int endpoint = 1; endpoint <= 8; endpoint++) {
      now = Time(milliseconds(100 * endpoint + 50));
      for (const Accusation& a : c.accusations) {
        if (std::find(a.crashes.begin(), a.crashes.end(), endpoint) ==
            a.crashes.end()) {
          continue;
        }
        ledger.OnRunEnded(now, a.feature,
                          {"e" + std::to_string(endpoint), 1,
                           Time(milliseconds(100 * endpoint))});
      }
      ledger.Tick(now, AllEnded());
    }
    EXPECT_EQ(ledger.Assess(c.request), c.expected) << c.name;
  }
}

// While requests with a part are refused, nothing else could clear it.
TEST(CrashLedger, QuarantinedPartsThatMayBeSharedByAllAreTried) {
  const CrashLedger::Options options;
  const struct {
    const char* name;
    bool survived;
    bool other_survived;
    bool owner;
    int refusals;
    Duration since_crash;
    bool tried;
  } cases[] = {
      {"tried", true, false, true, options.refusals_per_trial,
       options.first_trial, true},
      {"never survived", false, true, true, options.refusals_per_trial,
       options.first_trial, false},
      {"nothing was survived", false, false, true, options.refusals_per_trial,
       options.first_trial, true},
      {"another box's", true, false, false, options.refusals_per_trial,
       options.first_trial, false},
      {"few refusals", true, false, true, options.refusals_per_trial - 2,
       options.first_trial, false},
      {"early", true, false, true, options.refusals_per_trial,
       options.first_trial - milliseconds(1), false},
  };
  for (const auto& c : cases) {
    CrashLedger ledger(options, Random(1));
    ledger.set_trial_owner([&c](const std::string&) { return c.owner; });
    const std::vector<std::string> request = {"part:shared", "r"};
    if (c.survived) ledger.OnSurvived(Time(milliseconds(1)), request[0]);
    if (c.other_survived) ledger.OnSurvived(Time(milliseconds(1)), "part:x");
    Time now{};
    for (int i = 1; i <= 6; i++) {
      now = Time(milliseconds(100 * i + 50));
      ledger.OnRunEnded(
          now, request[0],
          {"e" + std::to_string(i), 1, Time(milliseconds(100 * i))});
    }
    ledger.Tick(now, AllEnded());
    ASSERT_EQ(ledger.Assess(request), Suspicion::kQuarantined) << c.name;
    for (int i = 0; i < c.refusals; i++) {
      EXPECT_TRUE(ledger.Refuse(now, request)) << c.name;
    }
    now += c.since_crash;
    EXPECT_EQ(!ledger.Refuse(now, request), c.tried) << c.name;
    EXPECT_EQ(ledger.TakeTrial(now, request), c.tried) << c.name;
    // One request only.
    EXPECT_FALSE(ledger.TakeTrial(now, request)) << c.name;
    EXPECT_TRUE(ledger.Refuse(now, request)) << c.name;
  }
}

// A request that many callers repeat may be harmless: while all of them are
// refused, none of its runs could clear it.
TEST(CrashLedger, RequestsThatWereSurvivedAreTriedTwice) {
  const CrashLedger::Options options;
  const struct {
    const char* name;
    bool survived;
    int trials;
  } cases[] = {{"survived before", true, options.max_request_trials},
               {"never survived", false, 0}};
  for (const auto& c : cases) {
    CrashLedger ledger(options, Random(1));
    ledger.set_trial_owner([](const std::string&) { return true; });
    if (c.survived) ledger.OnSurvived(Time(milliseconds(1)), kRequest);
    for (int i = 1; i <= 6; i++) {
      ledger.OnRunEnded(
          Time(milliseconds(100 * i + 50)), kRequest,
          {"e" + std::to_string(i), 1, Time(milliseconds(100 * i))});
    }
    ledger.Tick(Time(milliseconds(650)), AllEnded());
    ASSERT_EQ(ledger.Assess({kRequest}), Suspicion::kQuarantined) << c.name;
    int trials = 0;
    for (Time now = Time(seconds(1)); now < Time(options.retention);
         now += milliseconds(100)) {
      if (!ledger.Refuse(now, {kRequest}))
        trials += ledger.TakeTrial(now, {kRequest});
    }
    EXPECT_EQ(trials, c.trials) << c.name;
  }
}

// Guards against a part that crashes endpoints from the start and is tried
// again and again.
TEST(CrashLedger, PartsThatWereNeverSurvivedAreTriedAFewTimes) {
  const CrashLedger::Options options;
  CrashLedger ledger(options, Random(1));
  ledger.set_trial_owner([](const std::string&) { return true; });
  const std::vector<std::string> request = {"part:bad", "r"};
  for (int i = 1; i <= 6; i++) {
    ledger.OnRunEnded(
        Time(milliseconds(100 * i + 50)), request[0],
        {"e" + std::to_string(i), 1, Time(milliseconds(100 * i))});
  }
  ledger.Tick(Time(milliseconds(650)), AllEnded());
  int tried = 0;
  for (Time now = Time(seconds(1)); now < Time(options.retention);
       now += milliseconds(100)) {
    if (!ledger.Refuse(now, request)) tried += ledger.TakeTrial(now, request);
  }
  EXPECT_EQ(tried, options.max_blind_trials);
}

TEST(CrashLedger, TrialsBecomeSeldom) {
  const CrashLedger::Options options;
  CrashLedger ledger(options, Random(1));
  ledger.set_trial_owner([](const std::string&) { return true; });
  const std::vector<std::string> request = {"part:shared", "r"};
  ledger.OnSurvived(Time(milliseconds(1)), request[0]);
  std::vector<Duration> pauses;
  Time last{};
  for (int i = 1; i <= 6; i++) {
    last = Time(milliseconds(100 * i + 50));
    ledger.OnRunEnded(
        last, request[0],
        {"e" + std::to_string(i), 1, Time(milliseconds(100 * i))});
  }
  for (Time now = last; pauses.size() < 4; now += milliseconds(100)) {
    ledger.Tick(now, AllEnded());
    if (ledger.Refuse(now, request)) continue;
    ASSERT_TRUE(ledger.TakeTrial(now, request));
    pauses.push_back(now - last);
    last = now;
  }
  EXPECT_EQ(pauses, (std::vector<Duration>{seconds(3), seconds(18), seconds(60),
                                           seconds(60)}));
}

// Adds runs in sequence, each on an endpoint of its own.
void AddRuns(int from, int count, CrashLedger* ledger) {
  for (int i = from; i < from + count; i++) {
    ledger->OnRunEnded(
        Time(milliseconds(100 * i + 50)), kRequest,
        {"e" + std::to_string(i), 1, Time(milliseconds(100 * i))});
  }
}

TEST(CrashLedger, OnlyEndedIncarnationsCount) {
  CrashLedger ledger(CrashLedger::Options(), Random(1));
  AddRuns(0, 5, &ledger);
  Time now(seconds(1));
  ledger.Tick(now, Ended({"e0", "e1"}));
  EXPECT_EQ(ledger.Of(kRequest), Suspicion::kNone);
  const Time just(milliseconds(460));
  EXPECT_EQ(ledger.Unconfirmed(just),
            (std::set<std::string>{"e2", "e3", "e4"}));
  EXPECT_TRUE(ledger.Unconfirmed(now).empty());
  ledger.Tick(now, Ended({"e2"}));
  EXPECT_EQ(ledger.Of(kRequest), Suspicion::kSuspect);
  // The others are found working until it is too late to be a crash.
  now += CrashLedger::Options().confirm_timeout;
  ledger.Tick(now, Ended({}));
  ledger.Tick(now, AllEnded());
  EXPECT_EQ(ledger.Of(kRequest), Suspicion::kSuspect);
}

TEST(CrashLedger, ARunThatSurvivesClearsTheRequestEverywhere) {
  CrashLedger ledger(CrashLedger::Options(), Random(1));
  CrashLedger peer(CrashLedger::Options(), Random(2));
  AddRuns(0, 4, &ledger);
  Time now(seconds(1));
  auto updates = ledger.Tick(now, AllEnded());
  ASSERT_EQ(updates.to_all.size(), 1);
  const CrashRecord quarantined = updates.to_all[0];
  peer.OnRecord(now, quarantined);
  peer.Tick(now, AllEnded());
  EXPECT_EQ(peer.Of(kRequest), Suspicion::kQuarantined);
  EXPECT_EQ(peer.quarantined(), 1);

  now += milliseconds(400);  // the budget for sends is used up until then
  ledger.OnSurvived(now, kRequest);
  updates = ledger.Tick(now, AllEnded());
  EXPECT_EQ(ledger.Of(kRequest), Suspicion::kNone);
  ASSERT_EQ(updates.to_all.size(), 1);
  peer.OnRecord(now, updates.to_all[0]);
  peer.Tick(now, AllEnded());
  EXPECT_EQ(peer.Of(kRequest), Suspicion::kNone);
  EXPECT_EQ(peer.quarantined(), 0);

  // Boxes that missed the news get it with a sample, for a while.
  EXPECT_EQ(ledger.Sample(now, 10).size(), 1);
  EXPECT_TRUE(
      ledger.Sample(now + CrashLedger::Options().cleared_news, 10).empty());

  // A late copy changes nothing, and its sender is told.
  peer.OnRecord(now, quarantined);
  updates = peer.Tick(now, AllEnded());
  EXPECT_EQ(peer.Of(kRequest), Suspicion::kNone);
  ASSERT_EQ(updates.to_all.size(), 1);
  EXPECT_NE(updates.to_all[0].survived_ms_ago, kNeverSurvived);

  // Later crashes count anew.
  AddRuns(20, 4, &ledger);
  now = Time(seconds(3));
  ledger.Tick(now, AllEnded());
  EXPECT_EQ(ledger.Of(kRequest), Suspicion::kQuarantined);
}

TEST(CrashLedger, EvidenceIsSentUntilItsResendsAreUsedUp) {
  const CrashLedger::Options options;
  CrashLedger ledger(options, Random(1));
  AddRuns(0, 1, &ledger);
  size_t sent = 0;
  Time now(seconds(1));
  for (int i = 0; i < 300; i++, now += milliseconds(20)) {
    sent += ledger.Tick(now, AllEnded()).to_collectors.size();
  }
  EXPECT_EQ(sent, 1 + options.resend_delays.size());
}

// Guards against a cause that is found late because the evidence of all that
// ran beside it is sent first.
TEST(CrashLedger, VerdictsDoNotWaitForEvidence) {
  CrashLedger ledger(CrashLedger::Options(), Random(1));
  AddRuns(0, 4, &ledger);
  const Time now(seconds(1));
  for (int i = 0; i < 30; i++) {
    const std::string n = std::to_string(i);
    ledger.OnRunEnded(now, "part:" + n, {"e", 1, now - milliseconds(900)});
    ledger.OnRunEnded(now, "a" + n, {"e", 1, now - milliseconds(900)});
  }
  const CrashLedger::Updates updates = ledger.Tick(now, AllEnded());
  ASSERT_EQ(updates.to_all.size(), 1);
  EXPECT_EQ(updates.to_all[0].fingerprint, kRequest);
}

TEST(CrashLedger, OfOtherRequestsTheShortestRunsAreSentFirst) {
  CrashLedger ledger(CrashLedger::Options(), Random(1));
  const Time now(seconds(1));
  for (const int ms : {900, 50, 400}) {
    ledger.OnRunEnded(now, "ran " + std::to_string(ms),
                      {"e", 1, now - milliseconds(ms)});
  }
  std::vector<std::string> sent;
  for (int i = 0; i < 100; i++) {
    for (const CrashRecord& r :
         ledger.Tick(now + milliseconds(i), AllEnded()).to_collectors) {
      sent.push_back(r.fingerprint);
    }
  }
  EXPECT_EQ(sent, (std::vector<std::string>{"ran 50", "ran 400", "ran 900"}));
}

TEST(CrashLedger, MemoryIsBoundedAndSuspectsStay) {
  CrashLedger::Options options;
  options.max_records = 100;
  options.max_quarantined = 5;
  CrashLedger ledger(options, Random(1));
  Time now{};
  for (int i = 0; i < 10; i++) {
    for (int run = 0; run < 4; run++, now += milliseconds(100)) {
      ledger.OnRunEnded(now + milliseconds(50), "bad" + std::to_string(i),
                        {"e" + std::to_string(run), 1, now});
    }
    ledger.Tick(now, AllEnded());
  }
  for (int i = 0; i < 1000; i++, now += milliseconds(1)) {
    ledger.OnRunEnded(now, "other" + std::to_string(i), {"e", 1, now});
    ledger.Tick(now, AllEnded());
  }
  EXPECT_EQ(ledger.quarantined(), options.max_quarantined);
  for (int i = 0; i < 10; i++) {
    EXPECT_NE(ledger.Of("bad" + std::to_string(i)), Suspicion::kNone) << i;
  }
  now += options.retention + seconds(1);
  ledger.Tick(now, AllEnded());
  EXPECT_TRUE(ledger.empty());
  EXPECT_EQ(ledger.quarantined(), 0);
}

// A box that drops its records later than others must not bring them back.
TEST(CrashLedger, ExpiredRecordsDoNotComeBack) {
  CrashLedger ledger(CrashLedger::Options(), Random(1));
  CrashLedger late(CrashLedger::Options(), Random(2));
  AddRuns(0, 4, &ledger);
  Time now(seconds(1));
  late.OnRecord(now, ledger.Tick(now, AllEnded()).to_all[0]);
  late.Tick(now, AllEnded());
  ASSERT_EQ(late.Of(kRequest), Suspicion::kQuarantined);
  now += CrashLedger::Options().retention;
  const std::vector<CrashRecord> old = late.Sample(now, 10);
  ASSERT_EQ(old.size(), 1);
  ledger.Tick(now, AllEnded());
  EXPECT_TRUE(ledger.empty());
  ledger.OnRecord(now, old[0]);
  EXPECT_TRUE(ledger.empty());
  late.Tick(now, AllEnded());
  EXPECT_TRUE(late.empty());
  EXPECT_EQ(late.quarantined(), 0);
}

// --- many boxes ------------------------------------------------------------

constexpr milliseconds kRunTime{60};  // of a run until its endpoint crashes
constexpr milliseconds kRestartTime{2000};

struct FleetOptions {
  LedgerNet::Options net = {};
  int endpoints = 12;
  int copies = 2;    // callers that repeat the crashing request
  int attempts = 2;  // per request
  int harmless_callers = 0;
  Duration mass_crash_interval{};  // of half of the endpoints; 0 for none
  uint64_t seed = 1;
};

// Boxes with a ledger each, callers that repeat a request at random boxes, and
// endpoints that the request "crash" ends. The fleet sees all runs, so it
// counts exactly.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options)
      : options_(options),
        random_(options.seed),
        net_(&clock_, options.net, random_()) {
    for (int i = 0; i < options.endpoints; i++) endpoints_.push_back({i});
    for (int i = 0; i < options.copies; i++) {
      Repeat("crash", milliseconds(200), 0);
    }
    for (int i = 0; i < options.harmless_callers; i++) {
      Repeat("harmless", milliseconds(100), 0);
    }
    if (options.mass_crash_interval > Duration(0)) ScheduleMassCrash();
  }

  void RunFor(Duration d) { clock_.Advance(d); }

  int crashes() const { return crashes_; }
  int sends_after_bound() const { return sends_after_bound_; }
  int harmless_refused() const { return harmless_refused_; }
  int harmless_served() const { return harmless_served_; }
  int most_bytes_per_second() const { return net_.most_bytes_per_second(); }

 private:
  struct Endpoint {
    int id;  // of the present incarnation
    bool up = true;
  };
  struct Run {
    std::string request;
    int box;
    int attempt;
    size_t endpoint;
    int id;
    Time began;
    Duration pause;  // of the caller between requests
  };

  int Pick(int n) { return static_cast<int>(random_() % n); }

  // A caller's next request, at a random box.
  void Repeat(const std::string& request, Duration pause, int extra_ms) {
    clock_.After(pause + milliseconds(extra_ms + Pick(100)),
                 [this, request, pause] {
                   const int box = Pick(net_.size());
                   if (net_.box(box).Of(request) == Suspicion::kQuarantined) {
                     harmless_refused_ += request == "harmless";
                     Repeat(request, pause, 0);
                   } else {
                     Send(request, box, 1, pause);
                   }
                 });
  }

  void Send(const std::string& request, int box, int attempt, Duration pause) {
    std::vector<size_t> up;
    for (size_t i = 0; i < endpoints_.size(); i++) {
      if (endpoints_[i].up) up.push_back(i);
    }
    if (up.empty()) return Repeat(request, pause, 0);
    const size_t endpoint = up[random_() % up.size()];
    if (request == "crash" && bound_ && clock_.now() > *bound_ &&
        net_.InContact(box)) {
      sends_after_bound_++;
    }
    const Run run = {
        request,      box,  attempt, endpoint, endpoints_[endpoint].id,
        clock_.now(), pause};
    running_.push_back(run);
    const Duration span =
        request == "crash" ? Duration(kRunTime) : Duration(milliseconds(300));
    clock_.After(span, [this, run] { OnRunTime(run); });
  }

  void OnRunTime(const Run& run) {
    const auto it = FindRunning(run);
    if (it == running_.end()) return;  // its endpoint has crashed
    if (run.request == "crash") {
      Crash(run.endpoint);
      return;
    }
    running_.erase(it);
    harmless_served_++;
    CrashLedger& ledger = net_.box(run.box);
    if (!ledger.empty()) ledger.OnSurvived(clock_.now(), run.request);
    Repeat(run.request, run.pause, 0);
  }

  std::vector<Run>::iterator FindRunning(const Run& run) {
    return std::find_if(running_.begin(), running_.end(), [&](const Run& r) {
      return r.id == run.id && r.began == run.began && r.box == run.box &&
             r.request == run.request;
    });
  }

  void Crash(size_t endpoint) {
    Endpoint& e = endpoints_[endpoint];
    const std::string name = std::to_string(e.id);
    e.up = false;
    net_.End(name);
    clock_.After(kRestartTime, [this, endpoint] {
      endpoints_[endpoint] = {next_id_++, true};
    });
    std::vector<Run> lost;
    std::erase_if(running_, [&](const Run& r) {
      if (r.id != e.id) return false;
      lost.push_back(r);
      return true;
    });
    bool caused = false;
    for (const Run& r : lost) {
      caused |= r.request == "crash";
      net_.box(r.box).OnRunEnded(clock_.now(), r.request, {name, 1, r.began});
      AfterCrash(r);
    }
    if (caused && ++crashes_ == 3) bound_ = clock_.now() + LedgerNet::kContact;
  }

  void AfterCrash(const Run& r) {
    const bool again = r.attempt < options_.attempts &&
                       net_.box(r.box).Of(r.request) == Suspicion::kNone;
    if (again) {
      clock_.After(milliseconds(2), [this, r] {
        Send(r.request, r.box, r.attempt + 1, r.pause);
      });
    } else {
      Repeat(r.request, r.pause, 0);
    }
  }

  void ScheduleMassCrash() {
    clock_.After(options_.mass_crash_interval, [this] {
      for (size_t i = 0; i < endpoints_.size(); i += 2) {
        if (endpoints_[i].up) Crash(i);
      }
      ScheduleMassCrash();
    });
  }

  FleetOptions options_;
  Random random_;
  PausedClock clock_;
  LedgerNet net_;
  std::vector<Endpoint> endpoints_;
  std::vector<Run> running_;
  int next_id_ = 1000;
  int crashes_ = 0;
  std::optional<Time> bound_;
  int sends_after_bound_ = 0;
  int harmless_refused_ = 0;
  int harmless_served_ = 0;
};

constexpr int kAllowedSends = 3;

TEST(CrashLedgerFleet, ACrashingRequestIsStopped) {
  const struct {
    const char* name;
    FleetOptions options;
  } cases[] = {
      {"eight boxes", {}},
      {"one attempt", {.attempts = 1}},
      {"one caller", {.copies = 1, .attempts = 1}},
      {"three callers", {.copies = 3}},
      {"730 boxes", {.net = {.boxes = 730}, .endpoints = 60}},
      {"lossy links",
       {.net = {.loss = 0.3, .duplicates = 0.2, .max_delay_ms = 200}}},
      {"boxes restart", {.net = {.box_restarts = milliseconds(700)}}},
      {"beside a harmless one", {.harmless_callers = 24}},
      {"mass crashes",
       {.harmless_callers = 24, .mass_crash_interval = seconds(6)}},
  };
  for (const auto& c : cases) {
    for (uint64_t seed = 1; seed <= 20; seed++) {
      FleetOptions options = c.options;
      options.seed = seed;
      Fleet fleet(options);
      fleet.RunFor(seconds(30));
      EXPECT_GE(fleet.crashes(), 3) << c.name << " seed " << seed;
      EXPECT_LE(fleet.sends_after_bound(), kAllowedSends)
          << c.name << " seed " << seed << " crashes " << fleet.crashes();
    }
  }
}

TEST(CrashLedgerFleet, HarmlessRequestsAreServedThroughMassCrashes) {
  for (uint64_t seed = 1; seed <= 20; seed++) {
    FleetOptions options;
    options.copies = 0;
    options.harmless_callers = 24;
    options.mass_crash_interval = seconds(3);
    options.seed = seed;
    Fleet fleet(options);
    fleet.RunFor(seconds(30));
    EXPECT_EQ(fleet.harmless_refused(), 0) << seed;
    EXPECT_GT(fleet.harmless_served(), 500) << seed;
  }
}

constexpr int kMaxControlBytes = 2000;  // per box and second, for all control

// The sends of one box do not depend on the number of boxes.
TEST(CrashLedgerFleet, TrafficIsTheSameForAnyNumberOfBoxes) {
  for (const int boxes : {8, 60, 730}) {
    FleetOptions options;
    options.net.boxes = boxes;
    options.endpoints = 60;
    Fleet fleet(options);
    fleet.RunFor(seconds(30));
    EXPECT_LE(fleet.most_bytes_per_second(), kMaxControlBytes) << boxes;
  }
}

}  // namespace
}  // namespace pinford
