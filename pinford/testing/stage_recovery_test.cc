// What becomes of streams whose stage is down or slow: each choice, and what
// callers get of all of them together when a hall loses its only holder.

#include "pinford/forwarding/stage_recovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "util/hash.h"

namespace pinford {
namespace {

constexpr Duration kAllowed = milliseconds(250);

RecoveryFacts Down() {
  RecoveryFacts f;
  f.down = true;
  f.started = true;
  f.allowed = kAllowed;
  f.silent = milliseconds(60);
  f.anew = milliseconds(150);
  f.place = 0.5;
  f.may_begin_anew = true;
  return f;
}

RecoveryFacts Slow() {
  RecoveryFacts f = Down();
  f.down = false;
  f.silent = Duration(0);
  f.gap_if_kept = milliseconds(60);
  f.replace_all = milliseconds(100);
  return f;
}

TEST(StageRecovery, ADownStageIsLeftByTheSoonerWay) {
  const struct {
    const char* name;
    std::optional<Duration> replace_all;
    double place;
    bool may_begin_anew;
    RecoveryMove move;
  } cases[] = {
      {"read in time", milliseconds(300), 0.5, true, RecoveryMove::kReplace},
      {"its place comes too late", milliseconds(900), 0.5, true,
       RecoveryMove::kBeginAnew},
      {"the first of many", milliseconds(900), 0.1, true,
       RecoveryMove::kReplace},
      {"late, but no run is left", milliseconds(900), 0.5, false,
       RecoveryMove::kReplace},
      {"nobody takes the part", std::nullopt, 0.5, true,
       RecoveryMove::kBeginAnew},
      {"nobody, and no run is left", std::nullopt, 0.5, false,
       RecoveryMove::kStay},
      {"nobody reads it", Duration::max(), 0.5, true, RecoveryMove::kBeginAnew},
  };
  for (const auto& c : cases) {
    RecoveryFacts f = Down();
    f.replace_all = c.replace_all;
    f.place = c.place;
    f.may_begin_anew = c.may_begin_anew;
    EXPECT_EQ(ChooseRecovery(f).move, c.move) << c.name;
  }
}

TEST(StageRecovery, ASlowStageIsLeftOnlyWhereItsEventsWouldBeLate) {
  const struct {
    const char* name;
    Duration gap_if_kept;
    int more_crossings;
    Duration replace_all;
    bool started;
    RecoveryMove move;
  } cases[] = {
      {"well within", milliseconds(60), 0, milliseconds(100), true,
       RecoveryMove::kStay},
      {"too near", milliseconds(200), 0, milliseconds(100), true,
       RecoveryMove::kReplace},
      {"would cross", milliseconds(200), 2, milliseconds(100), true,
       RecoveryMove::kStay},
      {"reading takes as long", milliseconds(200), 0, seconds(1), true,
       RecoveryMove::kStay},
      {"has not begun", milliseconds(60), 0, milliseconds(100), false,
       RecoveryMove::kReplace},
      {"has not begun, would cross", milliseconds(60), 2, milliseconds(100),
       false, RecoveryMove::kStay},
  };
  for (const auto& c : cases) {
    RecoveryFacts f = Slow();
    f.gap_if_kept = c.gap_if_kept;
    f.more_crossings = c.more_crossings;
    f.replace_all = c.replace_all;
    f.started = c.started;
    EXPECT_EQ(ChooseRecovery(f).move, c.move) << c.name;
  }
}

TEST(StageRecovery, TheTimeForAllIsThatOfTheSlowerPart) {
  const struct {
    const char* name;
    RecoveryLoad load;
    Duration time;
  } cases[] = {
      {"nothing lost", {}, Duration(0)},
      {"reading binds", {45000, 200000, 0, 0, 2}, milliseconds(225)},
      {"links bind", {75600, 1e6, 2, 38e-6, 2}, microseconds(2872800)},
      {"fewer crossings cost nothing",
       {100, 1000, -2, 38e-6, 2},
       milliseconds(100)},
      {"nobody reads", {100, 0, 0, 0, 1}, Duration::max()},
  };
  for (const auto& c : cases) {
    EXPECT_NEAR(ToSeconds(TimeForAll(c.load)), ToSeconds(c.time), 1e-6)
        << c.name;
  }
}

TEST(StageRecovery, UrgentStreamsStandInFront) {
  Random random(1);
  std::uniform_real_distribution<double> draws(0, 1);
  for (int i = 0; i < 1000; i++) {
    const double draw = draws(random);
    const double urgent = PlaceOf(draw, Tier::kCritical);
    const double usual = PlaceOf(draw, Tier::kStandard);
    const double patient = PlaceOf(draw, Tier::kBackground);
    EXPECT_LE(0, urgent);
    EXPECT_LE(urgent, usual);
    EXPECT_LE(usual, patient);
    EXPECT_LT(patient, 1);
  }
}

// Whatever the facts: nothing is chosen that is not there, and a stage that is
// down is never kept while something can be done.
TEST(StageRecovery, NeverChoosesWhatIsNotThere) {
  Random random(2);
  const auto some = [&random](int most) {
    return milliseconds(std::uniform_int_distribution<int>(0, most)(random));
  };
  const auto either = [&random] { return (random() & 1) != 0; };
  for (int i = 0; i < 20000; i++) {
    RecoveryFacts f;
    f.down = either();
    f.started = either();
    f.allowed = some(1000);
    f.silent = some(2000);
    f.gap_if_kept = some(1000);
    if (either()) f.replace_all = either() ? some(5000) : Duration::max();
    f.more_crossings = std::uniform_int_distribution<int>(-2, 2)(random);
    f.place = std::uniform_real_distribution<double>(0, 1)(random);
    f.anew = some(500);
    f.may_begin_anew = either();
    const RecoveryMove move = ChooseRecovery(f).move;
    const bool something = f.replace_all || f.may_begin_anew;
    EXPECT_TRUE(move != RecoveryMove::kReplace || f.replace_all);
    EXPECT_TRUE(move != RecoveryMove::kBeginAnew || f.may_begin_anew);
    EXPECT_TRUE(move != RecoveryMove::kStay || !f.down || !something);
  }
}

// A hall has lost its only holder of some layers. Streams that get stages in
// other halls cross one after the other; those that begin anew are read there,
// over `prefill_per_s`.
struct Loss {
  int streams = 84;
  double tokens = 900;  // of each
  double transfer_seconds_per_token = 38e-6;
  int links = 2;
  double prefill_per_s = 400000;  // of other halls, whole chains
  int retries = 84;
};

struct Outcome {
  int in_time = 0;
  int late = 0;
  int left = 0;  // after two seconds
};

constexpr Duration kNoticed = milliseconds(75);

Outcome Play(const Loss& loss, bool timed) {
  Outcome out;
  double link_busy = 0;
  double read_busy = 0;
  int retries = loss.retries;
  RecoveryLoad load;
  load.tokens = loss.streams * loss.tokens;
  load.prefill_per_s = loss.prefill_per_s;
  load.more_crossings = 2;
  load.transfer_seconds_per_token = loss.transfer_seconds_per_token;
  load.links = loss.links;
  for (int i = 0; i < loss.streams; i++) {
    RecoveryFacts f = Down();
    f.silent = kNoticed;
    f.replace_all = TimeForAll(load);
    f.more_crossings = load.more_crossings;
    f.place = PlaceOf(UnitHash(std::to_string(i)), Tier::kStandard);
    f.may_begin_anew = retries > 0;
    const bool anew =
        timed && ChooseRecovery(f).move == RecoveryMove::kBeginAnew;
    double done = 0;
    if (anew) {
      retries--;
      read_busy += loss.tokens / loss.prefill_per_s;
      constexpr double kWholeChain = 0.06;  // seconds, of one by itself
      done = kWholeChain + read_busy;
    } else {
      link_busy += load.more_crossings * loss.tokens *
                   loss.transfer_seconds_per_token / loss.links;
      done = link_busy;
    }
    const Duration pause = kNoticed + FromSeconds(done);
    if (pause <= kAllowed) {
      out.in_time++;
    } else if (pause < seconds(2)) {
      out.late++;
    } else {
      out.left++;
    }
  }
  return out;
}

TEST(StageRecovery, AHallWithoutItsOnlyHolderGoesOn) {
  const Outcome all_cross = Play(Loss(), false);
  EXPECT_EQ(all_cross.in_time, 5);
  EXPECT_EQ(all_cross.left, 28);
  const Outcome timed = Play(Loss(), true);
  EXPECT_EQ(timed.left, 0);
  EXPECT_GE(timed.in_time, 45);
  // With few retries less is gained, and nothing lost.
  Loss few;
  few.retries = 30;
  const Outcome some = Play(few, true);
  EXPECT_GE(some.in_time, 30);
  EXPECT_LE(some.left, 5);
}

}  // namespace
}  // namespace pinford
