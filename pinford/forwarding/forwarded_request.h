// One request in a box's care, from its arrival to its last byte.
//
// It is sent to one endpoint, or to a chain of runners, at a time. What the
// end of an attempt says is decided by JudgeAttempt alone; whether another
// follows depends on the route (may it run twice, how many attempts), on the
// time left and on the share of retries.
//
// Streams: events pass on whole, as they come. A stream that breaks, or stands
// still for so long that its next event would be late, is taken up by another
// chain after the last event that was passed on, under the head that the
// caller already has.
//
// Invariants: at most one attempt is under way; a request that may not be
// repeated is sent once; the caller gets one answer, and "not run" only while
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
#include "pinford/forwarding/endpoint_notice.h"
#include "pinford/forwarding/event_stream.h"
#include "pinford/forwarding/forward_head.h"
#include "pinford/forwarding/forward_target.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/forwarding/request_log.h"
#include "pinford/forwarding/wait_cause.h"

namespace pinford {

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardContext* parts, Forwarder* owner,
                   AdmittedRequest order);
  ~ForwardedRequest();

  void Start();
  // Ends an attempt that stands still. Called every Forwarder::kTick.
  void Tick(Time now);
  // An endpoint that may be one of its stages does not answer, or is slow.
  void OnStageImpaired(const std::string& endpoint);
  // The box has no more time for it.
  void OnBoxEnds();

 private:
  enum class Phase {
    kWaiting,  // no answer has begun
    kAnswer,   // a whole answer is being collected
    kEvents,   // events are passing
  };

  // How often a begun stream looks again for a chain, or for a retry.
  static constexpr milliseconds kResumePause{60};
  static constexpr std::string_view kNoRetryLeft = "no retry is left";
  static constexpr std::string_view kUnproved =
      "the configuration may be out of date";
  static constexpr std::string_view kComplete = "complete";

  void Attempt();
  void Send();
  bool BeforeSend();
  void OnHead(const HttpHead& head);
  void OnBody(std::string bytes);
  // What the endpoint says of itself in the answer's head.
  void Heed(const EndpointNotice& notice);
  AttemptFacts FactsOf(UpstreamEnd end) const;
  void OnEnd(UpstreamEnd end);
  void Learn(Lesson lesson);
  void TurnedAway(const std::string& endpoint);
  void PassEvents(const std::string& bytes);
  // Time since the last event, or since it was sent where none has come.
  Duration SinceEvent(Time now) const {
    return now - (last_event_ != Time{} ? last_event_ : sent_);
  }
  // The longest gap between events, and what was waited for then.
  void NoteGap(Duration gap);
  void PassAnswer();
  void Stalled(Time now);

  // --- what follows an attempt that gave no answer: request_retry.cc

  // Sends the request again if that is allowed, else gives it up.
  void AfterFailure(const AttemptFacts& facts, const AttemptResult& result);
  // Whether the request may run once more after it may have run.
  bool MayRepeat() const;
  // Whether another attempt is allowed after `runs` that may have run; counts
  // it if so, once until it is sent.
  bool MayTryAgain(Time now, int runs);
  RetryClass Need() const;
  // A stream that has begun waits for a chain, for a retry, or for a fresh
  // proof of the configuration. False if it does not.
  bool WaitToResume();
  bool WaitForRetry();
  bool WaitForProof();
  bool LookAgain(void (*look)(ForwardedRequest*));
  void GiveUp(std::string_view why, bool late = false);

  // --- what becomes of it where a stage is down or slow: request_recovery.cc

  // Asks the stages that have shown no sign of life since it was sent.
  void DoubtStages();
  // Looks again what can be done where a stage is down. True if something is.
  bool DecidesAgain(Time now);
  // Puts other runners in the place of stages that are down or slow, while
  // the rest of the chain keeps what it has read.
  void ReplaceStages(Time now);
  // Asks the entry to go on with `chain` in the place of the present one.
  void GoOnWith(Time now, const Chain& chain, Duration expected);
  void OnReplaced(const Chain& chain, const RerouteResult& result,
                  Duration expected);
  // What becomes of it, where `next` is the chain without the impaired stages:
  // by the time it takes, and as it is without that.
  Recovery Decide(Time now, const std::optional<Chain>& next) const;
  Recovery FirstChoice(const std::optional<Chain>& next) const;
  // Whether it waits a moment for a retry rather than cross with `next`.
  bool WaitsForRetry(Time now, const std::optional<Chain>& next);

  // ---

  // Leaves the attempt under way for another one, and logs it as `event`.
  // False, and it stays, if no endpoint takes the other one.
  bool RunAnew(std::string_view event, Time t);
  // Counts its silence against its stages, once.
  void Blame(Time t);
  Duration SilenceLimit() const;
  void Release(bool worked);
  void OnLimit();
  // Ends the attempt under way, and the request with it.
  void Leave(std::string_view why, bool late);
  void OnCallerGone();
  void Finish(std::string_view outcome);
  void NoteRan();
  void LogAttempt(UpstreamEnd end, const AttemptResult& result);

  Time now() const { return parts_->loop->now(); }

  ForwardContext* parts_;
  Forwarder* owner_;
  AdmittedRequest order_;
  const Route& route_;
  RequestLog log_;

  // The attempt under way.
  UpstreamId upstream_ = 0;
  ForwardTarget target_;
  Time sent_{};
  Duration rest_left_{};  // of its endpoint's rest, when it was to be sent
  bool proved_ = true;    // the configuration, when it was to be sent
  bool sent_any_ = false;
  Phase phase_ = Phase::kWaiting;
  HttpHead answer_;
  std::string body_;
  Time progress_{};  // the last sign of life of this attempt
  bool paused_ = false;
  bool replacing_ = false;  // a change of the chain is under way
  Time decided_{};          // when it was last decided what becomes of it
  Time quiet_until_{};      // until then new stages are expected to read
  Time blamed_{};           // the progress_ since which silence was counted

  std::string last_target_;  // where it runs, or ran last, for the log
  WaitCause wait_ = WaitCause::kNone;  // since the last event
  int tries_ = 0;     // endpoints picked, also those that were never sent to
  int attempts_ = 0;  // sends
  int runs_ = 0;      // sends that may have run
  int refusals_ = 0;  // of an attempt to go on with a begun stream
  bool timed_;        // Mechanism::kTimedRecovery
  bool may_have_run_ = false;
  bool retry_taken_ = false;      // for the next send
  std::string_view why_no_more_;  // why MayTryAgain last said no
  bool over_ = false;
  std::set<std::string> tried_;
  EventStream events_;
  Time first_event_{};
  Duration longest_gap_{};
  WaitCause gap_wait_ = WaitCause::kNone;    // of the longest gap
  WaitCause first_wait_ = WaitCause::kNone;  // of the first event
  Time last_event_{};
  // The endpoint's own failure, for want of anything better.
  std::optional<HttpHead> failure_;
  std::string failure_body_;
  TimerId limit_timer_ = 0;
  TimerId resume_timer_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARDED_REQUEST_H_
