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
// leaving) is announced at once, in a small datagram to a few random members. A
// box to which the state is new announces it in turn, so it reaches all boxes
// in a number of rounds that grows with the logarithm of their number, while
// each box sends the same few datagrams whatever the number. Boxes that no
// announcement reaches (one in 1,000 if no datagram is lost) learn of the state
// from digests, or when they ask their source of documents.
//
// A digest has a bounded size: it carries the heartbeats of a random few of the
// members, more of the local hall than of others, the rows of a few that joined
// recently, and a few of the marks of leaving endpoints. One digest in
// other_hall_every goes to another hall. Heartbeats identify members by a hash;
// a box that receives one it does not know fetches the rows that it lacks from
// the sender. A box that has just started fetches rows from a member of its
// hall, or from a seed while it knows none: digests alone take seconds to name
// all members of a large fleet.
//
// Does no I/O: the caller sends what Tick and Announce return.

#ifndef PINFORD_MEMBERSHIP_H_
#define PINFORD_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "pinford/peer_counts.h"
#include "pinford/peer_messages.h"
#include "pinford/send_budget.h"
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
        seconds(5);  // how long digests include a new row in full
    // Upper bounds of a digest's parts.
    size_t max_counts = 64;
    size_t max_joined = 8;
    size_t max_leaving = 32;
    size_t max_local_heartbeats = 32;
    size_t max_remote_heartbeats = 16;
    // One digest in this many goes to another hall.
    int other_hall_every = 8;
    // Factor on the time to suspect for members of other halls.
    double remote_factor = 4;
    // Receivers of an announcement. Of n boxes about n * exp(-7) get none.
    size_t announce_local = 5;
    size_t announce_remote = 2;
    Duration sync_interval = seconds(1);  // between fetches of rows
    // A box fetches the rows that it lacks for this long after its start. By
    // then each box of a fleet that started with it has announced itself to
    // some seed, and the seeds have synchronized with each other. Fetches go on
    // while they bring many rows.
    Duration join_period = milliseconds(2500);
    // Interval of those fetches.
    Duration join_interval = milliseconds(400);
    // Between fetches of what is still missing, later: random heartbeats take
    // long to name the last members.
    Duration refresh_interval = seconds(20);
  };

  // Size of a member's row in a message, approximately.
  static constexpr size_t kRowBytes = 100;
  // Rows in one reply.
  static constexpr size_t kMaxRows = 200;
  // Sent when the budget is used up, so that a new box knows others to ask.
  static constexpr size_t kMinRows = 8;
  // The budget for rows is a quarter of what a 20 Mbit/s link carries, the
  // slowest that boxes have.
  static constexpr double kRowBytesPerSecond = 625'000;
  static constexpr double kRowBurst = 100'000;

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
  // An announcement is repeated after this time, to other members: one in
  // 1,000 boxes gets neither where a fifth of the datagrams is lost.
  static constexpr Duration kAnnounceRepeat = milliseconds(300);
  // Small datagrams to a few random members, which carry this box's row and
  // the latest marks of leaving endpoints.
  std::vector<Datagram> Announce(Time now);
  // The same to the given addresses.
  std::vector<Datagram> AnnounceTo(const std::vector<std::string>& addresses);

  // Applies a digest. Returns the members that changed.
  std::vector<std::pair<std::string, MemberChange>> OnDigest(
      Time now, const Digest& digest);
  // The address to fetch rows from now, if there is a reason to. Call it often.
  std::optional<std::string> SyncFrom(Time now);
  // What this box asks for there: the rows that it lacks.
  MembersQuery Query() const;
  // The rows of members that this box considers live, its own included, that
  // the sender of the query lacks: first those of its hall. Only a few if the
  // budget for rows is used up.
  std::vector<MemberRow> RowsFor(Time now, const MembersQuery& query);
  std::vector<std::pair<std::string, MemberChange>> OnRows(
      Time now, const std::vector<MemberRow>& rows);
  // Returns and removes the members lost since the last call.
  std::vector<std::string> Expire(Time now);
  // Removes a member that was found to be down. False if there is none. It is
  // back with its next own digest, or when others relay a newer incarnation.
  bool Drop(const std::string& name);
  // Some peer considers this box lost. It begins a new incarnation, which
  // brings it back to all that dropped it.
  void Refute(Time now);

  struct Member {
    MemberRow row;
    Time first_seen{};
    Time last_heartbeat{};  // when its heartbeat last grew here
    Time last_contact{};    // when a digest of its own last arrived
    std::vector<EndpointCount> counts;
    Time counts_received{};
    uint32_t running = 0;
    uint32_t waiting = 0;
  };
  // All members except this box.
  const std::map<std::string, Member>& members() const { return members_; }
  const MemberRow& self() const { return self_; }
  const Options& options() const { return options_; }
  bool Suspected(Time now, const Member& member) const;
  // Whether it is neither leaving nor suspected.
  bool IsLive(Time now, const Member& member) const {
    return member.row.state == MemberState::kLive && !Suspected(now, member);
  }

  // Whether this box is one of the `count` in its hall that are elected for
  // `role`, by rendezvous hashing over the live members that it sees. Boxes
  // that see different members may both be elected, so roles must tolerate
  // duplicates.
  bool IsElected(Time now, const std::string& role, int count) const;
  // Addresses of the seeds, without this box's own.
  const std::vector<std::string>& other_seeds() const { return other_seeds_; }
  // Addresses of up to `count` live members of any hall, drawn at random.
  std::vector<std::string> RandomLive(Time now, size_t count);
  // The same of this box's hall.
  std::vector<std::string> RandomLocal(Time now, size_t count);
  // The same of other halls, spread evenly over them.
  std::vector<std::string> RandomRemote(Time now, size_t count);
  // Addresses of the `count` live boxes of all halls that are chosen for `key`
  // by rendezvous hashing, without this box's own if it is one of them. Boxes
  // that see different members may choose differently.
  std::vector<std::string> RendezvousLive(Time now, const std::string& key,
                                          size_t count) const;
  // The same with this box's own, in order of preference, among the boxes of
  // one hall; among all if that hall has none.
  std::vector<std::string> RendezvousInHall(Time now, const std::string& hall,
                                            const std::string& key,
                                            size_t count) const;
  // Number of live boxes in all halls, including this one.
  int live_boxes(Time now) const;
  // Sums of the counts that peers sent recently, scaled up for live boxes whose
  // counts are missing.
  PeerCounts SumOfCounts(Time now) const;

 private:
  // One round in this many also contacts a seed, or in as many as keep the
  // seeds of a large fleet from getting more digests than of a small one.
  static constexpr int kMinSeedPeriod = 8;

  // Between refutations. All members that a notice reaches ask within seconds.
  static constexpr Duration kRefutationInterval = seconds(10);

  // The `count` live boxes chosen for `key`, this one included, the first
  // choice first. `hall`: considers the boxes of this hall only; "" for all.
  std::vector<const MemberRow*> RankedLive(Time now, const std::string& hall,
                                           const std::string& key,
                                           size_t count) const;
  std::vector<Datagram> TickDatagrams(Time now);
  Duration IntervalFor(size_t bytes);
  Duration SuspectAfter(bool local) const;
  Duration SuspectAfter(const Member& member) const;
  // Adds the marks of leaving endpoints, the latest and a random few others.
  void AddLeavingMarks(Digest* d);
  void SetFreshness(Digest* d) const;
  Digest FullDigest(Time now);
  Digest SmallDigest();
  int SeedPeriod() const;
  size_t MaxRows(Time now, const MembersQuery& query) const;
  // A random live member of this hall; "" if there is none.
  std::string PickLocal(Time now);
  // Addresses of the live members of each hall.
  std::map<std::string_view, std::vector<std::string>> LiveByHall(
      Time now) const;
  // A random seed other than this box; "" if there is none.
  std::string PickSeed();
  std::optional<std::string> PickTarget(Time now);
  // `direct`: the member sent the row itself just now.
  bool OnRow(Time now, const MemberRow& row, bool direct,
             std::vector<std::pair<std::string, MemberChange>>* changes);
  // Whether the row or heartbeat is no news of a member that was dropped.
  bool IsDropped(const MemberRow& row, bool direct) const;

  // Results of SuspectAfter for the state in `key`, because many functions ask
  // for every member.
  struct SuspectTimes {
    using Key = std::tuple<size_t, size_t, Duration>;
    Key key{};
    Duration local{};
    Duration remote{};
  };
  mutable SuspectTimes suspect_times_;

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
  std::vector<LeavingMark> leaving_;   // the latest first
  std::set<LeavingMark> leaving_set_;  // the same
  uint32_t running_ = 0;
  uint32_t waiting_ = 0;
  Duration freshness_age_ = Duration::max();
  Duration interval_ = milliseconds(300);
  uint64_t ticks_ = 0;
  std::string sync_from_;  // "" when there is no reason to fetch
  uint64_t joins_ = 0;     // fetches during the join period
  Time next_refresh_{};
  Time next_refutation_{};
  SendBudget row_budget_{kRowBytesPerSecond, kRowBurst};
  Time join_until_{};
  Time next_sync_{};
};

}  // namespace pinford

#endif  // PINFORD_MEMBERSHIP_H_
