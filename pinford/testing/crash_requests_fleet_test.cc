// What many boxes do together with one request that crashes endpoints each time
// that its callers repeat it, with other requests beside it.

#include <gtest/gtest.h>

#include <ostream>

#include "pinford/testing/crash_fleet.h"

namespace pinford {
namespace {

constexpr int kAllowedSends = 3;
constexpr int kSeeds = 20;
// Runs of the request until they crash their endpoints: after the first event
// (80 ms), amid the answer, and late in it.
constexpr milliseconds kAfterFirstEvent{100};
constexpr milliseconds kAmid{500};
constexpr milliseconds kLate{1380};

struct Case {
  const char* name;
  CrashFleetOptions options;

  friend void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }
};

class CrashRequestsFleet : public testing::TestWithParam<Case> {};

TEST_P(CrashRequestsFleet, IsStoppedAndSoundRequestsAreServed) {
  CrashFleetOptions options = GetParam().options;
  options.bad_callers = 0;
  options.most_runs = 3;
  for (uint64_t seed = 1; seed <= kSeeds; seed++) {
    options.seed = seed;
    CrashFleet fleet(options);
    fleet.RunFor(seconds(35));
    EXPECT_GE(fleet.repeated().crashes, CrashFleet::kRequestCrashesBeforeBound)
        << "seed " << seed;
    EXPECT_LE(fleet.repeated().late_sends, kAllowedSends)
        << "seed " << seed << " crashes " << fleet.repeated().crashes;
    EXPECT_EQ(fleet.sound_refused(), 0)
        << "seed " << seed << " served " << fleet.sound_served();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CrashRequestsFleet,
    testing::Values(
        Case{"AfterTheFirstEvent",
             {.repeat_callers = 2, .repeat_crash_time = kAfterFirstEvent}},
        Case{"AfterTheFirstEventSeldom",
             {.repeat_callers = 1,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(3)}},
        Case{"BeforeTheFirstEventSeldom",
             {.repeat_callers = 2, .repeat_pause = seconds(3)}},
        Case{"AmidTheAnswer",
             {.repeat_callers = 2,
              .repeat_crash_time = kAmid,
              .repeat_pause = seconds(3)}},
        Case{"LateInTheAnswer",
             {.repeat_callers = 2, .repeat_crash_time = kLate}},
        Case{"LateInTheAnswerSeldom",
             {.repeat_callers = 2,
              .repeat_crash_time = kLate,
              .repeat_pause = seconds(3)}},
        Case{"OneFirstPartOfAll",
             {.repeat_callers = 2,
              .first_parts = 1,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(3)}},
        Case{"LossyLinks",
             {.net = {.loss = 0.3,
                      .duplicates = 0.2,
                      .max_delay_ms = 200,
                      .max_confirm_ms = 300},
              .repeat_callers = 2,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(3)}},
        Case{"BoxesRestart",
             {.net = {.max_confirm_ms = 300, .box_restarts = milliseconds(700)},
              .repeat_callers = 2,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(3)}},
        Case{"FewEndpoints",
             {.endpoints = 5,
              .sound_callers = 180,
              .repeat_callers = 3,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(2)}},
        Case{"LargeFleet",
             {.net = {.boxes = 730, .max_confirm_ms = 300},
              .endpoints = 60,
              .sound_callers = 300,
              .repeat_callers = 2,
              .repeat_crash_time = kAfterFirstEvent,
              .repeat_pause = seconds(3)}}),
    [](const auto& info) { return info.param.name; });

void ExpectBothAreStopped(CrashFleetOptions options) {
  options.most_runs = 3;
  for (uint64_t seed = 1; seed <= kSeeds; seed++) {
    options.seed = seed;
    CrashFleet fleet(options);
    fleet.RunFor(seconds(35));
    EXPECT_LE(fleet.repeated().late_sends, kAllowedSends)
        << "seed " << seed << " crashes " << fleet.repeated().crashes;
    EXPECT_LE(fleet.bad_part().late_sends, kAllowedSends)
        << "seed " << seed << " crashes " << fleet.bad_part().crashes;
  }
}

TEST(CrashRequestsBesideBadParts, BothAreStopped) {
  for (const Duration pause : {milliseconds(400), milliseconds(3000)}) {
    ExpectBothAreStopped({.repeat_callers = 2,
                          .repeat_crash_time = kAfterFirstEvent,
                          .repeat_pause = pause});
  }
}

TEST(CrashRequestsBesideBadParts, BothAreStoppedOnFewEndpoints) {
  ExpectBothAreStopped({.endpoints = 5,
                        .sound_callers = 180,
                        .repeat_callers = 3,
                        .repeat_crash_time = kAfterFirstEvent,
                        .repeat_pause = seconds(1)});
}

// Guards against a sound request that many callers repeat and that stays
// refused for minutes: while both causes crash endpoints, hardly any of its
// runs comes to its end, and later none could clear it.
TEST(CrashRequestsBesideBadParts, APopularRequestIsServedAgain) {
  constexpr seconds kUntilServed{20};  // 15 s after the first crash
  for (uint64_t seed = 1; seed <= kSeeds; seed++) {
    CrashFleetOptions options;
    options.repeat_callers = 3;
    options.popular_callers = 12;
    options.most_runs = 3;
    options.repeat_crash_time = kAfterFirstEvent;
    options.seed = seed;
    CrashFleet fleet(options);
    fleet.RunFor(kUntilServed);
    const int refused = fleet.popular_refused();
    const int served = fleet.popular_served();
    fleet.RunFor(seconds(15));
    // Sound requests are to begin half as often as without a cause, or more.
    EXPECT_GE(fleet.popular_served() - served,
              fleet.popular_refused() - refused)
        << "seed " << seed;
  }
}

// Many endpoints' streams are lost at once, so that boxes have more evidence to
// send than their budget allows.
class CrashEvidenceOverload : public testing::TestWithParam<Case> {};

TEST_P(CrashEvidenceOverload, DoesNotHideARepeatedRequest) {
  CrashFleetOptions options = GetParam().options;
  options.bad_callers = 0;
  options.sound_callers = 300;
  options.repeat_callers = 2;
  options.most_runs = 3;
  int late = 0;
  for (uint64_t seed = 1; seed <= kSeeds; seed++) {
    options.seed = seed;
    CrashFleet fleet(options);
    fleet.RunFor(seconds(35));
    late += fleet.repeated().late_sends > kAllowedSends;
  }
  EXPECT_EQ(late, 0) << "of " << kSeeds << " fleets";
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CrashEvidenceOverload,
    testing::Values(
        Case{"ManyEndpoints", {}},
        Case{"MassCrashes", {.mass_crash_interval = seconds(6)}},
        Case{"FewEndpoints", {.endpoints = 5}},
        Case{"FewEndpointsAndManyParts",
             {.endpoints = 5,
              .first_parts = 1,
              .second_parts = 20,
              .bad_first_parts = 1}},
        Case{"FewEndpointsSeldom",
             {.endpoints = 5, .second_parts = 20, .repeat_pause = seconds(2)}}),
    [](const auto& info) { return info.param.name; });

constexpr int kMaxControlBytes = 2000;  // per box and second, for all control

TEST(CrashRequestsTraffic, IsTheSameForAnyNumberOfBoxes) {
  for (const int boxes : {8, 60, 730}) {
    CrashFleetOptions options;
    options.net.boxes = boxes;
    options.endpoints = 60;
    options.bad_callers = 0;
    options.repeat_callers = 2;
    options.repeat_crash_time = kAfterFirstEvent;
    CrashFleet fleet(options);
    fleet.RunFor(seconds(35));
    EXPECT_LE(fleet.most_bytes_per_second(), kMaxControlBytes) << boxes;
  }
}

}  // namespace
}  // namespace pinford
