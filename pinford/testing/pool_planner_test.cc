// Planners that are paused or killed, orders that are lost or carried out
// seconds later, and runners that come back empty.

#include "pinford/forwarding/pool_planner.h"

#include <gtest/gtest.h>

#include <iostream>
#include <set>

#include "pinford/testing/fake_store.h"

namespace pinford {
namespace {

constexpr char kService[] = "pool";

// The state of the runners. An order increments the order count, takes time to
// load, and is refused if its fence is lower than one seen or if it expects
// another count.
class FakePool {
 public:
  struct Row {
    DirectoryEntry entry;
    LayerRange holds;
    LayerRange loading;
    Time loaded{};
    uint64_t fence = 0;
    uint64_t orders = 0;
  };

  explicit FakePool(PausedClock* clock) : clock_(clock) {}

  void Add(const std::string& id, const std::string& hall,
           const std::string& kind, uint16_t port,
           const std::string& service = kService) {
    Row row;
    row.entry.listed.name = id;
    row.entry.listed.service = service;
    row.entry.listed.hall = hall;
    row.entry.listed.address = {"10.0.0.1", port};
    row.entry.listed.incarnation = 1000;
    row.entry.runner = RunnerState{kind, "1", {}, 0, 1000};
    rows[port] = row;
  }

  // The list. It shows the layers of each runner, but not its real order count.
  std::map<std::string, DirectoryEntry> List() {
    std::map<std::string, DirectoryEntry> out;
    for (auto& [port, row] : rows) {
      Settle(&row);
      row.entry.runner->holds = row.holds;
      row.entry.runner->orders = 1000;
      out[row.entry.listed.name] = row.entry;
    }
    return out;
  }

  std::optional<RunnerReport> Report(uint16_t port) {
    auto it = rows.find(port);
    if (it == rows.end()) return std::nullopt;
    Settle(&it->second);
    RunnerReport r;
    r.state = *it->second.entry.runner;
    r.state.holds = it->second.holds;
    r.state.orders = it->second.orders;
    r.busy = !it->second.loading.empty();
    return r;
  }

  LayerOrderStatus Accept(uint16_t port, const LayerOrder& order) {
    orders++;
    auto it = rows.find(port);
    if (it == rows.end()) return LayerOrderStatus::kNotSent;
    Row& row = it->second;
    Settle(&row);
    if (order.fence < row.fence) {
      fenced++;
      return LayerOrderStatus::kFenced;
    }
    row.fence = order.fence;
    if (row.holds == order.range) return LayerOrderStatus::kDone;
    const bool fits =
        order.expected_orders == row.orders && row.loading.empty();
    if (!fits) {
      refused++;
      return LayerOrderStatus::kConflict;
    }
    const bool kept = row.holds.empty() || order.range.Contains(row.holds);
    if (!kept) overwritten++;
    row.orders++;
    row.loading = order.range;
    row.loaded = clock_->now() + load_time;
    loads++;
    return LayerOrderStatus::kStarted;
  }

  // The runner crashes and comes back empty, under another id.
  void RestartWithNewId(uint16_t port) {
    Row& row = rows.at(port);
    const std::string id = row.entry.listed.name + "'";
    const std::string hall = row.entry.listed.hall;
    const std::string kind = row.entry.runner->kind;
    Add(id, hall, kind, port);
  }

  // The runner crashes and comes back empty, under its id.
  void RestartWithSameId(uint16_t port) {
    Row fresh;
    fresh.entry = rows.at(port).entry;
    fresh.entry.runner->holds = {};
    fresh.entry.runner->incarnation = ++fresh.entry.listed.incarnation;
    rows[port] = fresh;
  }

  std::map<uint16_t, Row> rows;
  Duration load_time = seconds(2);
  int orders = 0;
  int loads = 0;
  int refused = 0;
  int fenced = 0;
  int overwritten = 0;  // orders that removed layers from a runner

 private:
  void Settle(Row* row) {
    if (row->loading.empty() || clock_->now() < row->loaded) return;
    row->holds = std::exchange(row->loading, {});
  }

  PausedClock* clock_;
};

// One box's connections to the runners. A PoolClient.
class FakePoolClient {
 public:
  FakePoolClient(FakeBox* box, FakePool* pool, Random* random)
      : box_(box), pool_(pool), random_(random) {}

  void Report(const RunnerRef& runner, Duration limit,
              std::function<void(RunnerAnswer)> fn) {
    queries++;
    BeginCall();
    if (Chance(lose)) {
      Reply(limit, [fn] { fn({}); });
      return;
    }
    // The state when the query was sent.
    const auto report = pool_->Report(runner.at.port);
    Reply(milliseconds(5), [fn, report] { fn({!report, report}); });
  }

  void Order(const RunnerRef& runner, const LayerOrder& order,
             std::function<void(LayerOrderStatus)> fn) {
    BeginCall();
    if (Chance(lose)) {
      Reply(milliseconds(800), [fn] { fn(LayerOrderStatus::kUnknown); });
      return;
    }
    if (Chance(late)) {
      const Duration arrival = milliseconds(2000 + (*random_)() % 10000);
      box_->clock()->After(arrival, [this, port = runner.at.port, order] {
        pool_->Accept(port, order);
      });
      Reply(milliseconds(800), [fn] { fn(LayerOrderStatus::kUnknown); });
      return;
    }
    const LayerOrderStatus status = pool_->Accept(runner.at.port, order);
    Reply(milliseconds(3), [fn, status] { fn(status); });
  }

  void Reroute(const RunnerRef&, const std::string&,
               const std::vector<AddressedStage>&, Duration,
               const RerouteHandler&) {}

  double lose = 0;
  double late = 0;
  int queries = 0;
  int max_in_flight = 0;

 private:
  void BeginCall() { max_in_flight = std::max(max_in_flight, ++in_flight_); }
  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(*random_) < p;
  }
  void Reply(Duration d, std::function<void()> fn) {
    box_->clock()->After(d, [this, fn] {
      in_flight_--;
      box_->Deliver(fn);
    });
  }

  FakeBox* box_;
  FakePool* pool_;
  Random* random_;
  int in_flight_ = 0;
};

static_assert(PoolClient<FakePoolClient>);

using TestPlanner = PoolPlanner<FakeStoreClient, FakePoolClient, FakeBox>;

struct World {
  // By default no moves are made, so any order that removes layers is wrong.
  explicit World(uint64_t seed, int max_moves = 0,
                 bool check_after_takeover = true)
      : random(seed), store(&clock, seed), pool(&clock) {
    options.max_moves = max_moves;
    if (!check_after_takeover)
      options.mechanisms.Disable(Mechanism::kTakeoverProbe);
    auto c = std::make_shared<ServiceConfiguration>();
    c->version = 1;
    EnginePool engine;
    engine.layers = 8;
    engine.layer_mb = 1000;
    engine.load_seconds = 4;
    engine.kinds = {{"big", 8000, 1, 1}, {"small", 4000, 4, 4}};
    c->services = {{kService, 0, engine}};
    config = c;
    for (int i = 0; i < 12; i++) {
      pool.Add("r" + std::to_string(i), "h" + std::to_string(i % 2),
               i < 4 ? "big" : "small", static_cast<uint16_t>(1 + i));
    }
    for (int i = 0; i < 3; i++) AddBox(i);
  }

  void AddBox(int i) {
    boxes.push_back(std::make_unique<FakeBox>(&clock));
    FakeBox* box = boxes.back().get();
    clients.push_back(std::make_unique<FakeStoreClient>(box, &store));
    orders.push_back(std::make_unique<FakePoolClient>(box, &pool, &random));
    PoolPlannerEvents events;
    events.may_plan = [] { return true; };
    events.configuration = [this] { return config; };
    // Each box has its own copy of the list.
    lists.push_back(std::make_unique<std::map<std::string, DirectoryEntry>>());
    auto* list = lists.back().get();
    events.entries = [this, list, updated = Time{}]() mutable
        -> const std::map<std::string, DirectoryEntry>& {
      // Layers change only as time passes.
      if (updated != clock.now() || list->size() != pool.rows.size()) {
        *list = pool.List();
        updated = clock.now();
      }
      return *list;
    };
    events.works = [this](const std::string& id) { return !down.contains(id); };
    events.on_state = [](const std::string&, const RunnerState&) {};
    events.on_lease = [this, i](uint64_t token) {
      if (token == 0) return;
      // The same lease again; otherwise tokens must increase.
      if (token == highest_token && i == highest_box) return;
      EXPECT_GT(token, highest_token);
      highest_token = token;
      highest_box = i;
    };
    events.on_order = [this](const std::string&, const LayerOrder& order,
                             LayerOrderStatus) {
      fences.push_back(order.fence);
    };
    planners.push_back(std::make_unique<TestPlanner>(
        clients.back().get(), orders.back().get(), box,
        "box-" + std::to_string(i), options, events));
    planners.back()->Start(milliseconds(100));
    clients.back()->era.set_on_increase(
        [planner = planners.back().get()](uint64_t, uint64_t) {
          planner->OnStoreRestored();
          EXPECT_FALSE(planner->planning());
        });
  }

  bool AllPlaced() {
    std::vector<int> holders(8, 0);
    for (const auto& [id, entry] : pool.List()) {
      if (entry.runner->holds.empty()) return false;
      const LayerRange& r = entry.runner->holds;
      for (int l = r.begin; l < r.end; l++) holders[l]++;
    }
    return *std::min_element(holders.begin(), holders.end()) >= 2;
  }

  // Advances until all runners hold something, or `limit` has passed.
  Duration TimeToPlace(Duration limit) {
    const Time start = clock.now();
    while (!AllPlaced() && clock.now() - start < limit) {
      clock.Advance(milliseconds(100));
    }
    return clock.now() - start;
  }

  PoolPlannerOptions options;
  std::set<std::string> down;  // runners that do not answer
  PausedClock clock;
  Random random;
  FakeStore store;
  FakePool pool;
  std::shared_ptr<const ServiceConfiguration> config;
  std::vector<std::unique_ptr<FakeBox>> boxes;
  std::vector<std::unique_ptr<FakeStoreClient>> clients;
  std::vector<std::unique_ptr<FakePoolClient>> orders;
  std::vector<std::unique_ptr<std::map<std::string, DirectoryEntry>>> lists;
  std::vector<std::unique_ptr<TestPlanner>> planners;
  std::vector<uint64_t> fences;
  uint64_t highest_token = 0;  // held by any planner
  int highest_box = -1;
};

TEST(RunnerHealth, ComparesHeldAndListedLayers) {
  const struct {
    LayerRange listed;
    std::optional<LayerRange> held;
    bool works;
    uint64_t incarnation = 1000;  // listed: 1000
  } cases[] = {
      {{10, 20}, std::nullopt, false},  // no answer
      {{10, 20}, LayerRange{10, 20}, true},
      {{10, 20}, LayerRange{10, 28}, true},  // it has loaded more since
      {{10, 20}, LayerRange{5, 20}, true},
      {{10, 20}, LayerRange{0, 0}, false},  // it has restarted
      {{10, 20}, LayerRange{10, 20}, false, 1001},
      {{10, 20}, LayerRange{12, 22}, false},
      {{0, 0}, LayerRange{0, 0}, true},
  };
  for (const auto& c : cases) {
    std::optional<RunnerReport> report;
    if (c.held) {
      report.emplace();
      report->state.holds = *c.held;
      report->state.incarnation = c.incarnation;
      report->running = 2;
      report->waiting = 1;
    }
    const RunnerHealth health = HealthOf(c.listed, 1000, {!report, report});
    EXPECT_EQ(health.answered, c.held.has_value()) << c.listed.begin;
    EXPECT_EQ(health.works, c.works) << c.listed.begin;
    EXPECT_EQ(health.entries, c.works ? 3 : 0);
  }
}

TEST(PoolPlanner, PlacesAnEmptyPoolOnce) {
  World w(1);
  EXPECT_LE(w.TimeToPlace(seconds(20)), seconds(6));
  EXPECT_EQ(w.pool.loads, 12);
  w.clock.Advance(seconds(60));
  EXPECT_EQ(w.pool.loads, 12) << "nothing is loaded twice";
  EXPECT_EQ(w.pool.refused, 0);
  int planning = 0;
  for (const auto& p : w.planners) planning += p->planning() ? 1 : 0;
  EXPECT_EQ(planning, 1);
}

// The list suffices to order an empty runner. Many runners are ordered with a
// bounded number of calls at a time.
TEST(PoolPlanner, OrdersAnEmptyRunnerWithOneCall) {
  for (const int runners : {300, 3000}) {
    World w(3);
    for (int i = 12; i < runners; i++) {
      w.pool.Add("r" + std::to_string(i), "h" + std::to_string(i % 2), "small",
                 static_cast<uint16_t>(1 + i));
    }
    const Time start = w.clock.now();
    while (w.pool.loads < runners && w.clock.now() - start < seconds(10)) {
      w.clock.Advance(milliseconds(20));
    }
    EXPECT_EQ(w.pool.loads, runners);
    // 1.5 s of this is for the list to fill up; 64 calls of 3 ms at a time.
    EXPECT_LE(w.clock.now() - start, milliseconds(2000 + runners / 10));
    int queries = 0;
    for (const auto& client : w.orders) {
      queries += client->queries;
      EXPECT_LE(client->max_in_flight, w.options.max_calls);
    }
    EXPECT_EQ(queries, 0);
    EXPECT_EQ(w.pool.refused, 0);
  }
}

// Two runners have accepted an order that the list does not show: they refuse,
// are queried, and get no second order for what they load. With the check after
// a takeover, the first refusal shows that there was an earlier planner, and
// the second runner is queried at once.
TEST(PoolPlanner, RunnerRefusesAnOrderBasedOnAStaleList) {
  for (const bool check_first : {false, true}) {
    World w(4, 0, check_first);
    w.pool.rows.at(1).orders = 1;
    w.pool.rows.at(2).orders = 1;
    w.pool.rows.at(2).loading = {0, 5};
    w.pool.rows.at(2).loaded = w.clock.now() + seconds(6);
    EXPECT_LE(w.TimeToPlace(seconds(20)), seconds(9));
    EXPECT_EQ(w.pool.loads, 11);
    EXPECT_EQ(w.pool.refused, check_first ? 1 : 2);
    EXPECT_EQ(w.pool.overwritten, 0);
  }
}

TEST(PoolPlanner, RefillsARunnerThatComesBackEmpty) {
  World w(2);
  w.TimeToPlace(seconds(20));
  w.pool.RestartWithNewId(3);
  w.pool.RestartWithNewId(7);
  EXPECT_LE(w.TimeToPlace(seconds(20)), seconds(4));
  w.clock.Advance(seconds(10));
  // The large one is filled in two steps.
  EXPECT_EQ(w.pool.loads, 15);
  for (const auto& [port, row] : w.pool.rows) {
    EXPECT_EQ(row.holds.size(), port <= 4 ? 5 : 2) << port;
  }
}

// A runner that restarts under its id, during a load or after it, is ordered
// once more, as one that has accepted no order.
TEST(PoolPlanner, RefillsARunnerThatRestartsUnderItsIdOnce) {
  for (const uint16_t port : {1, 7}) {
    for (int ms = 0; ms < 4000; ms += 100) {
      World w(ms);
      while (w.pool.loads < 12) w.clock.Advance(milliseconds(10));
      w.clock.Advance(milliseconds(ms));
      w.pool.RestartWithSameId(port);
      EXPECT_LE(w.TimeToPlace(seconds(20)), seconds(4)) << ms;
      w.clock.Advance(seconds(20));
      // The large one is filled in two steps if the pool is serving.
      EXPECT_LE(w.pool.loads, port == 1 ? 14 : 13) << ms;
      EXPECT_EQ(w.pool.refused, 0) << ms;
      EXPECT_EQ(w.pool.overwritten, 0) << ms;
    }
  }
}

// A part of a large range serves requests before all of it is loaded.
TEST(PoolPlanner, ALargeRangeIsLoadedInSteps) {
  World w(4);
  w.TimeToPlace(seconds(20));
  w.pool.RestartWithNewId(1);
  std::vector<int> sizes = {0};
  LayerRange held;
  for (int i = 0; i < 100; i++) {
    w.clock.Advance(milliseconds(100));
    w.pool.List();
    const LayerRange& now = w.pool.rows.at(1).holds;
    EXPECT_TRUE(now.Contains(held));
    held = now;
    if (now.size() != sizes.back()) sizes.push_back(now.size());
  }
  EXPECT_EQ(sizes, (std::vector<int>{0, 3, 5}));
}

// A planner that is killed has left one step of a load; the next planner
// continues from there.
TEST(PoolPlanner, SuccessorContinuesAPartialLoad) {
  World w(5);
  w.TimeToPlace(seconds(20));
  w.pool.RestartWithNewId(1);
  while (w.pool.rows.at(1).loading.empty()) w.clock.Advance(milliseconds(50));
  for (size_t i = 0; i < w.boxes.size(); i++) {
    if (w.planners[i]->planning()) w.boxes[i]->Kill();
  }
  w.clock.Advance(seconds(20));
  w.pool.List();
  EXPECT_EQ(w.pool.rows.at(1).holds.size(), 5);
  EXPECT_EQ(w.pool.overwritten, 0);
}

// Pools of different sizes, each of which lost layers permanently.
TEST(PoolPlanner, PlansPoolsIndependently) {
  World w(8, 1);
  auto c = std::make_shared<ServiceConfiguration>(*w.config);
  c->services.push_back(c->services.front());
  c->services.back().name = "other";
  w.config = c;
  constexpr uint16_t kFirst = 60;
  for (uint16_t i = 0; i < 5; i++) {
    w.pool.Add("o" + std::to_string(i), "h0", "big", kFirst + i, "other");
  }
  w.TimeToPlace(seconds(20));
  std::erase_if(w.pool.rows,
                [](const auto& entry) { return entry.second.holds.end == 8; });
  w.clock.Advance(seconds(60));
  std::map<std::string, int> holders;  // of the last layer
  for (const auto& [id, entry] : w.pool.List()) {
    if (entry.runner->holds.end == 8) holders[entry.listed.service]++;
  }
  EXPECT_GE(holders[kService], 1);
  EXPECT_GE(holders["other"], 1);
}

// A crashed runner stays listed for seconds; one that comes back in the
// meantime covers its layers.
TEST(PoolPlanner, LayersOfAnUnresponsiveRunnerCountAsLost) {
  World w(6);
  w.TimeToPlace(seconds(20));
  const LayerRange lost = w.pool.rows.at(1).holds;
  // The only holder of these layers in its hall, so the result is unique.
  w.down = {"r0"};
  FakePool::Row back = w.pool.rows.at(1);
  w.pool.Add("r0'", "h0", "big", 50);
  w.clock.Advance(seconds(10));
  w.pool.List();
  EXPECT_EQ(w.pool.rows.at(50).holds, lost);
  EXPECT_EQ(w.pool.rows.at(1).holds, back.holds) << "it gets no order";
}

// Layers without holders are covered by runners that other layers can spare,
// once; after that nothing moves.
TEST(PoolPlanner, MovesCoverPermanentlyLostLayers) {
  World w(7, 1);
  w.TimeToPlace(seconds(20));
  // Removes all holders of the last layers.
  std::erase_if(w.pool.rows,
                [](const auto& entry) { return entry.second.holds.end == 8; });
  const auto holders = [&w] {
    std::vector<int> n(8, 0);
    for (const auto& [id, entry] : w.pool.List()) {
      const LayerRange& r = entry.runner->holds;
      for (int l = r.begin; l < r.end; l++) n[l]++;
    }
    return *std::min_element(n.begin(), n.end());
  };
  ASSERT_EQ(holders(), 0);
  const int loads = w.pool.loads;
  w.clock.Advance(seconds(4));
  EXPECT_EQ(w.pool.loads, loads) << "they may be back soon";
  w.clock.Advance(seconds(60));
  EXPECT_GE(holders(), 1);
  const int after = w.pool.loads;
  EXPECT_LE(after - loads, 4);
  w.clock.Advance(seconds(120));
  EXPECT_EQ(w.pool.loads, after) << "nothing moves to and fro";
}

// In a large pool runners join and leave all the time, and several layers may
// lack memory at once.
TEST(PoolPlanner, MovesCoverLossesDuringChurn) {
  World w(9, 4);
  for (uint16_t i = 0; i < 40; i++) {
    w.pool.Add("s" + std::to_string(i), "h0", "small",
               static_cast<uint16_t>(100 + i));
  }
  w.TimeToPlace(seconds(20));
  w.clock.Advance(seconds(10));
  const auto holders = [&w] {
    std::vector<int> n(8, 0);
    for (const auto& [id, entry] : w.pool.List()) {
      const LayerRange& r = entry.runner->holds;
      for (int l = r.begin; l < r.end; l++) n[l]++;
    }
    return n;
  };
  std::erase_if(w.pool.rows, [](const auto& entry) {
    return entry.second.holds.end == 8 || entry.second.holds.begin == 0;
  });
  ASSERT_EQ(holders().front() + holders().back(), 0);
  // A runner that can hold nothing joins and leaves every two seconds, so the
  // pool never settles.
  for (uint16_t i = 0; i < 16; i++) {
    w.pool.Add("t" + std::to_string(i), "h0", "tiny", 300 + i);
    w.clock.Advance(seconds(1));
    w.pool.rows.erase(300 + i);
    w.clock.Advance(seconds(1));
  }
  EXPECT_GE(holders().front(), 1);
  EXPECT_GE(holders().back(), 1);
  EXPECT_EQ(w.pool.fenced, 0);
}

TEST(PoolPlanner, SuccessorTakesOverFromAKilledPlanner) {
  for (int ms = 1500; ms < 4000; ms += 50) {
    World w(ms);
    w.clock.Advance(milliseconds(ms));
    for (size_t i = 0; i < w.boxes.size(); i++) {
      if (w.planners[i]->planning()) w.boxes[i]->Kill();
    }
    EXPECT_LE(w.TimeToPlace(seconds(40)), seconds(14)) << ms;
    EXPECT_EQ(w.pool.overwritten, 0) << ms;
  }
}

// A planner is paused past its lease with orders pending while another plans.
// After it resumes, its orders are fenced off or match the runners' state.
TEST(PoolPlanner, ResumedPlannerDoesNoHarm) {
  for (int ms = 1500; ms < 3500; ms += 20) {
    World w(ms);
    w.clock.Advance(milliseconds(ms));
    size_t paused = w.boxes.size();
    for (size_t i = 0; i < w.boxes.size(); i++) {
      if (w.planners[i]->planning()) paused = i;
    }
    if (paused == w.boxes.size()) continue;
    w.boxes[paused]->Pause();
    w.clock.Advance(seconds(8));
    w.boxes[paused]->Resume();
    EXPECT_LE(w.TimeToPlace(seconds(40)), seconds(12)) << ms;
    w.clock.Advance(seconds(30));
    EXPECT_EQ(w.pool.overwritten, 0) << ms;
    EXPECT_TRUE(w.AllPlaced()) << ms;
  }
}

// 99 empty runners; the planner fails after sending about two thirds of its
// orders. Neither its successor nor the planner itself, if it resumes, repeats
// an order that is in progress. If loads outlast the takeover, the list does
// not show that anybody planned before.
TEST(PoolPlanner, TakeoverRepeatsNoOrder) {
  const struct {
    bool resumes;
    Duration load;
    bool check_first;
    int max_refused;
  } cases[] = {{false, seconds(2), true, 0},   {false, seconds(7), true, 1},
               {false, seconds(20), true, 1},  {true, seconds(2), true, 0},
               {true, seconds(7), true, 1},    {true, seconds(20), true, 1},
               {false, seconds(7), false, 99}, {false, seconds(20), false, 99}};
  for (const auto& c : cases) {
    World w(3, 0, c.check_first);
    for (int i = 12; i < 99; i++) {
      w.pool.Add("r" + std::to_string(i), "h" + std::to_string(i % 2), "small",
                 static_cast<uint16_t>(1 + i));
    }
    w.pool.load_time = c.load;
    while (w.pool.loads < 60) w.clock.Advance(milliseconds(1));
    ASSERT_LT(w.pool.loads, 70);
    size_t first = 0;
    while (!w.planners[first]->planning()) first++;
    w.boxes[first]->Pause();
    if (!c.resumes) w.boxes[first]->Kill();
    w.clock.Advance(seconds(8));
    w.boxes[first]->Resume();
    EXPECT_LE(w.TimeToPlace(seconds(60)), seconds(30));
    w.clock.Advance(seconds(30));
    int queries = 0;
    for (const auto& client : w.orders) queries += client->queries;
    std::cout << "load " << ToSeconds(c.load) << " s, "
              << (c.resumes ? "paused" : "killed")
              << (c.check_first ? "" : ", not asked") << ": " << w.pool.orders
              << " orders, " << w.pool.loads << " loads, " << w.pool.refused
              << " refused, " << w.pool.fenced << " fenced, " << queries
              << " questions\n";
    EXPECT_EQ(w.pool.loads, 99);
    EXPECT_LE(w.pool.refused + w.pool.fenced, c.max_refused);
    EXPECT_EQ(w.pool.overwritten, 0);
    // One each at first, and one per 1.5 s while they load.
    EXPECT_LE(queries, 99 * (2 + ToSeconds(c.load) / 1.5));
  }
}

// Random schedules of lost and late orders, lost and late writes, outages,
// pauses, kills and restarts. No layers that a runner holds are ever replaced,
// and the pool is complete again soon after the faults end.
TEST(PoolPlanner, SurvivesAnySchedule) {
  for (int run = 0; run < 300; run++) {
    const bool same_id = run >= 150;  // runners restart under their id
    const int seed = run % 150;
    World w(seed);
    w.store.faults.lose_reply = 0.2;
    w.store.faults.late = 0.1;
    for (auto& o : w.orders) {
      o->lose = 0.2;
      o->late = 0.2;
    }
    for (int step = 0; step < 60; step++) {
      w.clock.Advance(milliseconds(500));
      FakeBox* box = w.boxes[w.random() % w.boxes.size()].get();
      switch (w.random() % 12) {
        case 0:
          box->Pause();
          break;
        case 1:
        case 2:
          box->Resume();
          break;
        case 3:
          if (same_id) {
            w.pool.RestartWithSameId(
                static_cast<uint16_t>(1 + w.random() % 12));
          } else {
            w.pool.RestartWithNewId(static_cast<uint16_t>(1 + w.random() % 12));
          }
          break;
        case 4:
          w.store.faults.down = w.random() % 2 == 0;
          break;
        case 5:
          if (w.boxes.size() > 6) break;
          box->Kill();
          w.AddBox(static_cast<int>(w.boxes.size()));
          break;
        default:
          break;
      }
    }
    w.store.faults = {};
    for (auto& o : w.orders) o->lose = o->late = 0;
    for (auto& box : w.boxes) box->Resume();
    EXPECT_LE(w.TimeToPlace(seconds(60)), seconds(25)) << run;
    EXPECT_EQ(w.pool.overwritten, 0) << run;
  }
}

// The store is restored from a backup that lacks the current holder's lease, or
// contains another's. The planner stops at the first answer, some box plans
// again soon, and runners accept its orders whatever fences they saw before.
TEST(PoolPlanner, OrdersAreAcceptedRightAfterARestore) {
  for (const Duration age : {milliseconds(200), milliseconds(2000),
                             milliseconds(6000), milliseconds(60'000)}) {
    World w(7);
    w.TimeToPlace(seconds(20));
    // Another box takes over, with a higher token that the backup may lack.
    for (size_t i = 0; i < w.planners.size(); i++) {
      if (w.planners[i]->planning()) w.boxes[i]->Kill();
    }
    w.clock.Advance(seconds(6));
    w.pool.RestartWithSameId(3);
    w.clock.Advance(milliseconds(700));
    const uint64_t before = w.highest_token;
    w.store.Restore(age);
    w.pool.RestartWithSameId(5);
    EXPECT_LE(w.TimeToPlace(seconds(20)), seconds(9)) << ToMillis(age);
    EXPECT_GT(w.highest_token, before);
    EXPECT_EQ(w.pool.fenced, 0);
    EXPECT_EQ(w.pool.overwritten, 0);
    int planning = 0;
    for (size_t i = 0; i < w.planners.size(); i++) {
      if (!w.boxes[i]->killed() && w.planners[i]->planning()) planning++;
    }
    EXPECT_EQ(planning, 1);
  }
}

// All of these faults and restores, sometimes two in a row.
TEST(PoolPlanner, SurvivesAnyScheduleOfRestores) {
  int restores = 0;
  for (int run = 0; run < 300; run++) {
    World w(1000 + run);
    w.store.faults.lose_reply = 0.2;
    w.store.faults.late = 0.1;
    for (auto& o : w.orders) o->lose = o->late = 0.2;
    for (int step = 0; step < 60; step++) {
      w.clock.Advance(milliseconds(500));
      FakeBox* box = w.boxes[w.random() % w.boxes.size()].get();
      switch (w.random() % 12) {
        case 0:
          box->Pause();
          break;
        case 1:
        case 2:
          box->Resume();
          break;
        case 3:
          w.pool.RestartWithSameId(static_cast<uint16_t>(1 + w.random() % 12));
          break;
        case 4:
          w.store.faults.down = w.random() % 2 == 0;
          break;
        case 5:
          if (w.boxes.size() > 6) break;
          box->Kill();
          w.AddBox(static_cast<int>(w.boxes.size()));
          break;
        case 6:
          w.store.Restore(milliseconds(w.random() % 8000));
          restores++;
          if (w.random() % 3 == 0) w.store.Restore(milliseconds(500));
          break;
        default:
          break;
      }
    }
    w.store.faults = {};
    for (auto& o : w.orders) o->lose = o->late = 0;
    for (auto& box : w.boxes) box->Resume();
    EXPECT_LE(w.TimeToPlace(seconds(60)), seconds(25)) << run;
    EXPECT_EQ(w.pool.overwritten, 0) << run;
  }
  EXPECT_GT(restores, 1000);
}

}  // namespace
}  // namespace pinford
