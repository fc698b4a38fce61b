#include "pinford/outcome.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Outcome> kOutcomeNames[] = {
    {Outcome::kComplete, "complete"},
    {Outcome::kNotRun, "not_run"},
    {Outcome::kFailed, "failed"},
    {Outcome::kUnknown, "unknown"},
};

std::string_view OutcomeName(Outcome o) { return NameIn(kOutcomeNames, o); }

std::optional<Outcome> ParseOutcome(std::string_view name) {
  return ValueIn(kOutcomeNames, name);
}

}  // namespace pinford
