// Time that a box spent on each of its duties, so that an operator can tell
// what the busiest box of a fleet is busy with. It is the time that passed, so
// it includes time for which the process was not scheduled.

#ifndef PINFORD_BUSY_TIMES_H_
#define PINFORD_BUSY_TIMES_H_

#include <array>
#include <string_view>

#include "util/clock.h"
#include "util/enum_names.h"

namespace pinford {

enum class Duty {
  kGossip,       // datagrams of peers
  kPeerReplies,  // answering the peers that get their documents from this box
  kPeerData,     // applying what this box got from peers
  kStoreData,    // applying what it read from the store
  kPlanner,      // planning the pools
  kTick,         // periodic work for requests, members and documents
};

inline constexpr EnumName<Duty> kDutyNames[] = {
    {Duty::kGossip, "gossip"},      {Duty::kPeerReplies, "peer_replies"},
    {Duty::kPeerData, "peer_data"}, {Duty::kStoreData, "store_data"},
    {Duty::kPlanner, "planner"},    {Duty::kTick, "tick"},
};
inline constexpr size_t kDuties = std::size(kDutyNames);

class BusyTimes {
 public:
  void Add(Duty duty, Duration d) { times_[static_cast<size_t>(duty)] += d; }
  Duration of(Duty duty) const { return times_[static_cast<size_t>(duty)]; }

 private:
  std::array<Duration, kDuties> times_{};
};

// Adds the time of its own life. Duties nest where one leads to another: the
// time of an inner one counts for both.
template <Clock Clk>
class BusyTimer {
 public:
  BusyTimer(const Clk* clock, BusyTimes* times, Duty duty)
      : clock_(clock), times_(times), duty_(duty), began_(clock->now()) {}
  ~BusyTimer() { times_->Add(duty_, clock_->now() - began_); }
  BusyTimer(const BusyTimer&) = delete;
  BusyTimer& operator=(const BusyTimer&) = delete;

 private:
  const Clk* clock_;
  BusyTimes* times_;
  Duty duty_;
  Time began_;
};

}  // namespace pinford

#endif  // PINFORD_BUSY_TIMES_H_
