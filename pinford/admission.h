// Decides which waiting completion starts next, and which are refused at once
// as not_run.
//
// The order is two levels of start-time fair queueing (Goyal, Vin and Cheng,
// "Start-time fair queueing", SIGCOMM 1996): first among tiers, with weights
// that make the upper tiers nearly strict yet starve none, then among customers
// (or groups of them) inside a tier, by the policy's weights. Cost is counted
// in tokens, so a customer with long answers gets no more than one with short
// ones. One customer's requests start in order of arrival; in the background
// tier the earliest deadline comes first, because the night's work is due
// together in the morning.
//
// A request whose predicted wait exceeds its deadline is refused at once, as is
// one that finds the queue full. The refusal states when to retry, computed
// from the measured drain rate.

#ifndef PINFORD_ADMISSION_H_
#define PINFORD_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pinford/policy.h"
#include "util/clock.h"

namespace pinford {

struct AdmissionItem {
  uint64_t id = 0;  // the caller's, unique
  Tier tier = Tier::kStandard;
  std::string share;  // customer or group
  double weight = 1;
  double cost = 1;  // tokens
  Time arrived{};
  Time deadline{};
};

enum class AdmissionVerdict {
  kQueued,
  kFull,     // the queue, or this customer's part of it, is full
  kTooLate,  // it would not start before its deadline
};

std::string_view AdmissionVerdictText(AdmissionVerdict v);

class Admission {
 public:
  struct Options {
    size_t max_waiting = 2000;
    // Maximum for one customer, as a fraction of max_waiting.
    double max_share_waiting = 0.5;
    double tier_weight[kTierCount] = {64, 16, 4, 1};
  };

  explicit Admission(const Options& options) : options_(options) {}

  AdmissionVerdict Offer(Time now, const AdmissionItem& item);
  // Removes and returns up to `slots` items to start now, in order.
  std::vector<AdmissionItem> Take(int slots);
  // Removes and returns the items whose deadline has passed.
  std::vector<AdmissionItem> Expire(Time now);
  void Cancel(uint64_t id);

  // Work of `cost` tokens has finished; updates the drain rate.
  void OnFinished(Time now, double cost);
  // Tokens per second that finished recently; 0 when unknown.
  double drain_rate(Time now) const;
  // How long a refused caller should wait before it retries.
  Duration RetryAfter(Time now) const;

  size_t waiting() const { return waiting_; }
  double waiting_cost() const;

 private:
  struct Flow {
    double start = 0;   // start tag of its next item
    double finish = 0;  // finish tag of its last served item
    std::deque<AdmissionItem> items;
  };
  struct Level {
    double virtual_time = 0;
    double start = 0;
    double finish = 0;
    double cost = 0;  // of the waiting items
    std::map<std::string, Flow> flows;
    bool empty() const { return cost <= 0; }
  };

  int NextTier() const;
  AdmissionItem Serve(int tier);
  void OnRemoved(Level* level, const AdmissionItem& item);
  Duration PredictedWait(Time now, Tier tier) const;

  Options options_;
  double virtual_time_ = 0;
  Level levels_[kTierCount];
  size_t waiting_ = 0;
  // Tokens finished in the present and in the previous window.
  Time window_begin_{};
  double window_cost_ = 0;
  double last_window_cost_ = 0;
  bool measured_ = false;
};

}  // namespace pinford

#endif  // PINFORD_ADMISSION_H_
