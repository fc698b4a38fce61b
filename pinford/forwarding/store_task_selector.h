// When a box calls the platform's store, and why.
//
// The first of a hall mirrors the store; two stand in while it fails
// (SourceSelector). The one box that plans the pools mirrors it too. Any other
// box looks at the store itself only when nobody whom it asks has had a fresh
// proof for long, and then by chance: the looks of a hall together are a few a
// second, however many boxes it has. So calls grow with the halls and not with
// the boxes, whatever fails. A box that knows no other is a hall of its own,
// and looks each second.
//
// A box that has just started does not know yet who ranks before it. Until it
// has been up for `join` it asks the seeds, which mirror the store from their
// start; it looks for itself only if they give it nothing.
//
// Where all boxes lose power the seeds may come back last: 64 boxes without a
// configuration refused 530 requests in the 0.4 s until then. So a box that has
// nothing looks once as soon as a caller waits for it. That is one look a box
// and start, on demand only: a fleet that starts before its callers come makes
// none.
//
// No I/O; the caller acts on what Now says.

#ifndef PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_
#define PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_

#include <string_view>

#include "pinford/forwarding/source_selector.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class StoreTask {
  kNone,
  kMirror,    // the first of its hall
  kStandIn,   // the first of its hall fails
  kPlan,      // it plans the pools, whatever its rank
  kReadOnce,  // nobody has had a fresh proof for long: one look now
};

std::string_view StoreTaskName(StoreTask t);

// Whether a box with this task keeps a copy of what the store holds.
inline bool Mirrors(StoreTask t) {
  return t == StoreTask::kMirror || t == StoreTask::kStandIn ||
         t == StoreTask::kPlan;
}

class StoreTaskSelector {
 public:
  struct Options {
    // A box that has just started leaves mirroring to the seeds for so long
    // (Membership::Options::join).
    Duration join = milliseconds(2500);
    // ... and looks at the store itself from here on, if nobody told it
    // anything: a question to a seed and a second one take less.
    Duration first_look = milliseconds(1000);
    // ... or from here on, once, if a caller waits. A seed that is there
    // answers the first question within 30 ms of the start.
    Duration look_for_caller = milliseconds(60);
    // A box whose proof is older looks at the store itself. A mirror's proof is
    // between one and two of its waits (1 s) old, a question to it comes each
    // 0.4 s, and one more may be lost. The list that follows takes some ms, or
    // ends 0.4 s later without an answer; both is within the 4.7 s after which
    // keys of customers are refused.
    Duration look_after = milliseconds(3200);
    // Looks of one hall: so many in so long, on the mean.
    Duration look_pause = milliseconds(1000);
    int looks_of_hall = 2;
  };

  StoreTaskSelector(Time started, bool seed, const Options& options,
                    Random random)
      : started_(started), seed_(seed), options_(options), random_(random) {}

  // Whether this box plans the pools. Who does goes by the store's own list:
  // its peers may be busy sending theirs to others, and orders wait for it.
  void set_plans(bool plans) { plans_ = plans; }

  // What falls on this box now. `proof` is when what it has was the newest for
  // sure, Time{} if it has nothing.
  StoreTask ChooseTask(Time now, Time fresh_as_of, SourceSelector* roster);
  // A caller waits for this box, which has nothing yet. Returns when Now may
  // therefore name a look.
  Time OnCallerWaiting() {
    caller_waits_ = true;
    return started_ + options_.look_for_caller;
  }

 private:
  // Whether nobody has had a proof for this box for too long.
  bool Lacks(Time now, Time fresh_as_of) const;
  Duration Pause(double least, double most, int hall_boxes);

  Time started_;
  bool seed_;
  Options options_;
  Random random_;
  bool plans_ = false;
  bool caller_waits_ = false;     // and no look was named for it yet
  Time next_look_ = Time::max();  // while it lacks a proof
  int drawn_for_ = 1;             // boxes of the hall when that was drawn
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STORE_TASK_SELECTOR_H_
