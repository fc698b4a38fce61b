#include "pinford/forwarding/probe_evidence.h"

#include <algorithm>

namespace pinford {

void ProbeEvidence::OnSent(Time now) {
  probes_.push_back({now, false});
  if (probes_.size() > kMaxProbes) probes_.pop_front();
}

void ProbeEvidence::OnAnswered(Time sent) {
  local_fault_suspected_ = false;
  const auto probe = std::find_if(
      probes_.begin(), probes_.end(),
      [sent](const Probe& p) { return p.sent == sent && !p.answered; });
  if (probe != probes_.end()) probe->answered = true;
}

bool ProbeEvidence::IndicatesFailure(Time sent) {
  int concurrent = 0;
  for (const Probe& probe : probes_) {
    const bool apart = probe.sent < sent - kConcurrentWindow ||
                       probe.sent > sent + kConcurrentWindow;
    if (apart) continue;
    if (probe.answered) return true;
    concurrent++;
  }
  local_fault_suspected_ = local_fault_suspected_ || concurrent > 1;
  return !local_fault_suspected_;
}

}  // namespace pinford
