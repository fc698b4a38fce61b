// Drives one completion from the prompt's text to the last token.
//
// The driver connects a ChainRun, which decides what to send next, to an
// EndpointTable, which decides where, through a StepClient and a Clock. When a
// stage is lost, it fills the gap with endpoints that accept new work and
// resumes after the last token: the caller sees a pause but never a repeated
// token.
//
// A stage is considered lost as soon as its connection breaks or it refuses a
// step, and otherwise when the endpoint's deadline expires. Later replies from
// it are dropped, and its session is never used again.
//
// kNotRun is reported only if every step so far was refused or never left the
// box; tokenizing runs no layer. After that, a failure is reported as kFailed.
//
// All methods run on the event loop's thread. Callbacks are never invoked from
// within Start().

#ifndef PINFORD_COMPLETION_DRIVER_H_
#define PINFORD_COMPLETION_DRIVER_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "pinford/chain_run.h"
#include "pinford/endpoint_table.h"
#include "pinford/outcome.h"
#include "pinford/retry_budget.h"
#include "pinford/step_client.h"
#include "util/clock.h"

namespace pinford {

struct CompletionSpec {
  std::string request;  // request id
  std::string model;
  std::string version;  // fixed for the whole completion
  std::string prompt;
  int max_tokens = 16;
  int priority = 0;
  Time deadline{};  // for the first token
  EndpointTable::HallWeight hall_weight = [](const std::string&) {
    return 1.0;
  };
};

// Why a completion did not succeed.
enum class CompletionError {
  kNone,
  kNoEndpoints,  // no chain could be assembled in time
  kBusy,         // every chain refused as busy until the deadline
  kRejected,     // the engine rejected the request as invalid
  kRetries,      // too many lost stages, or no retry budget left
};

std::string_view CompletionErrorText(CompletionError e);

struct CompletionEnd {
  Outcome outcome = Outcome::kComplete;
  CompletionError error = CompletionError::kNone;
  std::string detail;
  int prompt_tokens = 0;
  int answer_tokens = 0;
  bool reached_limit = false;  // stopped by max_tokens, not by the model
};

// A stage that was lost and replaced.
struct Repair {
  std::string endpoint;  // the lost endpoint
  StepStatus cause = StepStatus::kLost;
  Duration interruption{};  // from the last valid reply to the next token
};

struct CompletionEvents {
  std::function<void(std::string_view text)> on_token;
  std::function<void(const CompletionEnd&)> on_end;
  std::function<void(const Repair&)> on_repair;        // may be empty
  std::function<void(const std::string&)> on_leaving;  // may be empty
};

struct CompletionOptions {
  int max_repairs = 32;
  // How long a completion waits for endpoints to fill a gap once it has tokens.
  Duration gap_wait = seconds(20);
  Duration retry_pause = milliseconds(10);
  Duration max_retry_pause = milliseconds(160);
  ChainRun::Options run;
};

template <StepClient Engine, Clock Clk>
class CompletionDriver {
 public:
  CompletionDriver(Engine* engine, Clk* clock, EndpointTable* table,
                   RetryBudget* budget, const CompletionOptions& options,
                   CompletionSpec spec, CompletionEvents events)
      : engine_(engine),
        clock_(clock),
        table_(table),
        budget_(budget),
        options_(options),
        spec_(std::move(spec)),
        events_(std::move(events)) {
    options_.run.priority = spec_.priority;
    retry_pause_ = options_.retry_pause;
  }

  ~CompletionDriver() { Cancel(); }
  CompletionDriver(const CompletionDriver&) = delete;
  CompletionDriver& operator=(const CompletionDriver&) = delete;

  void Start() {
    last_reply_ = clock_->now();
    Schedule(Duration(0), [this] { Tokenize(); });
  }

  // Cancels the call in flight and ends the sessions. No event follows.
  void Cancel() {
    StopWaiting();
    if (ended_) return;
    ended_ = true;
    EndSessions();
  }

 private:
  bool running() const { return run_.has_value(); }

  // --- tokenizing ----------------------------------------------------------

  void Tokenize() {
    const int layers = table_->LayersOf(spec_.model, spec_.version);
    std::optional<Chain> chain;
    if (layers > 0) chain = Pick({0, layers});
    if (!chain) {
      WaitForEndpoints(CompletionError::kNoEndpoints, [this] { Tokenize(); });
      return;
    }
    first_chain_ = std::move(*chain);
    layers_ = layers;
    const std::string endpoint = first_chain_.front().endpoint;
    sent_at_ = clock_->now();
    call_ = engine_->SendTokenize(endpoint, spec_.prompt,
                                  [this, endpoint](TokenizeResult result) {
                                    call_ = 0;
                                    OnTokens(endpoint, std::move(result));
                                  });
    constexpr double kTokenizeWork = 1;
    ArmDeadline(endpoint, kTokenizeWork,
                [this, endpoint] { OnTokens(endpoint, TokenizeResult()); });
  }

  void OnTokens(const std::string& endpoint, TokenizeResult result) {
    StopWaiting();
    if (result.status == StepStatus::kRejected ||
        (result.status == StepStatus::kOk && result.tokens.empty())) {
      End(Outcome::kNotRun, CompletionError::kRejected,
          result.error.empty() ? "the prompt is empty" : result.error);
      return;
    }
    if (result.status != StepStatus::kOk) {
      RecordFailure(endpoint, result);
      Retry([this] { Tokenize(); });
      return;
    }
    run_.emplace(spec_.request, layers_, std::move(result.tokens),
                 options_.run);
    run_->Fill({0, layers_}, first_chain_);
    RecordSent(first_chain_);
    Advance();
  }

  // --- steps ---------------------------------------------------------------

  // Fills any gaps and sends the next step.
  void Advance() {
    if (!FillGaps()) {
      WaitForEndpoints(CompletionError::kNoEndpoints, [this] { Advance(); });
      return;
    }
    waiting_since_.reset();
    StepRequest step = run_->NextStep();
    step.model = spec_.model;
    step.version = spec_.version;
    const std::string endpoint = run_->step_endpoint();
    const double work =
        static_cast<double>(step.inputs()) * std::max(step.id.range.size(), 1);
    sent_at_ = clock_->now();
    call_ = engine_->SendStep(endpoint, step,
                              [this, endpoint, work](StepResult result) {
                                call_ = 0;
                                OnStep(endpoint, work, std::move(result));
                              });
    ArmDeadline(endpoint, work, [this, endpoint, work] {
      OnStep(endpoint, work, StepResult());
    });
  }

  bool FillGaps() {
    for (const LayerRange& gap : run_->Gaps()) {
      std::optional<Chain> part = Pick(gap);
      if (!part) return false;
      run_->Fill(gap, *part);
      RecordSent(*part);
    }
    return true;
  }

  void OnStep(const std::string& endpoint, double work, StepResult result) {
    if (result.status == StepStatus::kOk) {
      const ReplyVerdict verdict = run_->OnReply(std::move(result.reply));
      if (verdict == ReplyVerdict::kStep || verdict == ReplyVerdict::kToken) {
        StopWaiting();
        may_have_run_ = true;
        last_reply_ = clock_->now();
        retry_pause_ = options_.retry_pause;
        table_->OnSuccess(endpoint, work, clock_->now() - sent_at_);
        budget_->OnSuccess();
        if (verdict == ReplyVerdict::kToken) {
          OnToken();
        } else {
          Advance();
        }
        return;
      }
      // A reply to another step, or an incomplete one, cannot be trusted, so
      // the outcome of this step is unknown.
      result.status = StepStatus::kLost;
    }
    StopWaiting();
    if (result.status == StepStatus::kRejected) {
      End(may_have_run_ ? Outcome::kFailed : Outcome::kNotRun,
          CompletionError::kRejected, result.error);
      return;
    }
    LoseStage(endpoint, result);
  }

  void LoseStage(const std::string& endpoint, const StepResult& result) {
    if (result.status == StepStatus::kLost) may_have_run_ = true;
    RecordFailure(endpoint, result);
    Release(run_->RemoveCurrentStage());
    if (!repair_) {
      repair_ = Repair{endpoint, result.status, Duration(0)};
      interrupted_since_ = last_reply_;
    }
    Retry([this] { Advance(); });
  }

  void RecordSent(const Chain& part) {
    for (const Stage& stage : part) {
      table_->OnSent(stage.endpoint, stage.range.size());
    }
  }

  void Release(const ChainRun::OwnedStage& stage) {
    engine_->EndSession(stage.endpoint, spec_.request, stage.session);
    table_->OnDone(stage.endpoint, stage.range.size());
  }

  void OnToken() {
    const Time now = clock_->now();
    if (repair_) {
      repair_->interruption = now - interrupted_since_;
      if (events_.on_repair) events_.on_repair(*repair_);
      repair_.reset();
    }
    answer_tokens_++;
    const bool at_limit = answer_tokens_ >= spec_.max_tokens;
    const bool last = run_->ended() || at_limit;
    if (!run_->ended() || !run_->last_text().empty()) {
      events_.on_token(run_->last_text());
      if (ended_) return;
    }
    if (!last) {
      Advance();
      return;
    }
    reached_limit_ = !run_->ended();
    End(Outcome::kComplete, CompletionError::kNone, "");
  }

  // --- failures ------------------------------------------------------------

  // `result` is that of a step or of a tokenize call.
  template <typename Result>
  void RecordFailure(const std::string& endpoint, const Result& result) {
    const Time now = clock_->now();
    last_failure_ = result.status;
    if (result.backoff)
      table_->OnBackoffRequested(now, endpoint, *result.backoff);
    switch (result.status) {
      case StepStatus::kRefusedLeaving:
        if (table_->OnLeaving(endpoint) && events_.on_leaving) {
          events_.on_leaving(endpoint);
        }
        return;
      case StepStatus::kRefusedRange:
        table_->InvalidateReport(endpoint);
        return;
      case StepStatus::kLost:
      case StepStatus::kNotSent:
        table_->OnFailure(now, endpoint, sent_at_);
        return;
      default:
        return;
    }
  }

  // Retries: at once after a loss, after a pause while endpoints are busy.
  // Fails when the deadline has passed, or the repairs or the retry budget are
  // used up.
  void Retry(std::function<void()> retry) {
    const bool busy = last_failure_ == StepStatus::kRefusedBusy;
    if (clock_->now() >= RetryDeadline()) {
      Fail(busy ? CompletionError::kBusy : CompletionError::kNoEndpoints);
      return;
    }
    // Busy refusals are paced by the pause, and the same endpoint cannot refuse
    // again for the other two reasons, so these retries spend no budget.
    const bool free_retry = busy ||
                            last_failure_ == StepStatus::kRefusedLeaving ||
                            last_failure_ == StepStatus::kRefusedRange;
    if (!free_retry &&
        (++repairs_ > options_.max_repairs || !budget_->Take(clock_->now()))) {
      Fail(CompletionError::kRetries);
      return;
    }
    Schedule(busy ? NextPause() : Duration(0), std::move(retry));
  }

  void WaitForEndpoints(CompletionError error, std::function<void()> retry) {
    if (!waiting_since_) waiting_since_ = clock_->now();
    if (clock_->now() >= RetryDeadline()) {
      const bool busy = last_failure_ == StepStatus::kRefusedBusy;
      Fail(busy ? CompletionError::kBusy : error);
      return;
    }
    Schedule(NextPause(), std::move(retry));
  }

  // Before the first token the caller's deadline applies. After it the
  // completion waits for gap_wait, because a failure would discard the tokens
  // generated so far.
  Time RetryDeadline() const {
    if (answer_tokens_ == 0) return spec_.deadline;
    const Time since = waiting_since_ ? *waiting_since_ : last_reply_;
    return since + options_.gap_wait;
  }

  void Fail(CompletionError error) {
    End(may_have_run_ ? Outcome::kFailed : Outcome::kNotRun, error, "");
  }

  void End(Outcome outcome, CompletionError error, std::string detail) {
    Cancel();
    CompletionEnd end;
    end.outcome = outcome;
    end.error = error;
    end.detail = std::move(detail);
    end.prompt_tokens = running() ? static_cast<int>(run_->prompt_size()) : 0;
    end.answer_tokens = answer_tokens_;
    end.reached_limit = reached_limit_;
    events_.on_end(end);
  }

  void EndSessions() {
    if (!running()) return;
    for (const ChainRun::OwnedStage& stage : run_->stages()) Release(stage);
  }

  // --- waiting -------------------------------------------------------------

  std::optional<Chain> Pick(const LayerRange& range) {
    return table_->PickChainFor(clock_->now(), spec_.model, spec_.version,
                                range, spec_.hall_weight);
  }

  Duration NextPause() {
    const Duration pause = retry_pause_;
    retry_pause_ = std::min(retry_pause_ * 2, options_.max_retry_pause);
    return pause;
  }

  void Schedule(Duration d, std::function<void()> fn) {
    timer_ = clock_->After(d, [this, fn = std::move(fn)] {
      timer_ = 0;
      fn();
    });
  }

  void ArmDeadline(const std::string& endpoint, double work,
                   std::function<void()> on_timeout) {
    Schedule(table_->DeadlineFor(endpoint, work), std::move(on_timeout));
  }

  // Cancels the pending call and timer, if any.
  void StopWaiting() {
    if (timer_ != 0) clock_->Cancel(std::exchange(timer_, 0));
    if (call_ != 0) engine_->CancelCall(std::exchange(call_, 0));
  }

  Engine* engine_;
  Clk* clock_;
  EndpointTable* table_;
  RetryBudget* budget_;
  CompletionOptions options_;
  CompletionSpec spec_;
  CompletionEvents events_;

  std::optional<ChainRun> run_;
  Chain first_chain_;
  int layers_ = 0;
  uint64_t call_ = 0;
  TimerId timer_ = 0;
  Time sent_at_{};
  Time last_reply_{};
  Time interrupted_since_{};  // valid while repair_ is set
  std::optional<Time> waiting_since_;
  Duration retry_pause_{};
  std::optional<Repair> repair_;
  StepStatus last_failure_ = StepStatus::kOk;
  int repairs_ = 0;
  int answer_tokens_ = 0;
  bool reached_limit_ = false;
  bool may_have_run_ = false;
  bool ended_ = false;
};

}  // namespace pinford

#endif  // PINFORD_COMPLETION_DRIVER_H_
