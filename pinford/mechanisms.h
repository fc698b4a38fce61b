// The mechanisms by which a forwarding box decides, each of which can be
// switched off by its settings (`forward.off`), so that what one is worth on a
// deployment can be measured there. All are on by default. None keeps one of
// the promises: with any of them off fewer requests are served, or later, and
// none wrongly.

#ifndef PINFORD_MECHANISMS_H_
#define PINFORD_MECHANISMS_H_

#include <bitset>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

enum class Mechanism {
  kFirstStageSlots,   // first stages are priced and bounded by their slots
  kPeerCounts,        // what peers have on runners counts
  kObservedMemory,    // what runners say they hold corrects the account
  kMemoryLimit,       // runners without room are left out
  kPrefillLoad,       // runners are priced by the prompts sent to them
  kTransferLoad,      // links between halls are priced by what crosses them
  kLinkPairs,         // each pair of halls has a link of its own
  kSlowdownCost,      // slow runners are priced by their pace
  kLastResort,        // runners that rest serve where no other can
  kIdleProbe,         // runners that fall silent are asked
  kStageReplacement,  // stages that are down or slow are replaced
  kResume,            // streams that break or stand still are taken up
  kSkipUnresponsive,  // runners that do not answer are not planned with
  kIncrementalLoad,   // large ranges are loaded in steps
  kRunnerMoves,       // runners are moved to layers that are short
  kFailureGossip,     // boxes tell each other of runners that are down
  kSpeedWeight,       // a runner's speed counts by what events take
  kTimedRecovery,     // what becomes of streams goes by the time it takes
  kPrefillBacklog,    // runners are priced by the prompts that wait there
  kRetryLoans,        // boxes lend each other retries
  kMoveOnRestart,     // what ran on a runner that starts anew moves at once
  kTakeoverProbe,     // a planner that takes over asks empty runners first
};
inline constexpr int kMechanisms = 22;

std::optional<Mechanism> MechanismNamed(std::string_view name);
std::string_view MechanismName(Mechanism m);

// Which of them are switched off.
class MechanismSwitches {
 public:
  void Add(Mechanism m) { off_.set(static_cast<size_t>(m)); }
  bool enabled(Mechanism m) const { return !off_.test(static_cast<size_t>(m)); }
  // Their names with a space between, for the log; "" for none.
  std::string ToString() const;

 private:
  std::bitset<kMechanisms> off_;
};

}  // namespace pinford

#endif  // PINFORD_MECHANISMS_H_
