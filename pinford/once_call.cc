#include "pinford/once_call.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<CallError> kCallErrorTexts[] = {
    {CallError::kNone, "none"},
    {CallError::kNoEndpoints, "no endpoint takes the call now"},
    {CallError::kNoStore,
     "the platform's service does not answer, so the call was not claimed"},
    {CallError::kRetries, "no try succeeded"},
    {CallError::kLost, "the call was sent and its answer was lost"},
    {CallError::kInProgress,
     "an earlier call with this key has no recorded result"},
};

std::string_view CallErrorText(CallError e) {
  return NameIn(kCallErrorTexts, e);
}

}  // namespace pinford
