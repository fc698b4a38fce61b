// Places the layers of all pools: one box plans, and gives the orders.
//
// The planner is the holder of a lease; the lease's token is the fence of its
// orders. It keeps no plan that would have to be stored: what runners hold is
// in the platform's list and in their own reports, and an order names how many
// orders the runner is expected to have taken. So a planner that takes over,
// however suddenly, sees the same state, and whatever its predecessor still
// has on the way either fits that state or is refused.
//
// Each round, what is missing is planned: ranges for runners that hold nothing,
// or less than they can (PlaceUnderfilledRunners). Such a runner is ordered to
// hold its range; while the pool serves, a large range in steps, so that what
// has been loaded serves while the rest loads: 27 layers of 1,750 MB take 4.7
// s, their first part 1.5 s. An order counts as under way until the runner is
// seen to hold it, or its time is over.
//
// A runner that the list shows to hold nothing is ordered on the list's word,
// as one that has taken no order yet: if it has, the count in the order does
// not fit and it refuses. Any other, and one that refused, is asked for its
// report first (has it no order under way, how many did it take). Calls under
// way are bounded, so that a box with an eighth of a core that fills 3,000
// runners goes from one to the next as they answer, and none of its calls runs
// out of time.
//
// A planner that takes over does not know what its predecessor gave: the list
// shows a runner empty until its load is done. Where some runner holds layers
// somebody planned before, and each that the list shows empty is asked first,
// once. Where none does, a single order goes ahead of the others: if it is
// taken nobody planned before, if not all are asked. So a fresh fleet fills its
// pools without a question, and of 99 runners of which 65 load one is given an
// order that it refuses, where 64 were (AHandOverGivesNoOrderTwice).
//
// A runner that starts anew under its id holds nothing and has taken no order:
// what was known of its life before is forgotten.
//
// What was lost for good is covered by moving runners that others can spare.
// Layers that are given up wait for the requests that pass them, 15 s at worst,
// so that a move pays for lasting losses only: it comes for a great gain that
// has lasted some seconds, and takes runners that have held what they hold for
// as long. Runners that join and leave elsewhere in the pool, as in a large one
// some always do, do not put it off. Several move at once where they touch
// other layers.

#ifndef PINFORD_FORWARDING_POOL_PLANNER_H_
#define PINFORD_FORWARDING_POOL_PLANNER_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/pool_client.h"
#include "pinford/forwarding/pool_placement.h"
#include "pinford/lease_holder.h"
#include "pinford/mechanisms.h"

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
  // Beyond the time that a load takes if `concurrent_loads` others go on.
  Duration order_slack = seconds(4);
  Duration report_limit = milliseconds(800);
  // Orders and questions under way. An answer takes 3 ms; this many keep a core
  // busy, and one that is eight times slower answers to each within 0.1 s.
  int most_calls = 64;
  // How long a step of a load takes while the pool serves.
  Duration step_load = milliseconds(1500);
  PoolPlacementOptions placement;
  // A runner that holds layers is moved to others if that gains so much (as
  // PoolMove; the loss of a runner of a third of the layers leaves moves of 4
  // to 8, a whole pool none above 0.5) and has done so for `move_after` (a
  // runner that crashed is back sooner), so many at a time: one that gives
  // layers up serves nothing there for up to 15 s.
  double least_gain = 2;
  Duration move_after = seconds(5);
  int most_moves = 4;
  // How often a move is looked for: at 27 pools of 226 runners a look takes 7
  // ms of processor time (BM_BestMove), 0.7% of a core at this pace.
  Duration move_look = seconds(1);
  // Requests that pass the layers given up end within this.
  Duration drain_slack = seconds(15);
  MechanismSwitches mechanisms;
};

struct PoolPlannerEvents {
  // Whether this box may plan now: it knows the list and does not stop.
  std::function<bool()> may_plan;
  std::function<std::shared_ptr<const ServiceConfiguration>()> configuration;
  std::function<const std::map<std::string, DirectoryEntry>&()> entries;
  // Whether a runner answers, as far as this box knows.
  std::function<bool(const std::string& id)> works;
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
               [this](uint64_t token) { OnToken(token); }) {}

  void Start(Duration first) {
    clock_->After(first, [this] { Round(); });
  }

  bool planning() const { return lease_.held(); }

  // The store has come back from a copy, which may lack this box's lease and
  // hold another's: nobody's counts any more.
  void OnStoreRestored() { lease_.Abandon(); }

 private:
  // A load of one layer takes no less, in seconds; guards a division.
  static constexpr double kLeastLayerLoad = 0.001;

  // Whether another planner gave orders before this one held the lease.
  enum class Predecessor { kUnknown, kNone, kSome };

  // What is known of a pool as a whole.
  struct PoolState {
    bool serving = false;            // some runner holds layers
    Time next_look{};                // when a move is looked for again
    std::optional<Time> none_worth;  // the last look that found no move
  };

  // What is known of a runner beyond the list.
  struct Work {
    uint64_t incarnation = 0;  // of the life that this is known of
    uint64_t serial = 0;       // of this record: answers to others count not
    LayerRange planned;        // what it is to hold, until it does
    LayerRange ordered;        // empty without an order under way
    LayerRange from;           // what it held when that was given
    Time give_up{};            // when an order counts as lost
    Time next_ask{};
    bool asking = false;
    bool by_list = false;       // its order went out on the list's word
    bool due = false;           // waits for its turn to be ordered
    bool list_refuted = false;  // it refused an order on the list's word
    std::optional<RunnerReport> report;
    LayerRange seen;  // what it was last seen to hold
    Time seen_since{};
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

  // Others may have planned since: what was to be ordered is planned anew, and
  // reports are old.
  void OnToken(uint64_t token) {
    if (token != 0) {
      const bool asks = options_.mechanisms.enabled(Mechanism::kTakeoverProbe);
      predecessor_ = asks ? Predecessor::kUnknown : Predecessor::kNone;
      due_.clear();
      for (auto& [id, w] : work_) {
        w.due = false;
        w.report.reset();
        if (w.ordered.empty()) w.planned = {};
      }
    }
    events_.on_lease(token);
  }

  // The list's word that a runner is empty counts no more for any of those that
  // are listed now: each is asked.
  void OnPredecessor() {
    predecessor_ = Predecessor::kSome;
    due_.clear();
    for (const auto& [id, entry] : events_.entries()) {
      if (!entry.runner || !entry.runner->holds.empty()) continue;
      Work& w = WorkOf(id, entry);
      w.due = false;
      if (!w.ordered.empty()) continue;
      w.list_refuted = true;
      due_.push_back({id, w.serial, entry.listed.service, {}});
    }
    GiveDue();
  }

  // Orders that may be under way.
  int MostOrders() const {
    return predecessor_ == Predecessor::kUnknown ? 1 : options_.most_calls;
  }

  // Whether the list has filled up, or can be waited for no longer.
  bool Settled(const std::map<std::string, DirectoryEntry>& entries) {
    const Time now = clock_->now();
    if (first_seen_ == Time{}) first_seen_ = now;
    if (entries.size() > seen_) {
      seen_ = entries.size();
      grew_ = now;
    }
    return SomeHold(entries) || now - grew_ >= options_.settled ||
           now - first_seen_ >= options_.latest;
  }

  void Plan() {
    const auto config = events_.configuration();
    if (config == nullptr || !Settled(events_.entries())) return;
    const std::map<std::string, DirectoryEntry>& entries = events_.entries();
    std::erase_if(work_, [&entries](const auto& w) {
      return !entries.contains(w.first);
    });
    if (predecessor_ == Predecessor::kUnknown && SomeHold(entries)) {
      OnPredecessor();
    }
    for (const ServiceSpec& spec : config->services) {
      if (spec.engine) PlanPool(spec, entries);
    }
  }

  static bool SomeHold(const std::map<std::string, DirectoryEntry>& entries) {
    return std::any_of(entries.begin(), entries.end(), [](const auto& e) {
      return e.second.runner && !e.second.runner->holds.empty();
    });
  }

  void PlanPool(const ServiceSpec& spec,
                const std::map<std::string, DirectoryEntry>& entries) {
    std::vector<PoolRunner> runners;
    for (const auto& [id, entry] : entries) {
      if (entry.listed.service != spec.name || !entry.runner) continue;
      if (entry.listed.state == ListedState::kLeaving) continue;
      if (!FitsPool(*spec.engine, *entry.runner)) continue;
      // What is lost is covered before the list says so: a runner that crashed
      // is listed for seconds, longer if the store is away, and often comes
      // back under another id before it goes.
      const bool answers =
          !options_.mechanisms.enabled(Mechanism::kSkipUnresponsive) ||
          events_.works(id);
      if (!answers) continue;
      runners.push_back(View(id, entry));
    }
    PoolState& pool = pools_[spec.name];
    pool.serving =
        std::any_of(runners.begin(), runners.end(), [&](const auto& r) {
          return !entries.at(r.name).runner->holds.empty();
        });
    const std::map<std::string, LayerRange> placed =
        PlaceUnderfilledRunners(*spec.engine, runners, options_.placement);
    for (const auto& [id, range] : placed) work_[id].planned = range;
    for (const PoolRunner& r : runners) {
      const Work& w = work_[r.name];
      if (w.ordered.empty() && !w.planned.empty()) {
        Fill(spec, pool.serving, r.name);
      }
      Follow(entries.at(r.name), r);
    }
    Rearrange(spec, runners, &pool);
  }

  // Moves runners to layers that are short after others were lost.
  void Rearrange(const ServiceSpec& spec,
                 const std::vector<PoolRunner>& runners, PoolState* pool) {
    if (!options_.mechanisms.enabled(Mechanism::kRunnerMoves)) return;
    const Time now = clock_->now();
    if (now < pool->next_look) return;
    pool->next_look = now + options_.move_look;
    std::vector<size_t> movable;
    std::vector<LayerRange> moving;
    for (size_t i = 0; i < runners.size(); i++) {
      const Work& w = work_[runners[i].name];
      const bool takes_up = w.from.empty() || w.ordered.Contains(w.from);
      if (!w.ordered.empty() && !takes_up) {
        moving.push_back(w.from);
        moving.push_back(w.ordered);
      }
      const bool rests = w.planned.empty() && w.ordered.empty() &&
                         now - w.seen_since >= options_.move_after;
      if (rests) movable.push_back(i);
    }
    const int most = options_.most_moves - static_cast<int>(moving.size() / 2);
    if (most <= 0) return;
    const std::vector<PoolMove> moves =
        BestMoves(*spec.engine, runners, movable, std::move(moving), most,
                  options_.least_gain, options_.placement);
    if (moves.empty() || !pool->none_worth) pool->none_worth = now;
    if (now - *pool->none_worth < options_.move_after) return;
    for (const PoolMove& move : moves) {
      if (!IsIdle(move.runner)) {
        // Its report is there by then.
        pool->next_look = now + options_.round;
        continue;
      }
      Give(spec, move.runner, move.range);
      work_[move.runner].give_up += options_.drain_slack;
    }
  }

  // What is known of the life that the entry tells of.
  Work& WorkOf(const std::string& id, const DirectoryEntry& entry) {
    Work& w = work_[id];
    const uint64_t life = entry.listed.incarnation;
    if (w.serial == 0 || IsNewerIncarnation(w.incarnation, life)) {
      w = Work();
      w.serial = ++last_serial_;
    }
    w.incarnation = life;
    return w;
  }

  // The record that a call was made for; none if it is of another life by now.
  Work* StillOf(const std::string& id, uint64_t serial) {
    const auto it = work_.find(id);
    const bool same = it != work_.end() && it->second.serial == serial;
    return same ? &it->second : nullptr;
  }

  PoolRunner View(const std::string& id, const DirectoryEntry& entry) {
    PoolRunner r{id, entry.listed.hall, entry.runner->kind,
                 entry.runner->holds};
    Work& w = WorkOf(id, entry);
    if (w.seen_since == Time{} || w.seen != r.holds) {
      w.seen = r.holds;
      w.seen_since = clock_->now();
    }
    const bool late = clock_->now() >= w.give_up;
    // Done, or it holds something else by now.
    const bool ended = r.holds == w.ordered || r.holds != w.from;
    if (!w.ordered.empty() && (late || ended)) {
      w.ordered = {};
      w.report.reset();
      // The list does not show it, yet it may have been taken.
      if (late) w.planned = {};
      if (late) w.list_refuted = true;
    }
    const bool beside = !r.holds.empty() && !w.planned.Contains(r.holds);
    if (r.holds == w.planned || beside) w.planned = {};
    if (!w.planned.empty()) {
      r.holds = w.planned;
    } else if (!w.ordered.empty()) {
      r.holds = w.ordered;
    }
    return r;
  }

  // Whether a runner is known to have no order under way, of this planner or
  // another. Asks it if that is not known.
  bool IsIdle(const std::string& id) {
    Work& w = work_[id];
    if (w.report && !w.report->busy) return true;
    if (!w.report || clock_->now() >= w.next_ask) Ask(id);
    return false;
  }

  // Orders a runner to hold what is planned for it, once its report has been
  // seen.
  void Fill(const ServiceSpec& spec, bool serving, const std::string& id) {
    Work& w = work_[id];
    const LayerRange& holds = events_.entries().at(id).runner->holds;
    const bool by_list = holds.empty() && !w.list_refuted;
    if (w.due || (!by_list && !IsIdle(id))) return;
    const bool steps =
        serving && options_.mechanisms.enabled(Mechanism::kIncrementalLoad);
    const LayerRange range =
        steps ? NextStep(spec, holds, w.planned) : w.planned;
    if (calls_ < MostOrders()) {
      Give(spec, id, range);
      return;
    }
    w.due = true;
    due_.push_back({id, w.serial, spec.name, range});
  }

  // Goes on with orders that wait until other calls have ended.
  void GiveDue() {
    while (!due_.empty() && calls_ < MostOrders()) {
      const Due next = std::move(due_.front());
      due_.pop_front();
      Work* w = StillOf(next.id, next.serial);
      if (w == nullptr) continue;
      if (next.range.empty()) {
        if (events_.entries().contains(next.id)) Ask(next.id);
        continue;
      }
      w->due = false;
      const auto config = events_.configuration();
      const ServiceSpec* spec = config ? config->Service(next.pool) : nullptr;
      const bool wanted = w->ordered.empty() && !w->planned.empty();
      const auto entry = events_.entries().find(next.id);
      if (spec == nullptr || !wanted || entry == events_.entries().end()) {
        continue;
      }
      if (!entry->second.runner) continue;
      // The list has had it start anew; the next round sees to it.
      if (IsNewerIncarnation(w->incarnation, entry->second.listed.incarnation))
        continue;
      if (!entry->second.runner->holds.empty() && !w->report) continue;
      Give(*spec, next.id, next.range);
    }
  }

  // A large range is loaded in steps, so that what has been loaded serves while
  // the rest loads.
  LayerRange NextStep(const ServiceSpec& spec, const LayerRange& holds,
                      const LayerRange& planned) const {
    const double a_layer = spec.engine->load_seconds / spec.engine->layers;
    const int step =
        std::max(1, static_cast<int>(ToSeconds(options_.step_load) /
                                     std::max(a_layer, kLeastLayerLoad)));
    if (holds.empty()) {
      return {planned.begin, std::min(planned.begin + step, planned.end)};
    }
    // Upwards first, then downwards.
    const int end = std::min(holds.end + step, planned.end);
    if (end > holds.end) return {holds.begin, end};
    return {std::max(holds.begin - step, planned.begin), end};
  }

  void Give(const ServiceSpec& spec, const std::string& id,
            const LayerRange& range) {
    const DirectoryEntry& entry = events_.entries().at(id);
    Work& w = work_[id];
    LayerOrder order;
    order.range = range;
    order.fence = lease_.token();
    // One that the list shows empty has usually taken none in this life.
    order.expected_orders = w.report ? w.report->state.orders : 0;
    if (order.fence == 0) return;
    const EnginePool& pool = *spec.engine;
    // Loads beyond those at once slow each other; twice is room for that.
    const double load =
        pool.load_seconds * range.size() / std::max(1, pool.layers);
    w.ordered = range;
    w.from = entry.runner->holds;
    w.give_up = clock_->now() + FromSeconds(2 * load) + options_.order_slack;
    w.next_ask = clock_->now() + std::max(options_.ask, FromSeconds(load));
    w.by_list = !w.report;
    w.report.reset();
    calls_++;
    client_->Order(
        entry.listed.address, order,
        [this, id, serial = w.serial, order](LayerOrderStatus status) {
          OnOrder(id, serial, order, status);
        });
  }

  void OnOrder(const std::string& id, uint64_t serial, const LayerOrder& order,
               LayerOrderStatus status) {
    calls_--;
    events_.on_order(id, order, status);
    if (predecessor_ == Predecessor::kUnknown) OnFirstOrder(order, status);
    if (status == LayerOrderStatus::kFenced) lease_.Abandon();
    Work* w = StillOf(id, serial);
    if (w == nullptr) {
      GiveDue();
      return;
    }
    const bool refused = status == LayerOrderStatus::kConflict ||
                         status == LayerOrderStatus::kFenced ||
                         status == LayerOrderStatus::kNotSent;
    // What was not taken is planned anew, on a new report.
    if (refused) w->ordered = w->planned = {};
    const bool refuted = status == LayerOrderStatus::kConflict;
    if (refuted && w->by_list) w->list_refuted = true;
    GiveDue();
  }

  // Asks a runner that should be loading how far it is, until the list or its
  // report shows that it is done.
  void Follow(const DirectoryEntry& entry, const PoolRunner& r) {
    auto it = work_.find(r.name);
    if (it == work_.end() || it->second.ordered.empty()) return;
    if (entry.runner->holds == it->second.ordered) return;
    if (clock_->now() >= it->second.next_ask) Ask(r.name);
  }

  void Ask(const std::string& id) {
    Work& w = work_[id];
    if (w.asking || calls_ >= options_.most_calls) return;
    w.asking = true;
    calls_++;
    w.next_ask = clock_->now() + options_.ask;
    client_->Report(events_.entries().at(id).listed.address,
                    options_.report_limit,
                    [this, id, serial = w.serial](RunnerAnswer answer) {
                      OnReport(id, serial, std::move(answer.report));
                    });
  }

  void OnReport(const std::string& id, uint64_t serial,
                std::optional<RunnerReport> report) {
    calls_--;
    if (Work* w = StillOf(id, serial)) {
      w->asking = false;
      if (report) TakeReport(id, std::move(*report), w);
    }
    GiveDue();
  }

  // The order that went ahead of the others has been answered.
  void OnFirstOrder(const LayerOrder& order, LayerOrderStatus status) {
    if (order.fence != lease_.token()) return;
    if (status == LayerOrderStatus::kStarted) predecessor_ = Predecessor::kNone;
    const bool before = status == LayerOrderStatus::kConflict ||
                        status == LayerOrderStatus::kDone;
    if (before) OnPredecessor();
  }

  void TakeReport(const std::string& id, RunnerReport report, Work* w) {
    const uint64_t life = report.state.incarnation;
    if (IsNewerIncarnation(life, w->incarnation)) return;
    const bool anew = IsNewerIncarnation(w->incarnation, life);
    if (anew || report.state.leaving || !report.state.holds.empty()) {
      events_.on_state(id, report.state);
    }
    // The list has it then, and the next round begins with an empty record.
    if (anew) return;
    // It loads what another planner ordered, and shows in the list when it is
    // done.
    const bool others = report.busy && w->ordered.empty();
    if (others) w->next_ask = clock_->now() + options_.step_load;
    w->report = std::move(report);
  }

  C* client_;
  Clk* clock_;
  PoolPlannerOptions options_;
  PoolPlannerEvents events_;
  LeaseHolder<S, Clk> lease_;
  std::map<std::string, Work> work_;
  uint64_t last_serial_ = 0;
  struct Due {
    std::string id;
    uint64_t serial;
    std::string pool;
    LayerRange range;
  };
  // Orders, and with an empty range questions, that wait for other calls.
  std::deque<Due> due_;
  Predecessor predecessor_ = Predecessor::kUnknown;
  int calls_ = 0;                           // orders and questions under way
  size_t seen_ = 0;                         // endpoints in the list
  std::map<std::string, PoolState> pools_;  // by service
  Time grew_{};
  Time first_seen_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLANNER_H_
