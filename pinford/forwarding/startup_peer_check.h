// Delays a starting box's use of the store's configuration until a peer has
// been asked.
//
// A store that was restored from a backup holds an older configuration than the
// one in force until the operator writes that again, and a box that has just
// started cannot detect that. Running boxes can, because they keep the higher
// version. A starting box therefore accepts the store's configuration once any
// peer has answered, reporting a higher version if it has one, or after a
// timeout: if all boxes start together, there is no peer to ask.

#ifndef PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_
#define PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_

#include "util/clock.h"

namespace pinford {

class StartupPeerCheck {
 public:
  // A running seed answers the first request within 30 ms of the start; callers
  // wait for 100 ms (StartQueueOptions::max_wait).
  static constexpr Duration kMaxWait = milliseconds(60);

  // `has_peers`: this box knows an address to ask.
  StartupPeerCheck(Time started, bool has_peers)
      : started_(started), done_(!has_peers) {}

  // A peer has answered, even if it has no documents.
  void OnAnswer() { done_ = true; }
  bool Done(Time now) const { return done_ || now - started_ >= kMaxWait; }

 private:
  Time started_;
  bool done_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_STARTUP_PEER_CHECK_H_
