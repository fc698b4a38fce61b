// One request that a box forwards, from its arrival to its last byte.
//
// At any time it is sent to at most one endpoint or chain of runners.
// ClassifyAttempt() decides what the end of an attempt means. Whether another
// attempt follows depends on the route (whether the request may run twice, and
// how many attempts it may have), on the time left and on the retry share.
//
// Streams: complete events are forwarded as they arrive. If a stream breaks, or
// stalls for so long that its next event would be late, another chain resumes
// it after the last event that was forwarded, under the response head that the
// caller already has.
//
// Invariants: at most one attempt is in progress; a request that may not be
// repeated is sent once; the caller gets one response, and "not run" only while
// may_have_run_ is false.

#ifndef PINFORD_FORWARDING_FORWARDED_REQUEST_H_
#define PINFORD_FORWARDING_FORWARDED_REQUEST_H_

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/forwarding/admitted_request.h"
#include "pinford/forwarding/attempt_result.h"
#include "pinford/forwarding/collected_body.h"
#include "pinford/forwarding/crash_ledger.h"
#include "pinford/forwarding/endpoint_notice.h"
#include "pinford/forwarding/event_stream.h"
#include "pinford/forwarding/forward_head.h"
#include "pinford/forwarding/forward_target.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/request_log.h"
#include "pinford/forwarding/run_findings.h"
#include "pinford/forwarding/wait_cause.h"

namespace pinford {

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardContext* context, Forwarder* owner,
                   AdmittedRequest admitted);
  ~ForwardedRequest();

  void Start();
  // Abandons an attempt that has stalled. Called every Forwarder::kTick.
  void Tick(Time now);
  // An endpoint, possibly one of its stages, does not respond or is slow.
  void OnStageImpaired(const std::string& endpoint);
  // The box's grace period to stop has ended.
  void OnShutdown();
  // The response is too large to be collected, beside those of other requests.
  void OnTooLarge();
  size_t collected_bytes() const {
    return body_.size() + endpoint_error_body_.size();
  }

 private:
  enum class Phase {
    kWaiting,   // no response yet
    kResponse,  // a response is being collected as a whole
    kEvents,    // events are being forwarded
  };

  // How often a started stream checks again for a chain, a retry, or a current
  // configuration.
  static constexpr milliseconds kRecheckInterval{60};
  static constexpr std::string_view kNoRetryLeft = "no retry is left";
  static constexpr std::string_view kCrashesEndpoints =
      "endpoints crash under it";
  static constexpr std::string_view kConfigMaybeStale =
      "the configuration may be out of date";
  static constexpr std::string_view kRateLimited =
      "the rate limits of its endpoints are reached";
  static constexpr std::string_view kComplete = "complete";

  void StartAttempt();
  void Send();
  bool BeforeSend();
  void OnHead(const HttpHead& head);
  void OnBody(std::string bytes);
  // Applies what the endpoint reports of itself in the response head.
  void ApplyNotice(const EndpointNotice& notice);
  AttemptFacts FactsOf(UpstreamEnd end) const;
  void OnEnd(UpstreamEnd end);
  // Closes the connection of the attempt in progress, and ends the attempt.
  void AbandonResponse(UpstreamEnd end);
  void ApplyFeedback(EndpointFeedback feedback);
  void OnRejected(const std::string& endpoint);
  void ForwardEvents(const std::string& bytes);
  // Time since the last event, or since the request was sent if there was none.
  Duration SinceEvent(Time now) const {
    return now - (last_event_ != Time{} ? last_event_ : sent_);
  }
  // Keeps the longest gap between events and its cause.
  void RecordGap(Duration gap);
  void ForwardResponse();
  void OnStalled(Time now);

  // --- after an attempt without a usable response: request_retry.cc

  // Sends the request again if that is allowed, or fails it.
  void AfterFailure(const AttemptFacts& facts, const AttemptResult& result);
  // Whether the request may run again after it may have run.
  bool MayRepeat() const;
  // Returns whether another attempt is allowed after `runs` attempts that may
  // have run. If it needs a retry, acquires one, at most one until it is sent.
  bool AcquireAttempt(Time now, int runs);
  RetryClass retry_class() const;
  // Started streams and urgent requests may use all permits.
  PermitClass permit_class() const;
  // Makes a started stream wait for a chain, for a retry, or for the
  // configuration to be confirmed. Returns false if the request is no started
  // stream.
  bool WaitForChain();
  bool WaitForRetry();
  bool WaitForFreshness();
  // No peer has relayed the attempt. Whether another peer may be tried; counts
  // this one.
  bool MayTryAnotherRelay();
  // Makes a request that cannot be sent wait, shortly, while it is not known
  // whether this box's path is at fault. Returns false if it may not wait.
  bool WaitForPath();
  void OnPathKnown();
  // Makes a request wait shortly for a permit that may be issued soon. Returns
  // false if it may not wait, or lacks something else.
  bool WaitForPermit();
  // What callers are told when rate limits are reached, in seconds.
  std::string PermitRetryAfter();
  bool ScheduleRecheck(void (*recheck)(ForwardedRequest*));
  void RecheckAfter(Duration delay, void (*recheck)(ForwardedRequest*));
  void Fail(std::string_view why, bool timed_out = false);

  // --- recovery when a stage is down or slow: request_recovery.cc

  // Probes the stages that have made no progress since the request was sent.
  void ProbeIdleStages();
  // Decides again on a recovery while a stage is down. Returns true if one was
  // started.
  bool ReevaluateRecovery(Time now);
  // Replaces stages that are down or slow, while the other stages keep their
  // prefilled tokens; or restarts the request on another chain.
  void ReplaceStages(Time now);
  // Asks the first stage to continue with `chain`.
  void RequestReroute(Time now, const Chain& chain, Duration expected);
  void OnRerouted(const Chain& chain, const RerouteResult& result,
                  Duration expected);
  // Choose the recovery, where `next` is the chain without the impaired stages:
  // DecideRecovery by estimated times, DefaultRecovery if
  // Mechanism::kTimedRecovery is off.
  Recovery DecideRecovery(Time now, const std::optional<Chain>& next) const;
  Recovery DefaultRecovery(const std::optional<Chain>& next) const;
  // Whether to wait for a retry for a short time rather than use `next`, which
  // has more cross-hall transfers.
  bool ShouldAwaitRetry(Time now, const std::optional<Chain>& next);

  // ---

  // Abandons the attempt in progress for another one and logs it as `event`.
  // Returns false, and keeps the attempt, if no endpoint accepts another one.
  bool RestartElsewhere(std::string_view event, Time t);
  // Whether the attempt goes directly to an endpoint to which this box has lost
  // its path since.
  bool LostItsPath() const;
  // The peer that relays the attempt; "" for none. For the log.
  std::string RelayName() const { return relay_ ? relay_->ip : ""; }
  // Records a failure of the idle stages, once per stall.
  void RecordStall(Time t);
  Duration SilenceLimit() const;
  void Release(bool succeeded);
  void ReleaseRequestedChain();
  void OnDeadline();
  // Cancels the attempt in progress and fails the request.
  void CancelAndFail(std::string_view why, bool timed_out);
  void OnCallerDisconnect();
  void Finish(std::string_view outcome);
  void RecordRun();
  static RunEnd RunEndOf(UpstreamEnd end, Executed executed);
  RunFacts FactsOfRun(RunEnd end) const;
  // Passes what the run that ends now tells of the request to the ledger.
  void RecordFindings(RunEnd end);
  void RecordPartsSurvived();
  void RecordLaterStageCrash(const std::string& endpoint);
  void RecordCrash(const RunFindings& findings, const std::string& endpoint,
                   uint64_t incarnation, bool broken);
  // Time since the attempt's first event; 0 before it.
  Duration AnsweringFor(Time now) const;
  // What is known of the request's effect on endpoints.
  Suspicion suspicion();
  // Whether it may be sent now as far as that goes: it is not quarantined, or
  // it is the trial that is due.
  bool PassesQuarantine();
  void LogAttempt(UpstreamEnd end, const AttemptResult& result);

  Time now() const { return context_->loop->now(); }

  ForwardContext* context_;
  Forwarder* owner_;
  AdmittedRequest admitted_;
  const Route& route_;
  RequestLog log_;

  // The attempt in progress.
  UpstreamId upstream_id_ = 0;
  ForwardTarget target_;
  Time sent_{};
  Duration backoff_left_{};   // of its endpoint, when about to be sent
  bool config_fresh_ = true;  // when about to be sent
  bool lacked_permit_ = false;
  bool was_sent_ = false;
  Phase phase_ = Phase::kWaiting;
  HttpHead response_;
  CollectedBody body_;
  Time last_progress_{};         // of this attempt
  Time attempt_first_event_{};   // Time{} before this attempt's first event
  bool parts_survived_ = false;  // of the prompt, by this attempt's endpoint
  RunFindings findings_;         // of the last attempt that may have run
  bool midway_ = false;          // the attempt is to go on after some event
  int accusations_ = 0;          // runs that may have crashed endpoints
  // Of the attempt before, if its endpoint broke it off.
  std::optional<Duration> answering_before_;
  int64_t events_before_ = 0;  // events of earlier attempts
  bool paused_ = false;
  bool replacing_ = false;  // a change of the chain is in progress
  // The chain of that change, whose load is counted beside the present one's.
  std::optional<Chain> requested_chain_;
  Time recovery_decided_at_{};  // time of the last decision on a recovery
  Time stall_check_after_{};    // until then new stages may be prefilling
  Time stall_recorded_for_{};   // the last_progress_ of the last recorded stall

  std::string last_target_;       // where it runs or ran last, for the log
  std::optional<Address> relay_;  // the peer that relays the attempt
  WaitCause wait_cause_ = WaitCause::kNone;  // since the last event
  int picks_ = 0;          // endpoints picked, including those never sent to
  int attempts_ = 0;       // attempts that were sent
  int possible_runs_ = 0;  // attempts that may have run
  int relay_tries_ = 0;    // attempts in a row for which no peer relayed
  Time relay_tries_began_{};
  int resume_refusals_ = 0;  // rejected attempts to resume a started stream
  bool timed_recovery_;      // Mechanism::kTimedRecovery
  bool may_have_run_ = false;
  bool retry_acquired_ = false;         // for the next send
  std::string_view no_attempt_reason_;  // why AcquireAttempt returned false
  bool finished_ = false;
  std::set<std::string> tried_;
  EventStream events_;
  Time first_event_{};
  Time path_wait_began_{};
  Time permit_wait_began_{};
  Duration longest_gap_{};
  WaitCause gap_wait_ = WaitCause::kNone;    // of the longest gap
  WaitCause first_wait_ = WaitCause::kNone;  // of the first event
  Time last_event_{};
  // An endpoint's error response, forwarded if no later attempt succeeds.
  std::optional<HttpHead> endpoint_error_;
  CollectedBody endpoint_error_body_;
  TimerId deadline_timer_ = 0;
  TimerId recheck_timer_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDED_REQUEST_H_
