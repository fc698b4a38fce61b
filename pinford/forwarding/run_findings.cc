#include "pinford/forwarding/run_findings.h"

#include <algorithm>

#include "pinford/http.h"
#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<FeatureFinding> kFindingNames[] = {
    {FeatureFinding::kNone, "none"},
    {FeatureFinding::kMayHaveCrashed, "may have crashed it"},
    {FeatureFinding::kSurvived, "survived"},
};

std::string_view FeatureFindingName(FeatureFinding f) {
  return NameIn(kFindingNames, f);
}

// Whether both runs were broken off at about the same point.
static bool AreAlike(Duration a, Duration b) {
  constexpr int kFactor = 2;
  // Slow endpoints send events this far apart.
  constexpr Duration kMargin = milliseconds(250);
  return std::max(a, b) <= kFactor * std::min(a, b) + kMargin;
}

static FeatureFinding FindingOnRequest(const RunFacts& facts,
                                       const CrashLedger::Options& options) {
  if (facts.end == RunEnd::kSucceeded) {
    const bool whole = !facts.midway && facts.status < kFirstServerError;
    return whole ? FeatureFinding::kSurvived : FeatureFinding::kNone;
  }
  const bool ran_long = facts.answering >= options.max_run_to_crash;
  if (facts.end == RunEnd::kAbandoned && ran_long) return FeatureFinding::kNone;
  const bool moved = facts.answering_before &&
                     !AreAlike(*facts.answering_before, facts.answering);
  return moved ? FeatureFinding::kNone : FeatureFinding::kMayHaveCrashed;
}

RunFindings FindingsOf(const RunFacts& facts,
                       const CrashLedger::Options& options) {
  RunFindings findings;
  findings.request = FindingOnRequest(facts, options);
  if (facts.end == RunEnd::kSucceeded && IsSuccess(facts.status)) {
    findings.parts = FeatureFinding::kSurvived;
  } else if (findings.request == FeatureFinding::kMayHaveCrashed &&
             !facts.resumed && !facts.parts_survived &&
             facts.answering < options.max_run_to_crash) {
    findings.parts = FeatureFinding::kMayHaveCrashed;
  }
  return findings;
}

}  // namespace pinford
