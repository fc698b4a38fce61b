#include "pinford/forwarding/wait_cause.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<WaitCause> kWaitCauseNames[] = {
    {WaitCause::kNone, "nothing known"}, {WaitCause::kStart, "start"},
    {WaitCause::kReroute, "reroute"},    {WaitCause::kReading, "reading"},
    {WaitCause::kCrossing, "crossing"},  {WaitCause::kRetry, "retry"},
    {WaitCause::kProof, "proof"},        {WaitCause::kChain, "chain"},
};

std::string_view WaitCauseName(WaitCause c) {
  return NameIn(kWaitCauseNames, c);
}

}  // namespace pinford
