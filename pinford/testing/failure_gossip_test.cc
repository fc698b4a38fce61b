// News of runners that are down among many boxes, on a clock of the test's own:
// who learns it when, how many questions it costs, and that nobody's word takes
// a working runner away.

#include "pinford/forwarding/failure_gossip.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

#include "pinford/forwarding/endpoint_watch.h"
#include "util/hash.h"

namespace pinford {
namespace {

constexpr Duration kLink = milliseconds(1);
constexpr Duration kRefusal = milliseconds(2);  // of a connection
constexpr Duration kNoAnswer = milliseconds(30);
constexpr char kRunner[] = "r";

enum class Kind {
  kSound,
  kLate,  // answers come after it has stopped waiting for them
  kCut,   // neither hears nor is heard, and no runner answers it
  kLying  // tells all the time that the runner is down
};

// Boxes that ask, tell and hear of one runner.
class Fleet {
 public:
  Fleet(int boxes, bool runner_works, Duration silence)
      : runner_works_(runner_works), silence_(silence), boxes_(boxes) {}

  void set_kind(int box, Kind kind) { boxes_[box].kind = kind; }
  // A request of this box gives it reason to ask.
  void Doubt(int box) {
    Box& b = boxes_[box];
    if (!b.watch.BeginProbe(now_, kRunner)) return;
    b.questions++;
    const bool answers =
        runner_works_ && b.kind != Kind::kLate && b.kind != Kind::kCut;
    After(answers ? 2 * kLink : silence_,
          [this, box, answers] { OnProbeResult(box, answers); });
  }
  void Tell(int box) {
    for (size_t i = 0; i < FailureGossip::Options().fanout; i++) {
      const int to = static_cast<int>(random_() % boxes_.size());
      if (to == box || boxes_[box].kind == Kind::kCut) continue;
      messages_++;
      After(kLink, [this, to] { Hear(to); });
    }
  }
  void RunFor(Duration d) {
    const Time end = now_ + d;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto first = events_.extract(events_.begin());
      now_ = first.key();
      first.mapped()();
    }
    now_ = end;
  }

  int believing() const {
    int n = 0;
    for (const Box& b : boxes_) n += b.watch.IsDown(kRunner);
    return n;
  }
  int believing(Kind kind) const {
    int n = 0;
    for (const Box& b : boxes_) {
      n += b.kind == kind && b.watch.IsDown(kRunner);
    }
    return n;
  }
  int questions() const {
    int n = 0;
    for (const Box& b : boxes_) n += b.questions;
    return n;
  }
  int messages() const { return messages_; }
  // When the n-th box came to believe it.
  Time learnt(size_t n) const { return learnt_.at(n - 1); }

 private:
  struct Box {
    Kind kind = Kind::kSound;
    EndpointWatch watch{EndpointWatch::Options()};
    FailureGossip news{FailureGossip::Options()};
    int questions = 0;
  };

  void After(Duration d, std::function<void()> fn) {
    events_.emplace(now_ + d, std::move(fn));
  }
  void OnProbeResult(int box, bool works) {
    Box& b = boxes_[box];
    const auto change = b.watch.OnProbeResult(kRunner, works, 1);
    if (change != EndpointWatch::Change::kWorse) return;
    learnt_.push_back(now_);
    if (!b.news.OnDown(now_, kRunner)) return;
    After(b.news.options().batch_window, [this, box] {
      EXPECT_EQ(boxes_[box].news.Take().size(), 1);
      Tell(box);
    });
  }
  void Hear(int box) {
    Box& b = boxes_[box];
    if (b.kind == Kind::kCut) return;
    if (!b.news.OnNotice(now_, {kRunner}).empty()) Doubt(box);
  }

  bool runner_works_;
  Duration silence_;
  Random random_{7};
  Time now_ = Time{} + seconds(100);
  std::vector<Box> boxes_;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Time> learnt_;
  int messages_ = 0;
};

TEST(FailureGossip, ReachesNearlyAllInAFewQuestions) {
  const struct {
    int boxes;
    Duration silence;
    Duration within;  // of nine boxes in ten
  } cases[] = {
      {8, kRefusal, milliseconds(20)},     {64, kRefusal, milliseconds(25)},
      {300, kRefusal, milliseconds(35)},   {730, kRefusal, milliseconds(35)},
      {8, kNoAnswer, milliseconds(110)},   {64, kNoAnswer, milliseconds(150)},
      {300, kNoAnswer, milliseconds(205)}, {730, kNoAnswer, milliseconds(220)},
  };
  for (const auto& c : cases) {
    Fleet fleet(c.boxes, false, c.silence);
    const Time start = Time{} + seconds(100);
    fleet.Doubt(0);
    fleet.RunFor(milliseconds(350));
    EXPECT_GE(fleet.believing(), c.boxes * 97 / 100) << c.boxes;
    EXPECT_LE(fleet.learnt(c.boxes * 9 / 10) - start, c.within) << c.boxes;
    // One question a box, and the same number of messages for each.
    EXPECT_LE(fleet.questions(), c.boxes);
    EXPECT_LE(fleet.messages(), 5 * c.boxes);
  }
}

TEST(FailureGossip, AFalseWordTakesNoRunnerFromOthers) {
  for (int boxes : {8, 64, 300}) {
    Fleet fleet(boxes, true, kNoAnswer);
    fleet.set_kind(0, Kind::kLying);
    fleet.set_kind(1, Kind::kLate);
    fleet.set_kind(2, Kind::kCut);
    for (int i = 0; i < 200; i++) {
      fleet.Tell(0);
      fleet.Doubt(1 + i % 2);
      fleet.RunFor(milliseconds(50));
      EXPECT_EQ(fleet.believing(Kind::kSound), 0);
      EXPECT_EQ(fleet.believing(Kind::kLying), 0);
    }
    // In ten seconds the liar sends 1,000 words. Each box asks once a second
    // at most, beside those that have reasons of their own.
    EXPECT_LE(fleet.questions(), 10 * boxes + 2 * 200);
  }
}

TEST(FailureGossip, TellsOfEachOnceAndTogether) {
  const FailureGossip::Options options;
  FailureGossip news(options);
  Time now = Time{} + seconds(5);
  EXPECT_TRUE(news.OnDown(now, "a"));
  EXPECT_FALSE(news.OnDown(now, "b"));  // goes with the same message
  EXPECT_FALSE(news.OnDown(now, "a"));
  EXPECT_EQ(news.Take(), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(news.Take().empty());
  EXPECT_FALSE(news.OnDown(now + options.again / 2, "a"));
  EXPECT_TRUE(news.OnDown(now + options.again, "a"));
  // What was heard of is asked once in that time, too.
  EXPECT_EQ(news.OnNotice(now, {"x", "y", "x"}),
            (std::vector<std::string>{"x", "y"}));
  EXPECT_TRUE(news.OnNotice(now + options.again / 2, {"y"}).empty());
  EXPECT_EQ(news.OnNotice(now + options.again, {"y"}).size(), 1);
}

// A message of a peer at fault may name any number.
TEST(FailureGossip, AsksABoundedNumber) {
  const FailureGossip::Options options;
  FailureGossip news(options);
  std::vector<std::string> many;
  many.reserve(1000);
  for (int i = 0; i < 1000; i++) many.push_back(std::to_string(i));
  EXPECT_EQ(news.OnNotice(Time{} + seconds(1), many).size(), options.most_told);
  for (const std::string& name : many) news.OnDown(Time{} + seconds(1), name);
  EXPECT_EQ(news.Take().size(), options.most_told);
}

}  // namespace
}  // namespace pinford
