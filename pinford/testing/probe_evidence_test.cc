#include "pinford/forwarding/probe_evidence.h"

#include <gtest/gtest.h>

#include <vector>

namespace pinford {
namespace {

Time At(int ms) { return Time{} + milliseconds(ms); }

TEST(ProbeEvidence, UnansweredProbes) {
  const struct {
    const char* name;
    std::vector<int> sent;      // ms, the first without an answer
    std::vector<int> answered;  // of those
    bool blames;
  } cases[] = {
      {"alone", {100}, {}, true},
      {"none of a chain answers", {100, 100, 100}, {}, false},
      {"another answers", {100, 100, 100}, {100}, true},
      {"another, sent a little later, answers", {100, 120}, {120}, true},
      {"another, sent a little earlier, does not answer", {100, 80}, {}, false},
      {"another answered long before", {100, 60}, {60}, true},
      {"... and a concurrent one did not", {100, 100, 60}, {60}, false},
  };
  for (const auto& c : cases) {
    ProbeEvidence evidence;
    for (int ms : c.sent) evidence.OnSent(At(ms));
    for (int ms : c.answered) evidence.OnAnswered(At(ms));
    EXPECT_EQ(evidence.IndicatesFailure(At(100)), c.blames) << c.name;
  }
}

TEST(ProbeEvidence, KeepsABoundedNumberOfProbes) {
  ProbeEvidence evidence;
  evidence.OnSent(At(0));
  evidence.OnAnswered(At(0));
  for (size_t i = 0; i < ProbeEvidence::kMaxProbes; i++) evidence.OnSent(At(1));
  EXPECT_FALSE(evidence.IndicatesFailure(At(1)));
}

TEST(ProbeEvidence, LocalFaultIsSuspectedUntilAnAnswer) {
  ProbeEvidence evidence;
  evidence.OnSent(At(0));
  evidence.OnSent(At(0));
  EXPECT_FALSE(evidence.IndicatesFailure(At(0)));
  evidence.OnSent(At(200));  // alone
  EXPECT_FALSE(evidence.IndicatesFailure(At(200)));
  evidence.OnSent(At(400));
  evidence.OnAnswered(At(400));
  evidence.OnSent(At(600));
  EXPECT_TRUE(evidence.IndicatesFailure(At(600)));
}

}  // namespace
}  // namespace pinford
