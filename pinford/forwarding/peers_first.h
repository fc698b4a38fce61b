// Whether a box that has just started may go by the store's configuration
// alone.
//
// A store that has come back from a copy holds an older configuration than the
// one in force until the operator has written that again, and a box that has
// just started cannot tell. Boxes that run can: they keep to the higher
// version. So the first configuration is taken from the store once some peer
// has answered, which then has told of a higher one if it has it, or once none
// has for a while: where all boxes start together nobody is there to ask.

#ifndef PINFORD_FORWARDING_PEERS_FIRST_H_
#define PINFORD_FORWARDING_PEERS_FIRST_H_

#include "util/clock.h"

namespace pinford {

class PeersFirst {
 public:
  // A seed that is there answers the first question within 30 ms of the start;
  // callers wait for 100 ms (StartQueueOptions::longest).
  static constexpr Duration kMaxWait = milliseconds(60);

  // `has_peers`: this box knows whom to ask.
  PeersFirst(Time started, bool has_peers)
      : started_(started), done_(!has_peers) {}

  // A peer has told what it has, if only that it has nothing.
  void OnAnswer() { done_ = true; }
  bool Over(Time now) const { return done_ || now - started_ >= kMaxWait; }

 private:
  Time started_;
  bool done_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PEERS_FIRST_H_
