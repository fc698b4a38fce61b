// The planner's orders with leases that expire while their holder is paused,
// several planners, runners with and without a fencing check, and the weight
// store's rate limit.

#include "pinford/hall_planner.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "pinford/testing/fake_store.h"

namespace pinford {
namespace {

PlannedRunner Runner(const std::string& name, const std::string& model,
                     LayerRange range, double load = 0) {
  PlannedRunner r;
  r.name = name;
  r.holds = {model, "v1", range};
  r.layers = 8;
  r.load = load;
  return r;
}

TEST(Placement, MovesOneSpareRunnerToMissingLayers) {
  const std::vector<PlannedRunner> runners = {
      Runner("a0", "a", {0, 4}),    Runner("a1", "a", {4, 8}),
      Runner("b0", "b", {0, 4}, 5), Runner("b1", "b", {4, 8}),
      Runner("b2", "b", {0, 4}, 1), Runner("b3", "b", {4, 8}, 9)};
  const struct {
    std::map<std::string, int> wanted;
    std::string runner;  // "" for no move
    LayerRange range;
  } cases[] = {
      {{}, "", {}},
      {{{"a", 1}, {"b", 2}}, "", {}},
      {{{"a", 2}, {"b", 2}}, "", {}},        // no runner can be spared
      {{{"a", 2}, {"b", 1}}, "b1", {0, 4}},  // the least loaded is moved
      {{{"a", 2}}, "", {}},                  // the policy does not name b
      {{{"a", 3}, {"b", 0}}, "b1", {0, 4}},
      {{{"c", 1}, {"b", 0}}, "", {}},  // c's version is unknown
  };
  for (const auto& c : cases) {
    const std::optional<Move> move = NextMove(runners, c.wanted);
    ASSERT_EQ(move.has_value(), !c.runner.empty());
    if (!move) continue;
    EXPECT_EQ(move->runner, c.runner);
    EXPECT_EQ(move->to.range, c.range);
    EXPECT_EQ(move->to.model, "a");
  }
}

// A model with too many holders of some layers is rebalanced internally.
TEST(Placement, MovesWithinAModel) {
  const std::vector<PlannedRunner> runners = {
      Runner("a0", "a", {0, 4}), Runner("a1", "a", {0, 4}),
      Runner("a2", "a", {0, 4}, 1), Runner("a3", "a", {4, 8})};
  const std::optional<Move> move = NextMove(runners, {{"a", 2}});
  ASSERT_TRUE(move.has_value());
  EXPECT_EQ(move->runner, "a0");
  EXPECT_EQ(move->to.range, LayerRange({4, 8}));
}

// Runners that follow orders, some after checking the token.
struct FakeRunners {
  struct Row {
    PlannedRunner runner;
    bool checks = false;
    uint64_t highest = 0;  // token seen
  };
  std::map<std::string, Row> rows;
  std::vector<Time> loads;
  Duration order_delay{};  // of every order in transit
  // orders accepted with a token lower than an earlier one
  int stale_accepted = 0;

  bool Accept(Time now, const std::string& name, const Order& order) {
    Row& row = rows.at(name);
    if (row.checks && order.token < row.highest) return false;
    if (order.token < row.highest) stale_accepted++;
    row.highest = std::max(row.highest, order.token);
    if (row.runner.holds != order.hold) loads.push_back(now);
    row.runner.holds = order.hold;
    return true;
  }
};

class FakeOrders {
 public:
  FakeOrders(FakeBox* box, FakeRunners* runners, Random* random, double loss)
      : box_(box), runners_(runners), random_(random), loss_(loss) {}

  void SendOrder(const std::string& runner, const Order& order, Duration limit,
                 std::function<void(OrderStatus)> fn) {
    const bool lost = (*random_)() % 100 < loss_ * 100;
    const Duration delay =
        runners_->order_delay + milliseconds(1 + (*random_)() % 200);
    box_->clock()->After(delay, [this, runner, order, fn, lost, limit] {
      if (lost) {
        Reply(limit, fn, OrderStatus::kLost);
        return;
      }
      const bool accepted =
          runners_->Accept(box_->clock()->now(), runner, order);
      Reply(milliseconds(5), fn,
            accepted ? OrderStatus::kDone : OrderStatus::kFenced);
    });
  }

 private:
  void Reply(Duration d, const std::function<void(OrderStatus)>& fn,
             OrderStatus status) {
    box_->clock()->After(
        d, [this, fn, status] { box_->Deliver([fn, status] { fn(status); }); });
  }

  FakeBox* box_;
  FakeRunners* runners_;
  Random* random_;
  double loss_;
};

using TestPlanner = HallPlanner<FakeStoreClient, FakeOrders, FakeBox>;

struct Simulation {
  Simulation(uint64_t seed, double loss) : random(seed), store(&clock, seed) {
    for (int i = 0; i < 8; i++) {
      const std::string name = "r" + std::to_string(i);
      FakeRunners::Row row;
      const LayerRange range = i % 2 == 0 ? LayerRange{0, 4} : LayerRange{4, 8};
      row.runner = Runner(name, i < 2 ? "a" : "b", range);
      row.checks = i % 4 < 2;
      runners.rows[name] = row;
    }
    options.move_cooldown = seconds(5);
    for (int i = 0; i < 3; i++) {
      boxes.push_back(std::make_unique<FakeBox>(&clock));
      FakeBox* box = boxes.back().get();
      clients.push_back(std::make_unique<FakeStoreClient>(box, &store));
      orders.push_back(
          std::make_unique<FakeOrders>(box, &runners, &random, loss));
      HallPlannerEvents events;
      events.view = [this] { return View(); };
      events.is_candidate = [] { return true; };
      planners.push_back(std::make_unique<TestPlanner>(
          clients.back().get(), orders.back().get(), box, "h",
          "box-" + std::to_string(i), options, events));
      planners.back()->Start();
    }
  }

  HallView View() {
    HallView view;
    for (const auto& [name, row] : runners.rows) {
      view.runners.push_back(row.runner);
      view.checks_fence[name] = row.checks;
    }
    view.wanted = wanted;
    return view;
  }

  // Whether the runners hold the layers of the last written plan.
  bool HoldsPlan() {
    const auto& value = store.values["pinford/plan/h"].value;
    std::optional<PlacementPlan> plan = ParsePlan(value);
    if (!plan) return true;
    for (const auto& [name, holding] : plan->holdings) {
      if (runners.rows.at(name).runner.holds != holding) return false;
    }
    return true;
  }

  // The largest number of loads in any window of length `d`; the weight store's
  // rate limits it.
  int MaxLoadsWithin(Duration d) {
    int max_loads = 0;
    for (Time begin : runners.loads) {
      max_loads = std::max<int>(
          max_loads,
          std::count_if(runners.loads.begin(), runners.loads.end(),
                        [&](Time t) { return t >= begin && t < begin + d; }));
    }
    return max_loads;
  }

  PausedClock clock;
  Random random;
  FakeStore store;
  FakeRunners runners;
  HallPlannerOptions options;
  std::map<std::string, int> wanted = {{"a", 1}, {"b", 1}};
  std::vector<std::unique_ptr<FakeBox>> boxes;
  std::vector<std::unique_ptr<FakeStoreClient>> clients;
  std::vector<std::unique_ptr<FakeOrders>> orders;
  std::vector<std::unique_ptr<TestPlanner>> planners;
};

// Checks the written plans: tokens never decrease, and numbers increase.
void CheckPlans(const Simulation& w) {
  auto it = w.store.history.find("pinford/plan/h");
  if (it == w.store.history.end()) return;
  PlacementPlan last;
  for (const std::string& text : it->second) {
    const std::optional<PlacementPlan> plan = ParsePlan(text);
    ASSERT_TRUE(plan.has_value());
    EXPECT_GE(plan->token, last.token) << "a stale holder's plan was written";
    EXPECT_EQ(plan->number, last.number + 1);
    last = *plan;
  }
}

int ReplicasNow(Simulation* w, const std::string& model) {
  return ReplicasOf(w->View().runners, model);
}

TEST(HallPlanner, ReachesWantedReplicas) {
  Simulation w(1, 0);
  w.wanted = {{"a", 3}, {"b", 1}};
  w.clock.Advance(seconds(120));
  EXPECT_EQ(ReplicasNow(&w, "a"), 3);
  EXPECT_EQ(ReplicasNow(&w, "b"), 1);
  EXPECT_EQ(w.runners.loads.size(), 4u) << "each weight is loaded once";
  int holders = 0;
  for (const auto& planner : w.planners) holders += planner->holds_lease();
  EXPECT_EQ(holders, 1);
}

// An order is delayed in transit and its sender paused while the next holder of
// the lease plans differently. Runners that check the token refuse the old
// order; those that do not are corrected later.
TEST(HallPlanner, StaleOrderIsRefusedOrCorrected) {
  int stale = 0;
  for (int seed = 0; seed < 30; seed++) {
    Simulation w(seed, 0);
    w.wanted = {{"a", 3}, {"b", 1}};
    w.clock.Advance(seconds(10));
    w.runners.order_delay = seconds(40);
    // Until some holder has sent an order.
    w.clock.Advance(seconds(3));
    FakeBox* sender = nullptr;
    for (int i = 0; i < 3; i++) {
      if (w.planners[i]->holds_lease()) sender = w.boxes[i].get();
    }
    ASSERT_NE(sender, nullptr);
    sender->Pause();
    w.runners.order_delay = Duration(0);
    w.clock.Advance(seconds(7));
    w.wanted = {{"a", 1}, {"b", 3}};
    w.clock.Advance(seconds(60));
    sender->Resume();
    w.clock.Advance(seconds(90));
    EXPECT_TRUE(w.HoldsPlan()) << seed;
    EXPECT_EQ(ReplicasNow(&w, "b"), 3) << seed;
    stale += w.runners.stale_accepted;
  }
  EXPECT_GT(stale, 0) << "the case was never reached";
  printf("%d stale orders were accepted and corrected\n", stale);
}

// The store's leases end long before their holders expect it, so two boxes hold
// one at the same time. The written plans still follow the higher token.
TEST(HallPlanner, LeaseHoldersWithSlowClocks) {
  for (int seed = 0; seed < 60; seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation w(seed, 0);
    w.store.faults.lease_factor = 0.3;
    for (int i = 0; i < 20; i++) {
      const int a = 1 + static_cast<int>(w.random() % 3);
      w.clock.After(seconds(10 * i), [&w, a] {
        w.wanted = {{"a", a}, {"b", 4 - a}};
      });
    }
    w.clock.Advance(seconds(200));
    CheckPlans(w);
    w.store.faults.lease_factor = 1;
    w.clock.Advance(seconds(150));
    CheckPlans(w);
    EXPECT_TRUE(w.HoldsPlan());
    EXPECT_EQ(ReplicasNow(&w, "a"), w.wanted["a"]);
    if (HasFailure()) return;
  }
}

TEST(HallPlanner, RandomSchedules) {
  int stale = 0;
  int changes = 0;
  for (int seed = 0; seed < 300; seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation w(seed, seed % 3 * 0.2);
    w.store.faults = {seed % 4 * 0.1, seed % 5 * 0.1, seed % 2 * 0.1, false};
    for (int i = 0; i < 10; i++) {
      const Duration at = milliseconds(w.random() % 150000);
      const int a = 1 + static_cast<int>(w.random() % 3);
      w.clock.After(at, [&w, a] { w.wanted = {{"a", a}, {"b", 4 - a}}; });
      FakeBox* box = w.boxes[w.random() % 3].get();
      const Duration pause = milliseconds(w.random() % 20000);
      w.clock.After(at, [box] { box->Pause(); });
      w.clock.After(at + pause, [box] { box->Resume(); });
    }
    w.clock.Advance(seconds(170));
    w.store.faults = {};
    w.clock.Advance(seconds(150));
    EXPECT_TRUE(w.HoldsPlan());
    CheckPlans(w);
    EXPECT_EQ(ReplicasNow(&w, "a"), w.wanted["a"]);
    // Loads may be closer than the spacing by the orders' time in transit.
    EXPECT_LE(w.MaxLoadsWithin(w.options.load_spacing - milliseconds(400)), 1);
    stale += w.runners.stale_accepted;
    changes += static_cast<int>(w.runners.loads.size());
    if (HasFailure()) return;
  }
  printf("%d loads, %d of them by a stale order and corrected\n", changes,
         stale);
}

}  // namespace
}  // namespace pinford
