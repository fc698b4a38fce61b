// Calls to the platform's store: a fleet of many boxes on a paused clock, with
// the real ranks, questions between boxes, mirrors and duties. Whatever fails,
// the calls are bounded by the number of halls, and who is served by the store
// or reaches a box that is keeps a fresh proof.

#include <gtest/gtest.h>

#include "pinford/testing/fleet.h"

namespace pinford {
namespace {

struct Size {
  int boxes;
  int halls;
};

class StoreCalls : public testing::TestWithParam<Size> {
 protected:
  StoreCalls() : fleet_(GetParam().boxes, GetParam().halls) {}

  int halls() const { return GetParam().halls; }
  static bool All(int) { return true; }

  Fleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Sizes, StoreCalls,
                         testing::Values(Size{8, 3}, Size{60, 4}, Size{300, 5}),
                         [](const auto& info) {
                           return std::to_string(info.param.boxes) + "Boxes";
                         });

// Watches of a second, and a list each at the start; before the ranks are known
// the seeds mirror.
// All boxes lose power, and the seeds come back last. Who is asked by a caller
// has something to answer with soon after, for one call a box; who is not asked
// makes none.
TEST_P(StoreCalls, WhereCallersComeBeforeTheSeeds) {
  for (int i = 0; i < kSeeds; i++) fleet_.Kill(i);
  const int asked = fleet_.size() / 2;
  int64_t calls = fleet_.Run(milliseconds(300));
  for (int i = kSeeds; i < asked; i++)
    fleet_.at(i).task_selector.OnCallerWaiting();
  calls += fleet_.Run(milliseconds(200));
  EXPECT_EQ(calls, asked - kSeeds);
  for (int i = kSeeds; i < fleet_.size(); i++) {
    EXPECT_EQ(fleet_.at(i).configuration() != 0, i < asked) << i;
  }
}

// Who mirrors the store lists again, once or twice; all others hear of it from
// them, and nobody lacks a proof meanwhile.
TEST_P(StoreCalls, WhenTheStoreComesBackFromACopy) {
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  for (int round = 0; round < 3; round++) {
    fleet_.store.Restore();
    if (round == 2) fleet_.store.Restore();
    const int64_t calls = fleet_.Run(milliseconds(2200));
    // Three of them are what a quiet hall calls in that time.
    EXPECT_LE(calls, 6 * halls()) << round;
    for (int i = 0; i < fleet_.size(); i++) {
      EXPECT_EQ(fleet_.at(i).list(), fleet_.store.revision.packed())
          << i << " " << round;
    }
    fleet_.Run(seconds(2));
  }
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

// A box that the store does not answer, and one that reaches no other box but
// those of its hall: the earlier era's list convinces nobody.
TEST_P(StoreCalls, WhoCannotReachTheRestoredStoreFollowsItsPeers) {
  fleet_.Run(seconds(10));
  const int cut = fleet_.MirrorBoxes()[0];
  fleet_.store.response = [cut](int box) {
    return box == cut ? FleetStore::Response::kNone
                      : FleetStore::Response::kAnswer;
  };
  fleet_.Run(seconds(5));
  fleet_.store.Restore();
  fleet_.Run(seconds(4));
  for (int i = 0; i < fleet_.size(); i++) {
    EXPECT_EQ(fleet_.at(i).list(), fleet_.store.revision.packed()) << i;
  }
}

// An endpoint goes as the boxes that mirror the list are lost, killed or
// without power: all others know within 1.5 s, which leaves half a second of
// the two in which it may still get work.
TEST_P(StoreCalls, AChangeIsKnownSoonThoughMirrorsAreLost) {
  const int step = GetParam().boxes > 100 ? 400 : 100;
  for (const bool refuse : {true, false}) {
    for (int offset = 0; offset < 1600; offset += step) {
      Fleet fleet(GetParam().boxes, GetParam().halls);
      fleet.killed_boxes_refuse = refuse;
      fleet.Run(seconds(10) + milliseconds(offset));
      for (const int i : fleet.MirrorBoxes()) fleet.Kill(i);
      fleet.store.BumpRevision();
      fleet.Run(milliseconds(1500));
      for (int i = 0; i < fleet.size(); i++) {
        if (!fleet.at(i).running) continue;
        ASSERT_EQ(fleet.at(i).list(), fleet.store.revision.packed())
            << i << " refuse " << refuse << " after " << offset;
      }
    }
  }
}

TEST_P(StoreCalls, OfAStart) {
  const int64_t calls = fleet_.Run(seconds(10));
  EXPECT_LE(calls, 15 * halls() + 15 * kSeeds);
  for (int i = 0; i < fleet_.size(); i++) {
    EXPECT_EQ(fleet_.at(i).list(), fleet_.store.revision.packed()) << i;
  }
  EXPECT_EQ(fleet_.MirrorBoxes().size(), halls());
}

TEST_P(StoreCalls, WhileAllIsWell) {
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  EXPECT_LE(fleet_.Run(seconds(20)), 22 * halls());
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

// A first of a hall that is gone, cut off or turned away, alone.
TEST_P(StoreCalls, WhenMirrorsAreLost) {
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  const std::vector<int> mirrors = fleet_.MirrorBoxes();
  for (const int i : mirrors) fleet_.Kill(i);
  EXPECT_LE(fleet_.Run(seconds(20)), 80 * halls());
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

TEST_P(StoreCalls, WhenTheStoreTurnsMirrorsAway) {
  using Response = FleetStore::Response;
  for (const Response how : {Response::kRefuse, Response::kNone}) {
    fleet_.Run(seconds(10));
    fleet_.CountStale(All);
    const std::vector<int> away = fleet_.MirrorBoxes();
    fleet_.store.response = [&away, how](int box) {
      const bool is_away =
          std::find(away.begin(), away.end(), box) != away.end();
      return is_away ? how : Response::kAnswer;
    };
    EXPECT_LE(fleet_.Run(seconds(20)), 160 * halls());
    EXPECT_EQ(fleet_.CountStale(All), 0);
    fleet_.store.response = [](int) { return Response::kAnswer; };
  }
}

// Half of all boxes, drawn: somebody near a mirror is served.
TEST_P(StoreCalls, WhenTheStoreTurnsHalfAway) {
  using Response = FleetStore::Response;
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  Random random(5);
  std::vector<bool> away(fleet_.size());
  for (int i = 0; i < fleet_.size(); i++) away[i] = random() % 2 == 0;
  fleet_.store.response = [&away](int box) {
    return away[box] ? Response::kNone : Response::kAnswer;
  };
  EXPECT_LE(fleet_.Run(seconds(20)), 160 * halls());
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

TEST_P(StoreCalls, WhenTheStoreIsSilent) {
  using Response = FleetStore::Response;
  fleet_.Run(seconds(10));
  fleet_.store.response = [](int) { return Response::kNone; };
  EXPECT_LE(fleet_.Run(seconds(20)), 160 * halls());
  fleet_.store.response = [](int) { return Response::kAnswer; };
  // All have a proof again a second and a half after its return.
  fleet_.Run(milliseconds(1500));
  fleet_.CountStale(All);
  fleet_.Run(seconds(5));
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

TEST_P(StoreCalls, WhenAllBoxesRestart) {
  fleet_.Run(seconds(10));
  for (int i = 0; i < fleet_.size(); i++) fleet_.Start(i);
  EXPECT_LE(fleet_.Run(seconds(10)), 25 * halls() + 15 * kSeeds);
  fleet_.CountStale(All);
  fleet_.Run(seconds(5));
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

// Boxes come back within 0.3 s, the seeds last: callers are refused until a box
// has its documents.
TEST_P(StoreCalls, AfterARestartOfAllBoxesDocumentsAreThereSoon) {
  fleet_.Run(seconds(10));
  const Time begun = fleet_.clock.now();
  const auto is_up = [this, begun](int i) {
    const int starts = i < kSeeds ? 300 : i * 37 % 300;
    return fleet_.clock.now() - begun >= milliseconds(starts);
  };
  fleet_.can_reach = [&is_up](int a, int b) { return is_up(a) && is_up(b); };
  for (int i = 0; i < fleet_.size(); i++) fleet_.Start(i);
  const auto all_have = [this] {
    for (int i = 0; i < fleet_.size(); i++) {
      if (fleet_.at(i).configuration() == 0) return false;
    }
    return true;
  };
  while (!all_have()) {
    fleet_.clock.Advance(milliseconds(10));
    ASSERT_LT(fleet_.clock.now() - begun, milliseconds(700));
  }
}

// Ten runners a box, so that at 300 boxes the list has 100 KB. All boxes are
// killed and ask for it at once: links of 20 Mbit/s were full for 14 s more of
// answers to questions that had been asked again elsewhere meanwhile. Nine in
// ten boxes are to serve again within two seconds; those that lack the list
// when three have passed would count as in touch without it.
TEST_P(StoreCalls, AfterARestartOfAllBoxesTheListIsThereSoon) {
  fleet_.list_bytes = 340 * fleet_.size();
  fleet_.Run(seconds(10));
  for (int i = 0; i < fleet_.size(); i++) fleet_.Start(i);
  const auto lacking = [this] {
    int n = 0;
    for (int i = 0; i < fleet_.size(); i++) n += fleet_.at(i).list() == 0;
    return n;
  };
  fleet_.Run(seconds(2));
  EXPECT_LE(lacking(), fleet_.size() / 10);
  fleet_.Run(seconds(1));
  EXPECT_EQ(lacking(), 0);
  for (int i = 0; i < fleet_.size(); i++) {
    const Duration full = fleet_.at(i).link_free_at - fleet_.clock.now();
    EXPECT_LE(full, milliseconds(150)) << "what waits for its link, " << i;
  }
}

// Who plans the pools is the last of its hall, and its peers are busy handing
// the list on: it has each change at once all the same.
TEST_P(StoreCalls, WhoPlansHasTheListAtOnce) {
  fleet_.list_bytes = 340 * fleet_.size();
  fleet_.Run(seconds(10));
  for (int i = 0; i < fleet_.size(); i++) fleet_.Start(i);
  int planner = fleet_.size() - 1;
  fleet_.at(planner).task_selector.set_plans(true);
  fleet_.Run(seconds(1));
  for (int change = 0; change < 10; change++) {
    fleet_.store.BumpRevision();
    fleet_.Run(milliseconds(200));
    EXPECT_EQ(fleet_.at(planner).list(), fleet_.store.revision.packed())
        << change;
  }
}

// A hall that reaches the store but no other hall.
TEST_P(StoreCalls, WhenAHallIsAlone) {
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  fleet_.can_reach = [this](int a, int b) {
    return (fleet_.hall(a) == 0) == (fleet_.hall(b) == 0);
  };
  EXPECT_LE(fleet_.Run(seconds(20)), 30 * halls());
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

// Single boxes that reach the store but nobody else.
TEST_P(StoreCalls, OfABoxAlone) {
  fleet_.Run(seconds(10));
  fleet_.CountStale(All);
  const int alone = fleet_.size() - 1;
  fleet_.can_reach = [alone](int a, int b) { return a != alone && b != alone; };
  EXPECT_LE(fleet_.Run(seconds(20)), 80 * (halls() + 1));
  EXPECT_EQ(fleet_.CountStale(All), 0);
}

// The store turns all away that rank near the top of their hall, and serves
// one box somewhere: its proof reaches its own hall by digests, which are not
// played here, and looks stay bounded.
TEST_P(StoreCalls, WhenOnlyOneBoxIsServed) {
  using Response = FleetStore::Response;
  fleet_.Run(seconds(10));
  const int served = fleet_.size() - 1;
  fleet_.store.response = [served](int box) {
    return box == served ? Response::kAnswer : Response::kRefuse;
  };
  EXPECT_LE(fleet_.Run(seconds(20)), 200 * halls());
}

}  // namespace
}  // namespace pinford
