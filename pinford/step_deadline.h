// How long to wait for an endpoint's reply before considering it lost.
//
// The estimator is that of TCP's retransmission timer (Jacobson, "Congestion
// avoidance and control", SIGCOMM 1988): a smoothed mean and mean deviation of
// the reply times, and a deadline some deviations above the mean. Steps differ
// in size, so the time is kept per unit of work (one layer of one position),
// with a minimum that covers the handoff itself.

#ifndef PINFORD_STEP_DEADLINE_H_
#define PINFORD_STEP_DEADLINE_H_

#include "util/clock.h"

namespace pinford {

class StepDeadline {
 public:
  struct Options {
    Duration floor = milliseconds(150);   // minimum wait
    Duration first = milliseconds(1000);  // before anything was measured
    Duration ceiling = seconds(10);       // maximum wait
    double mean_factor = 2;
    double deviation_factor = 6;
  };

  StepDeadline() : StepDeadline(Options()) {}
  explicit StepDeadline(const Options& options) : options_(options) {}

  // A step of `work` layer positions took `took`.
  void Measure(double work, Duration took);
  // A deadline passed without a reply. The next ones are doubled until a reply
  // is measured, so that an endpoint that became slow is waited for rather than
  // considered lost for ever (RFC 6298, 5.5).
  void BackOff();
  // How long to wait for a step of `work`.
  Duration For(double work) const;

 private:
  Options options_;
  bool measured_ = false;
  int doublings_ = 0;
  double mean_ = 0;       // seconds per step
  double deviation_ = 0;  // seconds
  double per_work_ = 0;   // seconds per layer position
};

}  // namespace pinford

#endif  // PINFORD_STEP_DEADLINE_H_
