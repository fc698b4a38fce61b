// What the end of one attempt says: whether the request ran, and what may be
// done next.
//
// This is the only place that decides it. "Not run" is a promise to the
// caller, so it follows only from a request that was never sent or from an
// endpoint's own word; whatever else was seen, the request may have run.

#ifndef PINFORD_FORWARDING_ATTEMPT_RESULT_H_
#define PINFORD_FORWARDING_ATTEMPT_RESULT_H_

#include <string_view>

#include "pinford/forwarding/upstream_client.h"

namespace pinford {

// What was seen of an attempt.
struct AttemptFacts {
  UpstreamEnd end = UpstreamEnd::kRefused;
  int status = 0;             // of the answer's head; 0 without one
  bool says_not_run = false;  // the endpoint's word that it did not run it
  bool sealed = false;        // the answer bears an endpoint's seal
  bool encoded = false;       // its body is in an encoding nobody asked for
};

enum class Ran {
  kNo,     // it has not run there and will not
  kMaybe,  // nothing certain is known
  kYes,    // it ran
};

enum class AttemptUse {
  kPassOn,     // the answer is the caller's
  kPassError,  // a failure of the endpoint's own; another may do better
  kNone,       // there is nothing to pass on
};

struct AttemptResult {
  Ran ran = Ran::kMaybe;
  AttemptUse use = AttemptUse::kNone;
  // The endpoint itself seems at fault, rather than full.
  bool endpoint_failed = false;
};

std::string_view RanName(Ran r);

AttemptResult JudgeAttempt(const AttemptFacts& facts);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ATTEMPT_RESULT_H_
