#include "pinford/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <cassert>
#include <vector>

namespace pinford {

// libevent's first poll returns up to 32 events and the limit doubles after
// each full one, so three polls (32 + 64 + 128) cover 200 streams.
static constexpr int kPollsBeforeLateTimer = 3;

struct EventLoop::Timer {
  EventLoop* loop;
  TimerId id;
  Time due;
  Time started;
  std::function<void()> fn;
  event* ev;
};

struct EventLoop::ClockReading {
  Duration suspended;  // in total, since the machine started
  Time now;
};

struct EventLoop::Watch {
  std::function<void()> fn;
  event* ev;
};

Duration EventLoop::ReadClock(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return std::chrono::duration_cast<Duration>(
      seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

// The machine may be suspended between any two reads. In this order, `now`
// counts each suspension that `suspended` counts. Otherwise timers could be set
// by a time from before a suspension, which would then never be noticed again.
EventLoop::ClockReading EventLoop::ReadClocks() const {
  const Duration boot = read_clock_(CLOCK_BOOTTIME);
  // The steady clock does not count the time of suspension.
  const Duration steady = read_clock_(CLOCK_MONOTONIC);
  return {boot - steady, now()};
}

EventLoop::EventLoop(ClockReader read_clock)
    : read_clock_(read_clock),
      base_(event_base_new()),
      suspended_(ReadClocks().suspended) {
  assert(base_ != nullptr);
  poll_event_ = evtimer_new(base_, OnPolled, this);
}

EventLoop::~EventLoop() {
  // Callbacks may own events of this base, so destroy them before it.
  while (!timers_.empty()) {
    auto first = timers_.begin();
    const std::unique_ptr<Timer> owned = std::move(first->second);
    timers_.erase(first);
    event_free(owned->ev);
  }
  for (auto& watch : watches_) event_free(watch->ev);
  event_free(poll_event_);
  event_base_free(base_);
}

Time EventLoop::now() const { return Time(read_clock_(CLOCK_BOOTTIME)); }

void EventLoop::OnTimer(int, short, void* arg) {
  Timer* timer = static_cast<Timer*>(arg);
  EventLoop* loop = timer->loop;
  const ClockReading clocks = loop->ReadClocks();
  loop->CheckSuspension(clocks);
  const Time now = clocks.now;
  timer->started = now;
  loop->delays_.OnTimer(timer->due, now);
  const bool late = now - timer->due >= LoopDelays::kMinDelay;
  if (late || !loop->postponed_.empty()) {
    loop->Postpone(timer->id);
  } else {
    loop->RunTimer(timer->id);
  }
}

void EventLoop::CheckSuspension(const ClockReading& clocks) {
  // The clocks are not read at the same moment.
  if (clocks.suspended - suspended_ < LoopDelays::kMinDelay) return;
  suspended_ = clocks.suspended;
  std::vector<Timer*> timers;
  for (const auto& [id, timer] : timers_) {
    if (evtimer_pending(timer->ev, nullptr)) timers.push_back(timer.get());
  }
  std::sort(timers.begin(), timers.end(), [](const Timer* a, const Timer* b) {
    return std::pair(a->due, a->id) < std::pair(b->due, b->id);
  });
  // libevent does not keep the order of timers with equal times.
  Duration order{0};
  for (Timer* timer : timers) {
    SetTimer(timer, std::max(timer->due - clocks.now, Duration(0)) + order);
    order += Duration(1);
  }
}

void EventLoop::SetTimer(Timer* timer, Duration delay) const {
  timeval tv;
  tv.tv_sec = delay.count() / 1000000;
  tv.tv_usec = delay.count() % 1000000;
  // Without this, libevent measures the timeout from the start of the current
  // loop iteration.
  event_base_update_cache_time(base_);
  evtimer_add(timer->ev, &tv);
}

void EventLoop::Postpone(TimerId id) {
  if (postponed_.empty()) {
    polls_left_ = kPollsBeforeLateTimer;
    PollAgain();
  }
  postponed_.push_back(id);
}

// A timer that is already due makes the loop poll without blocking, and runs
// after the events which that poll returns.
void EventLoop::PollAgain() {
  constexpr timeval kNow = {0, 0};
  evtimer_add(poll_event_, &kNow);
}

void EventLoop::OnPolled(int, short, void* arg) {
  EventLoop* loop = static_cast<EventLoop*>(arg);
  if (--loop->polls_left_ > 0) {
    loop->PollAgain();
  } else {
    loop->RunPostponed();
  }
}

void EventLoop::RunPostponed() {
  const Time started = now();
  while (!postponed_.empty()) {
    const TimerId id = postponed_.front();
    postponed_.pop_front();
    RunTimer(id);
    // This callback took long, so poll again before running the others.
    if (postponed_.empty() || now() - started < LoopDelays::kMinDelay) continue;
    polls_left_ = kPollsBeforeLateTimer;
    PollAgain();
    return;
  }
}

void EventLoop::RunTimer(TimerId id) {
  auto it = timers_.find(id);
  if (it == timers_.end()) return;  // cancelled while postponed
  std::unique_ptr<Timer> owned = std::move(it->second);
  timers_.erase(it);
  event_free(owned->ev);
  timer_started_ = owned->started;
  owned->fn();
}

TimerId EventLoop::After(Duration d, std::function<void()> fn) {
  TimerId id = next_id_++;
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->id = id;
  timer->fn = std::move(fn);
  timer->ev = evtimer_new(base_, OnTimer, timer.get());
  d = std::max(d, Duration(0));
  timer->due = now() + d;
  SetTimer(timer.get(), d);
  timers_.emplace(id, std::move(timer));
  return id;
}

void EventLoop::Cancel(TimerId id) {
  auto it = timers_.find(id);
  if (it == timers_.end()) return;
  event_free(it->second->ev);
  timers_.erase(it);
}

void EventLoop::Every(Duration period, std::function<void()> fn) {
  After(period, [this, period, fn = std::move(fn)]() mutable {
    fn();
    Every(period, std::move(fn));
  });
}

void EventLoop::RunWatch(int, short, void* arg) {
  static_cast<Watch*>(arg)->fn();
}

void EventLoop::AddWatch(int fd, short what, std::function<void()> fn) {
  auto watch = std::make_unique<Watch>();
  watch->fn = std::move(fn);
  watch->ev = event_new(base_, fd, what, RunWatch, watch.get());
  event_add(watch->ev, nullptr);
  watches_.push_back(std::move(watch));
}

void EventLoop::OnReadable(int fd, std::function<void()> fn) {
  AddWatch(fd, EV_READ | EV_PERSIST, std::move(fn));
}

void EventLoop::OnSignal(int signal, std::function<void()> fn) {
  AddWatch(signal, EV_SIGNAL | EV_PERSIST, std::move(fn));
}

void EventLoop::Run() { event_base_dispatch(base_); }

void EventLoop::Stop() { event_base_loopbreak(base_); }

}  // namespace pinford
