// The part of ForwardedRequest that handles an attempt without a usable
// response: it starts another attempt, waits until one is possible, or fails
// the request.

#include <cstdio>

#include "pinford/error_body.h"
#include "pinford/forwarding/forwarded_request.h"

namespace pinford {

// How long a request that cannot be sent waits for a check of this box's path
// to end, and how often it looks.
static constexpr milliseconds kMaxPathWait{250};
static constexpr milliseconds kPathRecheckInterval{10};
// No attempt is started with less time left.
static constexpr milliseconds kMinTimeLeft{30};
// Picks beyond the route's attempts, since a rejected attempt has not run.
// There is no such limit for a started stream.
static constexpr int kMaxExtraRefusals = 2;
// Peers that a request tries in addition to its picks, and for how long. One
// that stands still takes most of that time.
static constexpr int kMaxRelayTries = 8;
static constexpr milliseconds kMaxRelayTime{300};
// How long a request waits for a permit, and how often it looks. It takes a
// round trip to the issuer, or two and a timeout if the first does not answer.
static constexpr milliseconds kMaxPermitWait{100};
static constexpr milliseconds kPermitRecheckInterval{5};
// The Retry-After for requests that have not run, in seconds.
static constexpr std::string_view kRetryAfter = "0.2";
// The least Retry-After while rate limits are reached.
static constexpr milliseconds kMinPermitRetry{200};

// Why the last attempt ends its request.
static std::string_view FailureReason(UpstreamEnd end) {
  if (end == UpstreamEnd::kNoRelay) return "no path to its endpoints";
  // It was complete, but not the endpoint's response to this request.
  if (end == UpstreamEnd::kComplete) return "an answer that cannot be used";
  return UpstreamEndName(end);
}

void ForwardedRequest::AfterFailure(const AttemptFacts& facts,
                                    const AttemptResult& result) {
  // Another endpoint would not help if the key may have been revoked. If the
  // store responds, the configuration is confirmed within milliseconds, so a
  // started stream waits for that rather than being cut.
  if (facts.end == UpstreamEnd::kWithdrawn && !config_fresh_) {
    if (!WaitForFreshness()) Fail(kConfigMaybeStale);
    return;
  }
  if (facts.end == UpstreamEnd::kNoRelay) {
    if (!MayTryAnotherRelay()) {
      if (!WaitForChain()) Fail(FailureReason(facts.end));
      return;
    }
    // The endpoint was not tried.
    picks_--;
  }
  if (lacked_permit_) picks_--;
  const bool may_repeat = result.executed == Executed::kNo || MayRepeat();
  if (!may_repeat || !AcquireAttempt(now(), possible_runs_)) {
    if (may_repeat && no_attempt_reason_ == kNoRetryLeft && WaitForRetry())
      return;
    if (result.executed == Executed::kNo && WaitForPath()) return;
    Fail(result.executed == Executed::kNo ? no_attempt_reason_
                                          : FailureReason(facts.end));
    return;
  }
  // A chain that was full stays full for a while, so the request waits. If the
  // rejection was due to a stage that is down, the next pick leaves it out.
  const bool rejected =
      facts.reported_not_run && admitted_.exchange->streaming();
  const bool full = rejected && !(timed_recovery_ && resume_refusals_++ == 0);
  if (!full || !WaitForChain()) StartAttempt();
}

bool ForwardedRequest::MayTryAnotherRelay() {
  const bool no_peer = !relay_ || relay_->port == 0;
  if (no_peer) return false;
  if (relay_tries_++ == 0) relay_tries_began_ = sent_;
  return relay_tries_ <= kMaxRelayTries &&
         now() - relay_tries_began_ < kMaxRelayTime;
}

bool ForwardedRequest::MayRepeat() const {
  const bool stream = route_.kind == RequestKind::kStream;
  return route_.may_repeat() &&
         (!stream || context_->mechanisms.enabled(Mechanism::kResume));
}

bool ForwardedRequest::AcquireAttempt(Time t, int runs) {
  no_attempt_reason_ = "not run there";
  if (runs >= route_.max_attempts) return false;
  const bool started = admitted_.exchange->streaming();
  if (!started && picks_ >= route_.max_attempts + kMaxExtraRefusals)
    return false;
  if (admitted_.deadline - t < kMinTimeLeft) return false;
  // A suspect is refused a second endpoint.
  const Suspicion s = suspicion();
  if (s == Suspicion::kQuarantined || (s == Suspicion::kSuspect && runs > 0)) {
    no_attempt_reason_ = kCrashesEndpoints;
    return false;
  }
  // An attempt that was never sent needs no retry.
  if (!was_sent_ || retry_acquired_) return true;
  retry_acquired_ =
      context_->retries->Acquire(t, admitted_.service, retry_class());
  if (!retry_acquired_) no_attempt_reason_ = kNoRetryLeft;
  return retry_acquired_;
}

Suspicion ForwardedRequest::suspicion() {
  const CrashLedger& crashes = *context_->crashes;
  if (!crashes.has_suspects()) return Suspicion::kNone;
  return crashes.AssessAgain({FeaturesOf(*context_, &admitted_),
                              admitted_.exchange->streaming(), accusations_});
}

RetryClass ForwardedRequest::retry_class() const {
  if (admitted_.exchange->streaming()) return RetryClass::kStartedStream;
  const bool urgent = admitted_.request_class.tier == Tier::kCritical;
  return urgent ? RetryClass::kUrgent : RetryClass::kOther;
}

PermitClass ForwardedRequest::permit_class() const {
  return retry_class() == RetryClass::kOther ? PermitClass::kOrdinary
                                             : PermitClass::kPriority;
}

void ForwardedRequest::Fail(std::string_view why, bool timed_out) {
  const ForwardHeaders& names = context_->protocol.headers;
  CallerExchange& exchange = *admitted_.exchange;
  if (exchange.streaming()) {
    exchange.Abort();
    Finish(why);
    return;
  }
  if (endpoint_error_) {
    exchange.Reply(
        endpoint_error_->status, endpoint_error_->reason,
        ForwardedResponseHeaders(*endpoint_error_, context_->protocol),
        endpoint_error_body_.Take());
    Finish("failed by endpoint");
    return;
  }
  HttpHeaders headers = {{"Content-Type", std::string(kJsonType)},
                         {names.request_id, admitted_.id}};
  if (!may_have_run_) {
    // A suspect that has not run has an attempt left.
    const bool quarantined = why == kCrashesEndpoints;
    std::string retry_after(quarantined ? kQuarantineRetryAfter : kRetryAfter);
    if (why == kRateLimited) retry_after = PermitRetryAfter();
    headers.emplace_back("Retry-After", std::move(retry_after));
    exchange.Reply(503, "", headers,
                   ErrorBody(quarantined ? kQuarantinedCode : "unavailable",
                             why, Outcome::kNotRun));
  } else {
    exchange.Reply(timed_out ? 504 : 502, "", headers,
                   ErrorBody("upstream", why, Outcome::kUnknown));
  }
  Finish(why);
}

// --- waits -----------------------------------------------------------------

bool ForwardedRequest::WaitForChain() {
  wait_cause_ = WaitCause::kChain;
  return ScheduleRecheck([](ForwardedRequest* r) { r->StartAttempt(); });
}

bool ForwardedRequest::WaitForRetry() {
  wait_cause_ = WaitCause::kRetry;
  return ScheduleRecheck([](ForwardedRequest* r) {
    if (r->AcquireAttempt(r->now(), r->possible_runs_)) {
      r->StartAttempt();
    } else if (r->no_attempt_reason_ != kNoRetryLeft || !r->WaitForRetry()) {
      r->Fail(r->no_attempt_reason_);
    }
  });
}

bool ForwardedRequest::WaitForFreshness() {
  wait_cause_ = WaitCause::kFreshness;
  return ScheduleRecheck([](ForwardedRequest* r) {
    if (r->context_->config_is_fresh()) {
      r->StartAttempt();
    } else if (!r->WaitForFreshness()) {
      r->Fail(kConfigMaybeStale);
    }
  });
}

bool ForwardedRequest::WaitForPath() {
  const Time t = now();
  if (!context_->paths.in_doubt(admitted_.service)) return false;
  if (path_wait_began_ == Time{}) path_wait_began_ = t;
  if (t - path_wait_began_ >= kMaxPathWait) return false;
  wait_cause_ = WaitCause::kPath;
  RecheckAfter(kPathRecheckInterval, [](ForwardedRequest* r) {
    if (!r->WaitForPath()) r->OnPathKnown();
  });
  return true;
}

void ForwardedRequest::OnPathKnown() {
  // The picks before were of endpoints that could not be reached.
  picks_ = attempts_;
  if (AcquireAttempt(now(), possible_runs_)) {
    StartAttempt();
  } else {
    Fail(no_attempt_reason_);
  }
}

bool ForwardedRequest::WaitForPermit() {
  const Time t = now();
  const std::optional<Duration> wait =
      context_->table->PermitWait(t, admitted_.service, permit_class());
  if (!wait) return false;
  if (permit_wait_began_ == Time{}) permit_wait_began_ = t;
  if (t - permit_wait_began_ + *wait >= kMaxPermitWait) return false;
  wait_cause_ = WaitCause::kPermit;
  RecheckAfter(kPermitRecheckInterval,
               [](ForwardedRequest* r) { r->StartAttempt(); });
  return true;
}

// Spreads callers over as long a time again, because all that are refused now
// are told the same time.
std::string ForwardedRequest::PermitRetryAfter() {
  const Duration wait =
      context_->table->PermitWait(now(), admitted_.service, permit_class())
          .value_or(Duration(0));
  std::uniform_real_distribution<double> spread(1, 2);
  const double after = ToSeconds(std::max<Duration>(wait, kMinPermitRetry)) *
                       spread(*context_->random);
  char text[16];
  std::snprintf(text, sizeof(text), "%.2f", after);
  return text;
}

// A started stream waits until its caller disconnects or the time limit passes:
// the caller decides how long a pause it accepts.
bool ForwardedRequest::ScheduleRecheck(void (*recheck)(ForwardedRequest*)) {
  if (!admitted_.exchange->streaming()) return false;
  RecheckAfter(kRecheckInterval, recheck);
  return true;
}

void ForwardedRequest::RecheckAfter(Duration delay,
                                    void (*recheck)(ForwardedRequest*)) {
  recheck_timer_ =
      context_->loop->After(delay, [recheck, self = weak_from_this()] {
        auto r = self.lock();
        if (r == nullptr || r->finished_) return;
        r->recheck_timer_ = 0;
        recheck(r.get());
      });
}

}  // namespace pinford
