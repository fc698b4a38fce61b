#include "pinford/forwarding/forwarded_request.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pinford {

// The endpoint may close a connection that was idle for longer just as a
// request is written, so a request that may not run twice uses a new one.
static constexpr milliseconds kMaxIdleForOnce{500};
// Silence of a direct connection after which it counts as broken if the path is
// lost, and the same as a multiple of the typical time between events.
static constexpr Duration kMinSilence = milliseconds(60);
static constexpr int kTypicalGaps = 4;
// A longer body is sent by a call of its own, without a copy.
static constexpr size_t kMaxCopiedBodyBytes = 16 << 10;
// Reading from the endpoint pauses while more is unsent to a slow caller.
static constexpr size_t kMaxUnsentBytes = 256 << 10;

ForwardedRequest::ForwardedRequest(ForwardContext* context, Forwarder* owner,
                                   AdmittedRequest admitted)
    : context_(context),
      owner_(owner),
      admitted_(std::move(admitted)),
      route_(*admitted_.route),
      log_(context, &admitted_),
      target_(context->table, owner->watch(),
              TargetOptions(*context, admitted_)),
      body_(owner->collected_),
      timed_recovery_(context->mechanisms.enabled(Mechanism::kTimedRecovery)),
      endpoint_error_body_(owner->collected_) {
  const std::string last(
      admitted_.exchange->head().header(context_->protocol.headers.last_event));
  if (!last.empty()) {
    events_.set_last_id(std::strtoull(last.c_str(), nullptr, 10));
  }
}

ForwardedRequest::~ForwardedRequest() {
  context_->loop->Cancel(deadline_timer_);
  context_->loop->Cancel(recheck_timer_);
  if (upstream_id_ != 0) context_->upstream->Cancel(upstream_id_);
}

void ForwardedRequest::Start() {
  auto self = weak_from_this();
  admitted_.exchange->set_on_disconnect([self] {
    if (auto r = self.lock()) r->OnCallerDisconnect();
  });
  deadline_timer_ = context_->loop->After(admitted_.deadline - now(), [self] {
    if (auto r = self.lock()) r->OnDeadline();
  });
  StartAttempt();
}

// --- one attempt -----------------------------------------------------------

void ForwardedRequest::StartAttempt() {
  const Time t = now();
  const bool waited =
      permit_wait_began_ != Time{} || wait_cause_ == WaitCause::kChain;
  if (target_.Pick(t, tried_, permit_class(), waited)) {
    permit_wait_began_ = Time{};
    Send();
  } else if (!WaitForChain() && !WaitForPermit() && !WaitForPath()) {
    const bool limited =
        context_->table->PermitWait(t, admitted_.service, permit_class())
            .has_value();
    Fail(limited ? kRateLimited : "no endpoint takes it");
  }
}

// Removes the load that was counted when the target was picked, and that of a
// change of its chain that is in progress.
void ForwardedRequest::Release(bool succeeded) {
  ReleaseRequestedChain();
  target_.Release(now(), sent_, succeeded);
}

void ForwardedRequest::Send() {
  const Time t = now();
  picks_++;
  AttemptHeaders notes;
  notes.customer = admitted_.customer;
  notes.instance = target_.endpoint();
  notes.time_left = admitted_.deadline - t;
  notes.urgency = UrgencyOf(admitted_.request_class.tier);
  if (attempts_ > 0 && events_.last_id()) {
    notes.last_event = std::to_string(*events_.last_id());
  }
  notes.chain = target_.WithAddresses(target_.chain());
  last_target_ =
      target_.pool() ? ChainText(target_.chain()) : target_.endpoint();
  const CallerExchange& exchange = *admitted_.exchange;
  UpstreamRequest request;
  request.endpoint = target_.endpoint();
  request.to = target_.address();
  request.bytes = WriteForwardedHead(exchange.head(), exchange.body().size(),
                                     context_->protocol, notes);
  if (exchange.body().size() <= kMaxCopiedBodyBytes) {
    request.bytes += exchange.body();
  } else {
    request.body = exchange.shared_body();
  }
  request.id = admitted_.id;
  if (!route_.may_repeat()) request.max_idle_time = kMaxIdleForOnce;
  // Bytes that are written on an open connection are lost if the path is.
  if (context_->paths.in_doubt(admitted_.service))
    request.max_idle_time = Duration(0);
  request.relay = context_->paths.hop(target_.endpoint());
  phase_ = Phase::kWaiting;
  body_.Clear();
  events_.DropPartial();
  events_before_ = events_.events();
  sent_ = last_progress_ = t;
  was_sent_ = false;
  lacked_permit_ = false;
  backoff_left_ = Duration(0);
  paused_ = replacing_ = false;
  wait_cause_ = WaitCause::kStart;
  stall_check_after_ = Time{};
  attempt_first_event_ = Time{};
  parts_survived_ = false;
  findings_ = RunFindings();
  midway_ = events_.last_id().has_value();
  auto self = weak_from_this();
  UpstreamHandlers handlers;
  handlers.before_send = [self] {
    auto r = self.lock();
    return r != nullptr && r->BeforeSend();
  };
  handlers.on_head = [self](const HttpHead& head) {
    if (auto r = self.lock()) r->OnHead(head);
  };
  handlers.on_body = [self](std::string bytes) {
    if (auto r = self.lock()) r->OnBody(std::move(bytes));
  };
  handlers.on_end = [self](UpstreamEnd end) {
    if (auto r = self.lock()) r->OnEnd(end);
  };
  upstream_id_ =
      context_->upstream->Send(std::move(request), std::move(handlers));
  // An idle connection may go through another peer than the hop names.
  relay_ = context_->upstream->RelayOf(upstream_id_);
}

// The last point at which the request can be withheld: since the endpoint was
// picked, the request's key may have been revoked, the endpoint may have
// stopped accepting requests or named a rate limit, or the request may have
// been quarantined.
bool ForwardedRequest::BeforeSend() {
  config_fresh_ = !admitted_.requires_key || context_->config_is_fresh();
  if (!config_fresh_) return false;
  const std::string& endpoint = target_.endpoint();
  backoff_left_ = context_->table->BackoffLeft(now(), endpoint);
  if (!context_->table->MaySend(now(), endpoint) || !PassesQuarantine()) {
    context_->metrics->Count("sends_withheld_total");
    return false;
  }
  lacked_permit_ = !target_.UsePermit(now());
  if (lacked_permit_) {
    context_->metrics->Count("sends_without_permit_total");
    return false;
  }
  was_sent_ = true;
  relay_tries_ = 0;
  retry_acquired_ = false;
  attempts_++;
  tried_.insert(endpoint);
  sent_ = last_progress_ = now();
  return true;
}

bool ForwardedRequest::PassesQuarantine() {
  if (suspicion() != Suspicion::kQuarantined) return true;
  if (!context_->crashes->TakeTrial(now(), FeaturesOf(*context_, &admitted_)))
    return false;
  log_.CrashTrial(target_, PartFingerprintsOf(*context_, &admitted_));
  return true;
}

void ForwardedRequest::OnHead(const HttpHead& head) {
  response_ = head;
  last_progress_ = now();
  phase_ = Phase::kResponse;
  ApplyNotice(ReadNotice(head, context_->protocol.headers));
  if (DefectOf(FactsOf(UpstreamEnd::kComplete)) != ResponseDefect::kNone) {
    // The rest would not change the result.
    AbandonResponse(UpstreamEnd::kComplete);
    return;
  }
  const bool events = head.header("Content-Type").find("event-stream") !=
                      std::string_view::npos;
  if (route_.kind == RequestKind::kStream && IsSuccess(head.status) && events)
    phase_ = Phase::kEvents;
}

void ForwardedRequest::ApplyNotice(const EndpointNotice& notice) {
  if (notice.leaving && context_->on_leaving) {
    context_->on_leaving(target_.endpoint(), target_.incarnation());
  }
  if (context_->on_rate_limit) {
    context_->on_rate_limit(target_.endpoint(), target_.incarnation(), sent_,
                            notice.rate_limit);
  }
  if (!notice.backoff) return;
  context_->table->OnBackoffRequested(now(), target_.endpoint(),
                                      *notice.backoff);
  context_->metrics->Count("rests_asked_total");
  log_.BackoffRequested(target_, *notice.backoff);
}

void ForwardedRequest::OnBody(std::string bytes) {
  if (phase_ == Phase::kEvents) {
    ForwardEvents(bytes);
    if (events_.exceeds_limit()) AbandonResponse(UpstreamEnd::kMalformed);
    return;
  }
  last_progress_ = now();
  body_.Append(std::move(bytes));
  owner_->OnCollected();
}

void ForwardedRequest::ForwardEvents(const std::string& bytes) {
  const std::string whole = events_.Feed(bytes);
  if (whole.empty()) return;
  const Time t = now();
  last_progress_ = t;
  if (attempt_first_event_ == Time{}) attempt_first_event_ = t;
  target_.OnEvents(t);
  if (AnsweringFor(t) >= context_->crashes->options().max_part_run_to_crash)
    RecordPartsSurvived();
  CallerExchange& exchange = *admitted_.exchange;
  if (!exchange.streaming()) {
    first_event_ = t;
    first_wait_ = wait_cause_;
    owner_->OnFirstEvent(t - sent_);
    exchange.StartStream(
        response_.status, response_.reason,
        ForwardedResponseHeaders(response_, context_->protocol));
  } else {
    RecordGap(t - last_event_);
    owner_->OnGap(t - last_event_, route_.target_gap);
  }
  last_event_ = t;
  wait_cause_ = WaitCause::kNone;
  exchange.Write(whole);
  if (exchange.unsent() > kMaxUnsentBytes && !paused_) {
    paused_ = true;
    context_->upstream->Pause(upstream_id_, true);
  }
}

void ForwardedRequest::RecordGap(Duration gap) {
  if (gap <= longest_gap_) return;
  longest_gap_ = gap;
  gap_wait_ = wait_cause_;
}

// --- the end of an attempt -------------------------------------------------

// Collects what was observed of the attempt that has just ended.
AttemptFacts ForwardedRequest::FactsOf(UpstreamEnd end) const {
  const ForwardHeaders& names = context_->protocol.headers;
  AttemptFacts facts;
  facts.end = end;
  if (phase_ == Phase::kWaiting) return facts;
  // A response that ends within an event is incomplete.
  const bool cut = phase_ == Phase::kEvents && events_.has_partial();
  if (end == UpstreamEnd::kComplete && cut) facts.end = UpstreamEnd::kTruncated;
  facts.status = response_.status;
  facts.reported_not_run = response_.CountOf(names.not_run) > 0;
  facts.sealed = !response_.header(names.seal).empty();
  facts.encoded = response_.CountOf("Content-Encoding") > 0;
  return facts;
}

RunEnd ForwardedRequest::RunEndOf(UpstreamEnd end, Executed executed) {
  if (executed == Executed::kYes) return RunEnd::kSucceeded;
  const bool broken =
      end == UpstreamEnd::kBroken || end == UpstreamEnd::kTruncated;
  // Otherwise the endpoint lost its caller, as when an attempt is abandoned.
  return broken ? RunEnd::kBroken : RunEnd::kAbandoned;
}

void ForwardedRequest::OnTooLarge() {
  if (endpoint_error_body_.size() <= body_.size()) {
    AbandonResponse(UpstreamEnd::kMalformed);
    return;
  }
  endpoint_error_.reset();
  endpoint_error_body_.Clear();
}

void ForwardedRequest::AbandonResponse(UpstreamEnd end) {
  context_->upstream->Cancel(std::exchange(upstream_id_, 0));
  OnEnd(end);
}

void ForwardedRequest::OnEnd(UpstreamEnd end) {
  upstream_id_ = 0;
  const AttemptFacts facts = FactsOf(end);
  const AttemptResult result = ClassifyAttempt(facts);
  if (result.executed != Executed::kNo) {
    RecordRun();
    RecordFindings(RunEndOf(end, result.executed));
  }
  LogAttempt(end, result);
  ApplyFeedback(result.feedback);
  Release(result.use == ResponseUse::kForward);
  switch (result.use) {
    case ResponseUse::kForward:
      if (phase_ != Phase::kEvents && admitted_.exchange->streaming()) {
        // The caller already has the head of a stream.
        Fail("an answer that is no stream");
        return;
      }
      ForwardResponse();
      return;
    case ResponseUse::kForwardError:
      endpoint_error_ = response_;
      endpoint_error_body_.TakeFrom(&body_);
      break;
    case ResponseUse::kNone:
      body_.Clear();
      break;
  }
  AfterFailure(facts, result);
}

// Records the feedback in the table and probes the endpoint concerned.
void ForwardedRequest::ApplyFeedback(EndpointFeedback feedback) {
  switch (feedback) {
    case EndpointFeedback::kNone:
      return;
    case EndpointFeedback::kFailed:
      context_->table->OnFailure(now(), target_.endpoint(), sent_);
      if (target_.pool()) owner_->ProbeIfDue(target_.endpoint());
      return;
    case EndpointFeedback::kRejected:
      break;
  }
  OnRejected(target_.EndpointAt(
      response_.header(context_->protocol.headers.at_fault)));
}

void ForwardedRequest::OnRejected(const std::string& endpoint) {
  if (endpoint.empty()) return;
  context_->table->OnFull(now(), endpoint);
  // An endpoint that asked this box to back off has reported its state and is
  // not probed either.
  if (context_->table->BackoffLeft(now(), endpoint) > Duration(0)) return;
  if (target_.pool()) owner_->ProbeIfDue(endpoint);
}

void ForwardedRequest::RecordRun() {
  may_have_run_ = true;
  possible_runs_++;
}

Duration ForwardedRequest::AnsweringFor(Time t) const {
  return attempt_first_event_ == Time{} ? Duration(0)
                                        : t - attempt_first_event_;
}

RunFacts ForwardedRequest::FactsOfRun(RunEnd end) const {
  RunFacts facts;
  facts.end = end;
  facts.status = phase_ == Phase::kWaiting ? 0 : response_.status;
  facts.answering = AnsweringFor(now());
  facts.answering_before = answering_before_;
  facts.resumed = events_before_ > 0;
  facts.midway = midway_;
  facts.parts_survived = parts_survived_;
  return facts;
}

void ForwardedRequest::RecordFindings(RunEnd end) {
  if (!context_->mechanisms.enabled(Mechanism::kCrashQuarantine)) return;
  CrashLedger* crashes = context_->crashes;
  findings_ = FindingsOf(FactsOfRun(end), crashes->options());
  if (findings_.parts == FeatureFinding::kSurvived) RecordPartsSurvived();
  if (findings_.request == FeatureFinding::kSurvived)
    crashes->OnSurvived(now(), FingerprintOf(*context_, &admitted_));
  RecordCrash(findings_, target_.endpoint(), target_.incarnation(),
              end == RunEnd::kBroken);
  answering_before_.reset();
  if (end == RunEnd::kBroken) answering_before_ = AnsweringFor(now());
}

void ForwardedRequest::RecordPartsSurvived() {
  if (std::exchange(parts_survived_, true)) return;
  if (!context_->mechanisms.enabled(Mechanism::kCrashQuarantine)) return;
  const Time at = attempt_first_event_ != Time{} ? attempt_first_event_ : now();
  for (const std::string& part : PartFingerprintsOf(*context_, &admitted_)) {
    context_->crashes->OnSurvived(now(), part, at);
  }
}

// The ledger counts it once the endpoint is known to have ended.
void ForwardedRequest::RecordCrash(const RunFindings& findings,
                                   const std::string& endpoint,
                                   uint64_t incarnation, bool broken) {
  const CrashLedger::EndedRun run = {endpoint, incarnation, sent_, broken,
                                     attempt_first_event_ != Time{}};
  CrashLedger* crashes = context_->crashes;
  if (findings.request == FeatureFinding::kMayHaveCrashed) {
    accusations_++;
    crashes->OnRunEnded(now(), FingerprintOf(*context_, &admitted_), run);
  }
  if (findings.parts != FeatureFinding::kMayHaveCrashed) return;
  for (const std::string& part : PartFingerprintsOf(*context_, &admitted_)) {
    crashes->OnRunEnded(now(), part, run);
  }
}

void ForwardedRequest::LogAttempt(UpstreamEnd end,
                                  const AttemptResult& result) {
  if (result.use == ResponseUse::kForward) return;
  // Without a response, response_ is still that of an earlier attempt.
  const bool has_response = phase_ != Phase::kWaiting;
  const ForwardHeaders& names = context_->protocol.headers;
  const int status = has_response ? response_.status : 0;
  const ResponseDefect defect =
      has_response ? DefectOf(FactsOf(end)) : ResponseDefect::kNone;
  log_.AttemptFailed({attempts_, &target_, end, status, defect, result.executed,
                      has_response ? response_.header(names.at_fault) : "",
                      has_response ? response_.header(names.retry_after) : "",
                      backoff_left_, sent_ - target_.picked_at(),
                      FingerprintOf(*context_, &admitted_),
                      &PartFingerprintsOf(*context_, &admitted_), findings_,
                      target_.Neighbors(), events_.events() - events_before_,
                      now() - sent_, RelayName()});
}

void ForwardedRequest::ForwardResponse() {
  CallerExchange& exchange = *admitted_.exchange;
  const HttpHeaders headers =
      ForwardedResponseHeaders(response_, context_->protocol);
  if (phase_ != Phase::kEvents) {
    exchange.Reply(response_.status, response_.reason, headers, body_.Take());
    Finish(IsSuccess(response_.status) ? kComplete : "failed by endpoint");
    return;
  }
  if (!exchange.streaming()) {
    exchange.StartStream(response_.status, response_.reason, headers);
  }
  exchange.EndStream();
  Finish(kComplete);
}

// --- stalls, deadline and end ----------------------------------------------

void ForwardedRequest::Tick(Time t) {
  if (finished_ || upstream_id_ == 0 || replacing_) return;
  if (paused_) {
    last_progress_ = t;
    if (admitted_.exchange->unsent() > 0) return;
    paused_ = false;
    context_->upstream->Pause(upstream_id_, false);
    return;
  }
  if (t < stall_check_after_) return;
  if (ReevaluateRecovery(t)) return;
  if (t - last_progress_ >= SilenceLimit()) OnStalled(t);
}

Duration ForwardedRequest::SilenceLimit() const {
  const bool started = phase_ == Phase::kEvents && first_event_ != Time{};
  const Duration typical =
      started ? owner_->mean_gap() : owner_->mean_first_event();
  const Duration limit = SilenceTimeout(route_, started, typical);
  if (!LostItsPath()) return limit;
  // Its connection may still work, but it is more likely that it does not.
  return std::min(limit, std::max(kMinSilence, kTypicalGaps * typical));
}

bool ForwardedRequest::LostItsPath() const {
  return !relay_ && context_->paths.is_lost(target_.endpoint());
}

void ForwardedRequest::OnStalled(Time t) {
  if (!MayRepeat() || !was_sent_) return;
  // Where the way to the first stage is at fault, stages may work for requests
  // that go another way.
  const bool lost_path = LostItsPath();
  // Another direct attempt might be lost as well.
  if (!lost_path && context_->paths.in_doubt(admitted_.service)) return;
  const bool idle =
      !target_.pool() || target_.AnyStageIdleSince(last_progress_);
  if (!idle && !lost_path && !relay_) return;
  if (!AcquireAttempt(t, possible_runs_ + 1)) return;
  if (relay_) {
    context_->paths.on_relay_silent(*relay_);
  } else if (!lost_path) {
    RecordStall(t);
  }
  if (!RestartElsewhere("attempt_stalled", t))
    stall_check_after_ = t + kRecheckInterval;
}

void ForwardedRequest::RecordStall(Time t) {
  if (stall_recorded_for_ == last_progress_) return;
  stall_recorded_for_ = last_progress_;
  target_.FailStagesIdleSince(last_progress_, t, sent_);
  context_->metrics->Count("stalls_total");
  if (timed_recovery_ && first_event_ == Time{}) ProbeIdleStages();
}

// Keeps the present attempt unless there is another target: a slow or stalled
// attempt may still succeed.
bool ForwardedRequest::RestartElsewhere(std::string_view event, Time t) {
  ForwardTarget next = target_.CloneUnpicked();
  if (!next.Pick(t, tried_, permit_class())) return false;
  log_.Restarted(
      event,
      {attempts_, &target_, events_.events(), t - last_progress_,
       context_->loop->delays().LongestSince(last_progress_), t - sent_});
  context_->upstream->Cancel(std::exchange(upstream_id_, 0));
  if (was_sent_) {
    RecordRun();
    RecordFindings(RunEnd::kAbandoned);
  }
  Release(false);
  target_ = std::move(next);
  Send();
  return true;
}

void ForwardedRequest::OnDeadline() {
  deadline_timer_ = 0;
  CancelAndFail("the time limit has passed", true);
}

void ForwardedRequest::OnShutdown() { CancelAndFail("the box ends", false); }

void ForwardedRequest::CancelAndFail(std::string_view why, bool timed_out) {
  if (finished_) return;
  if (upstream_id_ != 0) {
    context_->upstream->Cancel(std::exchange(upstream_id_, 0));
    if (was_sent_) {
      RecordRun();
      RecordFindings(RunEnd::kAbandoned);
    }
  }
  Release(false);
  Fail(why, timed_out);
}

void ForwardedRequest::OnCallerDisconnect() {
  if (finished_) return;
  if (upstream_id_ != 0) {
    context_->upstream->Cancel(std::exchange(upstream_id_, 0));
    if (was_sent_) RecordFindings(RunEnd::kAbandoned);
  }
  Release(false);
  Finish("the caller left");
}

void ForwardedRequest::Finish(std::string_view outcome) {
  assert(!finished_);
  finished_ = true;
  context_->loop->Cancel(std::exchange(deadline_timer_, 0));
  context_->loop->Cancel(std::exchange(recheck_timer_, 0));
  const Time t = now();
  const CallerExchange& exchange = *admitted_.exchange;
  RequestLog::End end;
  end.outcome = outcome;
  end.attempts = attempts_;
  end.last_target = last_target_;
  end.last_relay = RelayName();
  end.target = &target_;
  end.may_have_run = may_have_run_;
  end.events = events_.events();
  end.took = t - exchange.started();
  end.first =
      first_event_ != Time{} ? first_event_ - exchange.started() : end.took;
  end.first_wait = first_event_ != Time{} ? first_wait_ : wait_cause_;
  // The pause in which a caller disconnects counts too.
  if (first_event_ != Time{}) RecordGap(t - last_event_);
  end.longest_gap = longest_gap_;
  end.gap_wait = gap_wait_;
  end.process_delay = context_->loop->delays().LongestSince(exchange.started());
  end.caller_end = exchange.caller_end();
  end.cut = exchange.streaming() && !end.caller_end && outcome != kComplete;
  log_.Ended(end);
  owner_->OnRequestDone(this);
}

}  // namespace pinford
