#include "pinford/endpoint_backoffs.h"

#include <algorithm>

namespace pinford {

void EndpointRests::OnAsked(Time now, const std::string& endpoint,
                            Duration rest) {
  std::erase_if(until_, [now](const auto& e) { return e.second <= now; });
  if (rest <= Duration(0)) return;
  Time& until = until_[endpoint];
  until = std::max(until, now + std::min(rest, kLongest));
}

Duration EndpointRests::Left(Time now, const std::string& endpoint) const {
  // The usual case: this is asked for each endpoint at each choice.
  if (until_.empty()) return Duration(0);
  const auto it = until_.find(endpoint);
  return it != until_.end() ? std::max(Duration(0), it->second - now)
                            : Duration(0);
}

size_t EndpointRests::Count(Time now) const {
  return std::count_if(until_.begin(), until_.end(),
                       [now](const auto& e) { return e.second > now; });
}

}  // namespace pinford
