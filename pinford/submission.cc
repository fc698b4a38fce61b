#include "pinford/submission.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<SubmissionStatus> kSubmissionStatusNames[] = {
    {SubmissionStatus::kAccepted, "accepted"},
    {SubmissionStatus::kStale, "stale"},
    {SubmissionStatus::kUndecided, "undecided"},
    {SubmissionStatus::kNotWritten, "not_written"},
};

std::string_view SubmissionStatusName(SubmissionStatus s) {
  return NameIn(kSubmissionStatusNames, s);
}

}  // namespace pinford
