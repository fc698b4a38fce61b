#include "pinford/mechanisms.h"

#include "util/names.h"

namespace pinford {

static constexpr EnumName<Mechanism> kMechanismNames[] = {
    {Mechanism::kEntrySlots, "entry_slots"},
    {Mechanism::kPeerCounts, "peer_counts"},
    {Mechanism::kObservedRoom, "observed_room"},
    {Mechanism::kRoomBound, "room_bound"},
    {Mechanism::kReadingAccount, "reading_account"},
    {Mechanism::kCrossingAccount, "crossing_account"},
    {Mechanism::kLinkPairs, "link_pairs"},
    {Mechanism::kPacePrice, "pace_price"},
    {Mechanism::kServeAtNeed, "serve_at_need"},
    {Mechanism::kSilenceWatch, "silence_watch"},
    {Mechanism::kStageReplacement, "stage_replacement"},
    {Mechanism::kResume, "resume"},
    {Mechanism::kLostAtOnce, "lost_at_once"},
    {Mechanism::kLoadSteps, "load_steps"},
    {Mechanism::kMoves, "moves"},
    {Mechanism::kFailureNews, "failure_news"},
    {Mechanism::kSpreadPrice, "spread_price"},
    {Mechanism::kRestingEntry, "resting_entry"},
    {Mechanism::kEntrySubset, "entry_subset"},
    {Mechanism::kSharedQuestions, "shared_questions"},
};
static_assert(std::size(kMechanismNames) == kMechanisms);

std::optional<Mechanism> MechanismNamed(std::string_view name) {
  return ValueIn(kMechanismNames, name);
}

std::string_view MechanismName(Mechanism m) {
  return NameIn(kMechanismNames, m);
}

std::string MechanismsOff::ToString() const {
  std::string text;
  for (const auto& row : kMechanismNames) {
    if (on(row.value)) continue;
    if (!text.empty()) text += ' ';
    text += row.name;
  }
  return text;
}

}  // namespace pinford
