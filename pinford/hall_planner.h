// Plans one hall's placement and gives the orders for it.
//
// One box of a hall plans at a time: the holder of a lease in the platform's
// service, whose token grows with every new holder. What the holder decides
// is written first, by compare-and-swap, as the hall's plan; orders come from
// the written plan only, and carry its token and number.
//
// A holder may be paused and wake up believing that it still holds the lease.
// Then:
//   - its plan cannot be written: the stored one bears a higher token;
//   - its orders are refused by runners that check the token;
//   - before an order to a runner that does not check, the lease is renewed,
//     and its remaining time, counted from before the renewal was sent, must
//     exceed the order's time limit. An order that slips through all the same
//     (held up on its way for longer than its limit) is put right by the next
//     round, since orders tell a state and are given until reports agree.
//
// Loads are spaced so that weights are never asked for faster than the weight
// store gives them, over a change of holders too: a new holder waits for one
// spacing before its first load.

#ifndef PINFORD_HALL_PLANNER_H_
#define PINFORD_HALL_PLANNER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pinford/lease_holder.h"
#include "pinford/order.h"
#include "pinford/placement.h"
#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

struct HallPlannerOptions {
  Duration lease = seconds(6);
  Duration round = seconds(1);
  Duration order_limit = seconds(2);
  Duration load_spacing = seconds(10);  // from the weight store's rate
  Duration rest = seconds(60);          // of a runner that was moved
};

// What the planner asks of its box.
struct HallView {
  std::vector<PlannedRunner> runners;
  std::map<std::string, bool> checks_fence;  // by runner
  std::map<std::string, int> wanted;         // replicas by model
};

struct HallPlannerEvents {
  std::function<HallView()> view;
  std::function<bool()> is_candidate;            // whether to try for the lease
  std::function<void(uint64_t token)> on_lease;  // 0: lost
  std::function<void(const std::string& runner, const Order&)> on_order;
};

template <Store S, OrderClient C, Clock Clk>
class HallPlanner {
 public:
  HallPlanner(S* store, C* client, Clk* clock, std::string hall,
              std::string holder, const HallPlannerOptions& options,
              HallPlannerEvents events)
      : store_(store),
        client_(client),
        clock_(clock),
        plan_key_("pinford/plan/" + hall),
        options_(options),
        events_(std::move(events)),
        lease_(store, clock, "pinford/planner/" + hall, std::move(holder),
               options.lease, [this](uint64_t token) { OnToken(token); }) {}

  void Start() {
    clock_->After(options_.round, [this] { Round(); });
  }

  bool holds_lease() const { return lease_.held(); }

 private:
  void Again() { Start(); }

  void OnToken(uint64_t token) {
    if (token != 0) next_load_ = clock_->now() + options_.load_spacing;
    if (events_.on_lease) events_.on_lease(token);
  }

  void Round() {
    if (!holds_lease() && !events_.is_candidate()) {
      Again();
      return;
    }
    // A renewal is a write, of which the store has few.
    if (lease_.left() > options_.lease / 2) {
      ReadPlan();
      return;
    }
    lease_.Renew([this](bool held) {
      if (held) {
        ReadPlan();
      } else {
        Again();
      }
    });
  }

  // --- the plan ------------------------------------------------------------

  void ReadPlan() {
    store_->Get(plan_key_, [this](const StoreResult& r) {
      if (r.status != StoreStatus::kOk && r.status != StoreStatus::kMissing) {
        Again();
        return;
      }
      PlacementPlan plan;
      if (r.status == StoreStatus::kOk) {
        std::optional<PlacementPlan> parsed = ParsePlan(r.now.value);
        if (parsed) plan = std::move(*parsed);
      }
      if (plan.token > lease_.token()) {
        // Another has planned since: this lease is of the past.
        lease_.Abandon();
        Again();
        return;
      }
      Decide(std::move(plan), r.now.revision);
    });
  }

  void Decide(PlacementPlan plan, StoreRevision revision) {
    const HallView view = events_.view();
    PlacementPlan next = plan;
    Revise(view, &next);
    if (next.holdings == plan.holdings && plan.token == lease_.token()) {
      Carry(view, plan);
      return;
    }
    next.token = lease_.token();
    next.number = plan.number + 1;
    store_->CompareAndSwap(plan_key_, revision, WritePlan(next),
                           [this, view, next](const StoreResult& r) {
                             // Only what is known to be written is carried out;
                             // the next round reads whatever is there.
                             if (r.status == StoreStatus::kOk) {
                               Carry(view, next);
                             } else {
                               Again();
                             }
                           });
  }

  // Adds the next move, and forgets runners that are gone.
  void Revise(const HallView& view, PlacementPlan* plan) const {
    std::vector<PlannedRunner> runners = view.runners;
    std::map<std::string, Holding> kept;
    bool under_way = false;
    for (PlannedRunner& r : runners) {
      auto planned = plan->holdings.find(r.name);
      if (planned == plan->holdings.end()) continue;
      kept[r.name] = planned->second;
      under_way = under_way || r.holds != planned->second;
      r.holds = planned->second;
      auto moved = moved_.find(r.name);
      r.resting = moved != moved_.end() &&
                  clock_->now() - moved->second < options_.rest;
    }
    plan->holdings = std::move(kept);
    if (under_way) return;
    if (std::optional<Move> move = NextMove(runners, view.wanted)) {
      plan->holdings[move->runner] = move->to;
    }
  }

  // --- the orders ----------------------------------------------------------

  // Gives the next order that the plan asks for, if one is due.
  void Carry(const HallView& view, const PlacementPlan& plan) {
    for (const PlannedRunner& r : view.runners) {
      auto planned = plan.holdings.find(r.name);
      if (planned == plan.holdings.end() || planned->second == r.holds)
        continue;
      if (clock_->now() < next_load_) continue;
      auto checks = view.checks_fence.find(r.name);
      const bool fenced = checks != view.checks_fence.end() && checks->second;
      const Order order{plan.token, plan.number, planned->second};
      if (fenced) {
        Give(r.name, order);
      } else {
        GiveUnfenced(r.name, order);
      }
      return;
    }
    Again();
  }

  void GiveUnfenced(const std::string& runner, const Order& order) {
    lease_.Renew([this, runner, order](bool held) {
      const bool same = held && lease_.token() == order.token;
      const bool time = lease_.left() > options_.order_limit;
      if (same && time) {
        Give(runner, order);
      } else {
        Again();
      }
    });
  }

  void Give(const std::string& runner, const Order& order) {
    next_load_ = clock_->now() + options_.load_spacing;
    moved_[runner] = clock_->now();
    if (events_.on_order) events_.on_order(runner, order);
    client_->SendOrder(runner, order, options_.order_limit,
                       [this](OrderStatus status) {
                         if (status == OrderStatus::kFenced) lease_.Abandon();
                         Again();
                       });
  }

  S* store_;
  C* client_;
  Clk* clock_;
  std::string plan_key_;
  HallPlannerOptions options_;
  HallPlannerEvents events_;

  LeaseHolder<S, Clk> lease_;
  Time next_load_{};
  std::map<std::string, Time> moved_;
};

}  // namespace pinford

#endif  // PINFORD_HALL_PLANNER_H_
