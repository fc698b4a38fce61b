// Passes on that runners are down or slow, from box to box.
//
// Each box by itself notices a dead runner only when one of its own requests
// meets it. Where a box sees few requests that costs a send a box and runner:
// 64 boxes sent 778 requests to four dead runners until their entries lapsed.
// So a box whose own question a runner did not answer tells a few peers, chosen
// at random. A peer never believes it: it asks the runner itself, and tells
// others only if it got no answer either. News that is true reaches all boxes
// in a few rounds of questions (one that is slow answers, and says its pace);
// news that is false (of a box that is late, cut off or at fault) ends with the
// first box that hears it, and costs that many questions. No box is kept from a
// working runner by another's word.
//
// What a box sends for a runner that is down is the same for any number of
// boxes; the rounds grow with their logarithm. A lost datagram is made up for
// by the others: with five peers each, six or seven boxes in 1,000 hear of it
// from nobody, and find out by their own requests.
//
// No I/O: the owner asks whom Heard names, and sends what Take gives.

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
    // Peers that are told. Of n boxes about n * exp(-peers) hear nothing.
    size_t fanout = 5;
    // What comes within so long goes out together: runners that fail at the
    // same moment are noticed milliseconds apart.
    Duration batch_window = milliseconds(3);
    // A runner is told of, and asked for a peer's word, once in so long. Bounds
    // what a box that is at fault can cause: a question a runner and second.
    Duration again = seconds(1);
    // Runners in a message; the rest are found out otherwise.
    size_t most_told = 64;
  };

  explicit FailureGossip(const Options& options) : options_(options) {}

  // This box's own question to the runner got no answer, or one that it is
  // slow, for the first time.
  // True if a message is to be sent after `gather`, because of it.
  bool OnDown(Time now, const std::string& endpoint);
  // The runners to tell of, once `gather` has passed.
  std::vector<std::string> Take();
  // A peer says that these are down: those that this box is to ask.
  std::vector<std::string> OnNotice(Time now,
                                    const std::vector<std::string>& endpoints);

  const Options& options() const { return options_; }

 private:
  using Times = std::unordered_map<std::string, Time>;
  // Whether it is the first time within `again`; notes it if so.
  bool IsNews(Time now, const std::string& endpoint, Times* times) const;

  Options options_;
  std::vector<std::string> pending_;
  Times told_;
  Times heard_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FAILURE_GOSSIP_H_
