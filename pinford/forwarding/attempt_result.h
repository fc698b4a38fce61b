// What the end of one attempt says: whether the request ran, what may be done
// next, and what it teaches of the endpoints.
//
// This is the only place that decides it. "Not run" is a promise to the
// caller, so it follows only from a request that was never sent or from an
// endpoint's own word; whatever else was seen, the request may have run.
//
// A refusal is ambiguous: the endpoint that it names may be full, dead, leaving
// or giving its layers up. So it teaches a short rest, and to ask that endpoint
// at once; only the answer, or none, says which of them it is. Boxes that took
// each refusal for "full" sent 778 requests to four dead runners in the 3.4 s
// until their entries lapsed (64 boxes, 190 requests a second), and spent their
// retries on it.

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

enum class Lesson {
  kNone,
  // The endpoint that it was sent to seems at fault. Unsaid by its next
  // success; its own answer to a question says whether it is down.
  kFailed,
  // The endpoint that the answer names, or that gave it, takes nothing now.
  // Holds for EndpointTable::Options::full_backoff, unless its answer to a
  // question says that it is down, which lasts until it answers again.
  kTurnedAway,
};

struct AttemptResult {
  Ran ran = Ran::kMaybe;
  AttemptUse use = AttemptUse::kNone;
  Lesson lesson = Lesson::kNone;
};

std::string_view RanName(Ran r);

AttemptResult JudgeAttempt(const AttemptFacts& facts);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ATTEMPT_RESULT_H_
