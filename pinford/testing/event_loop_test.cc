#include "pinford/event_loop.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

namespace pinford {
namespace {

// The kernel's coarse clock, which timers go by, is so much behind.
constexpr Duration kCoarse = milliseconds(4);

void Busy(Duration d) { std::this_thread::sleep_for(d); }

// Bytes that come to the loop's process.
class Pipe {
 public:
  explicit Pipe(EventLoop* loop) {
    EXPECT_EQ(pipe(ends_), 0);
    loop->OnReadable(ends_[0], [this] {
      char byte;
      if (read(ends_[0], &byte, 1) == 1) came++;
    });
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  void Send() { EXPECT_EQ(write(ends_[1], "x", 1), 1); }

  int came = 0;

 private:
  int ends_[2];
};

// A question to a runner that was put at the end of a long handler had run
// out of time before it was sent: its limit counted from the handler's
// beginning, so that boxes took runners for down each time they had read a
// large configuration.
TEST(EventLoop, ATimerCountsFromWhenItWasSet) {
  EventLoop loop;
  Pipe pipe(&loop);
  Time set;
  Time ran;
  loop.After(Duration(0), [&] {
    Busy(milliseconds(80));
    pipe.Send();  // else the loop sleeps as long as was asked for
    set = loop.now();
    loop.After(milliseconds(40), [&] {
      ran = loop.now();
      loop.Stop();
    });
  });
  loop.Run();
  EXPECT_GE(ran - set, milliseconds(40) - kCoarse);
}

}  // namespace
}  // namespace pinford
