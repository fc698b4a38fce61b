// What it costs to give a runner a part of a new stream, from what is known of
// it: no state, no table, no clock.
//
// For runners whose room is known. Such engines run all that waits in one pass,
// so that a stream more costs next to nothing until memory runs short; others
// are priced by their backlog (PricedLayerCost).
//
// A runner's speed counts the less, the shorter events are against the pauses
// that callers allow. All streams of a runner that is lost are late, since the
// rest of its layers' holders must read them again: priced by speed alone four
// runners of 99, five times as fast as the rest, carried 61 in 100 of all
// streams each, with events at 0.15 of the allowed pause. Where events take a
// quarter of it or more, slower chains are late by themselves, and hold memory
// for longer.

#ifndef PINFORD_RUNNER_COST_H_
#define PINFORD_RUNNER_COST_H_

namespace pinford {

// The power of a runner's idle time in its price. `gap_share` is what the time
// between two events takes of the pause that callers allow, of late. By the
// square root alone 1,823 of 51,165 answers were late where 2,043 had been,
// with events at 0.15 of the pause, but 13,947 of 89,827 where 12,053 had been
// with events at 0.18 to 0.3; by this 5,068 of 45,466 where 5,671 had been
// there.
double SpeedWeight(double gap_share);

// What is known of a runner when it is priced.
struct RunnerLoad {
  double idle_seconds = 0;  // for a layer of one token, without load
  double slowdown = 1;      // so many times as long as it should
  double reading = 0;       // part of its time that goes to reading prompts
  double taken = 0;         // part of its room that is taken
  double waiting = 0;       // seconds that what waits to be read there takes
};

// How many times as dear something is where what waits for it takes so many
// seconds.
double QueueFactor(double waiting_seconds);

// Seconds for a layer of one token there. `mean_idle` is the idle time of the
// runners that it is compared with.
double LayerPrice(const RunnerLoad& load, double mean_idle,
                  double speed_weight);

// Seconds for a token more, as the first stage of `entries` of `slots`
// requests. Infinite where no slot is likely to be free: what others have begun
// there is known a second late.
double EntrySlotPrice(double entries, int slots);

}  // namespace pinford

#endif  // PINFORD_RUNNER_COST_H_
