#include "pinford/completion_driver.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<CompletionError> kCompletionErrorTexts[] = {
    {CompletionError::kNone, "none"},
    {CompletionError::kNoEndpoints, "no endpoints hold the whole model now"},
    {CompletionError::kBusy, "all endpoints are busy"},
    {CompletionError::kRejected, "the engine rejects the request"},
    {CompletionError::kRetries, "too many stages were lost"},
};

std::string_view CompletionErrorText(CompletionError e) {
  return NameIn(kCompletionErrorTexts, e);
}

}  // namespace pinford
