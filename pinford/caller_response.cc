#include "pinford/caller_response.h"

#include <cmath>

namespace pinford {

HttpHeaders AnswerHeaders(const std::string& id, Outcome outcome,
                          Duration retry_after) {
  HttpHeaders headers = {{kRequestIdHeader, id},
                         {kOutcomeHeader, std::string(OutcomeName(outcome))}};
  if (retry_after > Duration(0)) {
    const int whole = static_cast<int>(std::ceil(ToSeconds(retry_after)));
    headers.emplace_back("Retry-After", std::to_string(whole));
  }
  return headers;
}

}  // namespace pinford
