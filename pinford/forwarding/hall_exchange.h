// Has the firsts of the halls tell each other what their halls have on the
// endpoints: asks the first of each other hall, a few times a second.
//
// A question that gets no answer is not waited for: the next goes out in its
// time, to whoever is the first then.

#ifndef PINFORD_FORWARDING_HALL_EXCHANGE_H_
#define PINFORD_FORWARDING_HALL_EXCHANGE_H_

#include "pinford/event_loop.h"
#include "pinford/forwarding/load_sharing.h"
#include "pinford/forwarding/source_roster.h"
#include "pinford/membership.h"
#include "pinford/peer_link.h"

namespace pinford {

class HallExchange {
 public:
  struct Options {
    // Between two rounds, and more for each hall: at 22 halls a box asks 24
    // others a second.
    Duration interval = milliseconds(400);
    Duration a_hall = milliseconds(20);
  };

  HallExchange(EventLoop* loop, const Membership* membership,
               SourceRoster* roster, PeerLink* link, LoadSharing* sharing,
               const Options& options)
      : loop_(loop),
        membership_(membership),
        roster_(roster),
        link_(link),
        sharing_(sharing),
        options_(options) {}

  // Asks if it is time. Only the first of a hall calls it.
  void Tick();

 private:
  void Ask(const SourceRoster::First& first);

  EventLoop* loop_;
  const Membership* membership_;
  SourceRoster* roster_;
  PeerLink* link_;
  LoadSharing* sharing_;
  Options options_;
  Time next_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_HALL_EXCHANGE_H_
