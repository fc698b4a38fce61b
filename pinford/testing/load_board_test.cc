// What a hall knows each of its boxes knows: sums of loads and dead endpoints,
// shared over fleets of 8 to 730 boxes on a paused clock, against a simple
// oracle: how long until all know, how many bytes that takes.

#include "pinford/forwarding/load_board.h"

#include <gtest/gtest.h>

#include <memory>

#include "pinford/forwarding/load_sharing.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

Time At(int64_t ms) { return Time{} + seconds(100) + milliseconds(ms); }

std::vector<EndpointState> Fleet(const LoadBoard& board,
                                 const LoadStamp& since = {}) {
  return board.Since(LoadScope::kFleet, since);
}

TEST(LoadBoard, SumsBoxesAndHalls) {
  LoadBoard board(1, LoadBoard::Options());
  board.OnBox(At(0), "a", {{7, 100, 1, 50}, {8, 30, 0, 0}});
  board.OnBox(At(0), "b", {{7, 200, 2, 60}});
  board.OnHall(At(0), "h2", {9, 1}, {{7, 1000, 10, 500, kUsualPace}}, 3);
  board.Sum(At(0), {{7, 40, 4, 40}}, {{8, 0, 0, 0, kDeadPace}});
  const EndpointState* hall = board.Find(LoadScope::kHall, 7);
  ASSERT_NE(hall, nullptr);
  EXPECT_EQ(hall->work, 340);
  EXPECT_EQ(hall->entries, 7);
  EXPECT_EQ(hall->reading, 150);
  const EndpointState* all = board.Find(LoadScope::kFleet, 7);
  EXPECT_EQ(all->work, 1340);
  EXPECT_EQ(board.Find(LoadScope::kFleet, 8)->pace, kDeadPace);
  EXPECT_EQ(board.boxes(LoadScope::kHall), 3u);
  EXPECT_EQ(board.boxes(LoadScope::kFleet), 6u);
}

TEST(LoadBoard, TellsOnlyWhatChangedNotably) {
  LoadBoard board(1, LoadBoard::Options());
  board.OnBox(At(0), "a", {{7, 1000, 10, 500}, {8, 1000, 10, 500}});
  board.Sum(At(0), {}, {});
  EXPECT_EQ(Fleet(board).size(), 2u);
  const LoadStamp seen = board.stamp(LoadScope::kFleet);
  board.OnBox(At(300), "a", {{7, 1010, 10, 510}, {8, 1400, 10, 500}});
  board.Sum(At(300), {}, {});
  const auto rows = Fleet(board, seen);
  ASSERT_EQ(rows.size(), 1u);
  EXPECT_EQ(rows[0].id, 8u);
  // Another board's stamp says nothing here.
  EXPECT_EQ(Fleet(board, {2, 99}).size(), 2u);
}

TEST(LoadBoard, ForgetsWhoSaysNothingMore) {
  LoadBoard board(1, LoadBoard::Options());
  board.OnBox(At(0), "a", {{7, 1000, 10, 500}});
  board.OnHall(At(0), "h2", {9, 1}, {{7, 500, 0, 0, kUsualPace}}, 3);
  board.Sum(At(0), {}, {});
  EXPECT_EQ(board.Find(LoadScope::kFleet, 7)->work, 1500);
  board.Sum(At(3000), {}, {});
  EXPECT_EQ(board.Find(LoadScope::kFleet, 7)->work, 0);
  // The empty row is told once, and dropped after a while.
  EXPECT_EQ(Fleet(board).size(), 1u);
  board.Sum(At(40000), {}, {});
  EXPECT_EQ(Fleet(board).size(), 0u);
}

// A view that merges what changed equals the board, whatever is asked when.
TEST(LoadBoard, AViewFollows) {
  Random random(3);
  LoadBoard board(1, LoadBoard::Options());
  LoadView view;
  for (int i = 0; i < 2000; i++) {
    std::vector<EndpointLoad> loads;
    for (uint32_t id = 1; id <= 20; id++) {
      if (random() % 3 == 0) {
        loads.push_back({id, static_cast<uint16_t>(random() % 500), 0, 0});
      }
    }
    const std::string box = "box-" + std::to_string(random() % 5);
    board.OnBox(At(i * 100), box, loads);
    board.Sum(At(i * 100), {}, {});
    if (random() % 3 != 0) continue;
    view.Merge(board.stamp(LoadScope::kFleet),
               board.Since(LoadScope::kFleet, view.stamp()));
    for (uint32_t id = 1; id <= 20; id++) {
      const EndpointState* told = board.Find(LoadScope::kFleet, id);
      const EndpointState* seen = view.Find(id);
      ASSERT_EQ(told != nullptr ? told->work : 0,
                seen != nullptr ? seen->work : 0);
    }
  }
}

constexpr int kRunners = 190;
constexpr int kLayers = 80;

std::string RunnerName(int i) { return "runner-" + std::to_string(i); }

// Boxes with tables of their own that share loads as the real ones do: members
// ask the first of their hall each 0.4 s, firsts ask each other.
class Sharers {
 public:
  Sharers(int boxes, int halls) : halls_(halls) {
    for (int i = 0; i < boxes; i++) {
      EndpointTable::Options options;
      options.report_valid = hours(1);
      options.hand_over_directly = true;
      Box& box = *boxes_.emplace_back(std::make_unique<Box>());
      box.table = std::make_unique<EndpointTable>("h", options, Random(i));
      LoadSharing::Events events;
      events.ask = [this](const std::string& endpoint,
                          std::function<void(bool, double)> fn) {
        const bool works = !dead_.contains(std::atoi(endpoint.c_str() + 7));
        clock.After(milliseconds(works ? 3 : 250),
                    [works, fn = std::move(fn)] { fn(works, 1); });
      };
      events.told = [&box](const std::string& endpoint, bool works, double) {
        box.table->SetDown(endpoint, !works);
      };
      events.untold = [](const std::string&) {};
      box.sharing = std::make_unique<LoadSharing>(
          "box-" + std::to_string(i), i + 1, box.table.get(),
          LoadSharing::Options(), events);
      List(&box);
    }
    for (int i = 0; i < boxes; i++) {
      clock.After(milliseconds(i * 37 % 400), [this, i] { Ask(i); });
      Tick(i);
    }
  }

  // A box finds out itself that a runner does not answer.
  void Notice(int i, int runner) {
    boxes_[i]->sharing->OnImpaired(RunnerName(runner));
    if (i >= halls_) Exchange(i);
  }
  int Knowing(int runner) const {
    int n = 0;
    for (const auto& box : boxes_) {
      n += box->table->rows().at(RunnerName(runner)).down;
    }
    return n;
  }
  EndpointTable* table(int i) { return boxes_[i]->table.get(); }
  int size() const { return static_cast<int>(boxes_.size()); }
  int64_t bytes(int i) const { return boxes_[i]->bytes; }
  void Kill(int runner) { dead_.insert(runner); }

  PausedClock clock;

 private:
  struct Box {
    std::unique_ptr<EndpointTable> table;
    std::unique_ptr<LoadSharing> sharing;
    int64_t bytes = 0;  // sent and received as a member
  };

  static void List(Box* box) {
    std::vector<ListedEndpoint> list;
    for (int r = 0; r < kRunners; r++) {
      ListedEndpoint e;
      e.name = RunnerName(r);
      e.service = "m";
      e.hall = "h";
      list.push_back(e);
    }
    box->table->OnList(list);
    for (int r = 0; r < kRunners; r++) {
      LoadReport report;
      report.model = "m";
      report.version = "1";
      report.layers = kLayers;
      report.holds = {0, kLayers};
      report.slots = 192;
      report.layer_seconds = 1e-4;
      report.read_seconds = 1e-7;
      report.room = 1e5;
      box->table->OnReport(Time{}, RunnerName(r), report);
    }
  }

  // Boxes below the number of halls are the firsts of theirs.
  void Exchange(int i) {
    const int first = i % halls_;
    FetchRequest request;
    boxes_[i]->sharing->Fill(clock.now(), &request);
    FetchReply reply;
    boxes_[first]->sharing->Answer(clock.now(), request, &reply);
    boxes_[i]->sharing->OnReply(clock.now(), reply);
    boxes_[i]->bytes += codec_.Encode(request).size();
    boxes_[i]->bytes += codec_.Encode(reply).size();
  }

  void Ask(int i) {
    if (i >= halls_) {
      Exchange(i);
    } else {
      for (int other = 0; other < halls_; other++) {
        if (other == i) continue;
        FetchRequest request;
        const std::string hall = "hall-" + std::to_string(other);
        boxes_[i]->sharing->FillForHall(hall, &request);
        FetchReply reply;
        boxes_[other]->sharing->Answer(clock.now(), request, &reply);
        boxes_[i]->sharing->OnHallReply(clock.now(), hall, reply);
      }
    }
    clock.After(milliseconds(400), [this, i] { Ask(i); });
  }
  void Tick(int i) {
    boxes_[i]->sharing->Tick(clock.now(), i < halls_);
    clock.After(milliseconds(20), [this, i] { Tick(i); });
  }

  int halls_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::set<int> dead_;
  PeerCodec codec_{"key"};
};

struct Size {
  int boxes;
  int halls;
};

class Sharing : public testing::TestWithParam<Size> {};

INSTANTIATE_TEST_SUITE_P(Sizes, Sharing,
                         testing::Values(Size{8, 3}, Size{60, 4}, Size{300, 5},
                                         Size{730, 22}),
                         [](const auto& info) {
                           return std::to_string(info.param.boxes) + "Boxes";
                         });

// One box notices; two questions of each first confirm it.
TEST_P(Sharing, ALossIsKnownToAllInASecondOrTwo) {
  Sharers fleet(GetParam().boxes, GetParam().halls);
  fleet.clock.Advance(seconds(5));
  fleet.Kill(17);
  fleet.Notice(fleet.size() - 1, 17);
  const Time lost = fleet.clock.now();
  Duration half{};
  while (fleet.Knowing(17) < fleet.size()) {
    fleet.clock.Advance(milliseconds(20));
    ASSERT_LT(fleet.clock.now() - lost, milliseconds(2600));
    const bool is_half = fleet.Knowing(17) * 2 >= fleet.size();
    if (is_half && half == Duration(0)) half = fleet.clock.now() - lost;
  }
  printf("%d boxes: half know after %ld ms, all after %ld ms\n", fleet.size(),
         ToMillis(half), ToMillis(fleet.clock.now() - lost));
  EXPECT_LT(half, milliseconds(1800));
}

// What one box believes of a runner that works is not believed by others.
TEST_P(Sharing, ADoubtIsNotALoss) {
  Sharers fleet(GetParam().boxes, GetParam().halls);
  fleet.clock.Advance(seconds(5));
  for (int i = 0; i < 20; i++) {
    fleet.Notice(fleet.size() - 1, 17);
    fleet.clock.Advance(milliseconds(100));
    ASSERT_EQ(fleet.Knowing(17), 0);
  }
}

// Two requests a second at a box: what it is told is near what all have, at a
// cost that does not grow with the boxes.
TEST_P(Sharing, SumsAreNearTheTruthAtAFlatCost) {
  Sharers fleet(GetParam().boxes, GetParam().halls);
  Random random(7);
  const Duration length = seconds(20);
  const int64_t steps = length / milliseconds(20);
  for (int64_t step = 0; step < steps; step++) {
    for (int i = 0; i < fleet.size(); i++) {
      if (random() % 25 != 0) continue;
      // Six runners of a chain, each for two seconds.
      for (int s = 0; s < 6; s++) {
        const std::string name = RunnerName(random() % kRunners);
        EndpointTable* table = fleet.table(i);
        table->OnSent(name, 20);
        table->OnPrompt(fleet.clock.now(), name, 1e5);
        fleet.clock.After(seconds(2),
                          [table, name] { table->OnDone(name, 20); });
      }
    }
    fleet.clock.Advance(milliseconds(20));
  }
  // All works that a box believes in, and all that there are.
  int64_t truth = 0;
  for (int i = 0; i < fleet.size(); i++) {
    for (const auto& [name, row] : fleet.table(i)->rows())
      truth += row.own_work;
  }
  const int watched[] = {0, fleet.size() / 2, fleet.size() - 1};
  for (const int i : watched) {
    int64_t believed = 0;
    for (const auto& [name, row] : fleet.table(i)->rows()) {
      believed += row.own_work + row.peer_work;
    }
    EXPECT_NEAR(believed, truth, truth * 0.25) << i;
  }
  const double rate =
      static_cast<double>(fleet.bytes(fleet.size() - 1)) / ToSeconds(length);
  printf("%d boxes: %.0f bytes a second of a member, asked and answered\n",
         fleet.size(), rate);
  EXPECT_LT(rate, 4200);
}

}  // namespace
}  // namespace pinford
