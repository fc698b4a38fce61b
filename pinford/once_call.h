// Runs a plain service call: with retries if it is repeatable, and with at most
// one send if it is not.
//
// A non-repeatable call is never sent again after a byte of it may have left
// the box. With an Idempotency-Key the same call may also arrive at another
// box. Which attempt sends it is then decided by creating a claim for the key
// in the platform's key-value service:
//
//   - Only the attempt that the claim names ever sends the call, and only once.
//     A box that is paused and resumes much later needs no fencing: no other
//     box has sent the call or will.
//   - If the reply to a claim's write is lost, the claim is read back and
//     recognized by its attempt id.
//   - An attempt that fails before sending first makes sure that its claim can
//     never take effect: it creates the key as abandoned, or marks its own
//     claim as abandoned. Either write wins against a delayed write of the
//     claim, because each names the revision that it replaces. An abandoned key
//     can be claimed again.
//   - An attempt that finds the claim of another does not send. It returns the
//     recorded result, or kUnknown if there is none yet.
//
// kNotRun is reported only if this attempt sent nothing, or everything it sent
// was refused before it started, and it will send nothing more.

#ifndef PINFORD_ONCE_CALL_H_
#define PINFORD_ONCE_CALL_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "pinford/claim.h"
#include "pinford/endpoint_table.h"
#include "pinford/retry_budget.h"
#include "pinford/service_client.h"
#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

enum class CallError {
  kNone,
  kNoEndpoints,  // no endpoint accepts the call
  kNoStore,      // the key-value service does not answer: not claimed
  kRetries,      // tries or retry budget used up
  kLost,         // sent, but no answer arrived
  kInProgress,   // another attempt holds the claim and has no result yet
};

std::string_view CallErrorText(CallError e);

struct CallEnd {
  Outcome outcome = Outcome::kUnknown;
  CallError error = CallError::kNone;
  bool repeated = false;  // the recorded result of an earlier attempt
  CallResult result;      // set for kComplete, and for kFailed if answered
};

struct CallOptions {
  Duration claim_timeout = seconds(2);  // to acquire the claim
  Duration claim_retry_interval = milliseconds(50);
  Duration cleanup_timeout = seconds(60);  // to abandon or complete the claim
  int max_tries = 4;
};

struct CallEvents {
  std::function<void(const CallEnd&)> on_end;
  std::function<void(const std::string& endpoint)> on_leaving;  // may be empty
};

template <Store S, ServiceClient Client, Clock Clk>
class OnceCall : public std::enable_shared_from_this<OnceCall<S, Client, Clk>> {
 public:
  using Ptr = std::shared_ptr<OnceCall>;

  // `attempt` must be unique to this call. The object lives until its work is
  // done, which may be after on_end: claims are cleaned up in the background.
  static Ptr Start(S* store, Client* client, Clk* clock, EndpointTable* table,
                   RetryBudget* budget, const CallOptions& options,
                   ServiceCall call, bool repeatable, std::string attempt,
                   CallEvents events) {
    Ptr p(new OnceCall(store, client, clock, table, budget, options,
                       std::move(call), repeatable, std::move(attempt),
                       std::move(events)));
    p->Begin();
    return p;
  }

  // Called when the caller has disconnected. A call that was not sent yet is
  // not sent; a non-repeatable call in flight continues, so that its result can
  // be recorded. on_end is still called.
  void Abandon() {
    caller_disconnected_ = true;
    if (call_id_ == 0 || !repeatable_) return;
    client_->CancelCall(std::exchange(call_id_, 0));
    table_->OnDone(endpoint_);
    End(Outcome::kUnknown, CallError::kNone);
  }

 private:
  enum class Cleanup { kAbandon, kRecord };

  OnceCall(S* store, Client* client, Clk* clock, EndpointTable* table,
           RetryBudget* budget, const CallOptions& options, ServiceCall call,
           bool repeatable, std::string attempt, CallEvents events)
      : store_(store),
        client_(client),
        clock_(clock),
        table_(table),
        budget_(budget),
        options_(options),
        call_(std::move(call)),
        repeatable_(repeatable),
        attempt_(std::move(attempt)),
        events_(std::move(events)),
        key_(ClaimKey(call_.customer, call_.service, call_.key)) {}

  auto Self() { return this->shared_from_this(); }

  void Begin() {
    claim_deadline_ = clock_->now() + options_.claim_timeout;
    if (repeatable_ || call_.key.empty()) {
      After(Duration(0), [this] { Send(); });
    } else {
      CreateClaim(StoreRevision());
    }
  }

  void After(Duration d, std::function<void()> fn) {
    clock_->After(d, [self = Self(), fn = std::move(fn)] { fn(); });
  }

  // --- claiming ------------------------------------------------------------

  Claim MakeClaim(ClaimState state) const {
    Claim claim;
    claim.attempt = attempt_;
    claim.state = state;
    return claim;
  }

  void CreateClaim(StoreRevision revision) {
    replaced_revision_ = revision;
    store_->CompareAndSwap(
        key_, revision, WriteClaim(MakeClaim(ClaimState::kClaimed)),
        [self = Self()](const StoreResult& r) { self->OnClaimWritten(r); });
  }

  void OnClaimWritten(const StoreResult& r) {
    switch (r.status) {
      case StoreStatus::kOk:
        OnClaimed(r.now.revision);
        return;
      case StoreStatus::kNotSent:
        OnStoreUnreachable();
        return;
      default:
        claim_may_exist_ = true;
        ReadClaim();
    }
  }

  void ReadClaim() {
    store_->Get(
        key_, [self = Self()](const StoreResult& r) { self->OnClaimRead(r); });
  }

  void OnClaimRead(const StoreResult& r) {
    if (r.status == StoreStatus::kMissing) {
      // The write of the claim may still take effect. Repeating it is safe: at
      // most one of the two can succeed.
      if (clock_->now() >= claim_deadline_) {
        FailUnsent(CallError::kNoStore);
      } else {
        CreateClaim(StoreRevision());
      }
      return;
    }
    if (r.status != StoreStatus::kOk) {
      RetryClaim();
      return;
    }
    const std::optional<Claim> claim = ParseClaim(r.now.value);
    if (!claim) {
      // Unknown format: nothing can be assumed about the call.
      End(Outcome::kUnknown, CallError::kInProgress);
      return;
    }
    if (claim->attempt == attempt_) {
      OnClaimed(r.now.revision);
    } else if (claim->state == ClaimState::kAbandoned) {
      ReplaceAbandonedClaim(r.now.revision);
    } else {
      OnOtherAttemptsClaim(*claim);
    }
  }

  void ReplaceAbandonedClaim(StoreRevision revision) {
    if (clock_->now() >= claim_deadline_) {
      FailUnsent(CallError::kNoStore);
    } else {
      CreateClaim(revision);
    }
  }

  void OnOtherAttemptsClaim(const Claim& claim) {
    if (claim.state != ClaimState::kDone) {
      End(Outcome::kUnknown, CallError::kInProgress);
      return;
    }
    CallEnd end;
    end.outcome = claim.outcome;
    end.repeated = true;
    end.result.status = CallStatus::kAnswered;
    end.result.http_status = claim.status;
    end.result.type = claim.type;
    end.result.body = claim.body;
    Finish(end);
  }

  // The store cannot be reached. One retry covers a broken connection; an
  // outage is reported to the caller at once.
  void OnStoreUnreachable() {
    if (std::exchange(store_was_unreachable_, true)) {
      FailUnsent(CallError::kNoStore);
    } else {
      RetryClaim();
    }
  }

  void RetryClaim() {
    if (clock_->now() >= claim_deadline_ || caller_disconnected_) {
      FailUnsent(CallError::kNoStore);
      return;
    }
    After(options_.claim_retry_interval, [this] {
      if (claim_may_exist_) {
        ReadClaim();
      } else {
        CreateClaim(replaced_revision_);
      }
    });
  }

  void OnClaimed(StoreRevision revision) {
    claimed_ = true;
    claim_revision_ = revision;
    // The box may have been paused while the claim was written. After the
    // deadline no caller waits for the call any more, so it is not sent.
    if (caller_disconnected_ || clock_->now() >= claim_deadline_) {
      FailUnsent(CallError::kNoStore);
      return;
    }
    Send();
  }

  // --- sending -------------------------------------------------------------

  void Send() {
    if (caller_disconnected_) {
      FailUnsent(CallError::kNone);
      return;
    }
    std::optional<std::string> endpoint =
        table_->PickService(clock_->now(), call_.service, tried_endpoints_);
    if (!endpoint) {
      FailUnsent(CallError::kNoEndpoints);
      return;
    }
    endpoint_ = *endpoint;
    tried_endpoints_.insert(endpoint_);
    tries_++;
    table_->OnSent(endpoint_);
    sent_at_ = clock_->now();
    call_id_ = client_->SendCall(
        endpoint_, call_, !repeatable_,
        [self = Self()](CallResult r) { self->OnResult(std::move(r)); });
  }

  void OnResult(CallResult r) {
    call_id_ = 0;
    table_->OnDone(endpoint_);
    if (r.backoff)
      table_->OnBackoffRequested(clock_->now(), endpoint_, *r.backoff);
    switch (r.status) {
      case CallStatus::kAnswered:
        table_->OnSuccess(endpoint_, 1, clock_->now() - sent_at_);
        budget_->OnSuccess();
        OnAnswer(std::move(r));
        return;
      case CallStatus::kRefusedLeaving:
        if (table_->OnLeaving(endpoint_) && events_.on_leaving) {
          events_.on_leaving(endpoint_);
        }
        RetryElsewhere();
        return;
      case CallStatus::kRefusedBusy:
        RetryElsewhere();
        return;
      case CallStatus::kNotSent:
        table_->OnFailure(clock_->now(), endpoint_, sent_at_);
        RetryElsewhere();
        return;
      case CallStatus::kLost:
        table_->OnFailure(clock_->now(), endpoint_, sent_at_);
        OnLost();
        return;
    }
  }

  void RetryElsewhere() {
    if (tries_ >= options_.max_tries || !budget_->Take(clock_->now())) {
      FailUnsent(CallError::kRetries);
    } else {
      Send();
    }
  }

  void OnLost() {
    may_have_run_ = true;
    if (repeatable_ && !caller_disconnected_) {
      RetryElsewhere();
      return;
    }
    // The claim, if there is one, stays claimed and without a result.
    End(Outcome::kUnknown, CallError::kLost);
  }

  void OnAnswer(CallResult r) {
    CallEnd end;
    const bool succeeded = r.http_status < 500;
    end.outcome = succeeded ? Outcome::kComplete : Outcome::kFailed;
    end.result = std::move(r);
    if (claimed_) {
      final_claim_.attempt = attempt_;
      final_claim_.state = ClaimState::kDone;
      final_claim_.outcome = end.outcome;
      final_claim_.status = end.result.http_status;
      final_claim_.type = end.result.type;
      final_claim_.body = end.result.body;
      StartCleanup(Cleanup::kRecord);
    }
    Finish(end);
  }

  // --- ending --------------------------------------------------------------

  // Ends the call without another send. An earlier send of a repeatable call
  // may have run; otherwise nothing ran.
  void FailUnsent(CallError error) {
    if (!repeatable_ && !call_.key.empty()) StartCleanup(Cleanup::kAbandon);
    End(may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun, error);
  }

  void End(Outcome outcome, CallError error) {
    CallEnd end;
    end.outcome = outcome;
    end.error = error;
    Finish(end);
  }

  void Finish(const CallEnd& end) {
    auto fn = std::move(events_.on_end);
    DropEvents();
    if (fn) fn(end);
  }

  void DropEvents() { events_ = CallEvents(); }

  // --- claim cleanup -------------------------------------------------------

  void StartCleanup(Cleanup kind) {
    if (kind == Cleanup::kAbandon && !claimed_ && !claim_may_exist_) return;
    final_claim_.attempt = attempt_;
    if (kind == Cleanup::kAbandon) final_claim_.state = ClaimState::kAbandoned;
    cleanup_deadline_ = clock_->now() + options_.cleanup_timeout;
    // If no claim is known, replacing the same revision as the claim blocks a
    // delayed write of the claim.
    WriteFinalClaim(claimed_ ? claim_revision_ : replaced_revision_);
  }

  void WriteFinalClaim(StoreRevision revision) {
    store_->CompareAndSwap(key_, revision, WriteClaim(final_claim_),
                           [self = Self()](const StoreResult& r) {
                             self->OnFinalClaimWritten(r);
                           });
  }

  void OnFinalClaimWritten(const StoreResult& r) {
    if (r.status == StoreStatus::kOk) return;
    if (r.status == StoreStatus::kConflict) {
      RereadClaim();
    } else {
      RetryCleanup();
    }
  }

  void RetryCleanup() {
    if (clock_->now() >= cleanup_deadline_) return;
    After(options_.claim_retry_interval * 10, [this] { RereadClaim(); });
  }

  void RereadClaim() {
    store_->Get(key_, [self = Self()](const StoreResult& r) {
      self->OnClaimReread(r);
    });
  }

  void OnClaimReread(const StoreResult& r) {
    if (r.status == StoreStatus::kMissing) {
      WriteFinalClaim(StoreRevision());
      return;
    }
    if (r.status != StoreStatus::kOk) {
      RetryCleanup();
      return;
    }
    const std::optional<Claim> claim = ParseClaim(r.now.value);
    const bool is_own_claim = claim && claim->attempt == attempt_ &&
                              claim->state == ClaimState::kClaimed;
    const bool own_claim_pending =
        !claimed_ && r.now.revision == replaced_revision_;
    if (is_own_claim || own_claim_pending) WriteFinalClaim(r.now.revision);
  }

  S* store_;
  Client* client_;
  Clk* clock_;
  EndpointTable* table_;
  RetryBudget* budget_;
  CallOptions options_;
  ServiceCall call_;
  bool repeatable_;
  std::string attempt_;
  CallEvents events_;
  std::string key_;

  Time claim_deadline_{};
  bool claim_may_exist_ = false;     // our claim is or may yet be written
  StoreRevision replaced_revision_;  // the revision that our claim replaces
  bool claimed_ = false;
  StoreRevision claim_revision_;
  bool store_was_unreachable_ = false;
  std::set<std::string> tried_endpoints_;
  std::string endpoint_;
  int tries_ = 0;
  uint64_t call_id_ = 0;
  Time sent_at_{};
  bool may_have_run_ = false;
  bool caller_disconnected_ = false;
  Claim final_claim_;
  Time cleanup_deadline_{};
};

}  // namespace pinford

#endif  // PINFORD_ONCE_CALL_H_
