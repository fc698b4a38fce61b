#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "pinford/testing/overload_simulation.h"
#include "pinford/testing/pool_simulation.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {

namespace {

// The four classes of callers: their fraction of the requests, their mean
// tokens, and how long they wait for a start.
struct ClassSpec {
  double part;
  double tokens;
  Duration deadline;
};
constexpr ClassSpec kClasses[kTierCount] = {
    {0.10, 40, seconds(5)},     // hosts at the door, alarms by day
    {0.30, 80, seconds(10)},    // diners, technicians
    {0.30, 120, seconds(60)},   // kitchens, the desk
    {0.30, 200, seconds(3600)}  // digests due by morning
};
// One customer sends ten times as much as each of the others.
constexpr int kCustomers = 10;

class Overload {
 public:
  explicit Overload(const OverloadOptions& o)
      : options_(o),
        random_(o.seed),
        admission_({.max_waiting = 4000, .max_share_waiting = 1}) {}

  OverloadResult Run() {
    double mean = 0;
    for (const ClassSpec& c : kClasses) mean += c.part * c.tokens;
    const double capacity = options_.slots * options_.slot_rate;
    arrivals_ = options_.offered * capacity / mean;
    Arrive();
    Tick();
    clock_.Advance(options_.length);
    OverloadResult result;
    double good = 0;
    for (int k = 0; k < kTierCount; k++) {
      OverloadResult::Class& c = result.classes[k];
      c.offered = offered_[k];
      c.served = static_cast<int>(waits_[k].size());
      c.refused = static_cast<int>(refusals_[k].size());
      c.wait_p50 = Quantile(waits_[k], 0.5);
      c.wait_p95 = Quantile(waits_[k], 0.95);
      c.refuse_p95 = Quantile(refusals_[k], 0.95);
    }
    for (const auto& [customer, tokens] : served_) good += tokens;
    result.goodput = good / (capacity * ToSeconds(options_.length));
    double small = 0;
    double small_offered = 0;
    for (int i = 1; i < kCustomers; i++) {
      small += served_[i];
      small_offered += asked_[i];
    }
    // Small customers offer less than an even share, so all of it should be
    // served.
    result.small_share = small / std::max(1.0, small_offered);
    return result;
  }

 private:
  struct Waiting {
    int klass = 0;
    int customer = 0;
    AdmissionItem item;
  };

  Tier TierOf(int klass) const {
    return static_cast<Tier>(klass * options_.tiers / kTierCount);
  }

  void Arrive() {
    std::exponential_distribution<double> gap(arrivals_);
    clock_.After(FromSeconds(gap(random_)), [this] {
      SubmitOne();
      Arrive();
    });
  }

  void SubmitOne() {
    std::uniform_real_distribution<double> unit(0, 1);
    double roll = unit(random_);
    int klass = 0;
    while (klass < kTierCount - 1 && roll >= kClasses[klass].part) {
      roll -= kClasses[klass++].part;
    }
    const int draw = static_cast<int>(random_() % (kCustomers + 9));
    const int customer = draw < 10 ? 0 : draw - 9;
    Waiting w;
    w.klass = klass;
    w.customer = customer;
    w.item.id = ++id_;
    w.item.tier = TierOf(klass);
    w.item.share = std::to_string(customer);
    std::exponential_distribution<double> size(1 / kClasses[klass].tokens);
    w.item.cost = 1 + std::floor(size(random_));
    w.item.arrived = clock_.now();
    w.item.deadline = clock_.now() + kClasses[klass].deadline;
    offered_[klass]++;
    asked_[customer] += w.item.cost;
    if (options_.rule == OrderRule::kFairQueueing) {
      if (admission_.Offer(clock_.now(), w.item) != AdmissionVerdict::kQueued) {
        refusals_[klass].push_back(0);
        return;
      }
    } else {
      queues_[static_cast<int>(w.item.tier)].push_back(w.item.id);
    }
    waiting_[w.item.id] = w;
    StartWaiting();
  }

  void Tick() {
    const Time now = clock_.now();
    if (options_.rule == OrderRule::kFairQueueing) admission_.Expire(now);
    std::erase_if(waiting_, [&](const auto& entry) {
      const Waiting& w = entry.second;
      if (w.item.deadline > now) return false;
      refusals_[w.klass].push_back(ToSeconds(now - w.item.arrived));
      return true;
    });
    StartWaiting();
    clock_.After(milliseconds(50), [this] { Tick(); });
  }

  // Slots that must stay free before tier `p` may start one.
  double Reserved(int p) const {
    double reserved = 0;
    for (int q = 0; q < p; q++) {
      const bool present = running_tier_[q] > 0 || !queues_[q].empty();
      if (present)
        reserved +=
            options_.h_max * options_.slots * std::exp(-options_.lambda * q);
    }
    return reserved;
  }

  // The id to start next, or 0.
  uint64_t Next() {
    if (options_.rule == OrderRule::kFairQueueing) {
      const std::vector<AdmissionItem> taken = admission_.Take(1);
      return taken.empty() ? 0 : taken[0].id;
    }
    uint64_t next = 0;
    std::deque<uint64_t>* from = nullptr;
    for (int p = 0; p < kTierCount; p++) {
      std::deque<uint64_t>& queue = queues_[p];
      while (!queue.empty() && !waiting_.contains(queue.front())) {
        queue.pop_front();
      }
      if (queue.empty()) continue;
      if (options_.rule == OrderRule::kHeadroom) {
        if (options_.slots - running_ <= Reserved(p)) continue;
        next = queue.front();
        queue.pop_front();
        return next;
      }
      if (next == 0 || queue.front() < next) {
        next = queue.front();
        from = &queue;
      }
    }
    if (from != nullptr) from->pop_front();
    return next;
  }

  void StartWaiting() {
    while (running_ < options_.slots) {
      const uint64_t id = Next();
      if (id == 0) return;
      auto it = waiting_.find(id);
      if (it == waiting_.end()) continue;
      const Waiting w = it->second;
      waiting_.erase(it);
      Start(w);
    }
  }

  void Start(const Waiting& w) {
    running_++;
    running_tier_[static_cast<int>(w.item.tier)]++;
    waits_[w.klass].push_back(ToSeconds(clock_.now() - w.item.arrived));
    clock_.After(FromSeconds(w.item.cost / options_.slot_rate), [this, w] {
      running_--;
      running_tier_[static_cast<int>(w.item.tier)]--;
      served_[w.customer] += w.item.cost;
      admission_.OnFinished(clock_.now(), w.item.cost);
      StartWaiting();
    });
  }

  OverloadOptions options_;
  PausedClock clock_;
  Random random_;
  Admission admission_;
  double arrivals_ = 0;
  uint64_t id_ = 0;
  int running_ = 0;
  std::array<int, kTierCount> running_tier_{};
  std::array<std::deque<uint64_t>, kTierCount> queues_;
  std::map<uint64_t, Waiting> waiting_;
  std::array<int, kTierCount> offered_{};
  std::array<std::vector<double>, kTierCount> waits_;
  std::array<std::vector<double>, kTierCount> refusals_;
  std::map<int, double> served_;
  std::map<int, double> asked_;
};

}  // namespace

OverloadResult SimulateOverload(const OverloadOptions& options) {
  return Overload(options).Run();
}

}  // namespace pinford
