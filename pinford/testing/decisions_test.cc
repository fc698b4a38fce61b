// Small decision modules, each tested with a table of cases or against a simple
// oracle.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "pinford/admission.h"
#include "pinford/chain_picker.h"
#include "pinford/endpoint_table.h"
#include "pinford/pipeline.h"
#include "pinford/retry_budget.h"
#include "pinford/step_deadline.h"
#include "pinford/timeline.h"
#include "util/address.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

TEST(Pipeline, Partitions) {
  const struct {
    Chain chain;
    bool valid;
  } cases[] = {
      {{{"a", {0, 8}}}, true},
      {{{"a", {0, 3}}, {"b", {3, 8}}}, true},
      {{}, false},
      {{{"a", {0, 7}}}, false},
      {{{"a", {1, 8}}}, false},
      {{{"a", {0, 3}}, {"b", {4, 8}}}, false},
      {{{"a", {0, 4}}, {"b", {3, 8}}}, false},
      {{{"a", {0, 3}}, {"b", {3, 3}}, {"c", {3, 8}}}, false},
      {{{"b", {3, 8}}, {"a", {0, 3}}}, false},
  };
  for (const auto& c : cases) EXPECT_EQ(Partitions(c.chain, {0, 8}), c.valid);
}

// Tries every chain; returns the lowest cost, or infinity.
double CheapestByBruteForce(const std::vector<Candidate>& all, LayerRange range,
                            int last) {
  if (range.empty()) return 0;
  double best = INFINITY;
  for (size_t e = 0; e < all.size(); e++) {
    if (static_cast<int>(e) == last) continue;
    for (int end = range.begin + 1; end <= range.end; end++) {
      if (!all[e].holds.Contains({range.begin, end})) break;
      const double cost =
          all[e].handoff_cost + all[e].layer_cost * (end - range.begin);
      best = std::min(best, cost + CheapestByBruteForce(all, {end, range.end},
                                                        static_cast<int>(e)));
    }
  }
  return best;
}

TEST(ChainPicker, FindsTheCheapestOfAllChains) {
  int covered = 0;
  for (int seed = 0; seed < 400; seed++) {
    Random random(seed);
    auto unit = [&random] { return (random() % 1000 + 1) / 1000.0; };
    const int layers = 3 + static_cast<int>(random() % 4);
    std::vector<Candidate> all;
    for (int e = 0; e < 5; e++) {
      const int a = static_cast<int>(random() % layers);
      const int b = a + 1 + static_cast<int>(random() % (layers - a));
      all.push_back({"e" + std::to_string(e), {a, b}, unit(), unit()});
    }
    const double best = CheapestByBruteForce(all, {0, layers}, -1);
    const std::optional<Chain> chain = PickChain(all, {0, layers});
    ASSERT_EQ(chain.has_value(), best < INFINITY) << seed;
    if (!chain) continue;
    covered++;
    EXPECT_TRUE(Partitions(*chain, {0, layers}));
    EXPECT_NEAR(ChainCost(all, *chain), best, 1e-9) << seed;
  }
  EXPECT_GT(covered, 100);
}

// The same over chains in which no endpoint occurs twice.
double CheapestSimpleByBruteForce(const std::vector<Candidate>& all,
                                  LayerRange range, double cross_hall_cost,
                                  std::vector<int> used) {
  if (range.empty()) return 0;
  double best = INFINITY;
  for (size_t e = 0; e < all.size(); e++) {
    const int id = static_cast<int>(e);
    if (std::find(used.begin(), used.end(), id) != used.end()) continue;
    for (int end = range.begin + 1; end <= range.end; end++) {
      if (!all[e].holds.Contains({range.begin, end})) break;
      double cost =
          all[e].handoff_cost + all[e].layer_cost * (end - range.begin);
      if (used.empty()) cost += all[e].first_stage_cost;
      if (!used.empty() && all[used.back()].hall != all[e].hall) {
        cost += cross_hall_cost;
      }
      std::vector<int> next = used;
      next.push_back(id);
      best = std::min(best, cost + CheapestSimpleByBruteForce(
                                       all, {end, range.end}, cross_hall_cost,
                                       std::move(next)));
    }
  }
  return best;
}

TEST(ChainPicker, FindsTheCheapestChainWithoutRepeats) {
  int covered = 0;
  int repeats = 0;
  for (int seed = 0; seed < 600; seed++) {
    Random random(seed);
    auto unit = [&random] { return (random() % 1000 + 1) / 1000.0; };
    const int layers = 3 + static_cast<int>(random() % 5);
    const double cross_hall = unit();
    std::vector<Candidate> all;
    for (int e = 0; e < 5; e++) {
      const int a = static_cast<int>(random() % layers);
      const int b = a + 1 + static_cast<int>(random() % (layers - a));
      all.push_back({"e" + std::to_string(e),
                     {a, b},
                     unit(),
                     unit() / 4,
                     static_cast<int>(random() % 2),
                     unit()});
    }
    const double best =
        CheapestSimpleByBruteForce(all, {0, layers}, cross_hall, {});
    const std::optional<Chain> chain =
        PickSimpleChain(all, {0, layers}, cross_hall, kMaxPaths).chain;
    ASSERT_EQ(chain.has_value(), best < INFINITY) << seed;
    if (!chain) continue;
    covered++;
    EXPECT_TRUE(Partitions(*chain, {0, layers}));
    std::set<std::string> names;
    for (const Stage& s : *chain) {
      EXPECT_TRUE(names.insert(s.endpoint).second) << seed;
    }
    EXPECT_NEAR(ChainCost(all, *chain, cross_hall), best, 1e-9) << seed;
    const std::optional<Chain> any = PickChain(all, {0, layers}, cross_hall);
    if (ChainCost(all, *any, cross_hall) < best - 1e-9) repeats++;
  }
  EXPECT_GT(covered, 150);
  // PickChain alone would have returned cheaper chains with repeats.
  EXPECT_GT(repeats, 5);
}

// A pool under load: the runners of three halls, where choices have balanced
// the costs, so that many chains cost about the same.
std::vector<Candidate> LoadedPool(Random* random) {
  const struct {
    LayerRange holds;
    int hall;
    double layer_cost_ms;
  } runners[] = {
      {{0, 8}, 0, 12.3},  {{5, 32}, 0, 5.3},  {{8, 16}, 0, 3.6},
      {{16, 24}, 0, 4.7}, {{24, 51}, 0, 5.9}, {{32, 40}, 0, 3.3},
      {{48, 64}, 0, 9.1}, {{64, 80}, 0, 9.1}, {{72, 80}, 0, 7.1},
      {{0, 8}, 1, 7.7},   {{0, 16}, 1, 7.2},  {{16, 32}, 1, 5.1},
      {{19, 27}, 1, 3.0}, {{27, 54}, 1, 8.0}, {{38, 46}, 1, 1.5},
      {{48, 56}, 1, 7.7}, {{54, 62}, 1, 9.4}, {{56, 64}, 1, 10.6},
      {{64, 72}, 1, 5.5}, {{64, 80}, 1, 4.7}, {{72, 80}, 1, 5.2},
      {{0, 16}, 2, 4.6},  {{0, 16}, 2, 5.9},  {{16, 24}, 2, 8.9},
      {{16, 32}, 2, 7.8}, {{24, 32}, 2, 9.6}, {{32, 48}, 2, 4.3},
      {{32, 48}, 2, 4.6}, {{46, 54}, 2, 7.4}, {{48, 64}, 2, 8.9},
      {{53, 80}, 2, 9.6}, {{62, 70}, 2, 7.8}, {{70, 78}, 2, 7.0},
  };
  std::vector<Candidate> all;
  for (const auto& r : runners) {
    Candidate c{"e" + std::to_string(all.size()), r.holds};
    const double factor =
        0.8 + 0.4 * static_cast<double>((*random)() % 1000) / 1000;
    c.layer_cost = factor * r.layer_cost_ms / 1000;
    c.handoff_cost = 0.0005;
    c.hall = r.hall;
    all.push_back(c);
  }
  return all;
}

// Proofs that no other chain is cheaper took all the processor time of a box
// that had most callers.
TEST(ChainPicker, AChoiceUnderLoadTakesFewPaths) {
  constexpr LayerRange kModel{0, 80};
  constexpr double kCrossHall = 0.04;
  constexpr int kPools = 50;
  // 80 choices a second then take a tenth of a quarter of a core, at 10 us a
  // path.
  constexpr int kMaxMeanPaths = 30;
  constexpr double kMaxMeanExcess = 0.1;  // of the cost
  const int further = EndpointTable::Options().max_further_paths;
  int paths = 0;
  int most_paths = 0;  // if the search goes on
  double excess = 0;
  for (int seed = 0; seed < kPools; seed++) {
    Random random(seed);
    const std::vector<Candidate> all = LoadedPool(&random);
    const SimpleChainChoice best =
        PickSimpleChain(all, kModel, kCrossHall, kMaxPaths);
    const SimpleChainChoice choice =
        PickSimpleChain(all, kModel, kCrossHall, further);
    ASSERT_TRUE(best.chain && choice.chain) << seed;
    most_paths += best.paths;
    paths += choice.paths;
    excess += ChainCost(all, *choice.chain, kCrossHall) /
                  ChainCost(all, *best.chain, kCrossHall) -
              1;
  }
  EXPECT_GT(most_paths, kPools * kMaxMeanPaths);
  EXPECT_LE(paths, kPools * kMaxMeanPaths);
  EXPECT_LE(excess, kPools * kMaxMeanExcess);
}

TEST(StepDeadline, FollowsMeasuredSteps) {
  const struct {
    const char* name;
    std::vector<std::pair<double, int>> steps;  // work, ms
    double work;
    int min_ms, max_ms;
  } cases[] = {
      {"nothing measured", {}, 3, 1000, 1000},
      {"fast steps have the floor", {{3, 5}, {3, 5}, {3, 6}}, 3, 150, 150},
      {"slow steps get longer",
       {{3, 400}, {3, 400}, {3, 400}, {3, 400}},
       3,
       401,
       3000},
      {"long prompts get longer", {{3, 30}, {3, 30}}, 300, 3000, 10000},
      {"never over the ceiling", {{1, 9000}, {1, 9000}}, 1000, 10000, 10000},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    StepDeadline deadline;
    for (const auto& [work, ms] : c.steps) {
      deadline.Measure(work, milliseconds(ms));
    }
    EXPECT_GE(deadline.For(c.work), milliseconds(c.min_ms));
    EXPECT_LE(deadline.For(c.work), milliseconds(c.max_ms));
    // Doubled by each missed deadline until a reply is measured.
    const Duration before = deadline.For(c.work);
    deadline.BackOff();
    deadline.BackOff();
    EXPECT_EQ(deadline.For(c.work),
              std::min<Duration>(before * 4, seconds(10)));
    for (const auto& [work, ms] : c.steps) {
      deadline.Measure(work, milliseconds(ms));
    }
    if (c.steps.empty()) continue;
    EXPECT_LE(deadline.For(c.work), before);
  }
}

TEST(RetryBudget, NeverMultipliesTheLoad) {
  RetryBudget budget({.per_success = 0.1, .per_second = 5, .max_retries = 50});
  PausedClock clock;
  int taken = 0;
  // Everything fails for a minute, 1,000 times per second.
  for (int i = 0; i < 60000; i++) {
    clock.Advance(milliseconds(1));
    if (budget.Take(clock.now())) taken++;
  }
  EXPECT_LE(taken, 50 + 60 * 5);
  EXPECT_GE(taken, 60 * 5);
  // Successes allow retries for at most a tenth of them.
  for (int i = 0; i < 1000; i++) budget.OnSuccess();
  taken = 0;
  while (budget.Take(clock.now())) taken++;
  EXPECT_LE(taken, 50);
}

TEST(Timeline, SortsAnEffectAfterItsCause) {
  uint64_t wall_a = 1000;
  uint64_t wall_b = 400;  // far behind
  Timeline a("a", 1, 10, [&] { return wall_a; });
  Timeline b("b", 1, 10, [&] { return wall_b; });
  a.Add(EventKind::kEndpointLeaving, "", "cause");
  b.Observe(a.now());
  b.Add(EventKind::kEndpointLeaving, "", "effect");
  std::vector<TimelineEvent> all = b.Events("");
  for (const TimelineEvent& e : a.Events("")) all.push_back(e);
  SortEvents(&all);
  EXPECT_EQ(all[0].detail, "cause");
  EXPECT_EQ(all[1].detail, "effect");
  for (int i = 0; i < 30; i++) a.Add(EventKind::kCallEnded, "r", "");
  EXPECT_EQ(a.Events("").size(), 10u);
  EXPECT_EQ(a.dropped(), 21u);
}

TEST(Address, AcceptsNumericAddressesOnly) {
  const struct {
    const char* text;
    bool valid;
  } cases[] = {
      {"127.0.0.1:80", true},   {"[::1]:80", true},
      {"127.0.0.1", false},     {"127.0.0.1:", false},
      {"127.0.0.1:0", false},   {"127.0.0.1:65536", false},
      {"127.0.0.1:80x", false}, {"localhost:80", false},
      {":80", false},           {"", false},
      {"300.0.0.1:80", false},  {"127.0.0.1:-1", false},
  };
  for (const auto& c : cases) {
    std::optional<Address> a = Address::Parse(c.text);
    EXPECT_EQ(a.has_value(), c.valid) << c.text;
    if (!a) continue;
    EXPECT_EQ(a->ToString(), c.text);
  }
}

// --- the table of endpoints ------------------------------------------------

class EndpointTableTest : public ::testing::Test {
 public:
  EndpointTableTest() : table_("a", EndpointTable::Options(), Random(1)) {}

  void List(ListedState state, uint64_t incarnation) {
    ListedEndpoint e;
    e.name = "x";
    e.hall = "a";
    e.address = {"127.0.0.1", 1};
    e.state = state;
    e.incarnation = incarnation;
    table_.OnList({e});
  }
  void Report(uint64_t incarnation, bool leaving, int running = 0) {
    LoadReport r;
    r.incarnation = incarnation;
    r.leaving = leaving;
    r.running = r.work = running;
    r.slots = 8;
    r.model = "m";
    r.version = "v";
    r.layers = 4;
    r.holds = {0, 4};
    table_.OnReport(clock_.now(), "x", r);
  }
  bool Takes() { return table_.TakesNewWork(clock_.now(), "x"); }

  PausedClock clock_;
  EndpointTable table_;
};

TEST_F(EndpointTableTest, FirstNoticeOfLeavingCounts) {
  const struct {
    const char* name;
    void (*report)(EndpointTableTest*, EndpointTable*, PausedClock*);
  } cases[] = {
      {"list", [](EndpointTableTest* t, EndpointTable*,
                  PausedClock*) { t->List(ListedState::kLeaving, 5); }},
      {"report", [](EndpointTableTest* t, EndpointTable*,
                    PausedClock*) { t->Report(5, true); }},
      {"refusal", [](EndpointTableTest*, EndpointTable* e,
                     PausedClock*) { EXPECT_TRUE(e->OnLeaving("x")); }},
      {"peer", [](EndpointTableTest*, EndpointTable* e,
                  PausedClock*) { EXPECT_TRUE(e->OnLeaving("x", 5)); }},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    table_ = EndpointTable("a", EndpointTable::Options(), Random(1));
    List(ListedState::kLive, 5);
    Report(5, false);
    EXPECT_TRUE(Takes());
    c.report(this, &table_, &clock_);
    EXPECT_FALSE(Takes());
    // Stale sources do not revert it.
    List(ListedState::kLive, 5);
    Report(5, false);
    EXPECT_FALSE(Takes());
    EXPECT_FALSE(table_.OnLeaving("x", 5)) << "already known";
    // A new incarnation takes work, and an old mark does not affect it.
    List(ListedState::kLive, 6);
    Report(6, false);
    EXPECT_TRUE(Takes());
    table_.OnLeaving("x", 5);
    EXPECT_TRUE(Takes());
  }
}

TEST_F(EndpointTableTest, TakesNoWorkWithoutAFreshReportOrDuringBackoff) {
  List(ListedState::kLive, 1);
  EXPECT_FALSE(Takes());
  Report(1, false);
  EXPECT_TRUE(Takes());
  clock_.Advance(seconds(6));
  EXPECT_FALSE(Takes());
  Report(1, false);
  table_.OnFailure(clock_.now(), "x", clock_.now());
  EXPECT_FALSE(Takes());
  clock_.Advance(milliseconds(1001));
  EXPECT_TRUE(Takes());
}

TEST_F(EndpointTableTest, TellsWhyEndpointsCannotBeUsed) {
  using State = EndpointTable::ServiceState;
  const struct {
    const char* name;
    std::function<void()> change;
    State state;
  } steps[] = {
      {"usable", [] {}, {1, 0, 0, 0, 0}},
      {"full", [&] { table_.OnSent("x", 100); }, {1, 0, 0, 0, 1}},
      {"failed",
       [&] { table_.OnFailure(clock_.now(), "x", clock_.now()); },
       {1, 0, 0, 1, 0}},
      {"down", [&] { table_.SetDown("x", true); }, {1, 0, 1, 0, 0}},
      {"leaving", [&] { table_.OnLeaving("x"); }, {1, 1, 0, 0, 0}},
      {"not listed", [&] { table_.OnUnlisted("x"); }, {}},
  };
  List(ListedState::kLive, 1);
  LoadReport report;
  report.incarnation = 1;
  report.memory_capacity = 100;
  report.holds = {0, 4};
  table_.OnReport(clock_.now(), "x", report);
  for (const auto& step : steps) {
    step.change();
    const State state = table_.StateOf(clock_.now(), "");
    EXPECT_EQ(state.listed, step.state.listed) << step.name;
    EXPECT_EQ(state.leaving, step.state.leaving) << step.name;
    EXPECT_EQ(state.down, step.state.down) << step.name;
    EXPECT_EQ(state.backing_off, step.state.backing_off) << step.name;
    EXPECT_EQ(state.full, step.state.full) << step.name;
  }
}

TEST(EndpointTable, PicksTheHighestCompleteVersion) {
  struct HeldRange {
    const char* version;
    LayerRange range;
  };
  const struct {
    std::vector<HeldRange> held;
    const char* wanted;
    const char* version;  // "" for none
  } cases[] = {
      {{{"v1", {0, 4}}}, "", "v1"},
      {{{"v1", {0, 4}}}, "v2", ""},
      {{{"v9", {0, 4}}, {"v10", {0, 4}}}, "", "v10"},
      {{{"v9", {0, 4}}, {"v10", {0, 3}}}, "", "v9"},
      {{{"v9", {0, 4}}, {"v10", {0, 2}}, {"v10", {1, 4}}}, "", "v10"},
      {{{"v9", {0, 4}}, {"v10", {0, 4}}}, "v9", "v9"},
  };
  for (const auto& c : cases) {
    EndpointTable table("a", EndpointTable::Options(), Random(1));
    std::vector<ListedEndpoint> list;
    for (size_t i = 0; i < c.held.size(); i++) {
      ListedEndpoint e;
      e.name = std::to_string(i);
      e.address = {"127.0.0.1", 1};
      list.push_back(e);
    }
    table.OnList(list);
    for (size_t i = 0; i < c.held.size(); i++) {
      LoadReport r;
      r.model = "m";
      r.version = c.held[i].version;
      r.layers = 4;
      r.holds = c.held[i].range;
      table.OnReport(Time{}, list[i].name, r);
    }
    EXPECT_EQ(table.VersionFor(Time{}, "m", c.wanted).value_or(""), c.version);
  }
}

TEST_F(EndpointTableTest, CountsWorkSentSinceTheReport) {
  List(ListedState::kLive, 1);
  for (int i = 0; i < 3; i++) table_.OnSent("x");
  Report(1, false, 5);  // three of this box, two of others
  EXPECT_EQ(table_.LoadOf("x"), 5);
  for (int i = 0; i < 4; i++) table_.OnSent("x");
  EXPECT_EQ(table_.LoadOf("x"), 9);
  // Peer counts take precedence over the older report.
  table_.OnPeerCounts({{NameId("x"), {6, 0}}});
  EXPECT_EQ(table_.LoadOf("x"), 13);
  for (int i = 0; i < 9; i++) table_.OnDone("x");
  EXPECT_EQ(table_.LoadOf("x"), 6);
}

TEST_F(EndpointTableTest, EndpointsMissingFromPeerCountsHaveNone) {
  List(ListedState::kLive, 1);
  table_.OnPeerCounts({{NameId("x"), {6, 2}}, {NameId("unknown"), {9, 9}}});
  EXPECT_EQ(table_.rows().at("x").peers.work, 6);
  EXPECT_EQ(table_.rows().at("x").peers.entries, 2);
  // A restart keeps the id by which peers count.
  table_.OnRestart(Time{}, "x");
  EXPECT_EQ(table_.rows().at("x").peers.work, 0);
  table_.OnPeerCounts({{NameId("x"), {3, 1}}});
  EXPECT_EQ(table_.rows().at("x").peers.work, 3);
  table_.OnPeerCounts({});
  EXPECT_EQ(table_.rows().at("x").peers.work, 0);
  EXPECT_EQ(table_.rows().at("x").peers.entries, 0);
}

// --- admission -------------------------------------------------------------

AdmissionItem Item(uint64_t id, Tier tier, const std::string& share,
                   double weight = 1, double cost = 10) {
  AdmissionItem item;
  item.id = id;
  item.tier = tier;
  item.share = share;
  item.weight = weight;
  item.cost = cost;
  item.deadline = Time(hours(1));
  return item;
}

TEST(Admission, SharesFollowTheWeights) {
  Admission admission({});
  uint64_t id = 0;
  const std::map<std::string, double> weights = {{"a", 1}, {"b", 2}, {"c", 5}};
  for (int i = 0; i < 300; i++) {
    for (const auto& [share, weight] : weights) {
      // Customers with long answers get no more tokens than those with short
      // ones.
      const double cost = share == "a" ? 40 : 10;
      admission.Offer(Time{}, Item(id++, Tier::kStandard, share, weight, cost));
    }
  }
  std::map<std::string, double> served;
  for (const AdmissionItem& item : admission.Take(200)) {
    served[item.share] += item.cost;
  }
  EXPECT_NEAR(served["b"] / served["a"], 2, 0.3);
  EXPECT_NEAR(served["c"] / served["a"], 5, 0.7);
}

TEST(Admission, UpperTiersFirstButNoneStarves) {
  Admission admission({});
  uint64_t id = 0;
  for (int i = 0; i < 500; i++) {
    admission.Offer(Time{}, Item(id++, Tier::kCritical, "a"));
    admission.Offer(Time{}, Item(id++, Tier::kBackground, "b"));
  }
  int background = 0;
  for (const AdmissionItem& item : admission.Take(325)) {
    if (item.tier == Tier::kBackground) background++;
  }
  EXPECT_EQ(background, 5);  // one in 65
}

TEST(Admission, RefusesAtOnceWhatCannotStartInTime) {
  Admission admission({.max_waiting = 10, .max_share_waiting = 0.5});
  PausedClock clock;
  // 100 tokens per second drain.
  for (int i = 0; i < 40; i++) {
    clock.Advance(milliseconds(100));
    admission.OnFinished(clock.now(), 10);
  }
  EXPECT_NEAR(admission.drain_rate(clock.now()), 100, 15);
  AdmissionItem first = Item(1, Tier::kStandard, "a", 1, 1000);
  EXPECT_EQ(admission.Offer(clock.now(), first), AdmissionVerdict::kQueued);
  AdmissionItem late = Item(2, Tier::kStandard, "b");
  // ten seconds of work are ahead of it
  late.deadline = clock.now() + seconds(5);
  EXPECT_EQ(admission.Offer(clock.now(), late), AdmissionVerdict::kTooLate);
  EXPECT_GE(admission.RetryAfter(clock.now()), seconds(8));
  AdmissionItem urgent = late;
  urgent.tier = Tier::kCritical;  // nothing is ahead of it
  EXPECT_EQ(admission.Offer(clock.now(), urgent), AdmissionVerdict::kQueued);
  uint64_t id = 10;
  for (int i = 0; i < 4; i++) {
    EXPECT_EQ(admission.Offer(clock.now(), Item(id++, Tier::kStandard, "a")),
              AdmissionVerdict::kQueued);
  }
  EXPECT_EQ(admission.Offer(clock.now(), Item(id++, Tier::kStandard, "a")),
            AdmissionVerdict::kFull);
  EXPECT_EQ(admission.Offer(clock.now(), Item(id++, Tier::kStandard, "c")),
            AdmissionVerdict::kQueued);
}

TEST(Admission, BackgroundTierStartsTheEarliestDeadlineFirst) {
  Admission admission({});
  for (int i = 0; i < 10; i++) {
    AdmissionItem item = Item(i, Tier::kBackground, "night");
    item.deadline = Time(seconds(1000 - 50 * i));
    admission.Offer(Time{}, item);
  }
  admission.Cancel(9);
  std::vector<AdmissionItem> taken = admission.Take(20);
  ASSERT_EQ(taken.size(), 9u);
  for (int i = 0; i < 9; i++) EXPECT_EQ(taken[i].id, 8u - i);
  EXPECT_EQ(admission.waiting_cost(), 0);
}

}  // namespace
}  // namespace pinford
