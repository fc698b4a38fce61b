// What the runners of a pool can still read, and how it prices them.

#include "pinford/pool_capacity.h"

#include <gtest/gtest.h>

#include "pinford/runner_cost.h"

namespace pinford {
namespace {

constexpr int kLayers = 4;
constexpr double kRoom = 100;
constexpr double kReadSeconds = 0.001;  // a token in a layer

class PoolCapacityTest : public testing::Test {
 protected:
  PoolCapacityTest() : table_("h1", Options(), Random(1)) {
    Add({{"a", "h1", {0, 2}},
         {"b", "h1", {0, 2}},
         {"c", "h1", {2, 4}},
         {"d", "h2", {0, 4}}});
  }

  static EndpointTable::Options Options() {
    EndpointTable::Options options;
    options.report_valid = hours(1);
    options.direct_handoff = true;
    return options;
  }

  struct Runner {
    const char* name;
    const char* hall;
    LayerRange holds;
  };
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
      report.slots = 10;
      report.layer_seconds = 0.001;
      report.prefill_seconds = kReadSeconds;
      report.memory_capacity = kRoom;
      table_.OnReport(now_, r.name, report);
    }
  }

  PoolCapacity Capacity() const { return PoolCapacity(now_, table_, "m", "1"); }

  Time now_ = Time{} + seconds(100);
  EndpointTable table_;
};

TEST_F(PoolCapacityTest, IsThatOfTheShortestLayer) {
  const PoolCapacity c = Capacity();
  EXPECT_EQ(c.halls(), (std::vector<std::string>{"h1", "h2"}));
  EXPECT_EQ(c.MinOverLayers("h1", {0, 2}).holders, 2);
  EXPECT_EQ(c.MinOverLayers("h1").holders, 1);
  EXPECT_DOUBLE_EQ(c.MinOverLayers("h1", {0, 2}).prefill_per_s, 1000);
  EXPECT_DOUBLE_EQ(c.MinOverLayers("h1").prefill_per_s, 500);
  EXPECT_DOUBLE_EQ(c.MinOverLayers("h2").prefill_per_s, 250);
  EXPECT_DOUBLE_EQ(c.MinOverLayers("h1", {0, 1}).free_memory, 100);
  EXPECT_EQ(c.BottleneckLayer("h1"), 2);
  EXPECT_EQ(c.MinOverLayers("h3").holders, 0);
  EXPECT_EQ(c.MinOverLayers("h1", {2, 2}).holders, 0);
}

TEST_F(PoolCapacityTest, FollowsWhatIsKnownOfARunner) {
  table_.SetSlowdown("a", 10);
  EXPECT_DOUBLE_EQ(Capacity().MinOverLayers("h1", {0, 2}).prefill_per_s, 550);
  table_.SetDown("a", true);
  EXPECT_EQ(Capacity().MinOverLayers("h1", {0, 2}).holders, 1);
  table_.SetDown("c", true);
  EXPECT_EQ(Capacity().MinOverLayers("h1").holders, 0);
  EXPECT_DOUBLE_EQ(Capacity().MinOverLayers("h1").prefill_per_s, 0);
  // A prompt of 500 tokens: half of its time for a second, over two.
  table_.OnPrefillSent(now_, "d", 500 * kLayers);
  EXPECT_NEAR(Capacity().MinOverLayers("h2").prefill_per_s, 12.5, 1);
}

TEST_F(PoolCapacityTest, WhatWaitsMakesARunnerDear) {
  table_.set_boxes(10);
  EXPECT_EQ(table_.WaitingOf("a"), 0);
  table_.OnPrefillQueued("a", 200);
  EXPECT_DOUBLE_EQ(table_.WaitingOf("a"), 10 * 200 * kReadSeconds);
  table_.SetSlowdown("a", 3);
  EXPECT_DOUBLE_EQ(table_.WaitingOf("a"), 3 * 10 * 200 * kReadSeconds);
  table_.OnPrefillDone("a", 150);
  EXPECT_DOUBLE_EQ(table_.WaitingOf("a"), 3 * 10 * 50 * kReadSeconds);
  table_.OnPrefillDone("a", 1000);
  EXPECT_EQ(table_.WaitingOf("a"), 0);
  EXPECT_EQ(QueueFactor(0), 1);
  EXPECT_LT(QueueFactor(0.05), QueueFactor(0.1));
}

// Prompts that are read at once leave no trace; the same number that wait send
// the next one elsewhere.
TEST_F(PoolCapacityTest, TheNextPromptGoesWhereNoneWaits) {
  const auto first = [this] {
    const auto chain = table_.PickChainFor(
        now_, "m", "1", {0, 2},
        [](const std::string& h) { return h == "h1" ? 1.0 : 0.0; }, 0.001);
    return chain ? chain->front().endpoint : "";
  };
  table_.set_boxes(10);
  const std::string before = first();
  table_.OnPrefillQueued(before, 200);
  EXPECT_NE(first(), before);
}

}  // namespace
}  // namespace pinford
