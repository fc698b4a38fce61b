// Decides whether an unanswered probe indicates that its endpoint has failed.
//
// Probes that are sent together share this box's path to all endpoints. If none
// of them is answered, this box's own link or processor may be at fault, and
// the endpoints' state is unknown. A single answer shows that the path works,
// so the unanswered probes indicate failures. A probe that was sent alone
// cannot be compared with others: it indicates a failure, unless the path is
// suspect and nothing has been answered since.
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
  // Probes count as concurrent if one was not yet overdue when the other was
  // sent.
  static constexpr Duration kConcurrentWindow = milliseconds(30);
  static constexpr size_t kMaxProbes = 64;

  // A probe was sent to an endpoint that is not known to be down.
  void OnSent(Time now);
  // The probe that was sent at `sent` was answered.
  void OnAnswered(Time sent);
  // Whether the unanswered probe of `sent` indicates that its endpoint has
  // failed.
  bool IndicatesFailure(Time sent);

 private:
  struct Probe {
    Time sent;
    bool answered;
  };
  std::deque<Probe> probes_;  // in order of sending
  bool local_fault_suspected_ = false;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PROBE_EVIDENCE_H_
