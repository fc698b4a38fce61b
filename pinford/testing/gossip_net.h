// Many boxes that gossip on a paused clock, over a network that loses
// datagrams, with crashes, restarts and partitions. Counts what each box sends
// and receives.

#ifndef PINFORD_TESTING_GOSSIP_NET_H_
#define PINFORD_TESTING_GOSSIP_NET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pinford/member_watch.h"
#include "pinford/membership.h"
#include "pinford/replicated_document.h"
#include "util/paused_clock.h"

namespace pinford {

// What one box sent and received.
struct GossipTraffic {
  int64_t datagrams_sent = 0;
  int64_t datagrams_received = 0;
  int64_t bytes_sent = 0;  // of datagrams and of member rows
  int64_t bytes_received = 0;
  int64_t fetches_answered = 0;  // of member rows
  int64_t datagrams_too_large = 0;
  int64_t probes_sent = 0;
};

class GossipNet {
 public:
  struct Box {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<MemberWatch> watch;
    std::unique_ptr<ReplicatedDocument> configuration;
    std::vector<uint64_t> adopted;
    bool up = true;
    int side = 0;  // of a partition; boxes reach only those on their side
    GossipTraffic traffic;
  };

  GossipNet(int boxes, int halls, double loss, uint64_t seed = 1,
            const Membership::Options& options = {})
      : halls_(halls),
        loss_(loss),
        options_(options),
        random_(seed),
        boxes_(boxes) {
    for (int i = 0; i < boxes; i++) Start(i, 1);
  }

  void Start(int i, uint64_t incarnation) {
    Box& box = boxes_[i];
    std::vector<Address> seeds;
    for (int s = 0; s < std::min(3, size()); s++) {
      seeds.push_back(*Address::Parse(At(s)));
    }
    box.membership = std::make_unique<Membership>(
        RowOf(i, incarnation), seeds, options_, Random(i * 100 + incarnation));
    box.watch = std::make_unique<MemberWatch>(
        box.membership.get(), MemberWatch::Options(), Random(random_()));
    box.configuration = std::make_unique<ReplicatedDocument>(
        [&box](uint64_t version, const std::string&) {
          box.adopted.push_back(version);
          return true;
        });
    box.adopted.clear();
    box.up = true;
    Tick(i, ++epoch_);
  }

  void Stop(int i) { boxes_[i].up = false; }
  Box& at(int i) { return boxes_[i]; }
  int size() const { return static_cast<int>(boxes_.size()); }

  // All boxes know each other from now on, as in a fleet that has run for long.
  void Introduce() {
    std::vector<MemberRow> rows;
    rows.reserve(boxes_.size());
    for (int i = 0; i < size(); i++) rows.push_back(RowOf(i, 1));
    for (Box& box : boxes_) box.membership->OnRows(clock_.now(), rows);
  }

  void Adopt(int i, uint64_t version) {
    Box& box = boxes_[i];
    if (!box.configuration->Offer(version, "v")) return;
    box.membership->set_version(DocumentKind::kConfiguration, version);
    Announce(i);
  }
  // As Gossip does: twice.
  void Announce(int i) {
    SendAnnouncement(i);
    clock_.After(Membership::kAnnounceRepeat, [this, i] {
      if (boxes_[i].up) SendAnnouncement(i);
    });
  }
  void SendAnnouncement(int i) {
    for (auto& d : boxes_[i].membership->Announce(clock_.now())) Send(i, d);
  }

  // Whether all running boxes see exactly the running boxes.
  bool AllSeeAll() {
    for (Box& box : boxes_) {
      if (!box.up) continue;
      int live = 0;
      for (Box& other : boxes_) live += other.up && other.side == box.side;
      if (box.membership->live_boxes(clock_.now()) != live) return false;
    }
    return true;
  }
  bool AllHave(uint64_t version) {
    for (Box& box : boxes_) {
      if (box.up && box.configuration->version() != version) return false;
    }
    return true;
  }
  // Time until `done`, at most `limit`.
  Duration TimeUntil(Duration limit, const std::function<bool()>& done,
                     Duration step = milliseconds(10)) {
    const Time started = clock_.now();
    while (!done() && clock_.now() - started < limit) {
      clock_.Advance(step);
    }
    return clock_.now() - started;
  }

  void ClearTraffic() {
    for (Box& box : boxes_) box.traffic = {};
  }
  // The `quantile` of a count over all running boxes: 1 for the busiest box.
  int64_t Quantile(int64_t GossipTraffic::*count, double quantile) {
    std::vector<int64_t> counts;
    for (const Box& box : boxes_) {
      if (box.up) counts.push_back(box.traffic.*count);
    }
    std::sort(counts.begin(), counts.end());
    const auto last = static_cast<double>(counts.size() - 1);
    return counts[static_cast<size_t>(quantile * last)];
  }
  int64_t Busiest(int64_t GossipTraffic::*count) { return Quantile(count, 1); }
  int64_t Median(int64_t GossipTraffic::*count) { return Quantile(count, 0.5); }

  // Whether boxes probe each other; set before the clock is advanced. Without
  // it only heartbeats show which boxes are down.
  bool watches_members = true;
  PausedClock clock_;

 private:
  static constexpr Duration kTickInterval = milliseconds(20);
  // Of a connection to a box without power.
  static constexpr Duration kProbeTimeout = seconds(2);

  static std::string At(int i) {
    return "127.0.0.1:" + std::to_string(1000 + i);
  }
  MemberRow RowOf(int i, uint64_t incarnation) const {
    MemberRow row;
    row.name = "box-" + std::to_string(i);
    row.hall = "hall-" + std::to_string(i % halls_);
    row.address = At(i);
    row.incarnation = incarnation;
    return row;
  }

  void Tick(int i, int epoch) {
    epochs_[i] = epoch;
    clock_.After(milliseconds(1 + i * 7 % 300), [this, i, epoch] {
      Run(i, epoch);
      PollSync(i, epoch);
      if (watches_members) Watch(i, epoch);
    });
  }

  void Run(int i, int epoch) {
    Box& box = boxes_[i];
    if (!box.up || epochs_[i] != epoch) return;
    box.membership->Expire(clock_.now());
    auto [datagrams, next] = box.membership->Tick(
        clock_.now(),
        [this](const Digest& d) { return codec_.Encode(d).size(); });
    for (auto& d : datagrams) Send(i, d);
    clock_.After(next, [this, i, epoch] { Run(i, epoch); });
  }

  void PollSync(int i, int epoch) {
    Box& box = boxes_[i];
    if (!box.up || epochs_[i] != epoch) return;
    if (auto source = box.membership->SyncFrom(clock_.now())) Sync(i, *source);
    clock_.After(kTickInterval, [this, i, epoch] { PollSync(i, epoch); });
  }

  void Watch(int i, int epoch) {
    Box& box = boxes_[i];
    if (!box.up || epochs_[i] != epoch) return;
    for (const MemberWatch::Target& target : box.watch->Due(clock_.now())) {
      box.traffic.probes_sent++;
      const Box& other = boxes_[Address::Parse(target.address)->port - 1000];
      const bool answers = other.up && other.side == box.side;
      if (answers && target.named) other.membership->Refute(clock_.now());
      clock_.After(answers ? milliseconds(1) : kProbeTimeout,
                   [this, i, epoch, answers, name = target.name] {
                     if (epochs_[i] != epoch) return;
                     boxes_[i].watch->OnProbe(clock_.now(), name, answers);
                   });
    }
    const FailureNotice lost{box.watch->TakeLost()};
    for (const std::string& name : lost.endpoints) box.membership->Drop(name);
    SendNotice(i, lost, box.watch->options().fanout);
    SendNotice(i, {box.watch->DueReminder(clock_.now())}, 1);
    clock_.After(kTickInterval, [this, i, epoch] { Watch(i, epoch); });
  }

  void SendNotice(int from, const FailureNotice& notice, size_t peers) {
    if (notice.endpoints.empty()) return;
    const auto bytes = static_cast<int64_t>(codec_.Encode(notice).size());
    Box& box = boxes_[from];
    for (const std::string& to :
         box.membership->RandomLive(clock_.now(), peers)) {
      SendDatagram(from, to, bytes, [this, notice](Box* receiver) {
        receiver->watch->OnNotice(clock_.now(), notice.endpoints);
      });
    }
  }

  void Send(int from, const Membership::Datagram& d) {
    const auto bytes = static_cast<int64_t>(codec_.Encode(d.digest).size());
    SendDatagram(from, d.to, bytes, [this, digest = d.digest](Box* receiver) {
      receiver->membership->OnDigest(clock_.now(), digest);
      Fetch(static_cast<int>(receiver - boxes_.data()));
    });
  }

  void SendDatagram(int from, const std::string& address, int64_t bytes,
                    std::function<void(Box*)> deliver) {
    const int to = Address::Parse(address)->port - 1000;
    GossipTraffic& traffic = boxes_[from].traffic;
    if (bytes > static_cast<int64_t>(kMaxDatagramBytes)) {
      traffic.datagrams_too_large++;
      return;
    }
    traffic.datagrams_sent++;
    traffic.bytes_sent += bytes;
    const double roll = std::uniform_real_distribution<double>(0, 1)(random_);
    if (roll < loss_ || boxes_[from].side != boxes_[to].side) return;
    clock_.After(milliseconds(1),
                 [this, to, bytes, deliver = std::move(deliver)] {
                   Box& box = boxes_[to];
                   if (!box.up) return;
                   box.traffic.datagrams_received++;
                   box.traffic.bytes_received += bytes;
                   deliver(&box);
                 });
  }

  void Sync(int i, const std::string& source) {
    Box& other = boxes_[Address::Parse(source)->port - 1000];
    if (!other.up || other.side != boxes_[i].side) return;
    FetchReply reply;
    reply.members =
        other.membership->RowsFor(clock_.now(), boxes_[i].membership->Query());
    const auto bytes = static_cast<int64_t>(codec_.Encode(reply).size());
    other.traffic.fetches_answered++;
    other.traffic.bytes_sent += bytes;
    boxes_[i].traffic.bytes_received += bytes;
    boxes_[i].membership->OnRows(clock_.now(), reply.members);
  }

  // Fetches the configuration from a peer that has a newer one, after a delay
  // and possibly out of order.
  void Fetch(int i) {
    Box& box = boxes_[i];
    for (const auto& [name, m] : box.membership->members()) {
      const uint64_t version = m.row.versions[0];
      if (version <= box.configuration->version()) continue;
      const Duration took = milliseconds(1 + random_() % 40);
      clock_.After(took, [this, i, version] {
        if (boxes_[i].up) Adopt(i, version);
      });
    }
  }

  int halls_;
  double loss_;
  Membership::Options options_;
  Random random_;
  PeerCodec codec_{"a key of sixteen"};
  std::vector<Box> boxes_;
  std::map<int, int> epochs_;
  int epoch_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_GOSSIP_NET_H_
