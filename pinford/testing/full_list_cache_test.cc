// FullListCache: which peers get the cached list, and when it is rebuilt.

#include "pinford/forwarding/full_list_cache.h"

#include <gtest/gtest.h>

#include <random>

namespace pinford {
namespace {

const Time kBuiltAt = Time{} + seconds(100);

FullListCache BuiltList(Duration build_time) {
  FullListCache list;
  list.Set(kBuiltAt - build_time, kBuiltAt, {8, 30, 40, kBuiltAt}, "body");
  return list;
}

TEST(FullListCache, IsUsableWhileCurrentOrRecentlyBuilt) {
  const struct {
    const char* name;
    Duration build_time;
    Duration later;
    uint64_t state;
    uint64_t above;
    bool usable;
  } cases[] = {
      {"same state, however old", milliseconds(1), seconds(60), 40, 7, true},
      {"the peer has it", milliseconds(1), Duration(0), 40, 8, false},
      {"the peer has a later one", milliseconds(1), Duration(0), 40, 9, false},
      {"quick build, just built", milliseconds(1), milliseconds(3), 41, 7,
       true},
      {"quick build", milliseconds(1), milliseconds(4), 41, 7, false},
      {"slow build, just built", milliseconds(100), milliseconds(399), 41, 7,
       true},
      {"slow build", milliseconds(100), milliseconds(400), 41, 7, false},
      {"longer", milliseconds(900), milliseconds(499), 41, 7, true},
      {"slower build, maximum interval reached", milliseconds(900),
       milliseconds(500), 41, 7, false},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(
        BuiltList(c.build_time).IsUsable(kBuiltAt + c.later, c.state, c.above),
        c.usable)
        << c.name;
  }
  EXPECT_FALSE(FullListCache().IsUsable(kBuiltAt, 0, 0)) << "none was built";
}

// A hundred boxes that start together request the list from a box on which
// 3,000 entries change within three seconds, and which takes 250 ms to build
// it. Guards against a separate build for each, which took 25 s in all.
TEST(FullListCache, RebuildsForManyPeersTakeAThirdOfTheTime) {
  constexpr int kPeers = 100;
  const Duration build_time = milliseconds(250);
  std::minstd_rand random(1);
  FullListCache list;
  Time now = kBuiltAt;
  uint64_t state = 1;
  int made = 0;
  for (int i = 0; i < kPeers; i++) {
    now += milliseconds(random() % 60);
    state += 1 + random() % 30;
    if (list.IsUsable(now, state, 0)) continue;
    list.Set(now, now + build_time, {8, state, state, now}, "body");
    now += build_time;
    made++;
  }
  const Duration all = now - kBuiltAt;
  EXPECT_LE(made * build_time, all / 3 + build_time) << made;
  EXPECT_LT(all, seconds(6));
}

}  // namespace
}  // namespace pinford
