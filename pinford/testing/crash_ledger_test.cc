// The crash ledger: which evidence makes a request a suspect, and what many
// boxes together do with a request that crashes endpoints, with harmless ones
// beside it, and with messages that are lost, late or repeated.

#include "pinford/forwarding/crash_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
      ledger.OnRunEnded(now, kRequest, "e" + std::to_string(n++), 1,
                        Time(milliseconds(run.began)), true);
      ledger.Tick(now, AllEnded());
    }
    EXPECT_EQ(ledger.Of(kRequest), c.expected) << c.name;
    EXPECT_EQ(ledger.Of("another"), Suspicion::kNone);
  }
}

// Adds runs in sequence, each on an endpoint of its own.
void AddRuns(int from, int count, CrashLedger* ledger) {
  for (int i = from; i < from + count; i++) {
    ledger->OnRunEnded(Time(milliseconds(100 * i + 50)), kRequest,
                       "e" + std::to_string(i), 1, Time(milliseconds(100 * i)),
                       true);
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

  now += milliseconds(100);
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

TEST(CrashLedger, MemoryIsBoundedAndSuspectsStay) {
  CrashLedger::Options options;
  options.max_records = 100;
  options.max_quarantined = 5;
  CrashLedger ledger(options, Random(1));
  Time now{};
  for (int i = 0; i < 10; i++) {
    for (int run = 0; run < 4; run++, now += milliseconds(100)) {
      ledger.OnRunEnded(now + milliseconds(50), "bad" + std::to_string(i),
                        "e" + std::to_string(run), 1, now, true);
    }
    ledger.Tick(now, AllEnded());
  }
  for (int i = 0; i < 1000; i++, now += milliseconds(1)) {
    ledger.OnRunEnded(now, "other" + std::to_string(i), "e", 1, now, true);
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

constexpr milliseconds kTick{20};
constexpr milliseconds kRunTime{60};  // of a run until its endpoint crashes
constexpr milliseconds kRestartTime{2000};
constexpr milliseconds kSampleInterval{1000};
constexpr milliseconds kJoinTime{300};
// A box must know after this time what its peers know.
constexpr seconds kContact{3};
constexpr size_t kFanout = 4;

struct FleetOptions {
  int boxes = 8;
  int endpoints = 12;
  double loss = 0;          // of datagrams
  double duplicates = 0;    // of datagrams
  int max_delay_ms = 5;     // of datagrams
  int copies = 2;           // callers that repeat the crashing request
  int attempts = 2;         // per request
  Duration box_restarts{};  // one box after the other; 0 for none
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
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.boxes; i++) boxes_.push_back(NewLedger());
    for (int i = 0; i < options.endpoints; i++) endpoints_.push_back({i});
    for (int i = 0; i < options.copies; i++) {
      Repeat("crash", milliseconds(200), 0);
    }
    for (int i = 0; i < options.harmless_callers; i++) {
      Repeat("harmless", milliseconds(100), 0);
    }
    Every(kTick, [this] { TickAll(); });
    Every(kSampleInterval, [this] { SampleAll(); });
    if (options.box_restarts > Duration(0)) {
      Every(options.box_restarts, [this] { RestartNextBox(); });
    }
    if (options.mass_crash_interval > Duration(0)) {
      Every(options.mass_crash_interval, [this] { CrashHalf(); });
    }
  }

  void RunFor(Duration d) {
    const Time end = now_ + d;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto first = events_.extract(events_.begin());
      now_ = first.key();
      first.mapped()();
    }
    now_ = end;
  }

  int crashes() const { return crashes_; }
  int sends_after_bound() const { return sends_after_bound_; }
  int harmless_refused() const { return harmless_refused_; }
  int harmless_served() const { return harmless_served_; }
  int most_bytes_per_second() const { return most_bytes_per_second_; }

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

  CrashLedger NewLedger() {
    return {CrashLedger::Options(), Random(random_())};
  }
  void After(Duration d, std::function<void()> fn) {
    events_.emplace(now_ + d, std::move(fn));
  }
  void Every(Duration d, const std::function<void()>& fn) {
    After(d, [this, d, fn] {
      fn();
      Every(d, fn);
    });
  }
  int Pick(int n) { return static_cast<int>(random_() % n); }
  bool Draw(double p) { return std::bernoulli_distribution(p)(random_); }

  // A caller's next request, at a random box.
  void Repeat(const std::string& request, Duration pause, int extra_ms) {
    After(pause + milliseconds(extra_ms + Pick(100)), [this, request, pause] {
      const int box = Pick(options_.boxes);
      if (boxes_[box].Of(request) == Suspicion::kQuarantined) {
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
    if (request == "crash" && bound_ && now_ > *bound_ && InContact(box)) {
      sends_after_bound_++;
    }
    const Run run = {request, box,  attempt, endpoint, endpoints_[endpoint].id,
                     now_,    pause};
    running_.push_back(run);
    const Duration span =
        request == "crash" ? Duration(kRunTime) : Duration(milliseconds(300));
    After(span, [this, run] { OnRunTime(run); });
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
    if (!boxes_[run.box].empty()) boxes_[run.box].OnSurvived(now_, run.request);
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
    ended_.insert(name);
    After(kRestartTime, [this, endpoint] {
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
      boxes_[r.box].OnRunEnded(now_, r.request, name, 1, r.began, true);
      AfterCrash(r);
    }
    if (caused && ++crashes_ == 3) bound_ = now_ + kContact;
  }

  void AfterCrash(const Run& r) {
    const bool again = r.attempt < options_.attempts &&
                       boxes_[r.box].Of(r.request) == Suspicion::kNone;
    if (again) {
      After(milliseconds(2),
            [this, r] { Send(r.request, r.box, r.attempt + 1, r.pause); });
    } else {
      Repeat(r.request, r.pause, 0);
    }
  }

  void CrashHalf() {
    for (size_t i = 0; i < endpoints_.size(); i += 2) {
      if (endpoints_[i].up) Crash(i);
    }
  }

  void RestartNextBox() {
    next_restart_ = (next_restart_ + 1) % options_.boxes;
    boxes_[next_restart_] = NewLedger();
    started_[next_restart_] = now_;
    // Some of the peers that notice it send it their records.
    After(kJoinTime, [this, to = next_restart_] {
      for (int i = 0; i < options_.boxes; i++) {
        if (!Draw(4.0 / options_.boxes)) continue;
        for (const CrashRecord& r : boxes_[i].Sample(now_, 64)) {
          Deliver(i, to, r);
        }
      }
    });
  }

  bool InContact(int box) const {
    const auto it = started_.find(box);
    return it == started_.end() || now_ - it->second >= kContact;
  }

  void TickAll() {
    for (int i = 0; i < options_.boxes; i++) {
      const auto updates =
          boxes_[i].Tick(now_, [this](const std::string& endpoint, uint64_t) {
            return ended_.contains(endpoint);
          });
      for (const CrashRecord& r : updates.to_collectors) {
        for (const int to : CollectorsOf(r.fingerprint)) Deliver(i, to, r);
      }
      for (const CrashRecord& r : updates.to_all) Gossip(i, r, kFanout);
    }
  }

  void SampleAll() {
    bytes_ = {};
    for (int i = 0; i < options_.boxes; i++) {
      for (const CrashRecord& r : boxes_[i].Sample(now_, 1)) Gossip(i, r, 2);
    }
  }

  std::vector<int> CollectorsOf(const std::string& key) const {
    std::vector<std::pair<uint64_t, int>> ranked;
    ranked.reserve(options_.boxes);
    for (int i = 0; i < options_.boxes; i++) {
      ranked.emplace_back(RendezvousWeight(std::to_string(i), key), i);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<int> collectors;
    collectors.reserve(kCrashCollectors);
    for (int i = 0; i < std::min(kCrashCollectors, options_.boxes); i++) {
      collectors.push_back(ranked[i].second);
    }
    return collectors;
  }

  void Gossip(int from, const CrashRecord& record, size_t peers) {
    for (size_t i = 0; i < peers; i++) {
      Deliver(from, Pick(options_.boxes), record);
    }
  }

  void Deliver(int from, int to, const CrashRecord& record) {
    if (from == to) return;
    CountBytes(from, record);
    for (int copy = 0; copy < (Draw(options_.duplicates) ? 2 : 1); copy++) {
      if (Draw(options_.loss)) continue;
      After(milliseconds(Pick(options_.max_delay_ms) + 1),
            [this, to, record] { boxes_[to].OnRecord(now_, record); });
    }
  }

  void CountBytes(int from, const CrashRecord& record) {
    bytes_[from] +=
        static_cast<int>(PeerCodec("k").Encode(CrashNotice{{record}}).size());
    most_bytes_per_second_ = std::max(most_bytes_per_second_, bytes_[from]);
  }

  FleetOptions options_;
  Random random_;
  Time now_{};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<CrashLedger> boxes_;
  std::vector<Endpoint> endpoints_;
  std::vector<Run> running_;
  std::set<std::string> ended_;
  int next_id_ = 1000;
  int next_restart_ = -1;
  std::map<int, Time> started_;  // of boxes that have restarted
  int crashes_ = 0;
  std::optional<Time> bound_;
  int sends_after_bound_ = 0;
  int harmless_refused_ = 0;
  int harmless_served_ = 0;
  std::map<int, int> bytes_;  // by box, in this second
  int most_bytes_per_second_ = 0;
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
      {"730 boxes", {.boxes = 730, .endpoints = 60}},
      {"lossy links", {.loss = 0.3, .duplicates = 0.2, .max_delay_ms = 200}},
      {"boxes restart", {.box_restarts = milliseconds(700)}},
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
    options.boxes = boxes;
    options.endpoints = 60;
    Fleet fleet(options);
    fleet.RunFor(seconds(30));
    EXPECT_LE(fleet.most_bytes_per_second(), kMaxControlBytes) << boxes;
  }
}

}  // namespace
}  // namespace pinford
