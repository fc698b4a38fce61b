// Backoffs that endpoints requested from this box.
//
// An endpoint that refuses a request may request a backoff: no more requests
// from this box for some seconds. It takes precedence over everything that the
// box estimates: free memory, that the endpoint responds, that it has just
// finished another request. So backoffs are kept apart from the rows of
// EndpointTable, which come and go with the list, are reset by each new
// incarnation and are corrected by successes. A backoff ends only when its time
// is over.
//
//     backoffs.OnRequested(now, "a", seconds(3));
//     if (backoffs.Remaining(now, "a") > Duration(0)) ...  // do not send
//
// Backoffs are local to this box: an endpoint requests one from the box that it
// refused.

#ifndef PINFORD_ENDPOINT_BACKOFFS_H_
#define PINFORD_ENDPOINT_BACKOFFS_H_

#include <string>
#include <unordered_map>

#include "util/clock.h"

namespace pinford {

class EndpointBackoffs {
 public:
  // Longer requests are cut to this: a corrupt value must not exclude an
  // endpoint for good. After it, one request finds out whether the endpoint
  // still refuses.
  static constexpr Duration kMaxBackoff = seconds(600);

  // The endpoint's answer, read at `now`, requests `backoff`. Of overlapping
  // backoffs the one that ends last counts, as answers can arrive out of order.
  void OnRequested(Time now, const std::string& endpoint, Duration backoff);
  // What remains of its backoff; 0 if there is none.
  Duration Remaining(Time now, const std::string& endpoint) const;
  // Number of endpoints in a backoff now.
  size_t Count(Time now) const;

 private:
  // Present backoffs, and those that ended since the last OnRequested.
  std::unordered_map<std::string, Time> until_;
};

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_BACKOFFS_H_
