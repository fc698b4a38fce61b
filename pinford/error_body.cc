#include "pinford/error_body.h"

#include "util/json.h"

namespace pinford {

std::string ErrorBody(std::string_view code, std::string_view message,
                      Outcome outcome) {
  return DumpJson(Json{{"error", {{"code", code}, {"message", message}}},
                       {"outcome", OutcomeName(outcome)}});
}

}  // namespace pinford
