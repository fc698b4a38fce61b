// What a stream does when one of its stages is down or slow: it goes on where
// it is, other runners take the stage's part, or it begins anew elsewhere.
//
// All streams of a lost runner decide at the same moment, in boxes that know
// nothing of each other's. Taken one by one, each choice is right and all
// together are wrong: where a hall lost its only holder of some layers, 84
// streams of 900 tokens each were handed to other halls and back, over links
// that carry 29 of them a second; all stood still for 1.95 s, until their
// callers left. So the time is estimated for all of them: every box knows from
// the digests how much work the lost runner had, what the other holders of its
// layers read, and what the links carry. A stream's draw is its place among
// them. Whose place comes up in time goes on with the new stages; the others
// begin anew where layers are at hand, which costs a retry and no crossing.
//
// A slow stage is not lost: it goes on, late. A stream stays with it for as
// long as its events still come well within the allowed pause, since its
// tokens have been read there; only those that would be late leave. When 13
// runners of 99 ran twelve times slower, replacing them made some 800 callers
// leave in 9 s, while their own steps would have lengthened the usual gap of
// 29 ms to some 60 of 250 ms allowed.
//
// No state, no clock, no network.

#ifndef PINFORD_FORWARDING_STAGE_RECOVERY_H_
#define PINFORD_FORWARDING_STAGE_RECOVERY_H_

#include <optional>
#include <string_view>

#include "pinford/policy.h"
#include "util/clock.h"

namespace pinford {

enum class RecoveryMove {
  kStay,       // it goes on with the chain that it has
  kReplace,    // other runners take the part of the stages
  kBeginAnew,  // it begins anew, with a retry
};

std::string_view RecoveryMoveName(RecoveryMove m);

// Streams that lose a stage together, as far as a box can know.
struct RecoveryLoad {
  double tokens = 0;  // of all streams of the stage, to be read again
  double prefill_per_s =
      0;                   // tokens a second that the new stages read, together
  int more_crossings = 0;  // hand-overs between halls beyond those before
  double transfer_seconds_per_token =
      0;          // a token takes of a link between two halls
  int links = 1;  // that share what crosses
};

// Until all streams of the load have been taken up; Duration::max() if they
// never are.
Duration TimeForAll(const RecoveryLoad& load);

// A stream's place among those that are to be taken up, from 0 (first) to 1,
// by a `draw` in [0, 1) of its own. The urgent tiers stand in front.
double PlaceOf(double draw, Tier tier);

struct RecoveryFacts {
  bool down = false;     // the stage does not answer; else it is slow
  bool started = false;  // events have passed
  Duration allowed{};    // longest pause between events; of one that has not
                         // begun, until its first event
  Duration silent{};     // since the last event
  // Gap between events that the chain as it is lets expect.
  Duration gap_if_kept{};
  // Until all streams concerned have new stages (TimeForAll); nothing if
  // nobody can take the part.
  std::optional<Duration> replace_all;
  int more_crossings = 0;
  double place = 0;  // PlaceOf
  // Until the first event of a new run, as is usual.
  Duration anew{};
  bool may_begin_anew = false;
};

struct Recovery {
  RecoveryMove move = RecoveryMove::kStay;
  // Until its next event with that move; of kReplace, until that of the last
  // one concerned.
  Duration expected{};
};

Recovery ChooseRecovery(const RecoveryFacts& facts);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STAGE_RECOVERY_H_
