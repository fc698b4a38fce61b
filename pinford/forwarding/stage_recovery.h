// Decides how a stream recovers when one of its stages is down or slow: it
// stays on its chain, other runners take over the stage's layers, or the
// request restarts on another chain.
//
// All streams of a lost runner decide at the same moment, in boxes that do not
// coordinate. A choice that is best for each stream alone can be wrong for all
// together: when a hall lost its only holder of some layers, 84 streams of 900
// tokens each were handed to other halls and back, over links that carry 29 of
// them a second, and all stalled for 1.95 s until their callers disconnected.
// The recovery time is therefore estimated for all affected streams. Every box
// knows from the digests how much work the lost runner had, how fast the other
// holders of its layers prefill, and what the links carry. A stream's random
// draw gives its position among the affected streams. Streams whose turn comes
// in time continue with the replacement stages; the others restart where the
// layers are available, which costs a retry but no cross-hall transfer.
//
// A slow stage is late but not lost. A stream stays with it while its events
// arrive well within the allowed pause, because its tokens have already been
// prefilled there; only streams that would be late leave. When 13 runners of 99
// ran twelve times slower, replacing them made some 800 callers disconnect in
// 9 s, while staying would have lengthened the mean gap of 29 ms to some 60 of
// the 250 ms allowed.
//
// These functions have no state and use no clock or network.

#ifndef PINFORD_FORWARDING_STAGE_RECOVERY_H_
#define PINFORD_FORWARDING_STAGE_RECOVERY_H_

#include <optional>
#include <string_view>

#include "pinford/policy.h"
#include "util/clock.h"

namespace pinford {

enum class RecoveryAction {
  kStay,     // continue on the present chain
  kReplace,  // other runners take over the impaired stages' layers
  kRestart,  // restart on another chain, with a retry
};

std::string_view RecoveryActionName(RecoveryAction m);

// The streams that lose a stage together, as far as a box can know.
struct RecoveryLoad {
  double tokens = 0;  // of all streams of the stage, to be prefilled again
  double prefill_per_s =
      0;                    // prefill rate of the new stages together, tokens/s
  int extra_transfers = 0;  // cross-hall handoffs beyond those before
  double transfer_seconds_per_token =
      0;          // link time of one token between two halls
  int links = 1;  // that share the transfers
};

// Time until all streams of the load have been recovered; Duration::max() if
// they never are.
Duration TimeToRecoverAll(const RecoveryLoad& load);

// A stream's position among those to be recovered, from 0 (first) to 1, given
// its own random `draw` in [0, 1). More urgent tiers come earlier.
double QueuePosition(double draw, Tier tier);

struct RecoveryFacts {
  bool down = false;     // the stage does not respond; otherwise it is slow
  bool started = false;  // events have been forwarded
  Duration allowed{};    // longest pause between events, or, if it has not
                         // started, until its first event
  Duration idle{};       // since the last event
  // Expected gap between events on the present chain.
  Duration gap_if_unchanged{};
  // Until all affected streams have new stages (TimeToRecoverAll); nothing if
  // no runners can take over the layers.
  std::optional<Duration> replace_all;
  int extra_transfers = 0;
  double queue_position = 0;  // see QueuePosition()
  // Usual time from a restart until its first event.
  Duration restart_time{};
  bool may_restart = false;
};

struct Recovery {
  RecoveryAction action = RecoveryAction::kStay;
  // Until the stream's next event with that action; for kReplace, until that of
  // the last affected stream.
  Duration expected{};
};

Recovery ChooseRecovery(const RecoveryFacts& facts);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STAGE_RECOVERY_H_
