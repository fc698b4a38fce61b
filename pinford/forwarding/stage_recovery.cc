#include "pinford/forwarding/stage_recovery.h"

#include <algorithm>
#include <cmath>

#include "util/enum_names.h"

namespace pinford {

// Part of the allowed pause that the usual gap on a slow stage may take. The
// rest is for prefill passes between two events: 100 of 250 ms.
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
  if (load.prefill_per_s <= 0) return Duration::max();
  const double prefill = load.tokens / load.prefill_per_s;
  const double transfer = std::max(0, load.extra_transfers) * load.tokens *
                          load.transfer_seconds_per_token /
                          std::max(1, load.links);
  // Prefill starts as tokens arrive, so the slower of the two is the limit.
  return FromSeconds(std::max(prefill, transfer));
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

// No events come through a stage that is down, so the stream has to leave it if
// it can.
static Recovery ChooseForDown(const RecoveryFacts& f) {
  if (!f.replace_all) {
    return {f.may_restart ? RecoveryAction::kRestart : RecoveryAction::kStay,
            f.restart_time};
  }
  const Duration replace = Scaled(f.queue_position, *f.replace_all);
  const Duration time_left = f.allowed - f.idle;
  // A retry is used where the new stages would be late and a restart is faster.
  const bool restart =
      f.may_restart && replace > time_left && f.restart_time < replace;
  if (restart) return {RecoveryAction::kRestart, f.restart_time};
  return {RecoveryAction::kReplace, *f.replace_all};
}

static Recovery ChooseForSlow(const RecoveryFacts& f) {
  const bool gap_fits =
      f.gap_if_unchanged <= Scaled(kMaxSlowGapShare, f.allowed);
  if (f.started && gap_fits) return {RecoveryAction::kStay, f.gap_if_unchanged};
  // A cross-hall chain would slow down every remaining token of the stream.
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
