// Decides which peer relays the next connection to an endpoint.
//
// A few peers that have relayed before are kept, and of these the one with the
// fewest connections of this box is used: so the boxes that still reach the
// endpoints share the load of those that do not, however many there are. A
// random peer is tried while there are too few. One that fails or refuses is
// passed over for a while.
//
// No I/O.

#ifndef PINFORD_FORWARDING_RELAY_CHOICE_H_
#define PINFORD_FORWARDING_RELAY_CHOICE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "util/clock.h"

namespace pinford {

class RelayChoice {
 public:
  struct Options {
    // Peers that are kept. One box's connections spread over as many.
    size_t max_kept = 4;
    // How long a peer is passed over after it failed or refused; doubled each
    // time in a row, since peers of its hall are often cut off for as long.
    Duration hold = seconds(1);
    Duration max_hold = seconds(8);
    // ... but not for longer than this if there is no other.
    Duration min_hold = milliseconds(250);
    // The same for one that is too busy, which it may be for a moment only.
    Duration busy_hold = milliseconds(250);
    // No other peer is tried for this long after one has failed, while there is
    // one that relays.
    Duration explore_interval = milliseconds(50);
    // A peer that has relayed nothing for this long is no longer kept.
    Duration forget_after = seconds(30);
  };

  explicit RelayChoice(const Options& options) : options_(options) {}

  // The address of the peer to use; nullopt if there is none. `random` are the
  // addresses of live peers, drawn at random.
  std::optional<std::string> Pick(Time now,
                                  const std::vector<std::string>& random);
  // Peers to ask in a check: one that is kept, and random others.
  std::vector<std::string> PickSome(Time now, size_t count,
                                    const std::vector<std::string>& random);

  // A connection through the peer was established, or has ended.
  void OnOpened(Time now, const std::string& peer);
  void OnClosed(const std::string& peer);
  // The peer did not answer, or refused.
  void OnFailed(Time now, const std::string& peer);
  void OnBusy(Time now, const std::string& peer);
  // What the peer relays has fallen silent: others are preferred for a while.
  void OnSilent(Time now, const std::string& peer);
  // The peer is leaving or lost.
  void Forget(const std::string& peer) { peers_.erase(peer); }

  size_t kept(Time now) const;

 private:
  struct Peer {
    Time last_opened{};  // Time{} if never
    Time held_since{};
    Time held_until{};
    Time avoided_until{};  // used only if there is no other
    Duration hold{};       // the last one; 0 after a success
    int connections = 0;
  };
  bool IsKept(Time now, const Peer& peer) const;
  bool IsHeld(Time now, const std::string& peer) const;
  // Whether it is held, and not only for a moment.
  bool IsHeldLong(Time now, const std::string& peer) const;

  Options options_;
  std::map<std::string, Peer> peers_;  // by address
  Time next_explore_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RELAY_CHOICE_H_
