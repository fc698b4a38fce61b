// What a stream that pauses waits for, as far as its box knows.
//
// It is set when the wait begins, so that the line at a request's end can name
// the cause of the longest pause. Without it the logs of a hall that stood
// still for two seconds showed replacements that were "done", and not that all
// their tokens had to cross between halls first.

#ifndef PINFORD_FORWARDING_WAIT_CAUSE_H_
#define PINFORD_FORWARDING_WAIT_CAUSE_H_

#include <string_view>

namespace pinford {

enum class WaitCause {
  kNone,          // for nothing that is known: its runners are at work
  kStart,         // for a run to begin: a slot, and the prompt to be read
  kReroute,       // for its first stage to take another chain
  kPrefill,       // for new stages to read its tokens
  kHallTransfer,  // the same, with more hand-overs between halls than before
  kRetry,         // for a retry to be left
  kChain,         // for a chain that takes it
  kFreshness,     // for a fresh proof of the configuration
};

std::string_view WaitCauseName(WaitCause c);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_WAIT_CAUSE_H_
