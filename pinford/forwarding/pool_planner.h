// Places the layers of all pools. One box plans and sends the orders.
//
// The planner is the holder of a lease, whose token is the fence of its orders.
// It stores no plan: the platform's list and the runners' reports show what
// runners hold, and an order names the number of orders that the runner is
// expected to have accepted. A planner that takes over at any moment therefore
// sees the same state, and orders of its predecessor that are still on the way
// either match that state or are refused.
//
// Each round plans ranges for runners that hold nothing, or fewer layers than
// they can (PlaceUnderfilledRunners), and orders these runners to hold them.
// While the pool serves requests, a large range is loaded in steps, so that the
// loaded part serves while the rest loads: 27 layers of 1,750 MB take 4.7 s,
// their first part 1.5 s. An order is in progress until the runner is seen to
// hold the range, or the order's deadline passes.
//
// A runner that is listed as empty is ordered without a query, as one that has
// accepted no order. If it has accepted one, the expected count does not match
// and it refuses. Any other runner, and one that refused, is queried first for
// its report: is an order in progress, and how many has it accepted. Calls in
// flight are bounded, so that a box with an eighth of a core that fills 3,000
// runners proceeds as they answer, and none of its calls times out.
//
// A planner that takes over does not know its predecessor's orders: runners are
// listed as empty until their load is done. If some runner holds layers, there
// was an earlier planner, and each runner that is listed as empty is queried
// once first. If none does, a single order is sent ahead of the others. If it
// is accepted, there was none; otherwise all are queried. A new fleet thus
// fills its pools without queries, and of 99 runners of which 65 are loading
// one gets an order that it refuses, where 64 did without the check
// (TakeoverRepeatsNoOrder).
//
// A runner that restarts under its id holds nothing and has accepted no order:
// the record of its old incarnation is dropped.
//
// Permanent losses are covered by moving runners that other layers can spare.
// Layers that a runner gives up wait for the requests that pass them, 15 s at
// worst, so a move pays off for lasting losses only: it needs a large gain that
// has lasted some seconds, and uses runners whose layers have not changed for
// as long. Runners that join and leave elsewhere in the pool, as some always do
// in a large one, do not delay it. Several runners move at once if their layers
// do not overlap.

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
  // Of the lease holder. A renewal costs a tenth of a call to the store.
  Duration planning_interval = milliseconds(300);
  // Of the other boxes, which check whether the lease is free.
  Duration standby_interval = milliseconds(1500);
  // How often a runner with an order in progress is queried for its report.
  Duration report_interval = milliseconds(400);
  // An empty pool is placed once no endpoint has joined for `settle_time`, or
  // `max_settle_time` after the first one: fast runners should be placed first,
  // and the list fills up over some seconds.
  Duration settle_time = milliseconds(1500);
  Duration max_settle_time = milliseconds(6500);
  // Added to the time of a load while `concurrent_loads` others are in
  // progress.
  Duration order_slack = seconds(4);
  Duration report_timeout = milliseconds(800);
  // Orders and queries in flight. An answer takes 3 ms: this many keep a core
  // busy, and a core that is eight times slower handles each within 0.1 s.
  int max_calls = 64;
  // Duration of one step of a load while the pool serves requests.
  Duration load_step_time = milliseconds(1500);
  PoolPlacementOptions placement;
  // A runner that holds layers is moved if the gain is at least `min_gain` (as
  // PoolMove; the loss of a runner with a third of the layers leaves moves of 4
  // to 8, an intact pool none above 0.5) and has been for `move_delay` (a
  // runner that crashed is back sooner). At most `max_moves` at a time: a
  // runner serves no requests on the layers that it gives up for up to 15 s.
  double min_gain = 2;
  Duration move_delay = seconds(5);
  int max_moves = 4;
  // How often moves are searched for: with 27 pools of 226 runners a search
  // takes 7 ms of processor time (BM_BestMove), 0.7% of a core at this
  // interval.
  Duration move_search_interval = seconds(1);
  // Requests on layers that are given up end within this.
  Duration drain_slack = seconds(15);
  MechanismSwitches mechanisms;
};

struct PoolPlannerEvents {
  // Whether this box may plan now: it has the list and is not stopping.
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
  // Time that a round of planning took.
  std::function<void(Duration)> on_busy = [](Duration) {};
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
    clock_->After(first, [this] { RunRound(); });
  }

  bool planning() const { return lease_.held(); }

  // The store was restored from a backup, which may lack this box's lease and
  // contain another's: no lease is valid any more.
  void OnStoreRestored() { lease_.Abandon(); }

 private:
  // Lower bound for the load time of a layer; guards a division.
  static constexpr double kMinLayerLoadSeconds = 0.001;

  // Whether another planner sent orders before this one got the lease.
  enum class Predecessor { kUnknown, kNone, kSome };

  // State of a pool as a whole.
  struct PoolState {
    bool serving = false;                   // some runner holds layers
    Time next_move_search{};                // when moves are searched for again
    std::optional<Time> last_without_move;  // last search that found no move
  };

  // What is known of a runner beyond the list.
  struct RunnerRecord {
    uint64_t incarnation = 0;  // of the runner described here
    uint64_t serial = 0;       // answers for other serials are ignored
    LayerRange planned;        // range to hold, until it does
    LayerRange ordered;        // empty if no order is in progress
    LayerRange previous;       // what it held when it was ordered
    Time order_deadline{};     // when an order counts as lost
    Time next_report{};
    bool report_pending = false;
    bool based_on_list = false;  // the order was sent without a query
    bool queued = false;         // an order waits to be sent
    bool list_outdated = false;  // it refused an order sent without a query
    std::optional<RunnerReport> report;
    LayerRange observed;  // layers it was last seen to hold
    Time observed_since{};
  };

  void RunRound() {
    if (!events_.may_plan()) {
      Start(options_.standby_interval);
      return;
    }
    // Leaves a third of the lease for renewals that get no answer.
    if (lease_.held() && lease_.left() > options_.lease * 2 / 3) {
      Plan();
      Start(options_.planning_interval);
      return;
    }
    lease_.Renew([this](bool held) {
      if (held) Plan();
      Start(held ? options_.planning_interval : options_.standby_interval);
    });
  }

  // Others may have planned in between: drops reports, and replans what was
  // not ordered yet.
  void OnToken(uint64_t token) {
    if (token != 0) {
      const bool check_first =
          options_.mechanisms.enabled(Mechanism::kTakeoverProbe);
      predecessor_ = check_first ? Predecessor::kUnknown : Predecessor::kNone;
      queue_.clear();
      for (auto& [id, record] : records_) {
        record.queued = false;
        record.report.reset();
        if (record.ordered.empty()) record.planned = {};
      }
    }
    events_.on_lease(token);
  }

  // The list may be out of date for runners that are listed as empty: queries
  // each of them.
  void OnPredecessor() {
    predecessor_ = Predecessor::kSome;
    queue_.clear();
    for (const auto& [id, entry] : events_.entries()) {
      if (!entry.runner || !entry.runner->holds.empty()) continue;
      RunnerRecord& record = RecordOf(id, entry);
      record.queued = false;
      if (!record.ordered.empty()) continue;
      record.list_outdated = true;
      queue_.push_back({id, record.serial, entry.listed.service, {}});
    }
    SendQueued();
  }

  // Orders that may be in flight.
  int MaxOrders() const {
    return predecessor_ == Predecessor::kUnknown ? 1 : options_.max_calls;
  }

  // Whether the list has filled up, or the wait for it is over.
  bool IsListSettled(const std::map<std::string, DirectoryEntry>& entries) {
    const Time now = clock_->now();
    if (first_join_ == Time{}) first_join_ = now;
    if (entries.size() > listed_count_) {
      listed_count_ = entries.size();
      last_join_ = now;
    }
    return AnyLayersHeld(entries) || now - last_join_ >= options_.settle_time ||
           now - first_join_ >= options_.max_settle_time;
  }

  void Plan() {
    const Time began = clock_->now();
    PlanPools();
    events_.on_busy(clock_->now() - began);
  }

  void PlanPools() {
    const auto config = events_.configuration();
    if (config == nullptr || !IsListSettled(events_.entries())) return;
    const std::map<std::string, DirectoryEntry>& entries = events_.entries();
    std::erase_if(records_, [&entries](const auto& record) {
      return !entries.contains(record.first);
    });
    if (predecessor_ == Predecessor::kUnknown && AnyLayersHeld(entries)) {
      OnPredecessor();
    }
    for (const ServiceSpec& spec : config->services) {
      if (spec.engine) PlanPool(spec, entries);
    }
  }

  static bool AnyLayersHeld(
      const std::map<std::string, DirectoryEntry>& entries) {
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
      // Losses are covered before the list shows them: a crashed runner stays
      // listed for seconds, longer if the store is unavailable, and often comes
      // back under another id before its entry is removed.
      const bool responds =
          !options_.mechanisms.enabled(Mechanism::kSkipUnresponsive) ||
          events_.works(id);
      if (!responds) continue;
      runners.push_back(PlannedState(id, entry));
    }
    PoolState& pool = pools_[spec.name];
    pool.serving =
        std::any_of(runners.begin(), runners.end(), [&](const auto& r) {
          return !entries.at(r.name).runner->holds.empty();
        });
    const std::map<std::string, LayerRange> placed =
        PlaceUnderfilledRunners(*spec.engine, runners, options_.placement);
    for (const auto& [id, range] : placed) records_[id].planned = range;
    for (const PoolRunner& r : runners) {
      const RunnerRecord& record = records_[r.name];
      if (record.ordered.empty() && !record.planned.empty()) {
        OrderPlanned(spec, pool.serving, r.name);
      }
      TrackLoad(entries.at(r.name), r);
    }
    MoveRunners(spec, runners, &pool);
  }

  // Moves runners to layers that lack memory after others were lost.
  void MoveRunners(const ServiceSpec& spec,
                   const std::vector<PoolRunner>& runners, PoolState* pool) {
    if (!options_.mechanisms.enabled(Mechanism::kRunnerMoves)) return;
    const Time now = clock_->now();
    if (now < pool->next_move_search) return;
    pool->next_move_search = now + options_.move_search_interval;
    std::vector<size_t> movable;
    std::vector<LayerRange> moving;
    for (size_t i = 0; i < runners.size(); i++) {
      const RunnerRecord& record = records_[runners[i].name];
      const bool extends =
          record.previous.empty() || record.ordered.Contains(record.previous);
      if (!record.ordered.empty() && !extends) {
        moving.push_back(record.previous);
        moving.push_back(record.ordered);
      }
      const bool stable = record.planned.empty() && record.ordered.empty() &&
                          now - record.observed_since >= options_.move_delay;
      if (stable) movable.push_back(i);
    }
    const int available_moves =
        options_.max_moves - static_cast<int>(moving.size() / 2);
    if (available_moves <= 0) return;
    const std::vector<PoolMove> moves =
        BestMoves(*spec.engine, runners, movable, std::move(moving),
                  available_moves, options_.min_gain, options_.placement);
    if (moves.empty() || !pool->last_without_move)
      pool->last_without_move = now;
    if (now - *pool->last_without_move < options_.move_delay) return;
    for (const PoolMove& move : moves) {
      if (!IsIdle(move.runner)) {
        // The runner's report has arrived by then.
        pool->next_move_search = now + options_.planning_interval;
        continue;
      }
      SendOrder(spec, move.runner, move.range);
      records_[move.runner].order_deadline += options_.drain_slack;
    }
  }

  // The record of the entry's incarnation. Replaces that of an older one.
  RunnerRecord& RecordOf(const std::string& id, const DirectoryEntry& entry) {
    RunnerRecord& record = records_[id];
    const uint64_t incarnation = entry.listed.incarnation;
    if (record.serial == 0 ||
        IsNewerIncarnation(record.incarnation, incarnation)) {
      record = RunnerRecord();
      record.serial = ++last_serial_;
    }
    record.incarnation = incarnation;
    return record;
  }

  // The record that a call was made for; nullptr if it has been replaced.
  RunnerRecord* FindRecord(const std::string& id, uint64_t serial) {
    const auto it = records_.find(id);
    const bool same = it != records_.end() && it->second.serial == serial;
    return same ? &it->second : nullptr;
  }

  PoolRunner PlannedState(const std::string& id, const DirectoryEntry& entry) {
    PoolRunner r{id, entry.listed.hall, entry.runner->kind,
                 entry.runner->holds};
    RunnerRecord& record = RecordOf(id, entry);
    if (record.observed_since == Time{} || record.observed != r.holds) {
      record.observed = r.holds;
      record.observed_since = clock_->now();
    }
    const bool overdue = clock_->now() >= record.order_deadline;
    // Done, or it holds something else by now.
    const bool ended = r.holds == record.ordered || r.holds != record.previous;
    if (!record.ordered.empty() && (overdue || ended)) {
      record.ordered = {};
      record.report.reset();
      // The list does not show it, but the order may have been accepted.
      if (overdue) record.planned = {};
      if (overdue) record.list_outdated = true;
    }
    const bool outside_plan =
        !r.holds.empty() && !record.planned.Contains(r.holds);
    if (r.holds == record.planned || outside_plan) record.planned = {};
    if (!record.planned.empty()) {
      r.holds = record.planned;
    } else if (!record.ordered.empty()) {
      r.holds = record.ordered;
    }
    return r;
  }

  // Whether a runner is known to have no order in progress, of this planner or
  // another. Queries it if that is unknown.
  bool IsIdle(const std::string& id) {
    RunnerRecord& record = records_[id];
    if (record.report && !record.report->busy) return true;
    if (!record.report || clock_->now() >= record.next_report) QueryReport(id);
    return false;
  }

  // Orders a runner to hold its planned range, once its report has arrived.
  void OrderPlanned(const ServiceSpec& spec, bool serving,
                    const std::string& id) {
    RunnerRecord& record = records_[id];
    const LayerRange& holds = events_.entries().at(id).runner->holds;
    const bool based_on_list = holds.empty() && !record.list_outdated;
    if (record.queued || (!based_on_list && !IsIdle(id))) return;
    const bool in_steps =
        serving && options_.mechanisms.enabled(Mechanism::kIncrementalLoad);
    const LayerRange range =
        in_steps ? NextStep(spec, holds, record.planned) : record.planned;
    if (calls_ < MaxOrders()) {
      SendOrder(spec, id, range);
      return;
    }
    record.queued = true;
    queue_.push_back({id, record.serial, spec.name, range});
  }

  // Sends queued orders and queries as calls in flight end.
  void SendQueued() {
    while (!queue_.empty() && calls_ < MaxOrders()) {
      const QueuedCall next = std::move(queue_.front());
      queue_.pop_front();
      RunnerRecord* record = FindRecord(next.id, next.serial);
      if (record == nullptr) continue;
      if (next.range.empty()) {
        if (events_.entries().contains(next.id)) QueryReport(next.id);
        continue;
      }
      record->queued = false;
      const auto config = events_.configuration();
      const ServiceSpec* spec = config ? config->Service(next.pool) : nullptr;
      const bool wanted = record->ordered.empty() && !record->planned.empty();
      const auto entry = events_.entries().find(next.id);
      if (spec == nullptr || !wanted || entry == events_.entries().end()) {
        continue;
      }
      if (!entry->second.runner) continue;
      // It has restarted, according to the list; the next round handles it.
      if (IsNewerIncarnation(record->incarnation,
                             entry->second.listed.incarnation))
        continue;
      if (!entry->second.runner->holds.empty() && !record->report) continue;
      SendOrder(*spec, next.id, next.range);
    }
  }

  // The next step of a large range, so that the loaded part serves requests
  // while the rest loads.
  LayerRange NextStep(const ServiceSpec& spec, const LayerRange& holds,
                      const LayerRange& planned) const {
    const double layer_seconds =
        spec.engine->load_seconds / spec.engine->layers;
    const int step = std::max(
        1, static_cast<int>(ToSeconds(options_.load_step_time) /
                            std::max(layer_seconds, kMinLayerLoadSeconds)));
    if (holds.empty()) {
      return {planned.begin, std::min(planned.begin + step, planned.end)};
    }
    // Upwards first, then downwards.
    const int end = std::min(holds.end + step, planned.end);
    if (end > holds.end) return {holds.begin, end};
    return {std::max(holds.begin - step, planned.begin), end};
  }

  void SendOrder(const ServiceSpec& spec, const std::string& id,
                 const LayerRange& range) {
    const DirectoryEntry& entry = events_.entries().at(id);
    RunnerRecord& record = records_[id];
    LayerOrder order;
    order.range = range;
    order.fence = lease_.token();
    // A runner that is listed as empty has usually accepted no order.
    order.expected_orders = record.report ? record.report->state.orders : 0;
    if (order.fence == 0) return;
    const EnginePool& pool = *spec.engine;
    // Loads beyond `concurrent_loads` slow each other down; twice the time
    // covers it.
    const double load =
        pool.load_seconds * range.size() / std::max(1, pool.layers);
    record.ordered = range;
    record.previous = entry.runner->holds;
    record.order_deadline =
        clock_->now() + FromSeconds(2 * load) + options_.order_slack;
    record.next_report =
        clock_->now() + std::max(options_.report_interval, FromSeconds(load));
    record.based_on_list = !record.report;
    record.report.reset();
    calls_++;
    client_->Order(
        RefTo(entry), order,
        [this, id, serial = record.serial, order](LayerOrderStatus status) {
          OnOrder(id, serial, order, status);
        });
  }

  void OnOrder(const std::string& id, uint64_t serial, const LayerOrder& order,
               LayerOrderStatus status) {
    calls_--;
    events_.on_order(id, order, status);
    if (predecessor_ == Predecessor::kUnknown) OnFirstOrder(order, status);
    if (status == LayerOrderStatus::kFenced) lease_.Abandon();
    RunnerRecord* record = FindRecord(id, serial);
    if (record == nullptr) {
      SendQueued();
      return;
    }
    const bool refused = status == LayerOrderStatus::kConflict ||
                         status == LayerOrderStatus::kFenced ||
                         status == LayerOrderStatus::kNotSent ||
                         status == LayerOrderStatus::kOtherRunner;
    // Refused orders are replanned, based on a new report.
    if (refused) record->ordered = record->planned = {};
    const bool conflict = status == LayerOrderStatus::kConflict;
    if (conflict && record->based_on_list) record->list_outdated = true;
    SendQueued();
  }

  // Queries a runner that should be loading, until the list or its report shows
  // that it is done.
  void TrackLoad(const DirectoryEntry& entry, const PoolRunner& r) {
    auto it = records_.find(r.name);
    if (it == records_.end() || it->second.ordered.empty()) return;
    if (entry.runner->holds == it->second.ordered) return;
    if (clock_->now() >= it->second.next_report) QueryReport(r.name);
  }

  void QueryReport(const std::string& id) {
    RunnerRecord& record = records_[id];
    if (record.report_pending || calls_ >= options_.max_calls) return;
    record.report_pending = true;
    calls_++;
    record.next_report = clock_->now() + options_.report_interval;
    client_->Report(RefTo(events_.entries().at(id)), options_.report_timeout,
                    [this, id, serial = record.serial](RunnerAnswer answer) {
                      OnReport(id, serial, std::move(answer.report));
                    });
  }

  void OnReport(const std::string& id, uint64_t serial,
                std::optional<RunnerReport> report) {
    calls_--;
    if (RunnerRecord* record = FindRecord(id, serial)) {
      record->report_pending = false;
      if (report) ApplyReport(id, std::move(*report), record);
    }
    SendQueued();
  }

  // The order that was sent ahead of the others was answered.
  void OnFirstOrder(const LayerOrder& order, LayerOrderStatus status) {
    if (order.fence != lease_.token()) return;
    if (status == LayerOrderStatus::kStarted) predecessor_ = Predecessor::kNone;
    const bool has_predecessor = status == LayerOrderStatus::kConflict ||
                                 status == LayerOrderStatus::kDone;
    if (has_predecessor) OnPredecessor();
  }

  void ApplyReport(const std::string& id, RunnerReport report,
                   RunnerRecord* record) {
    const uint64_t incarnation = report.state.incarnation;
    if (IsNewerIncarnation(incarnation, record->incarnation)) return;
    const bool restarted = IsNewerIncarnation(record->incarnation, incarnation);
    if (restarted || report.state.leaving || !report.state.holds.empty()) {
      events_.on_state(id, report.state);
    }
    // on_state has updated the list; the next round starts with a new record.
    if (restarted) return;
    // It loads what another planner ordered; the list will show the result.
    const bool foreign = report.busy && record->ordered.empty();
    if (foreign) record->next_report = clock_->now() + options_.load_step_time;
    record->report = std::move(report);
  }

  C* client_;
  Clk* clock_;
  PoolPlannerOptions options_;
  PoolPlannerEvents events_;
  LeaseHolder<S, Clk> lease_;
  std::map<std::string, RunnerRecord> records_;
  uint64_t last_serial_ = 0;
  struct QueuedCall {
    std::string id;
    uint64_t serial;
    std::string pool;
    LayerRange range;
  };
  // Orders, and queries (with an empty range), that wait for other calls to
  // end.
  std::deque<QueuedCall> queue_;
  Predecessor predecessor_ = Predecessor::kUnknown;
  int calls_ = 0;                           // orders and queries in flight
  size_t listed_count_ = 0;                 // endpoints in the list
  std::map<std::string, PoolState> pools_;  // by service
  Time last_join_{};
  Time first_join_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_PLANNER_H_
