#include "pinford/forwarding/caller_budget.h"

#include <gtest/gtest.h>

#include <list>

#include "util/hash.h"

namespace pinford {
namespace {

constexpr size_t kKiB = 1 << 10;
constexpr size_t kMiB = 1 << 20;

TEST(CallerBudget, LargeRequestsLeaveRoomForSmallOnes) {
  const struct {
    const char* name;
    size_t held;
    size_t request;
    bool has_room;
  } cases[] = {
      {"nothing", 0, 0, true},
      {"a large one alone", 4 * kMiB, 4 * kMiB, true},
      {"twelve large ones", 48 * kMiB, 4 * kMiB, true},
      {"one more", 48 * kMiB + 1, 4 * kMiB, false},
      {"a small one beside them", 48 * kMiB + 1, kKiB, true},
      {"small ones up to the limit", 64 * kMiB - 256 * kKiB, kKiB, true},
      {"... and no further", 64 * kMiB - 256 * kKiB + 1, kKiB, false},
      {"an empty one at the limit", 64 * kMiB, 0, true},
      {"beyond the limit", 64 * kMiB + 1, 0, false},
  };
  for (const auto& c : cases) {
    CallerBudget budget(64 * kMiB);
    ByteCharge charge(budget.account());
    charge.Set(c.held);
    EXPECT_EQ(budget.HasRoomFor(c.request), c.has_room) << c.name;
  }
}

TEST(CallerBudget, CountsWhatItsChargesHold) {
  for (uint64_t seed = 1; seed <= 100; seed++) {
    Random random(seed);
    CallerBudget budget(kMiB);
    std::list<ByteCharge> charges;
    for (int i = 0; i < 100; i++) {
      if (random() % 3 == 0 && !charges.empty()) {
        charges.pop_front();
      } else {
        charges.emplace_back(budget.account());
      }
      if (!charges.empty()) charges.back().Set(random() % 1000);
      size_t held = 0;
      for (const ByteCharge& c : charges) held += c.bytes();
      ASSERT_EQ(budget.held(), held) << seed;
    }
  }
}

}  // namespace
}  // namespace pinford
