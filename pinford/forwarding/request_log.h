// Writes a forwarded request's log lines and metrics: for each attempt that did
// not succeed, for each change of its chain, and for its end.
// docs/OPERATIONS.md shows how to read them together.

#ifndef PINFORD_FORWARDING_REQUEST_LOG_H_
#define PINFORD_FORWARDING_REQUEST_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/forwarding/admitted_request.h"
#include "pinford/forwarding/attempt_result.h"
#include "pinford/forwarding/forward_target.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/run_findings.h"
#include "pinford/forwarding/wait_cause.h"

namespace pinford {

class RequestLog {
 public:
  // Both must outlive the log.
  RequestLog(const ForwardContext* context, const AdmittedRequest* admitted)
      : context_(context), admitted_(admitted) {}

  // An attempt that did not succeed.
  struct AttemptEnd {
    int attempt = 0;
    const ForwardTarget* target = nullptr;
    UpstreamEnd end = UpstreamEnd::kComplete;
    int status = 0;  // 0 without a response
    ResponseDefect defect = ResponseDefect::kNone;
    Executed executed = Executed::kNo;
    std::string_view at_fault;     // the stage that the response names
    std::string_view retry_after;  // as the response has it
    // When the attempt was about to be sent: the remaining backoff that the
    // endpoint had requested, and the time since the endpoint was picked.
    Duration backoff_left{};
    Duration since_pick{};
    // The same for all repeats of the request (request_fingerprint.h).
    std::string_view fingerprint;
    // Of the parts of its prompt.
    const std::vector<std::string>* parts = nullptr;
    RunFindings findings;  // none if it has not run
    int neighbors = 0;     // this box's other requests at the endpoint
    int64_t events = 0;    // received by this attempt
    Duration took{};
    std::string relay;  // the peer through which it went; "" for none
  };
  void AttemptFailed(const AttemptEnd& a) const;

  // The endpoint requested a backoff of that length from this box.
  void BackoffRequested(const ForwardTarget& target, Duration backoff) const;

  // A quarantined request is sent as a trial of the part of its prompt that is
  // quarantined, one of `parts`.
  void CrashTrial(const ForwardTarget& target,
                  const std::vector<std::string>& parts) const;

  // An attempt was abandoned for another one; `event` is the reason.
  struct AbandonedAttempt {
    int attempt = 0;
    const ForwardTarget* target = nullptr;
    int64_t events = 0;
    Duration idle{};
    Duration process_delay{};  // longest scheduling delay of this box in `idle`
    Duration took{};
  };
  void Restarted(std::string_view event, const AbandonedAttempt& l) const;

  // The first stage was asked to continue with `chain`.
  struct Replaced {
    const ForwardTarget* target = nullptr;
    const Chain& chain;
    RerouteStatus status = RerouteStatus::kUnknown;
    int extra_transfers = 0;  // cross-hall handoffs beyond those before
    int64_t events = 0;
    Duration since_event{};
  };
  void StagesReplaced(const Replaced& r) const;

  // The recovery chosen after a stage went down or became slow, and why.
  void RecoveryChosen(const ForwardTarget& target, const RecoveryFacts& f,
                      const Recovery& r) const;

  struct End {
    std::string_view outcome;
    int attempts = 0;
    std::string last_target;  // an endpoint or a chain; "" for none
    std::string last_relay;   // as AttemptEnd::relay
    const ForwardTarget* target = nullptr;
    bool may_have_run = false;
    int64_t events = 0;
    Duration first{};  // from the request's arrival to its first byte
    WaitCause first_wait = WaitCause::kNone;
    Duration longest_gap{};
    WaitCause gap_wait = WaitCause::kNone;
    Duration process_delay{};  // longest scheduling delay since its arrival
    bool cut = false;  // its caller got a part and will not get the rest
    std::optional<TcpEnd> caller_end;
    Duration took{};
  };
  void Ended(const End& e) const;

 private:
  const ForwardContext* context_;
  const AdmittedRequest* admitted_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_REQUEST_LOG_H_
