// Which boxes are there, and what each has told.
//
// Gossip in the manner of van Renesse, Minsky and Hayden, "A gossip-style
// failure detection service" (Middleware 1998): each box counts its own
// heartbeat up and, at a rate set by a budget of bytes, sends a digest of all
// the heartbeats it knows to one random member. A member whose heartbeat has
// not grown for long enough is suspected, then dropped. That needs no
// acknowledgements, and its cost for one box depends on the budget, not on
// the number of boxes; what grows with the boxes is the time to notice a
// loss, which goes with the digest's size and the logarithm of the number.
//
// News that cannot wait (a new configuration, a leaving endpoint, this box's
// own leaving) is announced at once, in a small datagram to every live member
// of the hall and to one member of each other hall, whose boxes pass it on in
// theirs.
//
// Digests carry the heartbeats of the whole own hall and of a random few of
// the members elsewhere, and one digest in other_hall_every goes to another
// hall. So members elsewhere are noticed as lost later than those near by.
// Heartbeats name members by a hash; a box that meets one it does not know
// asks the sender for all rows. A box that has just started asks its seeds for
// them too: digests alone take seconds to name all members of a large fleet.
//
// No I/O: the caller sends what Tick and Announce return.

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
    // Dropped after this many times the time to suspect.
    double drop_factor = 2;
    Duration joined_for = seconds(5);  // how long a new row is passed on whole
    size_t max_counts = 64;            // endpoint counts in a digest
    // One digest in so many goes to another hall.
    int other_hall_every = 8;
    size_t max_far_beats = 16;  // heartbeats of other halls in a digest
    // How much longer members elsewhere have than those near by.
    double far_factor = 4;
    Duration sync_interval = seconds(1);  // between asking for all rows
    // A box asks its seeds for all rows until it has been up for so long: by
    // then each box of a fleet that started with it has told some seed of
    // itself, and the seeds have told each other.
    Duration join = milliseconds(2500);
    // ... this often.
    Duration join_interval = milliseconds(400);
  };

  Membership(MemberRow self, const std::vector<Address>& seeds,
             const Options& options, Random random);

  struct Datagram {
    std::string to;  // an address
    Digest digest;
  };

  // What this box tells of itself.
  void set_version(DocumentKind kind, uint64_t version);
  void set_leaving() { self_.state = MemberState::kLeaving; }
  void set_counts(std::vector<EndpointCount> counts);
  void set_load(uint32_t running, uint32_t waiting);
  void set_leaving_endpoints(std::vector<LeavingMark> marks);
  // How old this box's proof is that its configuration is the newest.
  void set_freshness_age(Duration age) { proof_age_ = age; }

  // The digest to send now and the time until the next call. `size` tells
  // how many bytes a digest takes.
  template <typename SizeOf>
  std::pair<std::vector<Datagram>, Duration> Tick(Time now, SizeOf size) {
    std::vector<Datagram> out = TickDatagrams(now);
    size_t bytes = 0;
    for (const Datagram& d : out) bytes += size(d.digest);
    return {std::move(out), IntervalFor(bytes)};
  }
  // Small datagrams that carry this box's row and the leaving endpoints.
  std::vector<Datagram> Announce();

  // Takes a digest in. Returns the members that changed with it.
  std::vector<std::pair<std::string, MemberChange>> OnDigest(
      Time now, const Digest& digest);
  // The address to ask for all rows now, if there is a reason to. Call it
  // often.
  std::optional<std::string> SyncFrom(Time now);
  // All rows that this box vouches for, its own among them.
  std::vector<MemberRow> AllRows(Time now) const;
  std::vector<std::pair<std::string, MemberChange>> OnRows(
      Time now, const std::vector<MemberRow>& rows);
  // Members lost since the last call.
  std::vector<std::string> Expire(Time now);

  struct Member {
    MemberRow row;
    Time first_seen{};
    Time grew{};  // when its heartbeat last grew here
    std::vector<EndpointCount> counts;
    Time counted{};
    uint32_t running = 0;
    uint32_t waiting = 0;
  };
  // All but this box.
  const std::map<std::string, Member>& members() const { return members_; }
  const MemberRow& self() const { return self_; }
  bool Suspected(Time now, const Member& member) const;

  // Whether this box is one of the `count` of its hall that `duty` falls to,
  // by rendezvous hashing over the live members it sees. Boxes that see
  // different members may both think so: duties are harmless when doubled.
  bool IsElected(Time now, const std::string& duty, int count) const;
  // Addresses of the seeds, without this box's own.
  const std::vector<std::string>& other_seeds() const { return other_seeds_; }
  // Addresses of up to `count` live members of any hall, drawn at random.
  std::vector<std::string> SomeLive(Time now, size_t count);
  // Live boxes of all halls, this one among them.
  int live_boxes(Time now) const;
  // Sums of what peers said of late, made up for the live boxes that were not
  // heard.
  PeerCounts SumOfCounts(Time now) const;

 private:
  // One round in so many asks a seed too.
  static constexpr int kSeedEvery = 8;

  std::vector<Datagram> TickDatagrams(Time now);
  Duration IntervalFor(size_t bytes);
  Duration SuspectAfter(const Member& member) const;
  void TellOwn(Digest* d) const;
  Digest FullDigest(Time now);
  // A seed other than this box, "" if there is none.
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
  size_t far_members_ = 0;                 // members of other halls
  // The last incarnation of members that were dropped, so that late datagrams
  // do not bring them back.
  std::map<std::string, std::pair<uint64_t, uint64_t>> dropped_;
  std::map<uint32_t, uint64_t> dropped_ids_;  // their incarnations, by NameId
  std::vector<EndpointCount> counts_;
  std::vector<LeavingMark> leaving_;
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  Duration proof_age_ = Duration::max();
  Duration interval_ = milliseconds(300);
  uint64_t ticks_ = 0;
  std::string sync_from_;  // "" when there is no reason to ask
  Time join_until_{};
  Time next_sync_{};
};

}  // namespace pinford

#endif  // PINFORD_MEMBERSHIP_H_
