// The mechanisms that a forwarding box uses for its decisions. Each can be
// disabled in the settings (`forward.off`), so that its effect on a deployment
// can be measured there. All are enabled by default. None of them is needed for
// correctness: without one, fewer requests are served, or later, but none
// wrongly.

#ifndef PINFORD_MECHANISMS_H_
#define PINFORD_MECHANISMS_H_

#include <bitset>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

enum class Mechanism {
  kFirstStageSlots,  // first stages are costed and limited by their slots
  kPeerCounts,       // counts the peers' work on runners
  kObservedMemory,   // corrects estimates by what runners report to hold
  kMemoryLimit,      // excludes runners without free memory
  kPrefillLoad,      // costs runners by the prompts sent to them
  kTransferLoad,     // costs links between halls by the tokens sent over them
  kLinkPairs,        // gives each pair of halls a link of its own
  kSlowdownCost,     // costs slow runners by their slowdown
  kLastResort,  // uses runners that are backing off where no other can serve
  kIdleProbe,   // probes runners that become unresponsive
  kStageReplacement,  // replaces stages that are down or slow
  kResume,            // resumes streams that break or stall
  kSkipUnresponsive,  // plans without runners that do not respond
  kIncrementalLoad,   // loads large ranges in steps
  kRunnerMoves,       // moves runners to layers that lack capacity
  kFailureGossip,     // boxes report runners that are down to each other
  kSpeedWeight,       // weights a runner's speed by the time between events
  kTimedRecovery,     // decides on broken streams by the time to recover
  kPrefillBacklog,    // costs runners by the prompts queued there
  kRetryLoans,        // boxes lend each other retries
  kMoveOnRestart,     // reroutes the streams of a runner that restarts at once
  kTakeoverProbe,     // a new planner queries empty runners first
  kCrashQuarantine,   // requests that crash endpoints are refused
  kRelays,            // peers relay connections to endpoints that they reach
  kMissingNotices,    // boxes notify each other of entries that are missing
  kSharedRateLimits,  // rate limits are shared by demand, not evenly
};
inline constexpr int kMechanisms = 26;

std::optional<Mechanism> MechanismNamed(std::string_view name);
std::string_view MechanismName(Mechanism m);

// Which mechanisms are enabled: all except those that were disabled.
class MechanismSwitches {
 public:
  void Disable(Mechanism m) { off_.set(static_cast<size_t>(m)); }
  bool enabled(Mechanism m) const { return !off_.test(static_cast<size_t>(m)); }
  // The names of the disabled ones separated by spaces, for the log; "" for
  // none.
  std::string ToString() const;

 private:
  std::bitset<kMechanisms> off_;
};

}  // namespace pinford

#endif  // PINFORD_MECHANISMS_H_
