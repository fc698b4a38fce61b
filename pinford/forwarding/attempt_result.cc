#include "pinford/forwarding/attempt_result.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Executed> kExecutedNames[] = {
    {Executed::kNo, "no"},
    {Executed::kMaybe, "maybe"},
    {Executed::kYes, "yes"},
};

std::string_view ExecutedName(Executed r) { return NameIn(kExecutedNames, r); }

AttemptResult ClassifyAttempt(const AttemptFacts& f) {
  switch (f.end) {
    case UpstreamEnd::kWithdrawn:
    case UpstreamEnd::kNoRelay:
      return {Executed::kNo, ResponseUse::kNone, EndpointFeedback::kNone};
    case UpstreamEnd::kRefused:
      return {Executed::kNo, ResponseUse::kNone, EndpointFeedback::kFailed};
    case UpstreamEnd::kRelayLost:
      return {Executed::kMaybe, ResponseUse::kNone, EndpointFeedback::kNone};
    case UpstreamEnd::kBroken:
    case UpstreamEnd::kMalformed:
    case UpstreamEnd::kTruncated:
      return {Executed::kMaybe, ResponseUse::kNone, EndpointFeedback::kFailed};
    case UpstreamEnd::kComplete:
      break;
  }
  constexpr int kMisdirected = 421;
  if (f.reported_not_run || f.status == kMisdirected) {
    return {Executed::kNo, ResponseUse::kNone, EndpointFeedback::kRejected};
  }
  const bool success = f.status >= 200 && f.status < 300;
  // Without a seal, or encoded, the response is not from the endpoint itself.
  if (!f.sealed || f.encoded) {
    return {Executed::kMaybe, ResponseUse::kNone, EndpointFeedback::kFailed};
  }
  if (success)
    return {Executed::kYes, ResponseUse::kForward, EndpointFeedback::kNone};
  const bool server_error = f.status >= 500;
  // An error response is no evidence of the endpoint's health: some requests
  // fail wherever they run.
  return {Executed::kYes,
          server_error ? ResponseUse::kForwardError : ResponseUse::kForward,
          EndpointFeedback::kNone};
}

}  // namespace pinford
