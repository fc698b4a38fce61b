// Detects members that are down by probing them, in a time that does not grow
// with the fleet.
//
// Each box probes one random member at a time, so that every member is probed
// about once per interval by some box, however many there are. A member that
// does not answer is probed again, and counts as lost if it does not answer
// then either and has sent no digest in between. (Its heartbeat, as others
// relay it, may grow for long after its end.) The box then notifies a few
// random peers. A peer does not trust the notice: it probes the member itself,
// and notifies others only if its own probes fail too. So a lost member is
// known to all boxes after a number of rounds that grows with the logarithm of
// their number, and a wrong notice (from a box that is partitioned or late)
// costs a probe each at its first receivers. Boxes that no notice reached get
// reminders, of which each box sends one at a time for a while. A member that
// answers the probe of such a peer learns from it that some dropped it, and
// comes back to them as a new incarnation (Membership::Refute).
//
// The heartbeats in digests stay the way to notice lost members where probes
// cannot tell: in fleets so small that digests name all members, and for boxes
// that answer probes of nobody.
//
// A box whose last probes of several random members all failed counts as cut
// off, and drops none until one answers. Members that a peer named are no
// evidence of that: after a large loss, most of these are down.
//
// No I/O: the owner probes the members that Due returns, reports the outcome to
// OnProbe, and drops and announces the members that TakeLost returns.

#ifndef PINFORD_MEMBER_WATCH_H_
#define PINFORD_MEMBER_WATCH_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/membership.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

class MemberWatch {
 public:
  struct Options {
    // Between probes of random members.
    Duration interval = seconds(1);
    // Between the probes of a member that does not answer. With the timeouts of
    // two probes (2 s each), a process that stands still for 4 s is not lost.
    Duration retry_delay = seconds(1);
    int failures_until_lost = 2;
    // Peers notified of lost members. Of n boxes about n * exp(-fanout) receive
    // nothing, and find out by their own probes.
    size_t fanout = 5;
    // Members named in one notice.
    size_t max_notified = 64;
    // Reminders name members lost within this time, a few in each, and go to
    // one peer at a time.
    Duration reminder_period = seconds(60);
    Duration reminder_interval = seconds(1);
    size_t max_reminded = 24;
    // Members probed at the same time, so that notices of many lost members do
    // not make a box open a connection to each at once.
    size_t max_pending = 64;
    size_t max_suspects = 256;
    // Random members in a row that did not answer, after which this box counts
    // as cut off.
    int isolated_after = 3;
  };

  MemberWatch(const Membership* membership, const Options& options,
              Random random)
      : membership_(membership), options_(options), random_(random) {}

  struct Target {
    std::string name;
    std::string address;
    bool named = false;  // a peer considers it lost; it should refute that
  };
  // The members to probe now. Call it often.
  std::vector<Target> Due(Time now);
  void OnProbe(Time now, const std::string& name, bool answered);
  // A peer considers these members lost.
  void OnNotice(Time now, const std::vector<std::string>& names);
  // The members found lost since the last call, to be dropped and announced.
  std::vector<std::string> TakeLost();
  // Members lost lately, to be named to one random peer; empty if no reminder
  // is due.
  std::vector<std::string> DueReminder(Time now);

  const Options& options() const { return options_; }

 private:
  struct Suspect {
    uint64_t incarnation = 0;
    int failures = 0;
    Time first_failure{};
    bool drawn = false;    // chosen at random by this box
    bool pending = false;  // a probe is in progress
    Time next_probe{};
  };

  void AddSuspect(Time now, const std::string& name, bool drawn);
  void AddRandom(Time now);
  // The member as it was when it became suspect; nullptr if it is gone, has
  // restarted or has shown since that it lives.
  const Membership::Member* FindUnchanged(const std::string& name,
                                          const Suspect& suspect) const;

  const Membership* membership_;
  Options options_;
  Random random_;
  std::map<std::string, Suspect> suspects_;  // by name
  std::vector<std::string> lost_;
  std::map<std::string, Time> recently_lost_;  // when, by name
  Time next_reminder_{};
  int drawn_failures_ = 0;  // consecutive, of members drawn at random
  Time next_random_{};
};

// Notices of lost members travel in FailureNotice, whose other names are
// endpoints, with this prefix. Boxes that do not know it find no such endpoint.
inline constexpr std::string_view kLostMemberPrefix = "box:";

}  // namespace pinford

#endif  // PINFORD_MEMBER_WATCH_H_
