#include "pinford/step_client.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<StepStatus> kStepStatusNames[] = {
    {StepStatus::kOk, "ok"},
    {StepStatus::kNotSent, "not sent"},
    {StepStatus::kRefusedLeaving, "refused: leaving"},
    {StepStatus::kRefusedBusy, "refused: busy"},
    {StepStatus::kRefusedRange, "refused: layers not held"},
    {StepStatus::kRefusedCache, "refused: cache differs"},
    {StepStatus::kRejected, "rejected"},
    {StepStatus::kLost, "lost"},
};

std::string_view StepStatusName(StepStatus s) {
  return NameIn(kStepStatusNames, s);
}

}  // namespace pinford
