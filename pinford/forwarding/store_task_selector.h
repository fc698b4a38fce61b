// Decides when a box calls the platform's store, and why.
//
// The primary of a hall mirrors the store, and two standbys do so while the
// primary fails (SourceSelector). The box that plans the pools mirrors it too.
// Any other box reads the store itself only if no peer that it asks has been
// fresh for long, and then at random times: together, the boxes of a hall make
// a few reads a second, however many they are. Calls therefore grow with the
// number of halls and not of boxes, whatever fails. A box that knows no other
// is a hall of its own, and reads every second.
//
// A box that has just started does not know yet which boxes rank before it. For
// the time `join` it asks the seeds, which mirror the store from their start,
// and reads the store itself only if they have nothing.
//
// If all boxes lose power, the seeds may come back last: 64 boxes without a
// configuration refused 530 requests in the 0.4 s before that. A box without
// documents therefore reads the store once as soon as a caller waits for it.
// This is one read per box and start, only on demand: a fleet that starts
// before its callers connect makes none.
//
// Does no I/O; the caller carries out the task returned by ChooseTask.

#ifndef PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_
#define PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_

#include <string_view>

#include "pinford/forwarding/source_selector.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class StoreTask {
  kNone,
  kMirror,    // this box is the primary of its hall
  kStandby,   // the primary of its hall fails
  kPlan,      // this box plans the pools, whatever its rank
  kReadOnce,  // no peer has been fresh for long: read once now
};

std::string_view StoreTaskName(StoreTask t);

// Whether a box with this task mirrors the store.
inline bool Mirrors(StoreTask t) {
  return t == StoreTask::kMirror || t == StoreTask::kStandby ||
         t == StoreTask::kPlan;
}

class StoreTaskSelector {
 public:
  struct Options {
    // How long a starting box leaves mirroring to the seeds
    // (Membership::Options::join).
    Duration join = milliseconds(2500);
    // When it reads the store itself if no peer has sent it anything: two
    // requests to seeds take less.
    Duration first_read_after = milliseconds(1000);
    // When it reads the store, once, if a caller waits. A running seed answers
    // the first request within 30 ms of the start.
    Duration read_for_caller_after = milliseconds(60);
    // Freshness age beyond which a box reads the store itself. A mirror's age
    // is between one and two watch timeouts (1 s), it is asked every 0.4 s, and
    // one request may be lost. The list that follows takes a few ms, or ends
    // 0.4 s later without an answer; either is within the 4.7 s after which
    // customers' keys are refused.
    Duration read_after_age = milliseconds(3200);
    // Added for each box that the data passes between the mirror and this one
    // (SourceSelector::hops), which is one at most in a hall of 272 boxes.
    Duration read_after_age_per_hop = milliseconds(450);
    // Mean rate of the reads of one hall: this many per interval.
    Duration read_interval = milliseconds(1000);
    int hall_reads_per_interval = 2;
  };

  StoreTaskSelector(Time started, bool seed, const Options& options,
                    Random random)
      : started_(started), seed_(seed), options_(options), random_(random) {}

  // Sets whether this box plans the pools. The planner uses the store's own
  // list, because its peers may be busy distributing theirs while orders wait
  // for it.
  void set_is_planner(bool is_planner) { is_planner_ = is_planner; }

  // Returns the task of this box now. `fresh_as_of` is when its documents were
  // last known to be current, Time{} if it has none.
  StoreTask ChooseTask(Time now, Time fresh_as_of, SourceSelector* selector);
  // A caller waits for this box, which has no documents yet. Returns the time
  // from which ChooseTask may return kReadOnce for it.
  Time OnCallerWaiting() {
    caller_waiting_ = true;
    return started_ + options_.read_for_caller_after;
  }

 private:
  // Whether the documents of this box have been stale for too long.
  bool IsStale(Time now, Time fresh_as_of, int hops) const;
  Duration RandomPause(double min_factor, double max_factor, int hall_boxes);

  Time started_;
  bool seed_;
  Options options_;
  Random random_;
  bool is_planner_ = false;
  bool caller_waiting_ = false;   // and no read was started for it yet
  Time next_read_ = Time::max();  // max() unless stale
  int hall_boxes_at_draw_ = 1;    // boxes of the hall when next_read_ was drawn
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_
