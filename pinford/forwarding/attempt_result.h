// Classifies how one attempt to forward a request ended: whether the request
// was executed, what may be done with the response, and what the outcome
// implies for the endpoints involved.
//
// All such decisions are made here. "Not run" is a guarantee to the caller, so
// it follows only if the request was never sent or if the endpoint reported
// that it did not run it. In every other case the request may have run.
//
// Whether a response is usable follows from its head alone, so the same
// function decides whether a stream is forwarded as it arrives. When the head
// was judged by fewer conditions than the end, streams that were unusable were
// forwarded, and another endpoint's whole stream behind them.
//
// A rejection is ambiguous: the endpoint that it names may be full, down,
// leaving or unloading its layers. It therefore causes a short backoff and an
// immediate probe of that endpoint, whose result distinguishes these cases.
// When boxes treated every rejection as "full", they sent 778 requests to four
// dead runners in the 3.4 s until those were removed from the list (64 boxes,
// 190 requests a second), and used up their retries.

#ifndef PINFORD_FORWARDING_ATTEMPT_RESULT_H_
#define PINFORD_FORWARDING_ATTEMPT_RESULT_H_

#include <string_view>

#include "pinford/forwarding/upstream_client.h"

namespace pinford {

// What was observed of an attempt.
struct AttemptFacts {
  UpstreamEnd end = UpstreamEnd::kRefused;
  int status = 0;                 // of the response; 0 without a response
  bool reported_not_run = false;  // the endpoint reported that it has not run
  bool sealed = false;            // the response carries an endpoint's seal
  bool encoded = false;           // it has a content encoding (unrequested)
};

// Why a response is not usable.
enum class ResponseDefect {
  kNone,
  kNoSeal,   // it is not from the endpoint itself
  kEncoded,  // it has a content encoding, which no caller requests
  // A success that reports that the request has not run: one of the two is
  // wrong, and it is unknown which.
  kContradictory,
};

std::string_view ResponseDefectName(ResponseDefect d);

// Returns the defect of a response that does not reject the request.
ResponseDefect DefectOf(const AttemptFacts& facts);

// Whether the request was executed at the endpoint.
enum class Executed {
  kNo,     // it was not and will not be
  kMaybe,  // unknown
  kYes,
};

// What to do with the response.
enum class ResponseUse {
  kForward,       // forward it to the caller
  kForwardError,  // an error of the endpoint: forward it if no retry succeeds
  kNone,          // there is no usable response
};

// What the endpoint table should record.
enum class EndpointFeedback {
  kNone,
  // The endpoint that the request was sent to may be faulty. Cleared by its
  // next success; a probe decides whether it is down.
  kFailed,
  // The endpoint named in the response, or else the one that sent it, accepts
  // no work now. Lasts for EndpointTable::Options::full_backoff, or, if a probe
  // finds it down, until it responds again.
  kRejected,
};

struct AttemptResult {
  Executed executed = Executed::kMaybe;
  ResponseUse use = ResponseUse::kNone;
  EndpointFeedback feedback = EndpointFeedback::kNone;
};

std::string_view ExecutedName(Executed r);

AttemptResult ClassifyAttempt(const AttemptFacts& facts);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ATTEMPT_RESULT_H_
