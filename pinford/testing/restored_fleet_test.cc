// Fleets before a store that comes back from copies, over random schedules:
// what boxes believe only grows, who runs keeps what the fleet knows, and in
// the end all have what the store has.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "pinford/testing/fleet.h"

namespace pinford {
namespace {

constexpr int kBoxes = 9;
constexpr int kHalls = 3;
// A configuration is in force everywhere within this, if boxes reach each
// other: a question each 0.4 s, of a mirror that may have to be found first.
constexpr Duration kInForce = seconds(3);

class Schedule {
 public:
  explicit Schedule(int seed) : random(seed), fleet(kBoxes, kHalls) {
    fleet.can_reach = [this](int a, int b) { return !Cut(a) && !Cut(b); };
    fleet.store.response = [this](int box) { return response[box]; };
  }

  bool Cut(int box) const { return cut == box; }

  void Step() {
    fleet.Run(milliseconds(100));
    CheckGrowth();
    CheckFloor();
    const int box = static_cast<int>(random() % kBoxes);
    switch (random() % 40) {
      case 0:
      case 1:
        acknowledged.push_back(fleet.store.configuration);
        fleet.store.Put(++last_version);
        break;
      case 2:
        for (int i = 0; i < 4; i++) fleet.store.BumpRevision();
        break;
      case 3:
      case 4:
        Restore();
        if (random() % 3 == 0) Restore();
        break;
      case 5:
        fleet.Kill(box);
        fleet.Start(box);
        starts++;
        break;
      case 6:
        response[box] = random() % 2 == 0 ? FleetStore::Response::kRefuse
                                          : FleetStore::Response::kNone;
        break;
      case 7:
        std::fill(std::begin(response), std::end(response),
                  FleetStore::Response::kNone);
        break;
      case 8:
      case 9:
      case 10:
        std::fill(std::begin(response), std::end(response),
                  FleetStore::Response::kAnswer);
        break;
      case 11:
        cut = box;
        break;
      case 12:
      case 13:
        cut = -1;
        break;
      case 14:
        Rewrite();
        break;
      default:
        break;
    }
  }

  // The trouble ends, and the operator writes what was lost.
  void Settle() {
    cut = -1;
    std::fill(std::begin(response), std::end(response),
              FleetStore::Response::kAnswer);
    Rewrite();
    fleet.Run(seconds(8));
  }

  void Restore() {
    // One of the last three versions.
    const size_t back = std::min<size_t>(random() % 4, acknowledged.size());
    const uint64_t version = back == 0
                                 ? fleet.store.configuration
                                 : acknowledged[acknowledged.size() - back];
    for (int i = 0; i < 3; i++) fleet.store.BumpRevision();
    fleet.store.Restore(std::min(version, fleet.store.configuration));
    restores++;
  }
  void Rewrite() {
    if (fleet.store.configuration < last_version) fleet.store.Put(last_version);
  }

  void CheckGrowth() {
    for (int i = 0; i < kBoxes; i++) {
      const Fleet::Box& box = fleet.at(i);
      const std::pair<uint64_t, uint64_t> now = {box.configuration(),
                                                 box.list()};
      if (lives[i] == box.life) {
        EXPECT_GE(now.first, held[i].first) << i;
        EXPECT_GE(now.second, held[i].second) << i;
      }
      lives[i] = box.life;
      held[i] = now;
    }
  }

  // What some box that runs and is reached has known for a while, all have that
  // are reached.
  void CheckFloor() {
    uint64_t highest = 0;
    for (int i = 0; i < kBoxes; i++) {
      if (!Cut(i)) highest = std::max(highest, fleet.at(i).configuration());
    }
    known.emplace_back(fleet.clock.now(), highest);
    while (fleet.clock.now() - known.front().first > kInForce) {
      known.pop_front();
    }
    if (cut >= 0) uncut_since = fleet.clock.now();
    if (fleet.clock.now() - uncut_since < kInForce) return;
    uint64_t floor = highest;
    for (const auto& [at, version] : known) floor = std::min(floor, version);
    for (int i = 0; i < kBoxes; i++) {
      const Fleet::Box& box = fleet.at(i);
      if (fleet.clock.now() - box.started < kInForce) continue;
      EXPECT_GE(box.configuration(), floor) << i;
    }
  }

  Random random;
  FleetStore::Response response[kBoxes] = {};
  int cut = -1;  // a box that reaches no other
  Fleet fleet;
  uint64_t last_version = 1;
  std::vector<uint64_t> acknowledged;  // versions before the present one
  std::pair<uint64_t, uint64_t> held[kBoxes];
  int lives[kBoxes] = {};
  std::deque<std::pair<Time, uint64_t>> known;
  Time uncut_since{};
  int restores = 0;
  int starts = 0;
};

TEST(RestoredFleet, BelievesOnlyMoreOverAnySchedule) {
  int restores = 0;
  int starts = 0;
  for (int seed = 0; seed < 300; seed++) {
    Schedule s(seed);
    s.fleet.Run(seconds(5));
    for (int step = 0; step < 300 && !HasFailure(); step++) s.Step();
    s.Settle();
    for (int i = 0; i < kBoxes; i++) {
      EXPECT_EQ(s.fleet.at(i).configuration(), s.last_version) << i;
      EXPECT_EQ(s.fleet.at(i).list(), s.fleet.store.revision.packed()) << i;
    }
    restores += s.restores;
    starts += s.starts;
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  EXPECT_GT(restores, 4000);
  EXPECT_GT(starts, 1500);
}

}  // namespace
}  // namespace pinford
