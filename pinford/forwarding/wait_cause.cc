#include "pinford/forwarding/wait_cause.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<WaitCause> kWaitCauseNames[] = {
    {WaitCause::kNone, "nothing known"},
    {WaitCause::kStart, "start"},
    {WaitCause::kReroute, "reroute"},
    {WaitCause::kPrefill, "reading"},
    {WaitCause::kHallTransfer, "crossing"},
    {WaitCause::kRetry, "retry"},
    {WaitCause::kFreshness, "proof"},
    {WaitCause::kChain, "chain"},
    {WaitCause::kPath, "path"},
    {WaitCause::kPermit, "permit"},
};

std::string_view WaitCauseName(WaitCause c) {
  return NameIn(kWaitCauseNames, c);
}

}  // namespace pinford
