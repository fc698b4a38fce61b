#include "pinford/forwarding/attempt_result.h"

#include "pinford/http.h"
#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Executed> kExecutedNames[] = {
    {Executed::kNo, "no"},
    {Executed::kMaybe, "maybe"},
    {Executed::kYes, "yes"},
};

std::string_view ExecutedName(Executed r) { return NameIn(kExecutedNames, r); }

static constexpr EnumName<ResponseDefect> kDefectNames[] = {
    {ResponseDefect::kNone, ""},
    {ResponseDefect::kNoSeal, "no seal"},
    {ResponseDefect::kEncoded, "encoded"},
    {ResponseDefect::kContradictory, "a success that was not run"},
};

std::string_view ResponseDefectName(ResponseDefect d) {
  return NameIn(kDefectNames, d);
}

// Whether the endpoint reports that it has not run the request and will not.
static bool IsRejection(const AttemptFacts& f) {
  if (f.status == kMisdirectedRequest) return true;
  return f.reported_not_run && !IsSuccess(f.status);
}

ResponseDefect DefectOf(const AttemptFacts& f) {
  if (IsRejection(f)) return ResponseDefect::kNone;
  if (f.reported_not_run) return ResponseDefect::kContradictory;
  if (f.encoded) return ResponseDefect::kEncoded;
  return f.sealed ? ResponseDefect::kNone : ResponseDefect::kNoSeal;
}

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
    case UpstreamEnd::kUnidentified:
    case UpstreamEnd::kTruncated:
      return {Executed::kMaybe, ResponseUse::kNone, EndpointFeedback::kFailed};
    case UpstreamEnd::kComplete:
      break;
  }
  if (IsRejection(f))
    return {Executed::kNo, ResponseUse::kNone, EndpointFeedback::kRejected};
  if (DefectOf(f) != ResponseDefect::kNone)
    return {Executed::kMaybe, ResponseUse::kNone, EndpointFeedback::kFailed};
  if (IsSuccess(f.status))
    return {Executed::kYes, ResponseUse::kForward, EndpointFeedback::kNone};
  const bool server_error = f.status >= kFirstServerError;
  // An error response is no evidence of the endpoint's health: some requests
  // fail wherever they run.
  return {Executed::kYes,
          server_error ? ResponseUse::kForwardError : ResponseUse::kForward,
          EndpointFeedback::kNone};
}

}  // namespace pinford
