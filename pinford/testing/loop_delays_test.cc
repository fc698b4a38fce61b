#include "pinford/loop_delays.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "util/hash.h"

namespace pinford {
namespace {

Time At(int ms) { return Time{} + milliseconds(ms); }

TEST(LoopDelays, LongestSinceIgnoresDelaysThatEndedBefore) {
  LoopDelays delays;
  EXPECT_EQ(delays.LongestSince(At(0)), Duration(0));
  delays.OnTimer(At(100), At(104));  // as on an idle machine
  EXPECT_EQ(delays.LongestSince(At(0)), Duration(0));
  delays.OnTimer(At(100), At(400));
  delays.OnTimer(At(500), At(550));
  EXPECT_EQ(delays.LongestSince(At(0)), milliseconds(300));
  EXPECT_EQ(delays.LongestSince(At(399)), milliseconds(300));
  EXPECT_EQ(delays.LongestSince(At(400)), milliseconds(50));
  EXPECT_EQ(delays.LongestSince(At(550)), Duration(0));
}

// Compares with a list of all delays, without a limit.
TEST(LoopDelays, MatchesUnboundedHistory) {
  struct Delay {
    Time end;
    Duration length;
  };
  Random random(7);
  for (int round = 0; round < 200; round++) {
    LoopDelays delays;
    std::vector<Delay> all;
    Time now = At(0);
    for (int i = 0; i < 40; i++) {
      now += milliseconds(random() % 50);
      const Duration length = milliseconds(random() % 100);
      delays.OnTimer(now - length, now);
      if (length >= LoopDelays::kMinDelay) all.push_back({now, length});
      const Time since = now - milliseconds(random() % 600);
      Duration longest{};
      for (const Delay& d : all) {
        if (d.end > since) longest = std::max(longest, d.length);
      }
      EXPECT_EQ(delays.LongestSince(since), longest) << round << " " << i;
    }
  }
}

}  // namespace
}  // namespace pinford
