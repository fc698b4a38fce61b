// Whether a probe that got no answer speaks against its endpoint.
//
// Probes that are sent together share this box's way to all endpoints. If none
// of them is answered, its own link or processor may be at fault, and nothing
// is known of any endpoint. One answer among them shows that the way works, and
// speaks against those that gave none. A probe that was sent alone has nothing
// to be compared with, and speaks against its endpoint, unless nothing has been
// answered since the way came into doubt.
//
// No I/O, no clock.

#ifndef PINFORD_FORWARDING_PROBE_EVIDENCE_H_
#define PINFORD_FORWARDING_PROBE_EVIDENCE_H_

#include <cstddef>
#include <deque>

#include "util/clock.h"

namespace pinford {

class ProbeEvidence {
 public:
  // Probes are sent together if one was not yet overdue when the other was
  // sent.
  static constexpr Duration kConcurrentWindow = milliseconds(30);
  static constexpr size_t kMostKept = 64;

  // A probe was sent to an endpoint that is not known to be down.
  void OnSent(Time now);
  // The one that was sent at `sent` has been answered.
  void OnAnswered(Time sent);
  // Whether a probe of `sent`, which got no answer, speaks against its
  // endpoint.
  bool IndicatesFailure(Time sent);

 private:
  struct Probe {
    Time sent;
    bool answered;
  };
  std::deque<Probe> probes_;  // in the order in which they were sent
  bool in_doubt_ = false;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PROBE_EVIDENCE_H_
