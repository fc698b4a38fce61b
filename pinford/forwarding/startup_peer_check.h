// Whether a box that has just started may go by the store's configuration
// alone.
//
// A store that has come back from a copy holds an older configuration than the
// one in force until the operator has written that again, and a box that has
// just started cannot tell. Boxes that run can: they keep to the higher
// version. So the first configuration is taken from the store once some peer
// has answered, which then has told of a higher one if it has it, or once none
// has for a while: where all boxes start together nobody is there to ask.

#ifndef PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_
#define PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_

#include "util/clock.h"

namespace pinford {

class StartupPeerCheck {
 public:
  // A seed that is there answers the first question within 30 ms of the start;
  // callers wait for 100 ms (StartQueueOptions::longest).
  static constexpr Duration kPatience = milliseconds(60);

  // `has_peers`: this box knows whom to ask.
  StartupPeerCheck(Time started, bool has_peers)
      : started_(started), over_(!has_peers) {}

  // A peer has told what it has, if only that it has nothing.
  void OnAnswer() { over_ = true; }
  bool Done(Time now) const { return over_ || now - started_ >= kPatience; }

 private:
  Time started_;
  bool over_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_
