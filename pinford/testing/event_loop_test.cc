#include "pinford/event_loop.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <limits>
#include <memory>
#include <thread>
#include <vector>

namespace pinford {
namespace {

// Maximum lag of the kernel's coarse clock, which libevent's timers use.
constexpr Duration kClockGranularity = milliseconds(4);

void BlockFor(Duration d) { std::this_thread::sleep_for(d); }

// A pipe whose bytes the loop reads and counts.
class Pipe {
 public:
  explicit Pipe(EventLoop* loop) {
    EXPECT_EQ(pipe(ends_), 0);
    loop->OnReadable(ends_[0], [this] {
      char byte;
      if (read(ends_[0], &byte, 1) == 1) received++;
    });
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  void Send() { EXPECT_EQ(write(ends_[1], "x", 1), 1); }

  int received = 0;

 private:
  int ends_[2];
};

// Guards against timeouts that start too early: a timer set at the end of a
// long handler used to count from the handler's start. Probes timed out before
// they were sent, and boxes considered runners down whenever they had read a
// large configuration.
TEST(EventLoop, TimerDelayStartsWhenScheduled) {
  EventLoop loop;
  Pipe pipe(&loop);
  Time set;
  Time ran;
  loop.After(Duration(0), [&] {
    BlockFor(milliseconds(80));
    pipe.Send();  // otherwise the loop sleeps for the full delay
    set = loop.now();
    loop.After(milliseconds(40), [&] {
      ran = loop.now();
      loop.Stop();
    });
  });
  loop.Run();
  EXPECT_GE(ran - set, milliseconds(40) - kClockGranularity);
}

// A box that had been stopped checked its streams before it had read what their
// runners had sent in that time, and considered all of them idle.
TEST(EventLoop, LateTimerRunsAfterPendingReads) {
  EventLoop loop;
  Pipe pipe(&loop);
  int received_before = -1;
  loop.After(milliseconds(10), [&] {
    pipe.Send();
    BlockFor(milliseconds(10));
  });
  loop.After(milliseconds(20), [&] { received_before = pipe.received; });
  loop.After(milliseconds(60), [&] { loop.Stop(); });
  loop.After(Duration(0), [&] { BlockFor(milliseconds(40)); });
  loop.Run();
  EXPECT_EQ(received_before, 1);
}

TEST(EventLoop, LateTimersRunInOrderAndCanBeCancelled) {
  EventLoop loop;
  std::vector<int> ran;
  TimerId cancelled = 0;
  const auto at = [&](int ms, int name) {
    return loop.After(milliseconds(ms), [&ran, name] { ran.push_back(name); });
  };
  at(10, 1);
  loop.After(milliseconds(11), [&] {
    ran.push_back(2);
    loop.Cancel(cancelled);
    at(0, 5);
    BlockFor(milliseconds(30));
  });
  at(12, 3);
  cancelled = at(13, -1);
  at(14, 4);
  loop.After(milliseconds(100), [&] { loop.Stop(); });
  loop.After(Duration(0), [&] { BlockFor(milliseconds(40)); });
  loop.Run();
  EXPECT_EQ(ran, (std::vector<int>{1, 2, 3, 4, 5}));
}

// As when a box with 200 streams on 200 connections resumes after a stop.
TEST(EventLoop, ManySocketsAreReadBeforeALateTimer) {
  constexpr int kSockets = 200;
  EventLoop loop;
  std::vector<std::unique_ptr<Pipe>> pipes;
  pipes.reserve(kSockets);
  for (int i = 0; i < kSockets; i++) {
    pipes.push_back(std::make_unique<Pipe>(&loop));
  }
  int received_before = 0;
  loop.After(milliseconds(10), [&] {
    for (auto& pipe : pipes) pipe->Send();
    BlockFor(milliseconds(10));
  });
  loop.After(milliseconds(20), [&] {
    for (auto& pipe : pipes) received_before += pipe->received;
  });
  loop.After(milliseconds(80), [&] { loop.Stop(); });
  loop.After(Duration(0), [&] { BlockFor(milliseconds(40)); });
  loop.Run();
  EXPECT_EQ(received_before, kSockets);
}

// The clocks of a machine that is suspended for kSuspension right after a
// certain read of one of them.
constexpr seconds kSuspension{8};
int reads_before_suspension = 0;

Duration ReadSuspendedClock(clockid_t clock) {
  const bool suspended = reads_before_suspension < 0;
  if (reads_before_suspension >= 0) reads_before_suspension--;
  const Duration now = EventLoop::ReadClock(clock);
  return suspended && clock != CLOCK_MONOTONIC ? now + kSuspension : now;
}

// A suspension between two reads of the clocks was taken for one that the
// timers had been set again for.
TEST(EventLoop, TimersAreDueAfterASuspensionAtAnyMoment) {
  constexpr int kReads = 40;
  constexpr int kTicks = 40;  // of at least four reads each
  for (int reads = 0; reads < kReads; reads++) {
    reads_before_suspension = std::numeric_limits<int>::max();
    EventLoop loop(ReadSuspendedClock);
    bool ran = false;
    int ticks = 0;
    loop.After(kSuspension, [&] { ran = true; });
    loop.Every(milliseconds(2), [&] {
      if (ran || ++ticks == kTicks) loop.Stop();
    });
    reads_before_suspension = reads;
    loop.Run();
    EXPECT_TRUE(ran) << "suspended after " << reads << " reads";
  }
}

}  // namespace
}  // namespace pinford
