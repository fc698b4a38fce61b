// The part of ForwardedRequest that recovers a stream whose stage is down or
// slow: it collects the facts for ChooseRecovery() (stage_recovery.h) and
// carries out the recovery chosen.

#include <algorithm>

#include "pinford/forwarding/forwarded_request.h"
#include "util/hash.h"

namespace pinford {

// A stream does not count as stalled for at most this long while new stages
// prefill. Otherwise it would restart and all its tokens be prefilled again.
static constexpr Duration kMaxStallGrace = milliseconds(500);
// A restarted stream competes with all others that lost the same runner, and
// waits this many times longer for its next event.
static constexpr int kContentionFactor = 3;
// How long a stream waits for a retry before it uses a chain with more
// cross-hall transfers.
static constexpr Duration kMaxWaitForRetry = milliseconds(500);

void ForwardedRequest::OnStageImpaired(const std::string& endpoint) {
  if (finished_ || upstream_id_ == 0) return;
  // The end of the attempt records its first stage.
  const bool later_stage =
      target_.Uses(endpoint) && endpoint != target_.endpoint();
  if (later_stage && was_sent_ && owner_->watch()->IsDown(endpoint))
    RecordLaterStageCrash(endpoint);
  if (replacing_) return;
  if (!context_->mechanisms.enabled(Mechanism::kStageReplacement)) return;
  if (target_.Uses(endpoint)) ReplaceStages(now());
}

void ForwardedRequest::RecordLaterStageCrash(const std::string& endpoint) {
  if (!context_->mechanisms.enabled(Mechanism::kCrashQuarantine)) return;
  const RunFindings findings =
      FindingsOf(FactsOfRun(RunEnd::kBroken), context_->crashes->options());
  RecordCrash(findings, endpoint, context_->table->IncarnationOf(endpoint),
              true);
}

void ForwardedRequest::ReplaceStages(Time t) {
  using Impaired = ForwardTarget::Impaired;
  recovery_decided_at_ = t;
  const bool down_only = timed_recovery_ && target_.HasDownStage();
  const std::optional<Chain> next = target_.ChainWithoutImpaired(
      t, down_only ? Impaired::kDown : Impaired::kDownOrSlow);
  if (next && *next == target_.chain()) return;
  const Recovery recovery =
      timed_recovery_ ? DecideRecovery(t, next) : DefaultRecovery(next);
  switch (recovery.action) {
    case RecoveryAction::kStay:
      return;
    case RecoveryAction::kRestart:
      // The first stage is down, or no replacement is ready soon enough: the
      // request restarts, if that is allowed.
      if (MayRepeat() && AcquireAttempt(t, possible_runs_ + 1) &&
          RestartElsewhere("attempt_abandoned", t)) {
        return;
      }
      if (ShouldAwaitRetry(t, next)) return;
      break;
    case RecoveryAction::kReplace:
      break;
  }
  // Without a replacement, the stall check or the end of the connection
  // decides.
  if (next && was_sent_) RequestReroute(t, *next, recovery.expected);
}

// A chain with more cross-hall transfers delays all streams that share the
// links, so the stream first waits for a retry for a while.
bool ForwardedRequest::ShouldAwaitRetry(Time t,
                                        const std::optional<Chain>& next) {
  if (no_attempt_reason_ != kNoRetryLeft || first_event_ == Time{})
    return false;
  if (!next || target_.HallTransfers(*next) <= target_.hall_transfers())
    return false;
  wait_cause_ = WaitCause::kRetry;
  return t - last_event_ < kMaxWaitForRetry;
}

Recovery ForwardedRequest::DefaultRecovery(
    const std::optional<Chain>& next) const {
  const bool replace = next && was_sent_;
  return {replace ? RecoveryAction::kReplace : RecoveryAction::kRestart,
          Duration(0)};
}

Recovery ForwardedRequest::DecideRecovery(
    Time t, const std::optional<Chain>& next) const {
  RecoveryFacts f;
  f.down = target_.HasDownStage();
  f.started = first_event_ != Time{};
  f.allowed = f.started ? route_.target_gap : route_.target_latency;
  f.idle = f.started ? t - last_event_ : t - admitted_.exchange->started();
  f.gap_if_unchanged =
      FromSeconds(ToSeconds(owner_->mean_gap()) * target_.Slowdown());
  const auto version = target_.Version(t);
  if (next && was_sent_ && version) {
    const RecoveryLoad load = target_.RecoveryLoadFor(
        t, *next, owner_->CapacityOf(admitted_.service, *version));
    f.replace_all = TimeToRecoverAll(load);
    f.extra_transfers = load.extra_transfers;
  }
  f.queue_position =
      QueuePosition(UnitHash(admitted_.id), admitted_.request_class.tier);
  f.restart_time = kContentionFactor * owner_->mean_first_event();
  f.may_restart = MayRepeat() && possible_runs_ + 1 < route_.max_attempts;
  const Recovery recovery = ChooseRecovery(f);
  log_.RecoveryChosen(target_, f, recovery);
  return recovery;
}

void ForwardedRequest::RequestReroute(Time t, const Chain& chain,
                                      Duration expected) {
  replacing_ = true;
  last_progress_ = t;
  wait_cause_ = WaitCause::kReroute;
  target_.ReserveChain(t, chain);
  requested_chain_ = chain;
  context_->reroute({target_.endpoint(), target_.address()}, admitted_.id,
                    target_.WithAddresses(chain),
                    [self = weak_from_this(), chain, expected,
                     attempt = upstream_id_](const RerouteResult& result) {
                      auto r = self.lock();
                      // Release() has released the chain otherwise.
                      const bool current = r != nullptr && !r->finished_ &&
                                           r->upstream_id_ == attempt;
                      if (current) r->OnRerouted(chain, result, expected);
                    });
}

void ForwardedRequest::ReleaseRequestedChain() {
  if (!requested_chain_) return;
  target_.ReleaseChain(*requested_chain_);
  requested_chain_.reset();
}

void ForwardedRequest::OnRerouted(const Chain& chain,
                                  const RerouteResult& result,
                                  Duration expected) {
  const Time t = now();
  replacing_ = false;
  const int extra_transfers =
      target_.HallTransfers(chain) - target_.hall_transfers();
  log_.StagesReplaced({&target_, chain, result.status, extra_transfers,
                       events_.events(), SinceEvent(t)});
  if (result.status == RerouteStatus::kDone) {
    requested_chain_.reset();
    target_.SwitchTo(t, chain);
    last_target_ = ChainText(chain);
    wait_cause_ =
        extra_transfers > 0 ? WaitCause::kHallTransfer : WaitCause::kPrefill;
    last_progress_ = t;
    stall_check_after_ = t + std::min(expected, kMaxStallGrace);
    // Another stage may have failed in the meantime. If it has no replacement,
    // the stall check decides: a retry costs more than checking again.
    if (!target_.HasDownStage()) return;
    const auto next =
        target_.ChainWithoutImpaired(t, ForwardTarget::Impaired::kDown);
    if (next) RequestReroute(t, *next, expected);
    return;
  }
  ReleaseRequestedChain();
  wait_cause_ = WaitCause::kNone;
  if (result.status == RerouteStatus::kRefusedByStage) {
    OnRejected(target_.StageAt(chain, result.at_fault));
  }
  if (!MayRepeat() || !AcquireAttempt(t, possible_runs_ + 1)) return;
  RestartElsewhere("attempt_abandoned", t);
}

// A stream whose stage is down makes no progress by itself. If it could not be
// recovered before, runners may have joined, loaded layers or come back since.
bool ForwardedRequest::ReevaluateRecovery(Time t) {
  if (!timed_recovery_ ||
      !context_->mechanisms.enabled(Mechanism::kStageReplacement))
    return false;
  if (first_event_ == Time{} || t - recovery_decided_at_ < kRecheckInterval)
    return false;
  if (!target_.pool() || !target_.HasDownStage()) return false;
  const UpstreamId before = upstream_id_;
  ReplaceStages(t);
  return replacing_ || upstream_id_ != before;
}

// Before the first event, the endpoint watch has no progress of these stages
// that could stop. Without these probes, prompts went to a runner twelve times
// too slow for 9 s.
void ForwardedRequest::ProbeIdleStages() {
  for (const std::string& endpoint : target_.StagesIdleSince(sent_)) {
    owner_->ProbeIfDue(endpoint);
  }
}

}  // namespace pinford
