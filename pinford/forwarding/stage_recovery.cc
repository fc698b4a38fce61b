#include "pinford/forwarding/stage_recovery.h"

#include <algorithm>
#include <cmath>

#include "util/names.h"

namespace pinford {

// Of the allowed pause, what the usual gap on a slow stage may take. The rest
// is for the passes that read prompts between two events: of 250 ms, 100.
static constexpr double kMaxSlowGapShare = 0.6;

static constexpr EnumName<RecoveryAction> kRecoveryActionNames[] = {
    {RecoveryAction::kStay, "stay"},
    {RecoveryAction::kReplace, "replace"},
    {RecoveryAction::kRestart, "begin anew"},
};

std::string_view RecoveryActionName(RecoveryAction m) {
  return NameIn(kRecoveryActionNames, m);
}

Duration TimeToRecoverAll(const RecoveryLoad& load) {
  if (load.tokens <= 0) return Duration(0);
  if (load.read_per_s <= 0) return Duration::max();
  const double read = load.tokens / load.read_per_s;
  const double cross = std::max(0, load.extra_transfers) * load.tokens *
                       load.crossing_seconds / std::max(1, load.links);
  // Reading begins as tokens arrive, so that the slower of the two binds.
  return FromSeconds(std::max(read, cross));
}

double QueuePosition(double draw, Tier tier) {
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

static Duration Scaled(double part, Duration of) {
  if (of == Duration::max()) return of;
  return FromSeconds(part * ToSeconds(of));
}

// With a stage that is down nothing comes: one of the others it must be.
static Recovery ChooseForDown(const RecoveryFacts& f) {
  if (!f.replace_all) {
    return {f.may_restart ? RecoveryAction::kRestart : RecoveryAction::kStay,
            f.restart_time};
  }
  const Duration replace = Scaled(f.queue_position, *f.replace_all);
  const Duration time_left = f.allowed - f.idle;
  // A retry is spent where it brings the stream on sooner, and in time that
  // the new stages cannot keep.
  const bool restart =
      f.may_restart && replace > time_left && f.restart_time < replace;
  if (restart) return {RecoveryAction::kRestart, f.restart_time};
  return {RecoveryAction::kReplace, *f.replace_all};
}

static Recovery ChooseForSlow(const RecoveryFacts& f) {
  const bool gap_fits =
      f.gap_if_unchanged <= Scaled(kMaxSlowGapShare, f.allowed);
  if (f.started && gap_fits) return {RecoveryAction::kStay, f.gap_if_unchanged};
  // What crosses between halls pays for all that its stream still has to say.
  const bool no_transfer = f.replace_all && f.extra_transfers <= 0;
  if (!no_transfer) return {RecoveryAction::kStay, f.gap_if_unchanged};
  const Duration replace = Scaled(f.queue_position, *f.replace_all);
  if (replace > f.allowed) return {RecoveryAction::kStay, f.gap_if_unchanged};
  return {RecoveryAction::kReplace, *f.replace_all};
}

Recovery ChooseRecovery(const RecoveryFacts& facts) {
  return facts.down ? ChooseForDown(facts) : ChooseForSlow(facts);
}

}  // namespace pinford
