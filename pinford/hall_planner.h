// Plans one hall's placement and issues the orders for it.
//
// One box of a hall plans at a time: the holder of a lease in the platform's
// service, whose token grows with every new holder. The holder first writes its
// decision, by compare-and-swap, as the hall's plan. Orders are derived from
// the written plan only, and carry its token and number.
//
// A holder may be paused and resume in the belief that it still holds the
// lease. Then:
// - its plan cannot be written, as the stored one has a higher token;
// - its orders are refused by runners that check the token;
// - before an order to a runner that does not check, the lease is renewed, and
//   its remaining time, counted from before the renewal was sent, must exceed
//   the order's time limit. An order that still arrives late (delayed in
//   transit for longer than its limit) is corrected in the next round, since
//   orders state the desired holding and are repeated until reports agree.
//
// Loads are spaced so that weights are never requested faster than the weight
// store serves them, across a change of holders too: a new holder waits for one
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
  Duration load_spacing = seconds(10);   // from the weight store's rate
  Duration move_cooldown = seconds(60);  // of a runner after a move
};

// The planner's inputs from its box.
struct HallView {
  std::vector<PlannedRunner> runners;
  std::map<std::string, bool> checks_fence;  // by runner
  std::map<std::string, int> wanted;         // replicas by model
};

struct HallPlannerEvents {
  std::function<HallView()> view;
  std::function<bool()> is_candidate;            // whether to try for the lease
  std::function<void(uint64_t token)> on_lease;  // 0 if lost
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
  void ScheduleRound() { Start(); }

  void OnToken(uint64_t token) {
    if (token != 0) next_load_ = clock_->now() + options_.load_spacing;
    if (events_.on_lease) events_.on_lease(token);
  }

  void Round() {
    if (!holds_lease() && !events_.is_candidate()) {
      ScheduleRound();
      return;
    }
    // A renewal is a write, and the store supports few writes.
    if (lease_.left() > options_.lease / 2) {
      ReadPlan();
      return;
    }
    lease_.Renew([this](bool held) {
      if (held) {
        ReadPlan();
      } else {
        ScheduleRound();
      }
    });
  }

  // --- the plan ------------------------------------------------------------

  void ReadPlan() {
    store_->Get(plan_key_, [this](const StoreResult& r) {
      if (r.status != StoreStatus::kOk && r.status != StoreStatus::kMissing) {
        ScheduleRound();
        return;
      }
      PlacementPlan plan;
      if (r.status == StoreStatus::kOk) {
        std::optional<PlacementPlan> parsed = ParsePlan(r.now.value);
        if (parsed) plan = std::move(*parsed);
      }
      if (plan.token > lease_.token()) {
        // Another box has planned since; this lease is no longer valid.
        lease_.Abandon();
        ScheduleRound();
        return;
      }
      Decide(std::move(plan), r.now.revision);
    });
  }

  void Decide(PlacementPlan plan, StoreRevision revision) {
    const HallView view = events_.view();
    PlacementPlan next = plan;
    UpdatePlan(view, &next);
    if (next.holdings == plan.holdings && plan.token == lease_.token()) {
      IssueNextOrder(view, plan);
      return;
    }
    next.token = lease_.token();
    next.number = plan.number + 1;
    store_->CompareAndSwap(plan_key_, revision, WritePlan(next),
                           [this, view, next](const StoreResult& r) {
                             // Only a plan that is known to be written is
                             // carried out. The next round reads the stored
                             // plan in any case.
                             if (r.status == StoreStatus::kOk) {
                               IssueNextOrder(view, next);
                             } else {
                               ScheduleRound();
                             }
                           });
  }

  // Adds the next move, and erases runners that were removed.
  void UpdatePlan(const HallView& view, PlacementPlan* plan) const {
    std::vector<PlannedRunner> runners = view.runners;
    std::map<std::string, Holding> kept;
    bool in_progress = false;
    for (PlannedRunner& r : runners) {
      auto planned = plan->holdings.find(r.name);
      if (planned == plan->holdings.end()) continue;
      kept[r.name] = planned->second;
      in_progress = in_progress || r.holds != planned->second;
      r.holds = planned->second;
      auto moved = last_move_.find(r.name);
      r.cooling_down = moved != last_move_.end() &&
                       clock_->now() - moved->second < options_.move_cooldown;
    }
    plan->holdings = std::move(kept);
    if (in_progress) return;
    if (std::optional<Move> move = NextMove(runners, view.wanted)) {
      plan->holdings[move->runner] = move->to;
    }
  }

  // --- the orders ----------------------------------------------------------

  // Issues the next order that the plan requires, if one is due.
  void IssueNextOrder(const HallView& view, const PlacementPlan& plan) {
    for (const PlannedRunner& r : view.runners) {
      auto planned = plan.holdings.find(r.name);
      if (planned == plan.holdings.end() || planned->second == r.holds)
        continue;
      if (clock_->now() < next_load_) continue;
      auto checks = view.checks_fence.find(r.name);
      const bool checks_token =
          checks != view.checks_fence.end() && checks->second;
      const Order order{plan.token, plan.number, planned->second};
      if (checks_token) {
        IssueOrder(r.name, order);
      } else {
        IssueUnfencedOrder(r.name, order);
      }
      return;
    }
    ScheduleRound();
  }

  void IssueUnfencedOrder(const std::string& runner, const Order& order) {
    lease_.Renew([this, runner, order](bool held) {
      const bool same_token = held && lease_.token() == order.token;
      const bool enough_time = lease_.left() > options_.order_limit;
      if (same_token && enough_time) {
        IssueOrder(runner, order);
      } else {
        ScheduleRound();
      }
    });
  }

  void IssueOrder(const std::string& runner, const Order& order) {
    next_load_ = clock_->now() + options_.load_spacing;
    last_move_[runner] = clock_->now();
    if (events_.on_order) events_.on_order(runner, order);
    client_->SendOrder(runner, order, options_.order_limit,
                       [this](OrderStatus status) {
                         if (status == OrderStatus::kFenced) lease_.Abandon();
                         ScheduleRound();
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
  std::map<std::string, Time> last_move_;
};

}  // namespace pinford

#endif  // PINFORD_HALL_PLANNER_H_
