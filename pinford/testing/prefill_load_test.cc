// Prompts against what runners can read of them: boxes that hear nothing of
// each other spread them all the same.

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "pinford/endpoint_table.h"
#include "util/decaying_sum.h"

namespace pinford {
namespace {

constexpr int kLayers = 10;

ListedEndpoint Listed(const std::string& name) {
  ListedEndpoint e;
  e.name = name;
  e.hall = "h";
  e.state = ListedState::kLive;
  e.incarnation = 1;
  return e;
}

// A runner of all layers that takes `step` seconds for a token and reads
// `prompts` prompts of a thousand tokens a second.
LoadReport Report(double step, double prompts) {
  LoadReport r;
  r.incarnation = 1;
  r.model = "m";
  r.version = "1";
  r.layers = kLayers;
  r.holds = {0, kLayers};
  r.layer_seconds = step / kLayers;
  r.prefill_seconds = 1 / (prompts * 1000 * kLayers);
  r.memory_capacity = 1e6;
  return r;
}

TEST(DecayingSum, FadesAsASumOverAllPartsDoes) {
  Random random(3);
  const Duration span = seconds(2);
  DecayingSum sum;
  std::vector<std::pair<Time, double>> parts;
  Time now = Time{} + seconds(100);
  for (int i = 0; i < 500; i++) {
    now += milliseconds(random() % 400);
    if (random() % 2 == 0) {
      parts.emplace_back(now, random() % 10);
      sum.Add(now, parts.back().second, span);
    }
    double expected = 0;
    for (const auto& [at, x] : parts) {
      expected += x * std::exp(-ToSeconds(now - at) / ToSeconds(span));
    }
    ASSERT_NEAR(sum.At(now, span), expected, 1e-9);
  }
}

struct Runner {
  ListedEndpoint listed;
  LoadReport report;
};

// Boxes of hall "h" that hear nothing of each other.
class Fleet {
 public:
  Fleet(int boxes, const std::vector<Runner>& runners) {
    std::vector<ListedEndpoint> list;
    list.reserve(runners.size());
    for (const Runner& r : runners) list.push_back(r.listed);
    for (int b = 0; b < boxes; b++) {
      EndpointTable::Options options;
      options.report_valid = hours(1);
      options.direct_handoff = true;
      tables_.push_back(
          std::make_unique<EndpointTable>("h", options, Random(b + 1)));
      tables_[b]->OnList(list);
      tables_[b]->set_boxes(boxes);
      for (const Runner& r : runners) {
        tables_[b]->OnReport(now_, r.listed.name, r.report);
      }
    }
  }
  void set_transfer_seconds_per_token(double s) {
    for (auto& table : tables_) table->set_transfer_seconds_per_token(s);
  }

  // Some box sends a prompt of a thousand tokens, `after` the one before.
  // Returns where; its last runner's hall is in `last_hall`.
  Chain Send(Duration after, std::string* last_hall = nullptr) {
    now_ += after;
    EndpointTable& table = *tables_[random_() % tables_.size()];
    const auto chain = table.PickChainFor(
        now_, "m", "1", {0, kLayers}, [](const std::string&) { return 1.0; });
    if (!chain) return {};
    for (const Stage& stage : *chain) {
      table.OnPrefillSent(now_, stage.endpoint, kTokens * stage.range.size());
    }
    const std::string& hall = table.HallOf(chain->back().endpoint);
    if (hall != "h") table.OnTransferSent(now_, kTokens);
    if (last_hall != nullptr) *last_hall = hall;
    return *chain;
  }

 private:
  static constexpr double kTokens = 1000;

  Time now_ = Time{} + seconds(100);
  Random random_{9};
  std::vector<std::unique_ptr<EndpointTable>> tables_;
};

constexpr int kSeconds = 20;

// Prompts a second that each runner gets of `per_s` in all.
std::map<std::string, double> Spread(int boxes, double per_s,
                                     const std::vector<Runner>& runners) {
  Fleet fleet(boxes, runners);
  std::map<std::string, double> got;
  for (int i = 0; i < kSeconds * per_s; i++) {
    for (const Stage& stage : fleet.Send(FromSeconds(1 / per_s))) {
      got[stage.endpoint] += 1.0 * stage.range.size() / kLayers / kSeconds;
    }
  }
  return got;
}

TEST(ReadingLoad, NoRunnerGetsMoreThanItReadsWhileOthersIdle) {
  // A fast runner, whose steps are short, reads no more than the slow ones.
  const std::vector<Runner> runners = {{Listed("fast"), Report(0.002, 50)},
                                       {Listed("mid"), Report(0.006, 60)},
                                       {Listed("slow"), Report(0.016, 60)}};
  for (int boxes : {1, 8, 40}) {
    SCOPED_TRACE(std::to_string(boxes) + " boxes");
    // At 70% of what all can read.
    auto got = Spread(boxes, 119, runners);
    // With many boxes each sends too seldom to see more than a rough share.
    EXPECT_LT(got["fast"], boxes > 8 ? 55 : 50);
    EXPECT_LT(got["mid"], 60);
    EXPECT_LT(got["slow"], 60);
    // With little to do, the fast one does most of it.
    got = Spread(boxes, 10, runners);
    EXPECT_GT(got["fast"], got["slow"]);
  }
}

// A chain across halls is the fastest here, but the links between them carry
// only so many streams; the others stay in their hall.
TEST(ReadingLoad, LinksBetweenHallsAreNotFilled) {
  constexpr double kPerSecond = 60;
  constexpr double kLinksCarry = 20;  // streams a second
  const auto runner = [](const std::string& name, const std::string& hall,
                         LayerRange holds, double step) {
    Runner r{Listed(name), Report(step, 500)};
    r.listed.hall = hall;
    r.report.holds = holds;
    return r;
  };
  Fleet fleet(8, {runner("slow", "h", {0, kLayers}, 0.016),
                  runner("first", "h", {0, 5}, 0.002),
                  runner("second", "other", {5, kLayers}, 0.002)});
  fleet.set_transfer_seconds_per_token(1 / (kLinksCarry * 1000));
  double crossed = 0;
  for (int i = 0; i < kSeconds * kPerSecond; i++) {
    std::string last_hall;
    ASSERT_FALSE(fleet.Send(FromSeconds(1 / kPerSecond), &last_hall).empty());
    if (last_hall != "h") crossed++;
  }
  EXPECT_LT(crossed / kSeconds, kLinksCarry);
  EXPECT_GT(crossed / kSeconds, kLinksCarry / 4);
}

TEST(ReadingLoad, WhatCannotBeToldCostsNothing) {
  LoadReport unknown = Report(0.002, 50);
  unknown.prefill_seconds = 0;
  const auto got = Spread(
      8, 119, {{Listed("fast"), unknown}, {Listed("slow"), Report(0.016, 60)}});
  EXPECT_GT(got.at("fast"), 100);
}

}  // namespace
}  // namespace pinford
