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
  kEntrySlots,        // first stages are priced and bounded by their slots
  kPeerCounts,        // what peers have on runners counts
  kObservedRoom,      // what runners say they hold corrects the account
  kRoomBound,         // runners without room are left out
  kReadingAccount,    // runners are priced by the prompts sent to them
  kCrossingAccount,   // links between halls are priced by what crosses them
  kLinkPairs,         // each pair of halls has a link of its own
  kPacePrice,         // slow runners are priced by their pace
  kServeAtNeed,       // runners that rest serve where no other can
  kSilenceWatch,      // runners that fall silent are asked
  kStageReplacement,  // stages that are down or slow are replaced
  kResume,            // streams that break or stand still are taken up
  kLostAtOnce,        // runners that do not answer are not planned with
  kLoadSteps,         // large ranges are loaded in steps
  kMoves,             // runners are moved to layers that are short
  kFailureNews,       // boxes tell each other of runners that are down
  kSpreadPrice,       // a runner's speed counts by what events take
  kRestingEntry,      // chains rather begin where a connection rests
  kEntrySubset,       // ... and at a few first stages of the box's own
  kSharedQuestions,   // boxes share out asking runners that are down or slow
};
inline constexpr int kMechanisms = 20;

std::optional<Mechanism> MechanismNamed(std::string_view name);
std::string_view MechanismName(Mechanism m);

// Which of them are switched off.
class MechanismsOff {
 public:
  void Add(Mechanism m) { off_.set(static_cast<size_t>(m)); }
  bool on(Mechanism m) const { return !off_.test(static_cast<size_t>(m)); }
  // Their names with a space between, for the log; "" for none.
  std::string ToString() const;

 private:
  std::bitset<kMechanisms> off_;
};

}  // namespace pinford

#endif  // PINFORD_MECHANISMS_H_
