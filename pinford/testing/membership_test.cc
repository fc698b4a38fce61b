// Membership and the spread of documents on a paused clock: many boxes, a
// network that loses datagrams, deaths, restarts and cuts.

#include "pinford/membership.h"

#include <gtest/gtest.h>

#include <memory>

#include "pinford/replicated_document.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

class Net {
 public:
  struct Box {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ReplicatedDocument> configuration;
    std::vector<uint64_t> adopted;
    bool up = true;
    int side = 0;  // boxes reach only those on their own side
    int64_t bytes = 0;
  };

  Net(int boxes, int halls, double loss, uint64_t seed = 1)
      : halls_(halls), loss_(loss), random_(seed), boxes_(boxes) {
    for (int i = 0; i < boxes; i++) Start(i, 1);
  }

  void Start(int i, uint64_t incarnation) {
    Box& box = boxes_[i];
    MemberRow row;
    row.name = "box-" + std::to_string(i);
    row.hall = "hall-" + std::to_string(i % halls_);
    row.address = At(i);
    row.incarnation = incarnation;
    std::vector<Address> seeds;
    for (int s = 0; s < std::min<int>(3, static_cast<int>(boxes_.size()));
         s++) {
      seeds.push_back(*Address::Parse(At(s)));
    }
    box.membership = std::make_unique<Membership>(
        row, seeds, Membership::Options(), Random(i * 100 + incarnation));
    box.configuration = std::make_unique<ReplicatedDocument>(
        [&box](uint64_t version, const std::string&) {
          box.adopted.push_back(version);
          return true;
        });
    box.adopted.clear();
    box.up = true;
    Tick(i, ++life_);
  }

  void Stop(int i) { boxes_[i].up = false; }
  Box& at(int i) { return boxes_[i]; }

  void Adopt(int i, uint64_t version) {
    Box& box = boxes_[i];
    if (!box.configuration->Offer(version, "v")) return;
    box.membership->set_version(DocumentKind::kConfiguration, version);
    for (auto& d : box.membership->Announce()) Send(i, d);
  }

  // Whether all boxes that are up see just those that are up.
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
  Duration TimeUntil(Duration limit, const std::function<bool()>& done) {
    const Time begun = clock_.now();
    while (!done() && clock_.now() - begun < limit) {
      clock_.Advance(milliseconds(10));
    }
    return clock_.now() - begun;
  }

  PausedClock clock_;

 private:
  static std::string At(int i) {
    return "127.0.0.1:" + std::to_string(1000 + i);
  }

  void Tick(int i, int life) {
    lives_[i] = life;
    clock_.After(milliseconds(1 + i * 7 % 300), [this, i, life] {
      Run(i, life);
      Look(i, life);
    });
  }

  void Run(int i, int life) {
    Box& box = boxes_[i];
    if (!box.up || lives_[i] != life) return;
    box.membership->Expire(clock_.now());
    const PeerCodec codec("key");
    auto [datagrams, next] = box.membership->Tick(
        clock_.now(),
        [&codec](const Digest& d) { return codec.Encode(d).size(); });
    for (auto& d : datagrams) {
      box.bytes += static_cast<int64_t>(codec.Encode(d.digest).size());
      Send(i, d);
    }
    clock_.After(next, [this, i, life] { Run(i, life); });
  }

  void Look(int i, int life) {
    Box& box = boxes_[i];
    if (!box.up || lives_[i] != life) return;
    if (auto source = box.membership->SyncFrom(clock_.now())) Sync(i, *source);
    clock_.After(milliseconds(20), [this, i, life] { Look(i, life); });
  }

  void Send(int from, const Membership::Datagram& d) {
    const int to = Address::Parse(d.to)->port - 1000;
    const double roll = std::uniform_real_distribution<double>(0, 1)(random_);
    if (roll < loss_ || boxes_[from].side != boxes_[to].side) return;
    clock_.After(milliseconds(1), [this, to, digest = d.digest] {
      Box& box = boxes_[to];
      if (!box.up) return;
      box.membership->OnDigest(clock_.now(), digest);
      Fetch(to);
    });
  }

  void Sync(int i, const std::string& source) {
    Box& other = boxes_[Address::Parse(source)->port - 1000];
    if (!other.up || other.side != boxes_[i].side) return;
    boxes_[i].membership->OnRows(clock_.now(),
                                 other.membership->AllRows(clock_.now()));
  }

  // Takes the configuration from a peer that has a higher one, a moment later
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
  Random random_;
  std::vector<Box> boxes_;
  std::map<int, int> lives_;
  int life_ = 0;
};

TEST(Membership, AllMeetAndTheLostAreDropped) {
  const struct {
    int boxes, halls;
    double loss;
  } cases[] = {{2, 1, 0}, {8, 1, 0}, {8, 1, 0.3}, {8, 3, 0.1}, {33, 1, 0.1}};
  for (const auto& c : cases) {
    SCOPED_TRACE(std::to_string(c.boxes) + " boxes, " +
                 std::to_string(c.halls) + " halls, loss " +
                 std::to_string(c.loss));
    Net net(c.boxes, c.halls, c.loss);
    auto all = [&net] { return net.AllSeeAll(); };
    const Duration meet = net.TimeUntil(seconds(60), all);
    EXPECT_LT(meet, seconds(30));
    // None is suspected without cause.
    for (int i = 0; i < 100; i++) {
      net.clock_.Advance(milliseconds(600));
      EXPECT_TRUE(net.AllSeeAll()) << "after " << i;
    }
    net.Stop(1);
    const Duration noticed = net.TimeUntil(seconds(120), all);
    EXPECT_LT(noticed, seconds(60));
    net.clock_.Advance(seconds(60));
    net.Start(1, 2);
    const Duration back = net.TimeUntil(seconds(60), all);
    EXPECT_LT(back, seconds(30));
    printf(
        "%2d boxes, %d halls, loss %.1f: met %ld ms, loss noticed %ld ms, "
        "back %ld ms\n",
        c.boxes, c.halls, c.loss, ToMillis(meet), ToMillis(noticed),
        ToMillis(back));
  }
}

// Its digests reach one member at a time; the others hear of its new life by
// its heartbeat in the digests of those.
TEST(Membership, AMemberThatWasDroppedIsBackSoon) {
  for (uint64_t seed = 1; seed <= 8; seed++) {
    SCOPED_TRACE(seed);
    Net net(33, 1, 0.1, seed);
    auto all = [&net] { return net.AllSeeAll(); };
    net.TimeUntil(seconds(60), all);
    net.Stop(1);
    net.TimeUntil(seconds(120), all);
    net.clock_.Advance(seconds(60));
    net.Start(1, 2);
    EXPECT_LT(net.TimeUntil(seconds(60), all), seconds(10));
  }
}

// Duties fall on the right boxes once a box sees its hall. All start together,
// as after a power loss; then a box starts alone.
TEST(Membership, ANewBoxSeesItsHallWithinTheJoinTime) {
  const struct { int boxes, halls; } cases[] = {{8, 3}, {66, 4}, {99, 3}};
  for (const auto& c : cases) {
    SCOPED_TRACE(std::to_string(c.boxes) + " boxes");
    Net net(c.boxes, c.halls, 0);
    const auto sees_its_hall = [&net, &c](int i) {
      int near = 0;
      for (const auto& [name, m] : net.at(i).membership->members()) {
        near += m.row.hall == net.at(i).membership->self().hall;
      }
      return near == (c.boxes - i % c.halls + c.halls - 1) / c.halls - 1;
    };
    const auto all = [&] {
      for (int i = 0; i < c.boxes; i++) {
        if (!sees_its_hall(i)) return false;
      }
      return true;
    };
    EXPECT_LT(net.TimeUntil(seconds(20), all), milliseconds(2500));
    net.Stop(5);
    net.clock_.Advance(seconds(1));
    net.Start(5, 2);
    const auto one = [&] { return sees_its_hall(5); };
    EXPECT_LT(net.TimeUntil(seconds(20), one), milliseconds(500));
  }
}

TEST(Membership, KeepsToItsBudgetWhateverTheNumber) {
  for (int boxes : {8, 16, 33}) {
    Net net(boxes, 1, 0);
    net.clock_.Advance(seconds(30));
    const int64_t before = net.at(3).bytes;
    net.clock_.Advance(seconds(60));
    const double rate = static_cast<double>(net.at(3).bytes - before) / 60;
    printf("%d boxes: %.0f bytes a second sent\n", boxes, rate);
    EXPECT_LT(rate, 1400);
  }
}

TEST(Membership, DutiesFallToTwo) {
  Net net(8, 1, 0);
  net.clock_.Advance(seconds(30));
  auto is_candidate = [&net](const std::string& duty) {
    int n = 0;
    for (int i = 0; i < 8; i++) {
      if (!net.at(i).up) continue;
      n += net.at(i).membership->IsElected(net.clock_.now(), duty, 2);
    }
    return n;
  };
  for (int d = 0; d < 50; d++) {
    EXPECT_EQ(is_candidate("duty " + std::to_string(d)), 2);
  }
  net.Stop(2);
  net.Stop(5);
  net.clock_.Advance(seconds(60));
  for (int d = 0; d < 50; d++) {
    EXPECT_EQ(is_candidate("duty " + std::to_string(d)), 2);
  }
}

TEST(Membership, LeavingIsNotForgottenToLateWords) {
  Net net(2, 1, 0);
  net.clock_.Advance(seconds(10));
  Membership& a = *net.at(0).membership;
  MemberRow row = a.members().at("box-1").row;
  row.heartbeat += 5;
  Digest late;
  late.sender = row;
  row.state = MemberState::kLeaving;
  row.versions[0] = 9;
  Digest leaving;
  leaving.sender = row;
  a.OnDigest(net.clock_.now(), late);
  // The same heartbeat, with news in it.
  const auto changes = a.OnDigest(net.clock_.now(), leaving);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].second, MemberChange::kLeaving);
  a.OnDigest(net.clock_.now(), late);
  EXPECT_EQ(a.members().at("box-1").row.state, MemberState::kLeaving);
  EXPECT_EQ(a.members().at("box-1").row.versions[0], 9u);
}

TEST(Documents, InForceEverywhereAndNeverRevert) {
  const struct {
    int boxes, halls;
    double loss;
  } cases[] = {{8, 1, 0}, {8, 1, 0.3}, {8, 3, 0.3}, {33, 1, 0.2}};
  for (const auto& c : cases) {
    Net net(c.boxes, c.halls, c.loss);
    net.clock_.Advance(seconds(30));
    std::vector<double> took;
    for (uint64_t g = 1; g <= 20; g++) {
      net.Adopt(static_cast<int>(g * 5 % c.boxes), g);
      took.push_back(ToSeconds(
          net.TimeUntil(seconds(30), [&net, g] { return net.AllHave(g); })));
    }
    std::sort(took.begin(), took.end());
    EXPECT_LT(took.back(), 5);
    for (int i = 0; i < c.boxes; i++) {
      const std::vector<uint64_t>& adopted = net.at(i).adopted;
      EXPECT_TRUE(std::is_sorted(adopted.begin(), adopted.end()));
    }
    printf(
        "%d boxes, %d halls, loss %.1f: in force everywhere in %.2f s "
        "(median), %.2f s (longest of 20)\n",
        c.boxes, c.halls, c.loss, took[10], took.back());
  }
}

TEST(Documents, ReachBoxesThatWereCutOff) {
  Net net(8, 1, 0);
  net.clock_.Advance(seconds(30));
  for (int i = 5; i < 8; i++) net.at(i).side = 1;
  net.Adopt(0, 1);
  // Long enough for the sides to forget each other.
  net.clock_.Advance(seconds(300));
  EXPECT_FALSE(net.AllHave(1));
  for (int i = 5; i < 8; i++) net.at(i).side = 0;
  const Duration took =
      net.TimeUntil(seconds(60), [&net] { return net.AllHave(1); });
  EXPECT_LT(took, seconds(5));
  printf("after a cut of 300 s: in force everywhere in %ld ms\n",
         ToMillis(took));
}

}  // namespace
}  // namespace pinford
