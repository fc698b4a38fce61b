// How a pool's runners are chosen for new requests: first-stage slots, the
// runners' own figures, and the links between halls.

#include <gtest/gtest.h>

#include <cmath>

#include "pinford/endpoint_table.h"
#include "pinford/membership.h"
#include "pinford/runner_cost.h"

namespace pinford {
namespace {

constexpr int kLayers = 10;
constexpr int kSlots = 20;
constexpr double kMemory = 1000;

struct Runner {
  const char* name;
  const char* hall;
  LayerRange holds;
  double step;  // seconds for a token in all its layers
};

class PoolChoice : public testing::Test {
 protected:
  PoolChoice() : table_("h1", Options(), Random(1)) {}

  static EndpointTable::Options Options() {
    EndpointTable::Options options;
    options.report_valid = hours(1);
    options.direct_handoff = true;
    return options;
  }

  void Add(const std::vector<Runner>& runners) {
    std::vector<ListedEndpoint> list;
    for (const Runner& r : runners) {
      ListedEndpoint e;
      e.name = r.name;
      e.hall = r.hall;
      e.address = {"127.0.0.1", 1};
      list.push_back(e);
    }
    table_.OnList(list);
    for (const Runner& r : runners) {
      LoadReport report;
      report.model = "m";
      report.version = "1";
      report.layers = kLayers;
      report.holds = r.holds;
      report.slots = kSlots;
      report.layer_seconds = r.step / kLayers;
      report.memory_capacity = kMemory;
      table_.OnReport(now_, r.name, report);
    }
  }

  std::optional<Chain> Pick(double layer_work = 1) {
    return table_.PickChainFor(
        now_, "m", "1", {0, kLayers}, [](const std::string&) { return 1.0; },
        layer_work);
  }
  // The first stage of the next chain, "" if there is none.
  std::string First() {
    const auto chain = Pick();
    return chain ? chain->front().endpoint : "";
  }

  Time now_ = Time{} + seconds(100);
  EndpointTable table_;
};

TEST_F(PoolChoice, FirstStagesKeepToTheirSlots) {
  Add({{"fast", "h1", {0, kLayers}, 0.001}, {"slow", "h1", {0, kLayers}, 0.1}});
  // Used by this box, by its peers, and by both.
  for (const auto& [own, peers] : {std::pair(20, 0), {0, 20}, {12, 8}}) {
    EXPECT_EQ(First(), "fast");
    for (int i = 0; i < own; i++) table_.OnEntry("fast");
    table_.OnPeerCounts({{NameId("fast"), {0, peers}}});
    EXPECT_EQ(First(), "slow") << own << " and " << peers;
    for (int i = 0; i < own; i++) table_.OnEntryDone("fast");
    table_.OnPeerCounts({});
  }
}

TEST_F(PoolChoice, EndpointWithoutAFreeSlotMayBeALaterStage) {
  Add({{"full", "h1", {0, kLayers}, 0.001}, {"entry", "h1", {0, 3}, 0.01}});
  table_.OnPeerCounts({{NameId("full"), {0, kSlots}}});
  const auto chain = Pick();
  ASSERT_TRUE(chain);
  EXPECT_EQ(ChainText(*chain), "entry:0-1 full:1-10");
}

TEST_F(PoolChoice, NoChainWhenAllFirstStageSlotsAreUsed) {
  Add({{"a", "h1", {0, kLayers}, 0.001}, {"b", "h2", {0, kLayers}, 0.001}});
  table_.OnPeerCounts({{NameId("a"), {0, kSlots}}});
  EXPECT_EQ(First(), "b");
  table_.OnPeerCounts({{NameId("a"), {0, kSlots}}, {NameId("b"), {0, kSlots}}});
  EXPECT_FALSE(Pick());
}

// A runner's report corrects the estimate up or down, and decays as the
// estimate becomes the more recent of the two.
TEST_F(PoolChoice, RunnerReportCorrectsTheEstimate) {
  struct Case {
    int own;
    int peers;
    double reported;
  };
  for (const Case& c : {Case{300, 0, 900}, {0, 800, 100}, {200, 200, 400}}) {
    EndpointTable table("h1", Options(), Random(1));
    std::swap(table, table_);
    Add({{"a", "h1", {0, kLayers}, 0.001}});
    table_.OnSent("a", c.own);
    table_.OnPeerCounts({{NameId("a"), {c.peers, 0}}});
    const double estimate = (c.own + c.peers) / kMemory;
    EXPECT_NEAR(table_.MemoryUtilizationOf(now_, "a"), estimate, 1e-9);
    table_.OnObserved(now_, "a", c.reported, 0);
    EXPECT_NEAR(table_.MemoryUtilizationOf(now_, "a"), c.reported / kMemory,
                1e-9);
    // Work sent afterwards is added.
    table_.OnSent("a", 50);
    EXPECT_NEAR(table_.MemoryUtilizationOf(now_, "a"),
                (c.reported + 50) / kMemory, 1e-9);
    now_ += seconds(20);
    EXPECT_NEAR(table_.MemoryUtilizationOf(now_, "a"), estimate + 50 / kMemory,
                0.01);
  }
}

TEST_F(PoolChoice, RequestsOfRemovedBoxesUseSlots) {
  Add({{"a", "h1", {0, kLayers}, 0.001}, {"b", "h1", {0, kLayers}, 0.1}});
  table_.OnObserved(now_, "a", 0, kSlots);
  EXPECT_EQ(First(), "b");
  now_ += seconds(4);
  EXPECT_EQ(First(), "a");
}

// A stage that failed backs off, but serves as a last resort if it has answered
// since.
TEST_F(PoolChoice, EndpointThatAnsweredSinceItFailedServesAsLastResort) {
  Add({{"a", "h1", {0, 6}, 0.001}, {"b", "h1", {6, kLayers}, 0.001}});
  now_ += seconds(1);
  table_.OnFailure(now_, "b", now_);
  EXPECT_FALSE(table_.VersionFor(now_, "m", ""));
  EXPECT_FALSE(Pick());
  now_ += milliseconds(50);
  table_.OnObserved(now_, "b", 0, 0);
  EXPECT_EQ(table_.VersionFor(now_, "m", "").value_or(""), "1");
  EXPECT_TRUE(Pick());
  // It is not the first choice while it backs off.
  Add({{"a", "h1", {0, 6}, 0.001},
       {"b", "h1", {6, kLayers}, 0.001},
       {"c", "h1", {6, kLayers}, 0.1}});
  table_.OnFailure(now_ += milliseconds(10), "b", now_);
  table_.OnObserved(now_ += milliseconds(10), "b", 0, 0);
  EXPECT_EQ(Pick()->back().endpoint, "c");
}

TEST_F(PoolChoice, ReportsTheMemoryBottleneck) {
  Add({{"a", "h1", {0, 6}, 0.001},
       {"b", "h1", {4, kLayers}, 0.001},
       {"c", "h1", {4, 8}, 0.001}});
  table_.OnSent("a", 300);
  table_.OnSent("b", 500);
  table_.OnSent("c", 400);
  EndpointTable::MemoryBottleneck s = table_.MemoryBottleneckOf(now_, "m", "1");
  EXPECT_EQ(s.layer, 8);  // held by b alone
  EXPECT_EQ(s.holders, 1);
  EXPECT_NEAR(s.memory_used, 0.5, 1e-9);
  table_.SetDown("b", true);
  s = table_.MemoryBottleneckOf(now_, "m", "1");
  EXPECT_EQ(s.layer, 8);
  EXPECT_EQ(s.holders, 0);
}

// With three halls there are three links; with two there is one.
TEST_F(PoolChoice, EachPairOfHallsHasALink) {
  const std::vector<Runner> two = {{"slow", "h1", {0, kLayers}, 0.016},
                                   {"first", "h1", {0, 5}, 0.002},
                                   {"second", "h2", {5, kLayers}, 0.002}};
  std::vector<Runner> three = two;
  three.push_back({"third", "h3", {5, kLayers}, 0.002});
  const auto crossed = [this](const std::vector<Runner>& runners) {
    EndpointTable table("h1", Options(), Random(1));
    std::swap(table, table_);
    Add(runners);
    table_.set_transfer_seconds_per_token(
        1 / 20000.0);  // a link carries 20 per second
    constexpr int kSent = 600;
    int n = 0;
    for (int i = 0; i < kSent; i++) {
      now_ += milliseconds(10);
      const auto chain = Pick();
      if (table_.HallOf(chain->back().endpoint) == "h1") continue;
      table_.OnTransferSent(now_, 1000);
      n++;
    }
    return n * 100.0 / kSent;  // per second
  };
  const double one_link = crossed(two);
  const double three_links = crossed(three);
  EXPECT_GT(one_link, 5);
  EXPECT_LT(one_link, 20);
  EXPECT_GT(three_links, 2 * one_link);
  EXPECT_LT(three_links, 3 * 20);
}

// Distributes streams over four equal holders of all layers and one that is
// five times as fast, until a fifth of their memory is in use. Returns the
// largest fraction on one runner, which its loss would interrupt.
double MaxShareOnOneRunner(bool by_speed_alone, double gap_share) {
  EndpointTable::Options options;
  options.report_valid = hours(1);
  options.direct_handoff = true;
  if (by_speed_alone) options.mechanisms.Disable(Mechanism::kSpeedWeight);
  EndpointTable table("h", options, Random(1));
  table.set_gap_share(gap_share);
  const Time now = Time{} + seconds(100);
  std::vector<ListedEndpoint> list(5);
  for (size_t i = 0; i < list.size(); i++) {
    list[i].name = std::to_string(i);
    list[i].hall = "h";
  }
  table.OnList(list);
  for (const ListedEndpoint& e : list) {
    LoadReport report;
    report.model = "m";
    report.version = "1";
    report.layers = kLayers;
    report.holds = {0, kLayers};
    report.slots = 1000;
    report.layer_seconds = e.name == "0" ? 0.00003 : 0.00015;
    report.memory_capacity = kMemory;
    table.OnReport(now, e.name, report);
  }
  std::map<std::string, int> streams;
  constexpr int kStreams = 100;
  for (int i = 0; i < kStreams; i++) {
    const auto chain = table.PickChainFor(
        now, "m", "1", {0, kLayers}, [](const std::string&) { return 1.0; });
    for (const Stage& stage : *chain) {
      table.OnSent(stage.endpoint, stage.range.size());
      streams[stage.endpoint]++;
    }
  }
  int max_streams = 0;
  for (const auto& [name, n] : streams) max_streams = std::max(max_streams, n);
  return static_cast<double>(max_streams) / kStreams;
}

TEST(SpeedWeightTest, AFastRunnerDoesNotCarryMostStreams) {
  EXPECT_GE(MaxShareOnOneRunner(true, 0.1), 0.75);
  EXPECT_LE(MaxShareOnOneRunner(false, 0.1), 0.62);
  // Where events take much of the pause, speed counts fully.
  EXPECT_EQ(MaxShareOnOneRunner(false, 0.3), MaxShareOnOneRunner(true, 0.3));
}

TEST(SpeedWeightTest, WeightDependsOnTheGapShare) {
  const struct {
    double gap_share;
    double weight;
  } cases[] = {{0, 0.5}, {0.125, 0.5}, {0.2, 0.8}, {0.25, 1}, {2, 1}};
  for (const auto& c : cases) {
    EXPECT_DOUBLE_EQ(SpeedWeight(c.gap_share), c.weight) << c.gap_share;
  }
}

TEST(RunnerCost, RisesWithEachPartOfTheLoad) {
  const RunnerLoad idle{0.001, 1, 0, 0};
  const double base = LayerCost(idle, 0.001, 1);
  EXPECT_DOUBLE_EQ(base, 0.001);
  const struct {
    RunnerLoad load;
    double factor;  // on the idle runner's cost
  } cases[] = {
      {{0.004, 1, 0, 0}, 4},     {{0.001, 2, 0, 0}, 4},
      {{0.001, 1, 0.5, 0}, 2},   {{0.001, 1, 0, 0.75}, 4},
      {{0.001, 1, 2, 0}, 20},    {{0.001, 1, 0, 2}, 50},
      {{0.001, 1, 0.5, 0.5}, 4},
  };
  for (const auto& c : cases) {
    EXPECT_NEAR(LayerCost(c.load, 0.001, 1) / base, c.factor, 1e-9);
  }
  // With half the weight, four times the time doubles the cost.
  EXPECT_NEAR(LayerCost(cases[0].load, 0.001, 0.5) / base, 2, 1e-9);
  EXPECT_EQ(FirstStageSlotCost(0, 20), 0);
  EXPECT_DOUBLE_EQ(FirstStageSlotCost(10, 20), 0.001);
  EXPECT_TRUE(std::isinf(FirstStageSlotCost(19, 20)));
}

// Every mechanism has a name that parses back, and is enabled unless disabled.
TEST(Mechanisms, HaveNamesAndAreEnabledByDefault) {
  MechanismSwitches all;
  for (int i = 0; i < kMechanisms; i++) {
    const auto m = static_cast<Mechanism>(i);
    EXPECT_EQ(MechanismNamed(MechanismName(m)), m);
    MechanismSwitches one;
    EXPECT_TRUE(one.enabled(m));
    one.Disable(m);
    EXPECT_FALSE(one.enabled(m));
    EXPECT_EQ(one.ToString(), MechanismName(m));
    all.Disable(m);
  }
  EXPECT_EQ(MechanismNamed("magic"), std::nullopt);
  for (int i = 0; i < kMechanisms; i++) {
    EXPECT_FALSE(all.enabled(static_cast<Mechanism>(i)));
  }
}

TEST(Mechanisms, DisabledTheyHaveNoEffect) {
  struct Case {
    Mechanism mechanism;
    std::function<void(EndpointTable*, Time)> load;
  };
  const Case cases[] = {
      {Mechanism::kFirstStageSlots,
       [](EndpointTable* t, Time) {
         t->OnPeerCounts({{NameId("a"), {0, kSlots}}});
       }},
      {Mechanism::kPeerCounts,
       [](EndpointTable* t, Time) {
         t->OnPeerCounts({{NameId("a"), {2000, 0}}});
       }},
      {Mechanism::kObservedMemory,
       [](EndpointTable* t, Time now) { t->OnObserved(now, "a", 2000, 0); }},
      {Mechanism::kMemoryLimit,
       [](EndpointTable* t, Time) { t->OnSent("a", 2000); }},
      {Mechanism::kLastResort,
       [](EndpointTable* t, Time now) {
         t->OnFailure(now, "a", now);
         t->OnObserved(now + milliseconds(1), "a", 0, 0);
       }},
  };
  const Time now = Time{} + seconds(100);
  for (const Case& c : cases) {
    for (const bool disabled : {false, true}) {
      EndpointTable::Options options;
      options.report_valid = hours(1);
      options.direct_handoff = true;
      if (disabled) options.mechanisms.Disable(c.mechanism);
      EndpointTable table("h", options, Random(1));
      ListedEndpoint e;
      e.name = "a";
      e.hall = "h";
      table.OnList({e});
      LoadReport report;
      report.model = "m";
      report.version = "1";
      report.layers = 1;
      report.holds = {0, 1};
      report.slots = kSlots;
      report.layer_seconds = 0.001;
      report.memory_capacity = kMemory;
      table.OnReport(now - seconds(1), "a", report);
      c.load(&table, now);
      const auto chain =
          table.PickChainFor(now + milliseconds(2), "m", "1", {0, 1},
                             [](const std::string&) { return 1.0; });
      // The last resort adds candidates; the others exclude them.
      const bool admits = c.mechanism == Mechanism::kLastResort;
      EXPECT_EQ(chain.has_value(), disabled != admits)
          << MechanismName(c.mechanism) << " off: " << disabled;
    }
  }
}

TEST(PeerCounts, SumFirstStageRequestsOfAllBoxes) {
  const auto row = [](const std::string& name) {
    MemberRow r;
    r.name = name;
    r.hall = "h1";
    r.address = "127.0.0.1:1";
    r.incarnation = r.heartbeat = 1;
    return r;
  };
  Membership membership(row("me"), {}, Membership::Options(), Random(1));
  const Time now = Time{} + seconds(1);
  for (const auto& [name, work, entries] :
       {std::tuple("a", uint16_t{10}, uint16_t{3}),
        std::tuple("b", uint16_t{5}, uint16_t{0})}) {
    Digest d;
    d.sender = row(name);
    d.counts = {{NameId("x"), work, entries}};
    membership.OnDigest(now, d);
  }
  const auto counts = membership.SumOfCounts(now);
  ASSERT_EQ(counts.size(), 1u);
  EXPECT_EQ(counts.at(NameId("x")).work, 15);
  EXPECT_EQ(counts.at(NameId("x")).entries, 3);
}

}  // namespace
}  // namespace pinford
