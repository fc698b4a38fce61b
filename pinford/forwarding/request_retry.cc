// What ForwardedRequest does after an attempt that gave no answer: another one
// at once, a wait until one may be made, or the end of the request.

#include "pinford/error_body.h"
#include "pinford/forwarding/forwarded_request.h"

namespace pinford {

// With less time left nothing is begun any more.
static constexpr milliseconds kLeastTime{30};
// Sends that endpoints refused, beyond the route's attempts: what was refused
// has not run there. A stream that has begun has no such bound.
static constexpr int kMostRefusals = 2;
// When a caller whose request has not run should come back.
static constexpr std::string_view kComeBack = "0.2";

// Why the last attempt is the end of its request.
static std::string_view ReasonOf(UpstreamEnd end) {
  // It came whole, and was not the endpoint's answer to this request.
  if (end == UpstreamEnd::kComplete) return "an answer that cannot be used";
  return UpstreamEndName(end);
}

void ForwardedRequest::AfterFailure(const AttemptFacts& facts,
                                    const AttemptResult& result) {
  // That its key may have been taken away does not change with another
  // endpoint. The next proof is there within milliseconds where the store
  // answers: no reason to cut a stream whose caller has a part of it.
  if (facts.end == UpstreamEnd::kWithdrawn && !proved_) {
    if (!WaitForProof()) GiveUp(kUnproved);
    return;
  }
  const bool may_repeat = result.ran == Ran::kNo || MayRepeat();
  if (!may_repeat || !MayTryAgain(now(), runs_)) {
    if (may_repeat && why_no_more_ == kNoRetryLeft && WaitForRetry()) return;
    GiveUp(result.ran == Ran::kNo ? why_no_more_ : ReasonOf(facts.end));
    return;
  }
  // A chain that was full is full for a while. One whose stage is down is not:
  // that stage is left out of the next pick.
  const bool refused = facts.says_not_run && order_.exchange->streaming();
  const bool full = refused && !(timed_ && refusals_++ == 0);
  if (!full || !WaitToResume()) Attempt();
}

bool ForwardedRequest::MayRepeat() const {
  const bool stream = route_.kind == RequestKind::kStream;
  return route_.may_repeat() &&
         (!stream || parts_->mechanisms.enabled(Mechanism::kResume));
}

bool ForwardedRequest::MayTryAgain(Time t, int runs) {
  why_no_more_ = "not run there";
  if (runs >= route_.max_attempts) return false;
  const bool begun = order_.exchange->streaming();
  if (!begun && tries_ >= route_.max_attempts + kMostRefusals) return false;
  if (order_.limit - t < kLeastTime) return false;
  // What never arrived anywhere is no retry to anybody.
  if (!sent_any_ || retry_taken_) return true;
  retry_taken_ = parts_->retries->Take(t, order_.service, Need());
  if (!retry_taken_) why_no_more_ = kNoRetryLeft;
  return retry_taken_;
}

RetryClass ForwardedRequest::Need() const {
  if (order_.exchange->streaming()) return RetryClass::kBegunStream;
  const bool urgent = order_.request_class.tier == Tier::kCritical;
  return urgent ? RetryClass::kUrgent : RetryClass::kOther;
}

void ForwardedRequest::GiveUp(std::string_view why, bool late) {
  const ForwardHeaders& names = parts_->protocol.headers;
  CallerExchange& exchange = *order_.exchange;
  if (exchange.streaming()) {
    exchange.Abort();
    Finish(why);
    return;
  }
  if (failure_) {
    exchange.Reply(failure_->status, failure_->reason,
                   ForwardedResponseHeaders(*failure_, parts_->protocol),
                   failure_body_);
    Finish("failed by endpoint");
    return;
  }
  HttpHeaders headers = {{"Content-Type", std::string(kJsonType)},
                         {names.request_id, order_.id}};
  if (!may_have_run_) {
    headers.emplace_back("Retry-After", kComeBack);
    exchange.Reply(503, "", headers,
                   ErrorBody("unavailable", why, Outcome::kNotRun));
  } else {
    exchange.Reply(late ? 504 : 502, "", headers,
                   ErrorBody("upstream", why, Outcome::kUnknown));
  }
  Finish(why);
}

// --- waits -----------------------------------------------------------------

bool ForwardedRequest::WaitToResume() {
  wait_ = WaitCause::kChain;
  return LookAgain([](ForwardedRequest* r) { r->Attempt(); });
}

bool ForwardedRequest::WaitForRetry() {
  wait_ = WaitCause::kRetry;
  return LookAgain([](ForwardedRequest* r) {
    if (r->MayTryAgain(r->now(), r->runs_)) {
      r->Attempt();
    } else if (r->why_no_more_ != kNoRetryLeft || !r->WaitForRetry()) {
      r->GiveUp(r->why_no_more_);
    }
  });
}

bool ForwardedRequest::WaitForProof() {
  wait_ = WaitCause::kProof;
  return LookAgain([](ForwardedRequest* r) {
    if (r->parts_->proof_holds()) {
      r->Attempt();
    } else if (!r->WaitForProof()) {
      r->GiveUp(kUnproved);
    }
  });
}

// Until its caller leaves or the time limit passes: how long a caller bears a
// pause is for the caller to say.
bool ForwardedRequest::LookAgain(void (*look)(ForwardedRequest*)) {
  if (!order_.exchange->streaming()) return false;
  resume_timer_ =
      parts_->loop->After(kResumePause, [look, self = weak_from_this()] {
        auto r = self.lock();
        if (r == nullptr || r->over_) return;
        r->resume_timer_ = 0;
        look(r.get());
      });
  return true;
}

}  // namespace pinford
