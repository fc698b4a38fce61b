#include "pinford/mechanisms.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Mechanism> kMechanismNames[] = {
    {Mechanism::kFirstStageSlots, "entry_slots"},
    {Mechanism::kPeerCounts, "peer_counts"},
    {Mechanism::kObservedMemory, "observed_room"},
    {Mechanism::kMemoryLimit, "room_bound"},
    {Mechanism::kPrefillLoad, "reading_account"},
    {Mechanism::kTransferLoad, "crossing_account"},
    {Mechanism::kLinkPairs, "link_pairs"},
    {Mechanism::kSlowdownCost, "pace_price"},
    {Mechanism::kLastResort, "serve_at_need"},
    {Mechanism::kIdleProbe, "silence_watch"},
    {Mechanism::kStageReplacement, "stage_replacement"},
    {Mechanism::kResume, "resume"},
    {Mechanism::kSkipUnresponsive, "lost_at_once"},
    {Mechanism::kIncrementalLoad, "load_steps"},
    {Mechanism::kRunnerMoves, "moves"},
    {Mechanism::kFailureGossip, "failure_news"},
    {Mechanism::kSpeedWeight, "spread_price"},
    {Mechanism::kTimedRecovery, "timed_recovery"},
    {Mechanism::kPrefillBacklog, "waiting_prompts"},
    {Mechanism::kRetryLoans, "retry_loans"},
    {Mechanism::kMoveOnRestart, "move_at_restart"},
    {Mechanism::kTakeoverProbe, "take_over_ask"},
    {Mechanism::kCrashQuarantine, "crash_quarantine"},
    {Mechanism::kRelays, "relays"},
    {Mechanism::kMissingNotices, "missing_notices"},
    {Mechanism::kSharedRateLimits, "shared_rate_limits"},
};
static_assert(std::size(kMechanismNames) == kMechanisms);

std::optional<Mechanism> MechanismNamed(std::string_view name) {
  return ValueIn(kMechanismNames, name);
}

std::string_view MechanismName(Mechanism m) {
  return NameIn(kMechanismNames, m);
}

std::string MechanismSwitches::ToString() const {
  std::string text;
  for (const auto& row : kMechanismNames) {
    if (enabled(row.value)) continue;
    if (!text.empty()) text += ' ';
    text += row.name;
  }
  return text;
}

}  // namespace pinford
