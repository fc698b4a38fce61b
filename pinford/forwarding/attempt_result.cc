#include "pinford/forwarding/attempt_result.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Ran> kRanNames[] = {
    {Ran::kNo, "no"},
    {Ran::kMaybe, "maybe"},
    {Ran::kYes, "yes"},
};

std::string_view RanName(Ran r) { return NameIn(kRanNames, r); }

AttemptResult JudgeAttempt(const AttemptFacts& f) {
  switch (f.end) {
    case UpstreamEnd::kWithdrawn:
      return {Ran::kNo, AttemptUse::kNone, Lesson::kNone};
    case UpstreamEnd::kRefused:
      return {Ran::kNo, AttemptUse::kNone, Lesson::kFailed};
    case UpstreamEnd::kBroken:
    case UpstreamEnd::kMalformed:
    case UpstreamEnd::kTruncated:
      return {Ran::kMaybe, AttemptUse::kNone, Lesson::kFailed};
    case UpstreamEnd::kComplete:
      break;
  }
  constexpr int kMisdirected = 421;
  if (f.says_not_run || f.status == kMisdirected) {
    return {Ran::kNo, AttemptUse::kNone, Lesson::kTurnedAway};
  }
  const bool success = f.status >= 200 && f.status < 300;
  // Without its seal, or encoded, it is not the endpoint's answer.
  if (!f.sealed || f.encoded) {
    return {Ran::kMaybe, AttemptUse::kNone, Lesson::kFailed};
  }
  if (success) return {Ran::kYes, AttemptUse::kPassOn, Lesson::kNone};
  const bool server_error = f.status >= 500;
  // An error of its own says nothing of its health: some requests have one
  // wherever they run.
  return {Ran::kYes,
          server_error ? AttemptUse::kPassError : AttemptUse::kPassOn,
          Lesson::kNone};
}

}  // namespace pinford
