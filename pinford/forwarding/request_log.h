// What a forwarded request tells the log and the metrics: a line for each
// attempt that did not end well, for each change of its chain, and at its end.
// docs/OPERATIONS.md shows how to read them together.

#ifndef PINFORD_FORWARDING_REQUEST_LOG_H_
#define PINFORD_FORWARDING_REQUEST_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pinford/forwarding/admitted_request.h"
#include "pinford/forwarding/attempt_result.h"
#include "pinford/forwarding/forward_target.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/wait_cause.h"

namespace pinford {

class RequestLog {
 public:
  // Both must outlive it.
  RequestLog(const ForwardContext* parts, const AdmittedRequest* order)
      : parts_(parts), order_(order) {}

  // An attempt that ended, as far as it came.
  struct AttemptEnd {
    int attempt = 0;
    const ForwardTarget* target = nullptr;
    UpstreamEnd end = UpstreamEnd::kComplete;
    int status = 0;  // 0: none came
    Ran ran = Ran::kNo;
    std::string_view at_fault;     // the stage that the answer names
    std::string_view retry_after;  // as the answer has it
    // When it was to be sent: what was left of the rest that the endpoint had
    // asked for, and how long before the endpoint had been picked.
    Duration rest_left{};
    Duration since_pick{};
    Duration took{};
  };
  void AttemptFailed(const AttemptEnd& a) const;

  // Its endpoint wants nothing from this box for so long.
  void RestAsked(const ForwardTarget& target, Duration rest) const;

  // An attempt was left for another one; `event` says why.
  struct Left {
    int attempt = 0;
    const ForwardTarget* target = nullptr;
    int64_t events = 0;
    Duration silent{};
    Duration held_up{};  // this box, at most, within that silence
    Duration took{};
  };
  void BegunAnew(std::string_view event, const Left& l) const;

  // The entry was asked to go on with `chain` in the place of the present one.
  struct Replaced {
    const ForwardTarget* target = nullptr;
    const Chain& chain;
    RerouteStatus status = RerouteStatus::kUnknown;
    int more_crossings = 0;  // hand-overs between halls, beyond those before
    int64_t events = 0;
    Duration since_event{};
  };
  void StagesReplaced(const Replaced& r) const;

  // What becomes of it after a stage went down or slow, and why.
  void Recovered(const ForwardTarget& target, const RecoveryFacts& f,
                 const Recovery& r) const;

  struct End {
    std::string_view outcome;
    int attempts = 0;
    std::string last_target;  // an endpoint, or a chain; "" for none
    const ForwardTarget* target = nullptr;
    bool may_have_run = false;
    int64_t events = 0;
    Duration first{};  // from its arrival to its first byte
    WaitCause first_wait = WaitCause::kNone;
    Duration longest_gap{};
    WaitCause gap_wait = WaitCause::kNone;
    Duration held_up{};  // this box, at most, since its arrival
    bool cut = false;    // its caller got a part, and the rest never comes
    std::optional<TcpEnd> caller_end;
    Duration took{};
  };
  void Ended(const End& e) const;

 private:
  const ForwardContext* parts_;
  const AdmittedRequest* order_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_REQUEST_LOG_H_
