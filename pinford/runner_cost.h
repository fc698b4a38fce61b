// The cost of giving a runner a stage of a new stream. Pure functions of what
// is known of the runner, without state, table or clock.
//
// For runners whose memory capacity is known. Such engines run all waiting work
// in one pass, so one more stream costs almost nothing until memory runs short.
// Other runners are costed by their backlog (LoadedLayerCost).
//
// The shorter the time between events is against the pause that callers allow,
// the less a runner's speed counts. When a runner is lost, all of its streams
// are late, as the remaining holders of its layers must prefill them again.
// Costed by speed alone, four runners of 99, five times as fast as the others,
// each carried 61% of all streams, with the time between events at 0.15 of the
// allowed pause. Where it is a quarter of the pause or more, slower chains are
// late by themselves, and hold memory for longer.

#ifndef PINFORD_RUNNER_COST_H_
#define PINFORD_RUNNER_COST_H_

namespace pinford {

// The exponent of a runner's idle time in its cost. `gap_share` is the recent
// time between two events as a fraction of the pause that callers allow. With
// the square root alone, 1,823 of 51,165 answers were late instead of 2,043 at
// a gap share of 0.15, but 13,947 of 89,827 instead of 12,053 at 0.18 to 0.3;
// with this function 5,068 of 45,466 were late there instead of 5,671.
double SpeedWeight(double gap_share);

// What is known of a runner when its cost is computed.
struct RunnerLoad {
  double idle_layer_seconds = 0;  // for a layer of one token, without load
  double slowdown = 1;            // times slower than nominal
  double prefill_load = 0;        // fraction of its time that goes to prefill
  double memory_used = 0;         // fraction of its memory in use
  double queue_seconds = 0;       // seconds that its queued prefill takes
};

// Factor on a cost where the queued work takes `queue_seconds`.
double QueueFactor(double queue_seconds);

// Seconds for a layer of one token there. `mean_idle` is the mean idle time of
// the candidates.
double LayerCost(const RunnerLoad& load, double mean_idle, double speed_weight);

// Additional seconds for a token as the first stage of `entries` requests of
// `slots`. Infinite where a free slot is unlikely: what others have started
// there is known a second late.
double FirstStageSlotCost(double entries, int slots);

}  // namespace pinford

#endif  // PINFORD_RUNNER_COST_H_
