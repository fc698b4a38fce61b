// Fleets whose store is restored from copies, over random schedules: the
// versions on a box never decrease, running boxes keep what the fleet knows,
// and in the end all boxes have what the store has.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "pinford/testing/fleet.h"

namespace pinford {
namespace {

constexpr int kBoxes = 9;
constexpr int kHalls = 3;
// A configuration reaches all boxes that reach each other within this time:
// peers are asked every 0.4 s, and a mirror may have to be found first.
constexpr Duration kMaxPropagation = seconds(3);

class Schedule {
 public:
  explicit Schedule(int seed) : random(seed), fleet(kBoxes, kHalls) {
    fleet.can_reach = [this](int a, int b) {
      return !IsIsolated(a) && !IsIsolated(b);
    };
    fleet.store.response = [this](int box) { return response[box]; };
  }

  bool IsIsolated(int box) const { return isolated_box == box; }

  void Step() {
    fleet.Run(milliseconds(100));
    CheckVersionsNeverDecrease();
    CheckPropagation();
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
        restarts++;
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
        isolated_box = box;
        break;
      case 12:
      case 13:
        isolated_box = -1;
        break;
      case 14:
        Rewrite();
        break;
      default:
        break;
    }
  }

  // Ends all faults and writes again what the restores lost.
  void Recover() {
    isolated_box = -1;
    std::fill(std::begin(response), std::end(response),
              FleetStore::Response::kAnswer);
    Rewrite();
    fleet.Run(seconds(8));
  }

  void Restore() {
    // To the current version or one of the three before it.
    const size_t versions_back =
        std::min<size_t>(random() % 4, acknowledged.size());
    const uint64_t version =
        versions_back == 0 ? fleet.store.configuration
                           : acknowledged[acknowledged.size() - versions_back];
    for (int i = 0; i < 3; i++) fleet.store.BumpRevision();
    fleet.store.Restore(std::min(version, fleet.store.configuration));
    restores++;
  }
  void Rewrite() {
    if (fleet.store.configuration < last_version) fleet.store.Put(last_version);
  }

  void CheckVersionsNeverDecrease() {
    for (int i = 0; i < kBoxes; i++) {
      const Fleet::Box& box = fleet.at(i);
      const std::pair<uint64_t, uint64_t> now = {box.configuration(),
                                                 box.list()};
      if (last_incarnations[i] == box.incarnation) {
        EXPECT_GE(now.first, last_versions[i].first) << i;
        EXPECT_GE(now.second, last_versions[i].second) << i;
      }
      last_incarnations[i] = box.incarnation;
      last_versions[i] = now;
    }
  }

  // Every connected box has at least the version that connected boxes have
  // known for kMaxPropagation.
  void CheckPropagation() {
    uint64_t highest = 0;
    for (int i = 0; i < kBoxes; i++) {
      if (!IsIsolated(i))
        highest = std::max(highest, fleet.at(i).configuration());
    }
    known_versions.emplace_back(fleet.clock.now(), highest);
    while (fleet.clock.now() - known_versions.front().first > kMaxPropagation) {
      known_versions.pop_front();
    }
    if (isolated_box >= 0) connected_since = fleet.clock.now();
    if (fleet.clock.now() - connected_since < kMaxPropagation) return;
    uint64_t required_version = highest;
    for (const auto& [at, version] : known_versions)
      required_version = std::min(required_version, version);
    for (int i = 0; i < kBoxes; i++) {
      const Fleet::Box& box = fleet.at(i);
      if (fleet.clock.now() - box.started < kMaxPropagation) continue;
      EXPECT_GE(box.configuration(), required_version) << i;
    }
  }

  Random random;
  FleetStore::Response response[kBoxes] = {};
  int isolated_box = -1;  // box that reaches no other, or -1
  Fleet fleet;
  uint64_t last_version = 1;
  std::vector<uint64_t> acknowledged;  // versions before the current one
  std::pair<uint64_t, uint64_t> last_versions[kBoxes];
  int last_incarnations[kBoxes] = {};
  std::deque<std::pair<Time, uint64_t>> known_versions;
  Time connected_since{};
  int restores = 0;
  int restarts = 0;
};

TEST(RestoredFleet, VersionsNeverDecreaseOverRandomSchedules) {
  int restores = 0;
  int restarts = 0;
  for (int seed = 0; seed < 300; seed++) {
    Schedule s(seed);
    s.fleet.Run(seconds(5));
    for (int step = 0; step < 300 && !HasFailure(); step++) s.Step();
    s.Recover();
    for (int i = 0; i < kBoxes; i++) {
      EXPECT_EQ(s.fleet.at(i).configuration(), s.last_version) << i;
      EXPECT_EQ(s.fleet.at(i).list(), s.fleet.store.revision.packed()) << i;
    }
    restores += s.restores;
    restarts += s.restarts;
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  EXPECT_GT(restores, 4000);
  EXPECT_GT(restarts, 1500);
}

}  // namespace
}  // namespace pinford
