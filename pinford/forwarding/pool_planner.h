// Places the layers of all pools: one box plans, and gives the orders.
//
// The planner is the holder of a lease; the lease's token is the fence of its
// orders. It keeps no plan that would have to be stored: what runners hold is
// in the platform's list and in their own reports, and an order names how many
// orders the runner is expected to have taken. So a planner that takes over,
// however suddenly, sees the same state, and whatever its predecessor still
// has on the way either fits that state or is refused.
//
// Each round, every runner that holds nothing and has no order under way is
// asked for its report (is it really empty, how many orders did it take) and
// then ordered to hold what RangeFor gives. An order counts as under way until
// the runner is seen to hold it, or its time is over.

#ifndef PINFORD_FORWARDING_POOL_PLANNER_H_
#define PINFORD_FORWARDING_POOL_PLANNER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/pool_client.h"
#include "pinford/forwarding/pool_placement.h"
#include "pinford/lease_holder.h"

namespace pinford {

inline constexpr char kPoolPlannerKey[] = "pinford/pool-planner";

struct PoolPlannerOptions {
  Duration lease = seconds(3);
  // Of the holder; a renewal is a tenth of a call to the store.
  Duration round = milliseconds(300);
  // Of the others, who look whether the lease is free.
  Duration look = milliseconds(1500);
  // How often a runner with an order under way is asked for its report.
  Duration ask = milliseconds(400);
  // An empty pool is placed once no endpoint has joined for `settled`, or
  // `latest` after the first: fast runners should come first, and the list
  // fills up over some seconds.
  Duration settled = milliseconds(1500);
  Duration latest = milliseconds(6500);
  // Beyond the time that a load takes if `loads_at_once` others go on.
  Duration order_slack = seconds(4);
  Duration report_limit = milliseconds(800);
  PoolPlacementOptions placement;
};

struct PoolPlannerEvents {
  // Whether this box may plan now: it knows the list and does not stop.
  std::function<bool()> may_plan;
  std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
  std::function<const std::map<std::string, DirectoryEntry>&()> entries;
  std::function<void(const std::string& id, const RunnerState&)> on_state;
  std::function<void(uint64_t token)> on_lease;
  std::function<void(const std::string& id, const LayerOrder&,
                     LayerOrderStatus)>
      on_order;
};

template <Store S, PoolClient C, Clock Clk>
class PoolPlanner {
 public:
  PoolPlanner(S* store, C* client, Clk* clock, std::string holder,
              const PoolPlannerOptions& options, PoolPlannerEvents events)
      : client_(client),
        clock_(clock),
        options_(options),
        events_(std::move(events)),
        lease_(store, clock, kPoolPlannerKey, std::move(holder), options.lease,
               [this](uint64_t token) { events_.on_lease(token); }) {}

  void Start(Duration first) {
    clock_->After(first, [this] { Round(); });
  }

  bool planning() const { return lease_.held(); }

 private:
  // What is known of a runner beyond the list.
  struct Work {
    LayerRange ordered;  // empty without an order under way
    Time give_up{};      // when an order counts as lost
    Time next_ask{};
    bool asking = false;
    std::optional<RunnerReport> report;
  };

  void Round() {
    if (!events_.may_plan()) {
      Start(options_.look);
      return;
    }
    // A third of the lease is left for renewals that get no answer.
    if (lease_.held() && lease_.left() > options_.lease * 2 / 3) {
      Plan();
      Start(options_.round);
      return;
    }
    lease_.Renew([this](bool held) {
      if (held) Plan();
      Start(held ? options_.round : options_.look);
    });
  }

  // Whether the list has filled up, or can be waited for no longer.
  bool Settled(const std::map<std::string, DirectoryEntry>& entries) {
    const Time now = clock_->now();
    if (first_seen_ == Time{}) first_seen_ = now;
    if (entries.size() > seen_) {
      seen_ = entries.size();
      grew_ = now;
    }
    const bool begun =
        std::any_of(entries.begin(), entries.end(), [](const auto& e) {
          return e.second.runner && !e.second.runner->holds.empty();
        });
    return begun || now - grew_ >= options_.settled ||
           now - first_seen_ >= options_.latest;
  }

  void Plan() {
    const auto config = events_.configuration();
    if (config == nullptr || !Settled(events_.entries())) return;
    const std::map<std::string, DirectoryEntry>& entries = events_.entries();
    std::erase_if(work_, [&entries](const auto& w) {
      return !entries.contains(w.first);
    });
    for (const ServiceSpec& spec : config->services) {
      if (spec.engine) PlanPool(spec, entries);
    }
  }

  void PlanPool(const ServiceSpec& spec,
                const std::map<std::string, DirectoryEntry>& entries) {
    std::vector<PoolRunner> runners;
    std::vector<PoolRunner> empty;
    for (const auto& [id, entry] : entries) {
      if (entry.listed.service != spec.name || !entry.runner) continue;
      if (entry.listed.state == ListedState::kLeaving) continue;
      const PoolRunner r = View(id, entry);
      runners.push_back(r);
      if (r.holds.empty()) empty.push_back(r);
    }
    // Fast runners first: they get the first run of layers of their hall.
    const EnginePool& pool = *spec.engine;
    std::stable_sort(empty.begin(), empty.end(),
                     [&pool](const PoolRunner& a, const PoolRunner& b) {
                       return FactorOf(pool, a) < FactorOf(pool, b);
                     });
    for (const PoolRunner& r : empty) Fill(spec, r, &runners);
    for (const PoolRunner& r : runners) Follow(entries.at(r.name), r);
  }

  static double FactorOf(const EnginePool& pool, const PoolRunner& r) {
    const AcceleratorKind* kind = pool.Kind(r.kind);
    return kind != nullptr ? kind->step_factor : 1e9;
  }

  PoolRunner View(const std::string& id, const DirectoryEntry& entry) {
    PoolRunner r{id, entry.listed.hall, entry.runner->kind,
                 entry.runner->holds};
    auto it = work_.find(id);
    if (it == work_.end()) return r;
    Work& w = it->second;
    const bool late = clock_->now() >= w.give_up;
    if (late && !w.ordered.empty()) w.report.reset();
    if (late || !r.holds.empty()) w.ordered = {};
    if (r.holds.empty()) r.holds = w.ordered;
    return r;
  }

  // Orders an empty runner, once its report has been seen.
  void Fill(const ServiceSpec& spec, const PoolRunner& r,
            std::vector<PoolRunner>* runners) {
    Work& w = work_[r.name];
    if (!w.report) {
      Ask(r.name);
      return;
    }
    if (w.report->busy) {
      // An order of another planner is under way.
      if (clock_->now() >= w.next_ask) Ask(r.name);
      return;
    }
    const std::optional<LayerRange> range =
        RangeFor(*spec.engine, *runners, r, options_.placement);
    if (!range) return;
    for (PoolRunner& known : *runners) {
      if (known.name == r.name) known.holds = *range;
    }
    Give(spec, r, *range);
  }

  void Give(const ServiceSpec& spec, const PoolRunner& r,
            const LayerRange& range) {
    const DirectoryEntry& entry = events_.entries().at(r.name);
    Work& w = work_[r.name];
    LayerOrder order;
    order.range = range;
    order.fence = lease_.token();
    order.expected_orders = w.report->state.orders;
    if (order.fence == 0) return;
    const EnginePool& pool = *spec.engine;
    // Loads beyond those at once slow each other; twice is room for that.
    const double load =
        2 * pool.load_seconds * range.size() / std::max(1, pool.layers);
    w.ordered = range;
    w.give_up = clock_->now() + FromSeconds(load) + options_.order_slack;
    w.next_ask = clock_->now() + options_.ask;
    w.report.reset();
    client_->Order(entry.listed.address, order,
                   [this, id = r.name, order](LayerOrderStatus status) {
                     OnOrder(id, order, status);
                   });
  }

  void OnOrder(const std::string& id, const LayerOrder& order,
               LayerOrderStatus status) {
    events_.on_order(id, order, status);
    if (status == LayerOrderStatus::kFenced) lease_.Forget();
    auto it = work_.find(id);
    if (it == work_.end()) return;
    const bool refused = status == LayerOrderStatus::kConflict ||
                         status == LayerOrderStatus::kFenced ||
                         status == LayerOrderStatus::kNotSent;
    // What was not taken is planned anew, on a new report.
    if (refused) it->second.ordered = {};
  }

  // Asks a runner that should be loading how far it is, until the list or its
  // report shows that it is done.
  void Follow(const DirectoryEntry& entry, const PoolRunner& r) {
    auto it = work_.find(r.name);
    if (it == work_.end() || it->second.ordered.empty()) return;
    if (!entry.runner->holds.empty()) return;
    if (clock_->now() >= it->second.next_ask) Ask(r.name);
  }

  void Ask(const std::string& id) {
    Work& w = work_[id];
    if (w.asking) return;
    w.asking = true;
    w.next_ask = clock_->now() + options_.ask;
    client_->Report(events_.entries().at(id).listed.address,
                    options_.report_limit,
                    [this, id](std::optional<RunnerReport> report) {
                      OnReport(id, std::move(report));
                    });
  }

  void OnReport(const std::string& id, std::optional<RunnerReport> report) {
    auto it = work_.find(id);
    if (it == work_.end()) return;
    it->second.asking = false;
    if (!report) return;
    if (!report->state.holds.empty()) events_.on_state(id, report->state);
    it->second.report = std::move(report);
  }

  C* client_;
  Clk* clock_;
  PoolPlannerOptions options_;
  PoolPlannerEvents events_;
  LeaseHolder<S, Clk> lease_;
  std::map<std::string, Work> work_;
  size_t seen_ = 0;  // endpoints in the list
  Time grew_{};
  Time first_seen_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLANNER_H_
