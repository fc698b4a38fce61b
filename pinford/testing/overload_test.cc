// Regression bounds on order and limits under load. Paused clock and fixed
// seeds make the results the same on each run.

#include <gtest/gtest.h>

#include "pinford/testing/overload_simulation.h"

namespace pinford {
namespace {

TEST(Overload, TwiceTheLoadIsServedInOrderAndRefusedAtOnce) {
  OverloadOptions options;
  options.offered = 2;
  const OverloadResult r = SimulateOverload(options);
  EXPECT_GE(r.goodput, 0.95);
  EXPECT_EQ(r.classes[0].refused, 0);
  EXPECT_LT(r.classes[0].wait_p95, 0.5);
  EXPECT_EQ(r.classes[1].refused, 0);
  EXPECT_LT(r.classes[1].wait_p95, 2);
  EXPECT_GT(r.classes[3].served, 0) << "the background tier starves";
  EXPECT_GE(r.small_share, 0.55);
}

TEST(Overload, NoTierWaitsLongBelowCapacity) {
  OverloadOptions options;
  options.offered = 0.8;
  const OverloadResult r = SimulateOverload(options);
  for (const OverloadResult::Class& c : r.classes) EXPECT_EQ(c.refused, 0);
  EXPECT_LT(r.classes[0].wait_p95, 0.2);
}

}  // namespace
}  // namespace pinford
