// Decides what the end of a run tells about its request: whether the request,
// or the parts of its prompt, may have crashed the endpoint (crash_ledger.h).

#ifndef PINFORD_FORWARDING_RUN_FINDINGS_H_
#define PINFORD_FORWARDING_RUN_FINDINGS_H_

#include <string_view>

#include "pinford/forwarding/crash_ledger.h"
#include "util/clock.h"

namespace pinford {

enum class RunEnd {
  kSucceeded,  // with a whole response
  kBroken,     // the endpoint broke it off
  kAbandoned,  // the box or the caller ended it
};

struct RunFacts {
  RunEnd end = RunEnd::kBroken;
  int status = 0;               // of the response; 0 without one
  Duration answering{};         // since the first event of this run
  bool resumed = false;         // an earlier run has begun to answer
  bool parts_survived = false;  // that was recorded during the run
};

enum class FeatureFinding {
  kNone,
  kMayHaveCrashed,  // counts if the endpoint is found to have ended
  kSurvived,
};

std::string_view FeatureFindingName(FeatureFinding f);

struct RunFindings {
  FeatureFinding request = FeatureFinding::kNone;
  FeatureFinding parts = FeatureFinding::kNone;  // of its prompt

  bool operator==(const RunFindings&) const = default;
};

RunFindings FindingsOf(const RunFacts& facts,
                       const CrashLedger::Options& options);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RUN_FINDINGS_H_
