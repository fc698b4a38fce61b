// Tracks which boxes are members, and the state that each has reported.
//
// The protocol follows van Renesse, Minsky and Hayden, "A gossip-style failure
// detection service" (Middleware 1998): each box increments its own heartbeat
// and, at a rate set by a budget of bytes, sends a digest of all the heartbeats
// it knows to one random member. A member whose heartbeat has not grown for
// long enough is suspected, then dropped. This needs no acknowledgements, and
// its cost for one box depends on the budget, not on the number of boxes. What
// grows with the number is the time to detect a loss, which depends on the
// digest's size and the logarithm of the number.
//
// Urgent state (a new configuration, a leaving endpoint, this box's own
// leaving) is announced at once, in a small datagram to every live member of
// the hall and to one member of each other hall, whose boxes pass it on in
// theirs.
//
// Digests carry the heartbeats of the whole local hall and of a random few of
// the members elsewhere, and one digest in other_hall_every goes to another
// hall. So lost members are detected later in remote halls than in the local
// one. Heartbeats identify members by a hash; a box that receives one it does
// not know fetches all rows from the sender. A box that has just started
// fetches them from its seeds too: digests alone take seconds to name all
// members of a large fleet.
//
// Does no I/O: the caller sends what Tick and Announce return.

#ifndef PINFORD_MEMBERSHIP_H_
#define PINFORD_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/peer_counts.h"
#include "pinford/peer_messages.h"
#include "util/address.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class MemberChange { kJoined, kLeaving, kLost };

std::string_view MemberChangeName(MemberChange c);

class Membership {
 public:
  struct Options {
    double bytes_per_second = 1000;  // of digests sent
    Duration min_interval = milliseconds(50);
    Duration max_interval = seconds(2);
    Duration min_suspect = seconds(3);
    // A member is dropped after this many times its time to suspect.
    double drop_factor = 2;
    Duration joined_window =
        seconds(5);          // how long digests include a new row in full
    size_t max_counts = 64;  // endpoint counts in a digest
    // One digest in this many goes to another hall.
    int other_hall_every = 8;
    size_t max_remote_heartbeats = 16;  // heartbeats of other halls in a digest
    // Factor on the time to suspect for members of other halls.
    double remote_factor = 4;
    Duration sync_interval = seconds(1);  // between fetches of all rows
    // A box fetches all rows from its seeds for this long after its start. By
    // then each box of a fleet that started with it has announced itself to
    // some seed, and the seeds have synchronized with each other.
    Duration join_period = milliseconds(2500);
    // Interval of those fetches.
    Duration join_interval = milliseconds(400);
  };

  Membership(MemberRow self, const std::vector<Address>& seeds,
             const Options& options, Random random);

  struct Datagram {
    std::string to;  // an address
    Digest digest;
  };

  // This box's own state, which it sends to others.
  void set_version(DocumentKind kind, uint64_t version);
  void set_leaving() { self_.state = MemberState::kLeaving; }
  void set_counts(std::vector<EndpointCount> counts);
  void set_load(uint32_t running, uint32_t waiting);
  void set_leaving_endpoints(std::vector<LeavingMark> marks);
  // Time since this box's configuration was last known to be the newest.
  void set_freshness_age(Duration age) { freshness_age_ = age; }

  // Returns the digests to send now and the time until the next call. `size`
  // returns a digest's size in bytes.
  template <typename SizeOf>
  std::pair<std::vector<Datagram>, Duration> Tick(Time now, SizeOf size) {
    std::vector<Datagram> out = TickDatagrams(now);
    size_t bytes = 0;
    for (const Datagram& d : out) bytes += size(d.digest);
    return {std::move(out), IntervalFor(bytes)};
  }
  // Small datagrams that carry this box's row and the leaving endpoints.
  std::vector<Datagram> Announce();

  // Applies a digest. Returns the members that changed.
  std::vector<std::pair<std::string, MemberChange>> OnDigest(
      Time now, const Digest& digest);
  // The address to fetch all rows from now, if there is a reason to. Call it
  // often.
  std::optional<std::string> SyncFrom(Time now);
  // All rows of members that this box considers live, including its own.
  std::vector<MemberRow> AllRows(Time now) const;
  std::vector<std::pair<std::string, MemberChange>> OnRows(
      Time now, const std::vector<MemberRow>& rows);
  // Returns and removes the members lost since the last call.
  std::vector<std::string> Expire(Time now);

  struct Member {
    MemberRow row;
    Time first_seen{};
    Time last_heartbeat{};  // when its heartbeat last grew here
    std::vector<EndpointCount> counts;
    Time counts_received{};
    uint32_t running = 0;
    uint32_t waiting = 0;
  };
  // All members except this box.
  const std::map<std::string, Member>& members() const { return members_; }
  const MemberRow& self() const { return self_; }
  bool Suspected(Time now, const Member& member) const;

  // Whether this box is one of the `count` in its hall that are elected for
  // `role`, by rendezvous hashing over the live members that it sees. Boxes
  // that see different members may both be elected, so roles must tolerate
  // duplicates.
  bool IsElected(Time now, const std::string& role, int count) const;
  // Addresses of the seeds, without this box's own.
  const std::vector<std::string>& other_seeds() const { return other_seeds_; }
  // Addresses of up to `count` live members of any hall, drawn at random.
  std::vector<std::string> RandomLive(Time now, size_t count);
  // Addresses of the `count` live boxes of all halls that are chosen for `key`
  // by rendezvous hashing, without this box's own if it is one of them. Boxes
  // that see different members may choose differently.
  std::vector<std::string> RendezvousLive(Time now, const std::string& key,
                                          size_t count) const;
  // Number of live boxes in all halls, including this one.
  int live_boxes(Time now) const;
  // Sums of the counts that peers sent recently, scaled up for live boxes whose
  // counts are missing.
  PeerCounts SumOfCounts(Time now) const;

 private:
  // One round in this many also contacts a seed.
  static constexpr int kSeedPeriod = 8;

  std::vector<Datagram> TickDatagrams(Time now);
  Duration IntervalFor(size_t bytes);
  Duration SuspectAfter(const Member& member) const;
  void FillOwnState(Digest* d) const;
  Digest FullDigest(Time now);
  // A random seed other than this box; "" if there is none.
  std::string PickSeed();
  std::optional<std::string> PickTarget(Time now);
  bool OnRow(Time now, const MemberRow& row,
             std::vector<std::pair<std::string, MemberChange>>* changes);

  MemberRow self_;
  std::vector<std::string> other_seeds_;
  Options options_;
  Random random_;
  std::map<std::string, Member> members_;
  std::map<uint32_t, std::string> names_;  // of members, by NameId
  size_t remote_members_ = 0;              // members of other halls
  // Last incarnation and heartbeat of dropped members, so that late datagrams
  // do not add them again.
  std::map<std::string, std::pair<uint64_t, uint64_t>> dropped_;
  std::map<uint32_t, uint64_t> dropped_ids_;  // their incarnations, by NameId
  std::vector<EndpointCount> counts_;
  std::vector<LeavingMark> leaving_;
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  Duration freshness_age_ = Duration::max();
  Duration interval_ = milliseconds(300);
  uint64_t ticks_ = 0;
  std::string sync_from_;  // "" when there is no reason to fetch
  Time join_until_{};
  Time next_sync_{};
};

}  // namespace pinford

#endif  // PINFORD_MEMBERSHIP_H_
