// The process's event loop, over libevent.
//
// One EventLoop on one thread serves all connections, timers and signals of a
// process, so pinford needs no locks. It is also the Clock in production.
//
// A late timer means that this process was stalled and that data which
// arrived during the stall is still unread. Most timers check whether another
// process has sent something in time. So a late timer, and every timer that
// fires while one is postponed, runs only after the sockets have been polled
// again; the order in which the timers fired is kept.
//
// The clock counts the time for which the machine is suspended, because what a
// box knows of others grows old in that time too. libevent's timers stand still
// then, so once a timer fires after a suspension, all others are set again to
// when they are due.

#ifndef PINFORD_EVENT_LOOP_H_
#define PINFORD_EVENT_LOOP_H_

#include <time.h>

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "pinford/loop_delays.h"
#include "util/clock.h"

struct event;
struct event_base;

namespace pinford {

class EventLoop {
 public:
  // Returns the value of a system clock.
  using ClockReader = Duration (*)(clockid_t clock);
  static Duration ReadClock(clockid_t clock);

  explicit EventLoop(ClockReader read_clock = ReadClock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Clock.
  Time now() const;
  TimerId After(Duration d, std::function<void()> fn);
  void Cancel(TimerId id);

  // Runs `fn` every `period`, until the loop ends.
  void Every(Duration period, std::function<void()> fn);

  // Calls `fn` each time `fd` becomes readable.
  void OnReadable(int fd, std::function<void()> fn);
  void OnSignal(int signal, std::function<void()> fn);

  // Handles events until Stop().
  void Run();
  void Stop();

  event_base* base() { return base_; }
  // When the running timer began, or would have, if it was deferred for the
  // sockets to be polled. What had arrived by then has been read, unlike what
  // arrived by now(): the process may have been stopped since.
  Time timer_started() const { return timer_started_; }
  // Recent scheduling delays of this process.
  const LoopDelays& delays() const { return delays_; }

 private:
  struct Timer;
  struct Watch;

  static void OnTimer(int fd, short what, void* arg);
  static void OnPolled(int fd, short what, void* arg);
  void RunTimer(TimerId id);
  // Defers the timer until the sockets have been polled again.
  void Postpone(TimerId id);
  void PollAgain();
  void RunPostponed();
  // Sets the timers again if the machine was suspended since the last call, as
  // far as the last reading of the clocks shows it.
  struct ClockReading;
  void CheckSuspension(const ClockReading& clocks);
  ClockReading ReadClocks() const;
  void SetTimer(Timer* timer, Duration delay) const;
  static void RunWatch(int fd, short what, void* arg);
  void AddWatch(int fd, short what, std::function<void()> fn);

  ClockReader read_clock_;
  event_base* base_;
  TimerId next_id_ = 1;
  LoopDelays delays_;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
  std::deque<TimerId> postponed_;
  event* poll_event_;  // fires after the next poll
  int polls_left_ = 0;
  Time timer_started_{};
  Duration suspended_;  // in total, since the machine started
  std::vector<std::unique_ptr<Watch>> watches_;
};

static_assert(Clock<EventLoop>);

}  // namespace pinford

#endif  // PINFORD_EVENT_LOOP_H_
