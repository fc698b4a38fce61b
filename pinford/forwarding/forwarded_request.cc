#include "pinford/forwarding/forwarded_request.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pinford {

// Kept connections that rested for longer may be closed by the other side as
// a request is written; one that may not run twice goes on a fresh one.
static constexpr milliseconds kRestForOnce{500};
// A caller that reads slowly gets no more than this into its buffer.
static constexpr size_t kMostUnsent = 256 << 10;

ForwardedRequest::ForwardedRequest(ForwardContext* parts, Forwarder* owner,
                                   AdmittedRequest order)
    : parts_(parts),
      owner_(owner),
      order_(std::move(order)),
      route_(*order_.route),
      log_(parts, &order_),
      target_(parts->table, owner->watch(), TargetOptions(*parts, order_)),
      timed_(parts->mechanisms.enabled(Mechanism::kTimedRecovery)) {
  const std::string last(
      order_.exchange->head().header(parts_->protocol.headers.last_event));
  if (!last.empty()) {
    events_.set_last_id(std::strtoull(last.c_str(), nullptr, 10));
  }
}

ForwardedRequest::~ForwardedRequest() {
  parts_->loop->Cancel(limit_timer_);
  parts_->loop->Cancel(resume_timer_);
  if (upstream_ != 0) parts_->upstream->Cancel(upstream_);
}

void ForwardedRequest::Start() {
  auto self = weak_from_this();
  order_.exchange->set_on_disconnect([self] {
    if (auto r = self.lock()) r->OnCallerGone();
  });
  limit_timer_ = parts_->loop->After(order_.limit - now(), [self] {
    if (auto r = self.lock()) r->OnLimit();
  });
  Attempt();
}

// --- one attempt -----------------------------------------------------------

void ForwardedRequest::Attempt() {
  const Time t = now();
  if (target_.Pick(t, tried_)) {
    Send();
  } else if (!WaitToResume()) {
    GiveUp("no endpoint takes it");
  }
}

// What was counted when the target was picked is counted off.
void ForwardedRequest::Release(bool worked) {
  target_.Release(now(), sent_, worked);
}

void ForwardedRequest::Send() {
  const Time t = now();
  tries_++;
  AttemptHeaders notes;
  notes.customer = order_.customer;
  notes.instance = target_.endpoint();
  notes.time_left = order_.limit - t;
  notes.urgency = UrgencyOf(order_.request_class.tier);
  if (attempts_ > 0 && events_.last_id()) {
    notes.last_event = std::to_string(*events_.last_id());
  }
  notes.chain = target_.Addressed(target_.chain());
  last_target_ =
      target_.pool() ? ChainText(target_.chain()) : target_.endpoint();
  const CallerExchange& exchange = *order_.exchange;
  UpstreamRequest request;
  request.endpoint = target_.endpoint();
  request.to = target_.address();
  request.bytes = WriteForwardedRequest(exchange.head(), exchange.body(),
                                        parts_->protocol, notes);
  request.id = order_.id;
  if (!route_.may_repeat()) request.max_idle_time = kRestForOnce;
  phase_ = Phase::kWaiting;
  body_.clear();
  events_.DropPartial();
  sent_ = progress_ = t;
  sent_any_ = false;
  rest_left_ = Duration(0);
  paused_ = replacing_ = false;
  wait_ = WaitCause::kStart;
  quiet_until_ = Time{};
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
  upstream_ = parts_->upstream->Send(std::move(request), std::move(handlers));
}

// The last moment at which the request can be kept back: its key may have been
// taken away, or its endpoint may take nothing more, since it was picked.
bool ForwardedRequest::BeforeSend() {
  proved_ = !order_.requires_key || parts_->proof_holds();
  if (!proved_) return false;
  const std::string& endpoint = target_.endpoint();
  rest_left_ = parts_->table->BackoffLeft(now(), endpoint);
  if (!parts_->table->MaySend(now(), endpoint)) {
    parts_->metrics->Count("sends_withheld_total");
    return false;
  }
  sent_any_ = true;
  retry_taken_ = false;
  attempts_++;
  tried_.insert(endpoint);
  sent_ = progress_ = now();
  return true;
}

void ForwardedRequest::OnHead(const HttpHead& head) {
  answer_ = head;
  progress_ = now();
  Heed(ReadNotice(head, parts_->protocol.headers));
  const bool success = head.status >= 200 && head.status < 300;
  const bool sealed = !head.header(parts_->protocol.headers.seal).empty();
  const bool events = route_.kind == RequestKind::kStream && success &&
                      sealed &&
                      head.header("Content-Type").find("event-stream") !=
                          std::string_view::npos;
  phase_ = events ? Phase::kEvents : Phase::kAnswer;
}

void ForwardedRequest::Heed(const EndpointNotice& notice) {
  if (notice.leaving && parts_->on_leaving) {
    parts_->on_leaving(target_.endpoint(), target_.incarnation());
  }
  if (!notice.backoff) return;
  parts_->table->OnBackoffRequested(now(), target_.endpoint(), *notice.backoff);
  parts_->metrics->Count("rests_asked_total");
  log_.RestAsked(target_, *notice.backoff);
}

void ForwardedRequest::OnBody(std::string bytes) {
  if (phase_ == Phase::kEvents) {
    PassEvents(bytes);
    return;
  }
  progress_ = now();
  body_ += bytes;
}

void ForwardedRequest::PassEvents(const std::string& bytes) {
  const std::string whole = events_.Feed(bytes);
  if (whole.empty()) return;
  const Time t = now();
  progress_ = t;
  target_.OnEvents(t);
  CallerExchange& exchange = *order_.exchange;
  if (!exchange.streaming()) {
    first_event_ = t;
    first_wait_ = wait_;
    owner_->OnFirstEvent(t - sent_);
    exchange.StartStream(answer_.status, answer_.reason,
                         ForwardedResponseHeaders(answer_, parts_->protocol));
  } else {
    NoteGap(t - last_event_);
    owner_->OnGap(t - last_event_, route_.target_gap);
  }
  last_event_ = t;
  wait_ = WaitCause::kNone;
  exchange.Write(whole);
  if (exchange.unsent() > kMostUnsent && !paused_) {
    paused_ = true;
    parts_->upstream->Pause(upstream_, true);
  }
}

void ForwardedRequest::NoteGap(Duration gap) {
  if (gap <= longest_gap_) return;
  longest_gap_ = gap;
  gap_wait_ = wait_;
}

// --- the end of an attempt -------------------------------------------------

// What was seen of the attempt that has just ended.
AttemptFacts ForwardedRequest::FactsOf(UpstreamEnd end) const {
  const ForwardHeaders& names = parts_->protocol.headers;
  AttemptFacts facts;
  facts.end = end;
  if (phase_ == Phase::kWaiting) return facts;
  // An event that was begun and never ended belongs to no whole answer.
  const bool cut = phase_ == Phase::kEvents && events_.has_partial();
  if (end == UpstreamEnd::kComplete && cut) facts.end = UpstreamEnd::kTruncated;
  facts.status = answer_.status;
  facts.says_not_run = answer_.CountOf(names.not_run) > 0;
  facts.sealed = !answer_.header(names.seal).empty();
  facts.encoded = answer_.CountOf("Content-Encoding") > 0;
  return facts;
}

void ForwardedRequest::OnEnd(UpstreamEnd end) {
  upstream_ = 0;
  const AttemptFacts facts = FactsOf(end);
  const AttemptResult result = JudgeAttempt(facts);
  if (result.ran != Ran::kNo) NoteRan();
  LogAttempt(end, result);
  Learn(result.lesson);
  Release(result.use == AttemptUse::kPassOn);
  switch (result.use) {
    case AttemptUse::kPassOn:
      if (phase_ != Phase::kEvents && order_.exchange->streaming()) {
        // The caller has the head of a stream: no other answer fits behind it.
        GiveUp("an answer that is no stream");
        return;
      }
      PassAnswer();
      return;
    case AttemptUse::kPassError:
      failure_ = answer_;
      failure_body_ = std::move(body_);
      break;
    case AttemptUse::kNone:
      break;
  }
  AfterFailure(facts, result);
}

// Tells the table what the attempt's end teaches, and asks who is in doubt.
void ForwardedRequest::Learn(Lesson lesson) {
  switch (lesson) {
    case Lesson::kNone:
      return;
    case Lesson::kFailed:
      parts_->table->OnFailure(now(), target_.endpoint(), sent_);
      if (target_.pool()) owner_->ProbeIfDue(target_.endpoint());
      return;
    case Lesson::kTurnedAway:
      break;
  }
  TurnedAway(
      target_.EndpointAt(answer_.header(parts_->protocol.headers.at_fault)));
}

void ForwardedRequest::TurnedAway(const std::string& endpoint) {
  if (endpoint.empty()) return;
  parts_->table->OnFull(now(), endpoint);
  // One that asks for rest has said how it is, and wants no question either.
  if (parts_->table->BackoffLeft(now(), endpoint) > Duration(0)) return;
  if (target_.pool()) owner_->ProbeIfDue(endpoint);
}

void ForwardedRequest::NoteRan() {
  may_have_run_ = true;
  runs_++;
}

void ForwardedRequest::LogAttempt(UpstreamEnd end,
                                  const AttemptResult& result) {
  if (result.use == AttemptUse::kPassOn) return;
  // What an earlier attempt was answered is not this one's.
  const bool answered = phase_ != Phase::kWaiting;
  const ForwardHeaders& names = parts_->protocol.headers;
  const int status = answered ? answer_.status : 0;
  log_.AttemptFailed({attempts_, &target_, end, status, result.ran,
                      answered ? answer_.header(names.at_fault) : "",
                      answered ? answer_.header(names.retry_after) : "",
                      rest_left_, sent_ - target_.picked(), now() - sent_});
}

void ForwardedRequest::PassAnswer() {
  CallerExchange& exchange = *order_.exchange;
  const HttpHeaders headers =
      ForwardedResponseHeaders(answer_, parts_->protocol);
  if (phase_ != Phase::kEvents) {
    exchange.Reply(answer_.status, answer_.reason, headers, body_);
    Finish(answer_.status < 300 ? kComplete : "failed by endpoint");
    return;
  }
  if (!exchange.streaming()) {
    exchange.StartStream(answer_.status, answer_.reason, headers);
  }
  exchange.EndStream();
  Finish(kComplete);
}

// --- time ------------------------------------------------------------------

void ForwardedRequest::Tick(Time t) {
  if (over_ || upstream_ == 0 || replacing_) return;
  if (paused_) {
    progress_ = t;
    if (order_.exchange->unsent() > 0) return;
    paused_ = false;
    parts_->upstream->Pause(upstream_, false);
    return;
  }
  if (t < quiet_until_) return;
  if (DecidesAgain(t)) return;
  if (t - progress_ >= SilenceLimit()) Stalled(t);
}

Duration ForwardedRequest::SilenceLimit() const {
  const bool started = phase_ == Phase::kEvents && first_event_ != Time{};
  return SilenceTimeout(route_, started,
                        started ? owner_->usual_gap() : owner_->usual_first());
}

void ForwardedRequest::Stalled(Time t) {
  if (!MayRepeat() || !sent_any_) return;
  if (target_.pool() && !target_.SomeStageSilentSince(progress_)) return;
  if (!MayTryAgain(t, runs_ + 1)) return;
  Blame(t);
  if (!RunAnew("attempt_stalled", t)) quiet_until_ = t + kResumePause;
}

void ForwardedRequest::Blame(Time t) {
  if (blamed_ == progress_) return;
  blamed_ = progress_;
  target_.BlameSince(progress_, t, sent_);
  parts_->metrics->Count("stalls_total");
  if (timed_ && first_event_ == Time{}) DoubtStages();
}

// What is at work, though slow or silent, may still end well; nothing does not.
bool ForwardedRequest::RunAnew(std::string_view event, Time t) {
  ForwardTarget next = target_.Another();
  if (!next.Pick(t, tried_)) return false;
  log_.BegunAnew(event,
                 {attempts_, &target_, events_.events(), t - progress_,
                  parts_->loop->delays().LongestSince(progress_), t - sent_});
  parts_->upstream->Cancel(std::exchange(upstream_, 0));
  if (sent_any_) NoteRan();
  Release(false);
  target_ = std::move(next);
  Send();
  return true;
}

void ForwardedRequest::OnLimit() {
  limit_timer_ = 0;
  Leave("the time limit has passed", true);
}

void ForwardedRequest::OnBoxEnds() { Leave("the box ends", false); }

void ForwardedRequest::Leave(std::string_view why, bool late) {
  if (over_) return;
  if (upstream_ != 0) {
    parts_->upstream->Cancel(std::exchange(upstream_, 0));
    if (sent_any_) NoteRan();
  }
  Release(false);
  GiveUp(why, late);
}

void ForwardedRequest::OnCallerGone() {
  if (over_) return;
  if (upstream_ != 0) parts_->upstream->Cancel(std::exchange(upstream_, 0));
  Release(false);
  Finish("the caller left");
}

void ForwardedRequest::Finish(std::string_view outcome) {
  assert(!over_);
  over_ = true;
  parts_->loop->Cancel(std::exchange(limit_timer_, 0));
  parts_->loop->Cancel(std::exchange(resume_timer_, 0));
  const Time t = now();
  const CallerExchange& exchange = *order_.exchange;
  RequestLog::End end;
  end.outcome = outcome;
  end.attempts = attempts_;
  end.last_target = last_target_;
  end.target = &target_;
  end.may_have_run = may_have_run_;
  end.events = events_.events();
  end.took = t - exchange.started();
  end.first =
      first_event_ != Time{} ? first_event_ - exchange.started() : end.took;
  end.first_wait = first_event_ != Time{} ? first_wait_ : wait_;
  // A caller that leaves in the middle of a pause has waited for its end.
  if (first_event_ != Time{}) NoteGap(t - last_event_);
  end.longest_gap = longest_gap_;
  end.gap_wait = gap_wait_;
  end.held_up = parts_->loop->delays().LongestSince(exchange.started());
  end.caller_end = exchange.caller_end();
  end.cut = exchange.streaming() && !end.caller_end && outcome != kComplete;
  log_.Ended(end);
  owner_->Done(this);
}

}  // namespace pinford
