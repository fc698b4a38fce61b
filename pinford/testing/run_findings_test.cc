// Which runs accuse a request, or the parts of its prompt, and which clear
// them.

#include "pinford/forwarding/run_findings.h"

#include <gtest/gtest.h>

#include <optional>

namespace pinford {
namespace {

constexpr FeatureFinding kNone = FeatureFinding::kNone;
constexpr FeatureFinding kCrash = FeatureFinding::kMayHaveCrashed;
constexpr FeatureFinding kSurvived = FeatureFinding::kSurvived;

RunFacts Ended(RunEnd end, int status, int answering_ms) {
  RunFacts facts;
  facts.end = end;
  facts.status = status;
  facts.answering = milliseconds(answering_ms);
  return facts;
}

RunFacts Broken(int answering_ms) {
  return Ended(RunEnd::kBroken, 200, answering_ms);
}

// Of a stream that an earlier run has begun to answer.
RunFacts Resumed(RunFacts facts, std::optional<int> answering_before_ms) {
  facts.resumed = true;
  if (answering_before_ms)
    facts.answering_before = milliseconds(*answering_before_ms);
  return facts;
}

RunFacts Midway(RunFacts facts) {
  facts.midway = true;
  return facts;
}

RunFacts PartsSurvived(RunFacts facts) {
  facts.parts_survived = true;
  return facts;
}

TEST(RunFindings, FollowFromTheEndOfTheRun) {
  const struct {
    const char* name;
    RunFacts facts;
    RunFindings expected;
  } cases[] = {
      {"broken before the first event", Broken(0), {kCrash, kCrash}},
      {"broken soon after it", Broken(100), {kCrash, kCrash}},
      {"broken after its parts were survived",
       PartsSurvived(Broken(400)),
       {kCrash, kNone}},
      {"broken late", PartsSurvived(Broken(1300)), {kCrash, kNone}},
      {"broken late, without its parts survived",
       Broken(1300),
       {kCrash, kNone}},
      {"abandoned late",
       PartsSurvived(Ended(RunEnd::kAbandoned, 200, 1300)),
       {kNone, kNone}},
      {"abandoned", Ended(RunEnd::kAbandoned, 0, 0), {kCrash, kCrash}},
      {"complete", Ended(RunEnd::kSucceeded, 200, 700), {kSurvived, kSurvived}},
      {"complete, from some event on",
       Midway(Ended(RunEnd::kSucceeded, 200, 700)),
       {kNone, kSurvived}},
      {"failed by the endpoint",
       Ended(RunEnd::kSucceeded, 500, 0),
       {kNone, kNone}},
      {"refused by the service",
       Ended(RunEnd::kSucceeded, 404, 0),
       {kSurvived, kNone}},
      {"resumed, broken at the same point as before",
       Resumed(Broken(120), 100),
       {kCrash, kNone}},
      {"resumed, broken twice before events of a slow endpoint",
       Resumed(Broken(240), 0),
       {kCrash, kNone}},
      {"resumed, broken sooner than before",
       Resumed(Broken(100), 500),
       {kNone, kNone}},
      {"resumed, broken later than before",
       Resumed(Broken(900), 100),
       {kNone, kNone}},
      {"resumed, broken late as before",
       Resumed(Broken(900), 1300),
       {kCrash, kNone}},
      {"resumed after its box left a silent endpoint",
       Resumed(Broken(100), std::nullopt),
       {kCrash, kNone}},
  };
  for (const auto& c : cases) {
    const RunFindings findings = FindingsOf(c.facts, CrashLedger::Options());
    EXPECT_EQ(findings.request, c.expected.request) << c.name;
    EXPECT_EQ(findings.parts, c.expected.parts) << c.name;
  }
}

}  // namespace
}  // namespace pinford
