#include "pinford/forwarding/run_findings.h"

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

static FeatureFinding FindingOnRequest(const RunFacts& facts,
                                       const CrashLedger::Options& options) {
  const bool ran_long = facts.answering >= options.max_run_to_crash;
  if (facts.end == RunEnd::kSucceeded || ran_long)
    return FeatureFinding::kSurvived;
  // It was moved from an endpoint that crashed to another that crashes now.
  return facts.resumed ? FeatureFinding::kNone
                       : FeatureFinding::kMayHaveCrashed;
}

RunFindings FindingsOf(const RunFacts& facts,
                       const CrashLedger::Options& options) {
  RunFindings findings;
  findings.request = FindingOnRequest(facts, options);
  if (facts.end == RunEnd::kSucceeded && IsSuccess(facts.status)) {
    findings.parts = FeatureFinding::kSurvived;
  } else if (findings.request == FeatureFinding::kMayHaveCrashed &&
             !facts.parts_survived) {
    findings.parts = FeatureFinding::kMayHaveCrashed;
  }
  return findings;
}

}  // namespace pinford
