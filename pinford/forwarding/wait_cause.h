// What a paused stream waits for, as far as its box knows.
//
// The cause is set when the wait begins, so that the log line at the end of a
// request can name the cause of its longest pause. Without it, the logs of a
// hall that stalled for two seconds showed replacements that were "done", but
// not that every token had to be transferred between halls first.

#ifndef PINFORD_FORWARDING_WAIT_CAUSE_H_
#define PINFORD_FORWARDING_WAIT_CAUSE_H_

#include <string_view>

namespace pinford {

enum class WaitCause {
  kNone,          // no known cause: its runners are working
  kStart,         // an attempt to start: a slot and the prefill
  kReroute,       // the first stage to accept another chain
  kPrefill,       // replacement stages to prefill its tokens
  kHallTransfer,  // the same, with more cross-hall transfers than before
  kRetry,         // a retry to become available
  kChain,         // a chain that accepts it
  kFreshness,     // the configuration to be confirmed as current
  kPath,          // a check of this box's path to endpoints
  kPermit,        // a permit of a rate-limited endpoint
};

std::string_view WaitCauseName(WaitCause c);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_WAIT_CAUSE_H_
