// Endpoints that leave without a word while the boxes that read the store
// fail, or the store refuses them: the store is up throughout, and no box may
// give such an endpoint new work two seconds after the store removed its entry.
// Entries that only lapsed while the store was away must not cost a service
// all its endpoints.

#include <gtest/gtest.h>

#include <ostream>
#include <set>

#include "pinford/testing/fleet.h"

namespace pinford {
namespace {

constexpr char kLeaver[] = "leaver";
// The two seconds allowed, less the time that a request takes to its endpoint.
constexpr milliseconds kBound{1800};

struct Size {
  int boxes;
  int halls;
};

// What happens to the boxes that mirror the store.
enum class Trouble {
  kKilled,          // and refuse connections
  kWithoutPower,    // and are silent
  kRefused,         // by the store
  kUnanswered,      // by the store
  kOneUnanswered,   // only the mirror of one hall is
  kMostUnanswered,  // and most other boxes are, too
  kBrieflyRefused,  // for 0.3 s
};

struct Case {
  const char* name;
  Trouble trouble;
};

void PrintTo(const Size& s, std::ostream* out) {
  *out << s.boxes << " boxes in " << s.halls << " halls";
}
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class LeavingFleet : public testing::TestWithParam<std::tuple<Size, Case>> {
 protected:
  const Size& size() const { return std::get<0>(GetParam()); }
  Trouble trouble() const { return std::get<1>(GetParam()).trouble; }

  static void AddEndpoints(Fleet* fleet) {
    for (const char* id : {kLeaver, "a", "b", "c"}) {
      fleet->store.PutEndpoint(id);
    }
  }

  void Disturb(Fleet* fleet) const {
    std::set<int> boxes;
    for (const int i : fleet->MirrorBoxes()) boxes.insert(i);
    if (trouble() == Trouble::kOneUnanswered) boxes = {*boxes.begin()};
    if (trouble() == Trouble::kMostUnanswered) {
      Random random(5);
      for (int i = 0; i < fleet->size(); i++) {
        if (random() % 10 < 6) boxes.insert(i);
      }
    }
    const bool refused =
        trouble() == Trouble::kRefused || trouble() == Trouble::kBrieflyRefused;
    const bool killed =
        trouble() == Trouble::kKilled || trouble() == Trouble::kWithoutPower;
    fleet->killed_boxes_refuse = trouble() == Trouble::kKilled;
    if (killed) {
      for (const int i : boxes) fleet->Kill(i);
      return;
    }
    const auto how =
        refused ? FleetStore::Response::kRefuse : FleetStore::Response::kNone;
    fleet->store.response = [boxes, how](int i) {
      return boxes.contains(i) ? how : FleetStore::Response::kAnswer;
    };
    if (trouble() != Trouble::kBrieflyRefused) return;
    fleet->clock.After(milliseconds(300), [fleet] {
      fleet->store.response = [](int) { return FleetStore::Response::kAnswer; };
    });
  }
};

// The random offsets spread the removal over the phases of all timers.
TEST_P(LeavingFleet, AnEndpointGoneWithoutAWordGetsNoNewWorkAfterTwoSeconds) {
  const int runs = size().boxes > 100 ? 3 : 16;
  Random random(1);
  std::uniform_int_distribution<int> ms(0, 1500);
  for (int run = 0; run < runs; run++) {
    Fleet fleet(size().boxes, size().halls);
    AddEndpoints(&fleet);
    fleet.Run(seconds(10));
    fleet.clock.Advance(milliseconds(ms(random)));
    Disturb(&fleet);
    const milliseconds after{ms(random)};
    fleet.clock.Advance(after);
    fleet.store.RemoveEndpoint(kLeaver);
    fleet.clock.Advance(kBound);
    for (int i = 0; i < fleet.size(); i++) {
      if (!fleet.at(i).running) continue;
      ASSERT_FALSE(fleet.at(i).table.MaySend(fleet.clock.now(), kLeaver))
          << "box " << i << ", run " << run << ", removed " << after.count()
          << " ms after the trouble began";
      ASSERT_TRUE(fleet.at(i).table.MaySend(fleet.clock.now(), "a"));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, LeavingFleet,
    testing::Combine(
        testing::Values(Size{8, 3}, Size{60, 4}, Size{300, 5}),
        testing::Values(Case{"Killed", Trouble::kKilled},
                        Case{"WithoutPower", Trouble::kWithoutPower},
                        Case{"Refused", Trouble::kRefused},
                        Case{"Unanswered", Trouble::kUnanswered},
                        Case{"OneUnanswered", Trouble::kOneUnanswered},
                        Case{"MostUnanswered", Trouble::kMostUnanswered},
                        Case{"BrieflyRefused", Trouble::kBrieflyRefused})),
    [](const auto& info) {
      return std::get<1>(info.param).name +
             std::to_string(std::get<0>(info.param).boxes) + "Boxes";
    });

// All entries lapse while the store is away, and are back within two seconds of
// its return: no box is without an endpoint meanwhile.
TEST(LeavingFleetOutage, EntriesThatLapsedCostNoServiceAllItsEndpoints) {
  using Response = FleetStore::Response;
  Fleet fleet(8, 3);
  for (const char* id : {"a", "b", "c"}) fleet.store.PutEndpoint(id);
  fleet.Run(seconds(10));
  fleet.store.response = [](int) { return Response::kNone; };
  fleet.Run(seconds(4));
  for (const char* id : {"a", "b", "c"}) fleet.store.RemoveEndpoint(id);
  fleet.store.response = [](int) { return Response::kAnswer; };
  const auto check = [&fleet](const char* when) {
    for (int i = 0; i < fleet.size(); i++) {
      EXPECT_TRUE(fleet.at(i).table.MaySend(fleet.clock.now(), "a"))
          << "box " << i << " " << when;
    }
  };
  for (int i = 0; i < 19; i++) {
    fleet.clock.Advance(milliseconds(100));
    check("after the outage");
  }
  for (const char* id : {"a", "b", "c"}) fleet.store.PutEndpoint(id);
  fleet.Run(seconds(5));
  check("at the end");
}

}  // namespace
}  // namespace pinford
