// ForwardedRequest's part in what becomes of a stream whose stage is down or
// slow. The choice itself is ChooseRecovery's (stage_recovery.h); here its
// facts are gathered and it is carried out.

#include <algorithm>

#include "pinford/forwarding/forwarded_request.h"
#include "util/hash.h"

namespace pinford {

// While new stages read, a stream does not count as standing still for so long:
// else it would be begun anew, and all of it read again.
static constexpr Duration kMostQuiet = milliseconds(500);
// A run that begins anew does so beside the others that lost the same runner,
// and waits so many times as long for its next event.
static constexpr int kCrowded = 3;
// How long a stream waits for a retry before it crosses between halls instead.
static constexpr Duration kWaitBeforeCrossing = milliseconds(500);

void ForwardedRequest::OnStageImpaired(const std::string& endpoint) {
  if (over_ || upstream_ == 0 || replacing_) return;
  if (!parts_->mechanisms.enabled(Mechanism::kStageReplacement)) return;
  if (target_.Uses(endpoint)) ReplaceStages(now());
}

void ForwardedRequest::ReplaceStages(Time t) {
  using Impaired = ForwardTarget::Impaired;
  decided_ = t;
  const bool down_only = timed_ && target_.HasDown();
  const std::optional<Chain> next =
      target_.Without(t, down_only ? Impaired::kDown : Impaired::kDownOrSlow);
  if (next && *next == target_.chain()) return;
  const Recovery recovery = timed_ ? Decide(t, next) : FirstChoice(next);
  switch (recovery.move) {
    case RecoveryMove::kStay:
      return;
    case RecoveryMove::kBeginAnew:
      // The entry itself is down, or nobody can stand in soon enough: the
      // request begins anew, if it may.
      if (MayRepeat() && MayTryAgain(t, runs_ + 1) &&
          RunAnew("attempt_abandoned", t)) {
        return;
      }
      if (WaitsForRetry(t, next)) return;
      break;
    case RecoveryMove::kReplace:
      break;
  }
  // Without a stand-in its silence, or its connection's end, decides.
  if (next && sent_any_) GoOnWith(t, *next, recovery.expected);
}

// A chain that crosses more holds up all that cross with it: better is to look
// for a retry again, for a while.
bool ForwardedRequest::WaitsForRetry(Time t, const std::optional<Chain>& next) {
  if (why_no_more_ != kNoRetryLeft || first_event_ == Time{}) return false;
  if (!next || target_.CrossingsOf(*next) <= target_.crossings()) return false;
  wait_ = WaitCause::kRetry;
  return t - last_event_ < kWaitBeforeCrossing;
}

Recovery ForwardedRequest::FirstChoice(const std::optional<Chain>& next) const {
  const bool replace = next && sent_any_;
  return {replace ? RecoveryMove::kReplace : RecoveryMove::kBeginAnew,
          Duration(0)};
}

Recovery ForwardedRequest::Decide(Time t,
                                  const std::optional<Chain>& next) const {
  RecoveryFacts f;
  f.down = target_.HasDown();
  f.started = first_event_ != Time{};
  f.allowed = f.started ? route_.target_gap : route_.target_latency;
  f.silent = f.started ? t - last_event_ : t - order_.exchange->started();
  f.gap_if_kept =
      FromSeconds(ToSeconds(owner_->usual_gap()) * target_.Slowdown());
  const auto version = target_.Version(t);
  if (next && sent_any_ && version) {
    const RecoveryLoad load =
        target_.LoadOf(t, *next, owner_->CapacityOf(order_.service, *version));
    f.replace_all = TimeForAll(load);
    f.more_crossings = load.more_crossings;
  }
  f.place = PlaceOf(UnitHash(order_.id), order_.request_class.tier);
  f.anew = kCrowded * owner_->usual_first();
  f.may_begin_anew = MayRepeat() && runs_ + 1 < route_.max_attempts;
  const Recovery recovery = ChooseRecovery(f);
  log_.Recovered(target_, f, recovery);
  return recovery;
}

void ForwardedRequest::GoOnWith(Time t, const Chain& chain, Duration expected) {
  replacing_ = true;
  progress_ = t;
  wait_ = WaitCause::kReroute;
  target_.Hold(t, chain);
  parts_->reroute(target_.address(), order_.id, target_.Addressed(chain),
                  [self = weak_from_this(), chain, expected,
                   attempt = upstream_](const RerouteResult& result) {
                    auto r = self.lock();
                    if (r == nullptr) return;
                    if (r->over_ || r->upstream_ != attempt) {
                      r->target_.Drop(chain);
                    } else {
                      r->OnReplaced(chain, result, expected);
                    }
                  });
}

void ForwardedRequest::OnReplaced(const Chain& chain,
                                  const RerouteResult& result,
                                  Duration expected) {
  const Time t = now();
  replacing_ = false;
  const int more = target_.CrossingsOf(chain) - target_.crossings();
  log_.StagesReplaced(
      {&target_, chain, result.status, more, events_.events(), SinceEvent(t)});
  if (result.status == RerouteStatus::kDone) {
    target_.Replace(t, chain);
    last_target_ = ChainText(chain);
    wait_ = more > 0 ? WaitCause::kCrossing : WaitCause::kReading;
    progress_ = t;
    quiet_until_ = t + std::min(expected, kMostQuiet);
    // Another stage may have failed meanwhile. If nobody can stand in for it,
    // its silence decides: a retry is dearer than a look.
    if (!target_.HasDown()) return;
    const auto next = target_.Without(t, ForwardTarget::Impaired::kDown);
    if (next) GoOnWith(t, *next, expected);
    return;
  }
  target_.Drop(chain);
  wait_ = WaitCause::kNone;
  if (result.status == RerouteStatus::kRefusedByStage) {
    TurnedAway(target_.StageAt(chain, result.at_fault));
  }
  if (!MayRepeat() || !MayTryAgain(t, runs_ + 1)) return;
  RunAnew("attempt_abandoned", t);
}

// A stream whose stage is down gets nothing by itself. Where nothing could be
// done for it, runners may have been found, loaded or regained meanwhile.
bool ForwardedRequest::DecidesAgain(Time t) {
  if (!timed_ || !parts_->mechanisms.enabled(Mechanism::kStageReplacement))
    return false;
  if (first_event_ == Time{} || t - decided_ < kResumePause) return false;
  if (!target_.pool() || !target_.HasDown()) return false;
  const UpstreamId before = upstream_;
  ReplaceStages(t);
  return replacing_ || upstream_ != before;
}

// Where no event has passed, no stage has shown a sign of life that could be
// missed: prompts went on to a runner twelve times too slow, unasked, for 9 s.
void ForwardedRequest::DoubtStages() {
  for (const std::string& endpoint : target_.SilentSince(sent_)) {
    owner_->ProbeIfDue(endpoint);
  }
}

}  // namespace pinford
