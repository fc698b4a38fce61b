// Who gets the list that was made, and when it is made anew.

#include "pinford/forwarding/whole_list.h"

#include <gtest/gtest.h>

#include <random>

namespace pinford {
namespace {

const Time kMade = Time{} + seconds(100);

WholeList Made(Duration took) {
  WholeList list;
  list.Set(kMade - took, kMade, {8, 30, 40, kMade}, "body");
  return list;
}

TEST(WholeList, ServesWhileItIsOfNowOrTooDearToMakeAnew) {
  const struct {
    const char* name;
    Duration took;
    Duration later;
    uint64_t state;
    uint64_t above;
    bool serves;
  } cases[] = {
      {"of the same state, however old", milliseconds(1), seconds(60), 40, 7,
       true},
      {"the asker has it", milliseconds(1), Duration(0), 40, 8, false},
      {"the asker has a later one", milliseconds(1), Duration(0), 40, 9, false},
      {"short to make, of a moment ago", milliseconds(1), milliseconds(3), 41,
       7, true},
      {"short to make", milliseconds(1), milliseconds(4), 41, 7, false},
      {"long to make, of a moment ago", milliseconds(100), milliseconds(399),
       41, 7, true},
      {"long to make", milliseconds(100), milliseconds(400), 41, 7, false},
      {"longer", milliseconds(900), milliseconds(499), 41, 7, true},
      {"longer, but nobody waits so long", milliseconds(900), milliseconds(500),
       41, 7, false},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(Made(c.took).Serves(kMade + c.later, c.state, c.above), c.serves)
        << c.name;
  }
  EXPECT_FALSE(WholeList().Serves(kMade, 0, 0)) << "none was made";
}

// A hundred boxes that start together ask a box on which 3,000 entries change
// within three seconds, and for which making the list takes 250 ms. They were
// served one by one, 25 s in all, each with a list of its own.
TEST(WholeList, ManyAskersWhileItChangesCostAThirdOfTheTime) {
  constexpr int kAskers = 100;
  const Duration took = milliseconds(250);
  std::minstd_rand random(1);
  WholeList list;
  Time now = kMade;
  uint64_t state = 1;
  int made = 0;
  for (int i = 0; i < kAskers; i++) {
    now += milliseconds(random() % 60);
    state += 1 + random() % 30;
    if (list.Serves(now, state, 0)) continue;
    list.Set(now, now + took, {8, state, state, now}, "body");
    now += took;
    made++;
  }
  const Duration all = now - kMade;
  EXPECT_LE(made * took, all / 3 + took) << made;
  EXPECT_LT(all, seconds(6));
}

}  // namespace
}  // namespace pinford
