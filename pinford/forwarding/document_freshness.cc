#include "pinford/forwarding/document_freshness.h"

#include <algorithm>

namespace pinford {

void DocumentFreshness::OnObserved(uint64_t version, Time as_of) {
  if (version > newest_.version) {
    older_ = {newest_.version, std::max(older_.as_of, newest_.as_of)};
    newest_ = {version, as_of};
    return;
  }
  Observation& seen = version == newest_.version ? newest_ : older_;
  seen.version = std::max(seen.version, version);
  seen.as_of = std::max(seen.as_of, as_of);
}

Time DocumentFreshness::AsOf(uint64_t held) const {
  if (held >= newest_.version) return std::max(newest_.as_of, older_.as_of);
  return held >= older_.version ? older_.as_of : Time{};
}

}  // namespace pinford
