// Decides what the end of a run tells about its request: whether the request,
// or the parts of its prompt, may have crashed the endpoint (crash_ledger.h).
//
// A stream that an earlier endpoint has begun to answer is resumed elsewhere
// when that one crashes. If the next one crashes too, the stream is the cause
// of both, or it was moved from one endpoint that crashed to another. The cause
// crashes each endpoint at about the same point of its run; a stream that is
// merely moved was at any point of its first one. Without that distinction
// either one crash of three counts, or most of the suspects are harmless.
//
// The cause may crash endpoints late in its answer, so every run that an
// endpoint broke off accuses the request, and only a whole answer clears it.
//
// That holds of whole requests. The parts of a prompt are shared by so many
// streams that some of them pass for the cause by chance, so a part is accused
// by first runs only.

#ifndef PINFORD_FORWARDING_RUN_FINDINGS_H_
#define PINFORD_FORWARDING_RUN_FINDINGS_H_

#include <optional>
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
  int status = 0;        // of the response; 0 without one
  Duration answering{};  // since the first event of this run
  // The same of the run before, if its endpoint broke that off.
  std::optional<Duration> answering_before;
  bool resumed = false;         // an earlier run has begun to answer
  bool midway = false;          // it was asked to go on after some event
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
