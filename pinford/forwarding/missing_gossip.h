// Gossip between boxes about entries that are missing from the store's list.
//
// The list reaches the boxes of a hall through the box that mirrors the store.
// While the store does not answer that box, its hall learns that an entry was
// removed only after this was noticed and another box has taken over. A box
// that reads from the store that an entry is missing therefore notifies a few
// other halls, with a delay after which boxes with a working mirror know it
// from their list. A box to which it is news withholds new work from the
// endpoint until its own list is as recent (missing_entries.h), and notifies
// members of its hall, which probably lack it too, and one of another hall.
//
// In a fleet whose mirrors work, a removed entry costs each mirror
// `read_fanout` small datagrams, whatever the number of boxes. A lost datagram
// is made up for by other senders, and by the list.
//
// No I/O: the owner sends what the Take functions return.

#ifndef PINFORD_FORWARDING_MISSING_GOSSIP_H_
#define PINFORD_FORWARDING_MISSING_GOSSIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "pinford/peer_messages.h"
#include "util/clock.h"

namespace pinford {

class MissingGossip {
 public:
  struct Options {
    // Members of other halls that are notified of an entry that this box read
    // to be missing, spread evenly over these halls.
    size_t read_fanout = 5;
    // Members of this hall, and of other halls, that are notified of news. Of n
    // boxes of a hall about n * exp(-local_fanout) receive nothing once it is
    // news there; they get it from the list.
    size_t local_fanout = 8;
    size_t remote_fanout = 1;
    // How long the list takes to the boxes of a hall.
    Duration delay = milliseconds(60);
  };

  explicit MissingGossip(const Options& options) : options_(options) {}

  // This box read from the store that the entry is missing. The list version
  // that lacks it follows by OnListVersion.
  void OnRead(const std::string& endpoint, uint64_t incarnation);
  // The entries read since the last call are missing from this version of the
  // list; 0 if it is unknown, which drops them.
  void OnListVersion(Time now, uint64_t version);
  // A notice of this entry was news to this box.
  void OnNews(const MissingEntry& entry);

  // The entries read that are due, for members of other halls. At most as many
  // as a notice may have; the others follow with the next call.
  MissingNotice TakeRead(Time now);
  // The entries that were news, for members of this hall and of another.
  MissingNotice TakeNews();

  const Options& options() const { return options_; }

 private:
  struct Pending {
    MissingEntry entry;
    Time due{};
  };
  Options options_;
  std::vector<MissingEntry> read_;  // without a version yet
  std::vector<Pending> pending_;    // ordered by due
  std::vector<MissingEntry> news_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_MISSING_GOSSIP_H_
