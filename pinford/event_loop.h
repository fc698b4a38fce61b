// The process's one event loop, over libevent.
//
// Every connection, timer and signal of a process is served by one EventLoop
// on one thread, so no state of pinford's needs a lock. It is also the Clock
// of the running program.
//
// A timer that comes late means that this process was held up, and what others
// sent meanwhile lies unread. Most timers judge others by what they have not
// sent. So a late timer, and each that fires while one waits, runs only after
// the sockets have been read once more, and in the order in which they fired.

#ifndef PINFORD_EVENT_LOOP_H_
#define PINFORD_EVENT_LOOP_H_

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
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Clock.
  Time now() const;
  TimerId After(Duration d, std::function<void()> fn);
  void Cancel(TimerId id);

  // Runs `fn` every `period`, until the loop ends.
  void Every(Duration period, std::function<void()> fn);

  // Calls `fn` each time `fd` can be read.
  void OnReadable(int fd, std::function<void()> fn);
  void OnSignal(int signal, std::function<void()> fn);

  // Serves events until Stop().
  void Run();
  void Stop();

  event_base* base() { return base_; }
  // How late it has run timers: what this process was held up by itself.
  const LoopDelays& delays() const { return delays_; }

 private:
  struct Timer;
  struct Watch;

  static void OnTimer(int fd, short what, void* arg);
  static void OnPolled(int fd, short what, void* arg);
  void RunTimer(TimerId id);
  // Runs the timer once the sockets have been read.
  void Postpone(TimerId id);
  void PollAgain();
  void RunPostponed();
  static void RunWatch(int fd, short what, void* arg);
  void AddWatch(int fd, short what, std::function<void()> fn);

  event_base* base_;
  TimerId next_id_ = 1;
  LoopDelays delays_;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> timers_;
  std::deque<TimerId> postponed_;
  event* poll_event_;  // fires after the next poll
  int polls_left_ = 0;
  std::vector<std::unique_ptr<Watch>> watches_;
};

static_assert(Clock<EventLoop>);

}  // namespace pinford

#endif  // PINFORD_EVENT_LOOP_H_
