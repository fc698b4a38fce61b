#include "pinford/forwarding/stage_recovery.h"

#include <algorithm>
#include <cmath>

#include "util/enum_names.h"

namespace pinford {

// Of the allowed pause, what the usual gap on a slow stage may take. The rest
// is for the passes that read prompts between two events: of 250 ms, 100.
static constexpr double kKeptShare = 0.6;

static constexpr EnumName<RecoveryMove> kMoveNames[] = {
    {RecoveryMove::kStay, "stay"},
    {RecoveryMove::kReplace, "replace"},
    {RecoveryMove::kBeginAnew, "begin anew"},
};

std::string_view RecoveryMoveName(RecoveryMove m) {
  return NameIn(kMoveNames, m);
}

Duration TimeForAll(const RecoveryLoad& load) {
  if (load.tokens <= 0) return Duration(0);
  if (load.prefill_per_s <= 0) return Duration::max();
  const double read = load.tokens / load.prefill_per_s;
  const double cross = std::max(0, load.more_crossings) * load.tokens *
                       load.transfer_seconds_per_token /
                       std::max(1, load.links);
  // Reading begins as tokens arrive, so that the slower of the two binds.
  return FromSeconds(std::max(read, cross));
}

double PlaceOf(double draw, Tier tier) {
  switch (tier) {
    case Tier::kCritical:
      return draw * draw;
    case Tier::kHigh:
    case Tier::kStandard:
      return draw;
    case Tier::kBackground:
      return std::sqrt(draw);
  }
  return draw;
}

static Duration Part(double part, Duration of) {
  if (of == Duration::max()) return of;
  return FromSeconds(part * ToSeconds(of));
}

// With a stage that is down nothing comes: one of the others it must be.
static Recovery ChooseForDown(const RecoveryFacts& f) {
  if (!f.replace_all) {
    return {f.may_begin_anew ? RecoveryMove::kBeginAnew : RecoveryMove::kStay,
            f.anew};
  }
  const Duration replace = Part(f.place, *f.replace_all);
  const Duration left = f.allowed - f.silent;
  // A retry is spent where it brings the stream on sooner, and in time that
  // the new stages cannot keep.
  const bool anew = f.may_begin_anew && replace > left && f.anew < replace;
  if (anew) return {RecoveryMove::kBeginAnew, f.anew};
  return {RecoveryMove::kReplace, *f.replace_all};
}

static Recovery ChooseForSlow(const RecoveryFacts& f) {
  const bool kept = f.gap_if_kept <= Part(kKeptShare, f.allowed);
  if (f.started && kept) return {RecoveryMove::kStay, f.gap_if_kept};
  // What crosses between halls pays for all that its stream still has to say.
  const bool near = f.replace_all && f.more_crossings <= 0;
  if (!near) return {RecoveryMove::kStay, f.gap_if_kept};
  const Duration replace = Part(f.place, *f.replace_all);
  if (replace > f.allowed) return {RecoveryMove::kStay, f.gap_if_kept};
  return {RecoveryMove::kReplace, *f.replace_all};
}

Recovery ChooseRecovery(const RecoveryFacts& facts) {
  return facts.down ? ChooseForDown(facts) : ChooseForSlow(facts);
}

}  // namespace pinford
