// Recovery of streams whose stage is down or slow: each choice, and the
// combined result for callers when a hall loses the only holder of some layers.

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
  f.idle = milliseconds(60);
  f.restart_time = milliseconds(150);
  f.queue_position = 0.5;
  f.may_restart = true;
  return f;
}

RecoveryFacts Slow() {
  RecoveryFacts f = Down();
  f.down = false;
  f.idle = Duration(0);
  f.gap_if_unchanged = milliseconds(60);
  f.replace_all = milliseconds(100);
  return f;
}

TEST(StageRecovery, ADownStageUsesTheFasterRecovery) {
  const struct {
    const char* name;
    std::optional<Duration> replace_all;
    double queue_position;
    bool may_restart;
    RecoveryAction action;
  } cases[] = {
      {"prefilled in time", milliseconds(300), 0.5, true,
       RecoveryAction::kReplace},
      {"its position is too late", milliseconds(900), 0.5, true,
       RecoveryAction::kRestart},
      {"the first of many", milliseconds(900), 0.1, true,
       RecoveryAction::kReplace},
      {"late, but no attempt is left", milliseconds(900), 0.5, false,
       RecoveryAction::kReplace},
      {"no replacement", std::nullopt, 0.5, true, RecoveryAction::kRestart},
      {"no replacement, and no attempt is left", std::nullopt, 0.5, false,
       RecoveryAction::kStay},
      {"no prefill capacity", Duration::max(), 0.5, true,
       RecoveryAction::kRestart},
  };
  for (const auto& c : cases) {
    RecoveryFacts f = Down();
    f.replace_all = c.replace_all;
    f.queue_position = c.queue_position;
    f.may_restart = c.may_restart;
    EXPECT_EQ(ChooseRecovery(f).action, c.action) << c.name;
  }
}

TEST(StageRecovery, ASlowStageIsReplacedOnlyIfEventsWouldBeLate) {
  const struct {
    const char* name;
    Duration gap_if_unchanged;
    int extra_transfers;
    Duration replace_all;
    bool started;
    RecoveryAction action;
  } cases[] = {
      {"well within the limit", milliseconds(60), 0, milliseconds(100), true,
       RecoveryAction::kStay},
      {"too close to the limit", milliseconds(200), 0, milliseconds(100), true,
       RecoveryAction::kReplace},
      {"would be transferred", milliseconds(200), 2, milliseconds(100), true,
       RecoveryAction::kStay},
      {"prefill takes too long", milliseconds(200), 0, seconds(1), true,
       RecoveryAction::kStay},
      {"has not started", milliseconds(60), 0, milliseconds(100), false,
       RecoveryAction::kReplace},
      {"has not started, would be transferred", milliseconds(60), 2,
       milliseconds(100), false, RecoveryAction::kStay},
  };
  for (const auto& c : cases) {
    RecoveryFacts f = Slow();
    f.gap_if_unchanged = c.gap_if_unchanged;
    f.extra_transfers = c.extra_transfers;
    f.replace_all = c.replace_all;
    f.started = c.started;
    EXPECT_EQ(ChooseRecovery(f).action, c.action) << c.name;
  }
}

TEST(StageRecovery, RecoveryTimeIsTheSlowerOfPrefillAndTransfer) {
  const struct {
    const char* name;
    RecoveryLoad load;
    Duration time;
  } cases[] = {
      {"nothing lost", {}, Duration(0)},
      {"prefill is the limit", {45000, 200000, 0, 0, 2}, milliseconds(225)},
      {"links are the limit", {75600, 1e6, 2, 38e-6, 2}, microseconds(2872800)},
      {"fewer transfers cost nothing",
       {100, 1000, -2, 38e-6, 2},
       milliseconds(100)},
      {"no prefill capacity", {100, 0, 0, 0, 1}, Duration::max()},
  };
  for (const auto& c : cases) {
    EXPECT_NEAR(ToSeconds(TimeToRecoverAll(c.load)), ToSeconds(c.time), 1e-6)
        << c.name;
  }
}

TEST(StageRecovery, UrgentStreamsQueueFirst) {
  Random random(1);
  std::uniform_real_distribution<double> draws(0, 1);
  for (int i = 0; i < 1000; i++) {
    const double draw = draws(random);
    const double urgent = QueuePosition(draw, Tier::kCritical);
    const double usual = QueuePosition(draw, Tier::kStandard);
    const double patient = QueuePosition(draw, Tier::kBackground);
    EXPECT_LE(0, urgent);
    EXPECT_LE(urgent, usual);
    EXPECT_LE(usual, patient);
    EXPECT_LT(patient, 1);
  }
}

// For random facts: only available actions are chosen, and a stage that is down
// is left if any other action is available.
TEST(StageRecovery, NeverChoosesAnUnavailableAction) {
  Random random(2);
  const auto some = [&random](int max_ms) {
    return milliseconds(std::uniform_int_distribution<int>(0, max_ms)(random));
  };
  const auto either = [&random] { return (random() & 1) != 0; };
  for (int i = 0; i < 20000; i++) {
    RecoveryFacts f;
    f.down = either();
    f.started = either();
    f.allowed = some(1000);
    f.idle = some(2000);
    f.gap_if_unchanged = some(1000);
    if (either()) f.replace_all = either() ? some(5000) : Duration::max();
    f.extra_transfers = std::uniform_int_distribution<int>(-2, 2)(random);
    f.queue_position = std::uniform_real_distribution<double>(0, 1)(random);
    f.restart_time = some(500);
    f.may_restart = either();
    const RecoveryAction action = ChooseRecovery(f).action;
    const bool something = f.replace_all || f.may_restart;
    EXPECT_TRUE(action != RecoveryAction::kReplace || f.replace_all);
    EXPECT_TRUE(action != RecoveryAction::kRestart || f.may_restart);
    EXPECT_TRUE(action != RecoveryAction::kStay || !f.down || !something);
  }
}

// A hall has lost its only holder of some layers. Streams with replacement
// stages in other halls are transferred one after the other; restarted streams
// are prefilled there, at `prefill_per_s`.
struct Loss {
  int streams = 84;
  double tokens = 900;  // per stream
  double transfer_seconds_per_token = 38e-6;
  int links = 2;
  double prefill_per_s = 400000;  // whole chains of other halls
  int retries = 84;
};

struct Outcome {
  int on_time = 0;
  int late = 0;
  int abandoned = 0;  // by their callers, after two seconds
};

constexpr Duration kDetectionTime = milliseconds(75);

Outcome RunLoss(const Loss& loss, bool timed) {
  Outcome out;
  double link_busy = 0;
  double prefill_busy = 0;
  int retries = loss.retries;
  RecoveryLoad load;
  load.tokens = loss.streams * loss.tokens;
  load.prefill_per_s = loss.prefill_per_s;
  load.extra_transfers = 2;
  load.transfer_seconds_per_token = loss.transfer_seconds_per_token;
  load.links = loss.links;
  for (int i = 0; i < loss.streams; i++) {
    RecoveryFacts f = Down();
    f.idle = kDetectionTime;
    f.replace_all = TimeToRecoverAll(load);
    f.extra_transfers = load.extra_transfers;
    f.queue_position =
        QueuePosition(UnitHash(std::to_string(i)), Tier::kStandard);
    f.may_restart = retries > 0;
    const bool restart =
        timed && ChooseRecovery(f).action == RecoveryAction::kRestart;
    double done = 0;
    if (restart) {
      retries--;
      prefill_busy += loss.tokens / loss.prefill_per_s;
      constexpr double kWholeChain = 0.06;  // seconds, for a single stream
      done = kWholeChain + prefill_busy;
    } else {
      link_busy += load.extra_transfers * loss.tokens *
                   loss.transfer_seconds_per_token / loss.links;
      done = link_busy;
    }
    const Duration pause = kDetectionTime + FromSeconds(done);
    if (pause <= kAllowed) {
      out.on_time++;
    } else if (pause < seconds(2)) {
      out.late++;
    } else {
      out.abandoned++;
    }
  }
  return out;
}

TEST(StageRecovery, AHallThatLostItsOnlyHolderRecovers) {
  const Outcome untimed = RunLoss(Loss(), false);
  EXPECT_EQ(untimed.on_time, 5);
  EXPECT_EQ(untimed.abandoned, 28);
  const Outcome timed = RunLoss(Loss(), true);
  EXPECT_EQ(timed.abandoned, 0);
  EXPECT_GE(timed.on_time, 45);
  // With few retries the gain is smaller, but nothing is lost.
  Loss few;
  few.retries = 30;
  const Outcome some = RunLoss(few, true);
  EXPECT_GE(some.on_time, 30);
  EXPECT_LE(some.abandoned, 5);
}

}  // namespace
}  // namespace pinford
