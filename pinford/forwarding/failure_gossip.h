// Gossip between boxes about runners that are down or slow.
//
// A box alone detects a dead runner only when one of its own requests meets it.
// Where a box gets few requests, this costs one send per box and runner: 64
// boxes sent 778 requests to four dead runners until their entries lapsed. So a
// box whose own probe of a runner fails notifies a few random peers. A peer
// does not trust the notice: it probes the runner itself, and notifies others
// only if its own probe fails too. A true notice reaches all boxes within a few
// rounds of probes (a slow runner answers and reports its slowdown). A false
// one (from a box that is late, partitioned or faulty) ends with its first
// receivers, at the cost of one probe each. No box stops using a working runner
// because of a notice alone.
//
// The messages that a box sends for one failed runner do not depend on the
// number of boxes; the number of rounds grows with its logarithm. Lost
// datagrams are made up for by other senders: with five peers each, six or
// seven boxes in 1,000 get no notice and find out by their own requests.
//
// No I/O: the owner probes the runners that OnNotice returns, and sends what
// Take returns.

#ifndef PINFORD_FORWARDING_FAILURE_GOSSIP_H_
#define PINFORD_FORWARDING_FAILURE_GOSSIP_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "util/clock.h"

namespace pinford {

class FailureGossip {
 public:
  struct Options {
    // Peers notified. Of n boxes about n * exp(-fanout) receive nothing.
    size_t fanout = 5;
    // Notices within this time go out in one message: runners that fail
    // together are detected milliseconds apart.
    Duration batch_window = milliseconds(3);
    // A runner is announced, and probed because of a notice, at most once in
    // this time. Bounds the load that a faulty box can cause to one probe per
    // runner and second.
    Duration repeat_interval = seconds(1);
    // Runners per message. Others are detected by requests.
    size_t max_endpoints = 64;
  };

  explicit FailureGossip(const Options& options) : options_(options) {}

  // This box's own probe of the runner failed, or showed that it is slow, for
  // the first time. Returns true if a message is to be sent after
  // `batch_window`.
  bool OnDown(Time now, const std::string& endpoint);
  // The runners to announce, once `batch_window` has passed. Clears them.
  std::vector<std::string> Take();
  // A peer announced these runners as down. Returns those that this box is to
  // probe.
  std::vector<std::string> OnNotice(Time now,
                                    const std::vector<std::string>& endpoints);

  const Options& options() const { return options_; }

 private:
  using Times = std::unordered_map<std::string, Time>;
  // Whether `endpoint` is new within `repeat_interval`; records it if so.
  bool MarkIfNew(Time now, const std::string& endpoint, Times* times) const;

  Options options_;
  std::vector<std::string> pending_;
  Times announced_;
  Times received_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FAILURE_GOSSIP_H_
