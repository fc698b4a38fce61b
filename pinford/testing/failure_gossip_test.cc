// Simulates failure gossip among many boxes: how fast all boxes detect a failed
// runner, how many probes that takes, and that false notices do not take a
// working runner out of use.

#include "pinford/forwarding/failure_gossip.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

#include "pinford/forwarding/endpoint_watch.h"
#include "util/hash.h"

namespace pinford {
namespace {

constexpr Duration kLinkDelay = milliseconds(1);
constexpr Duration kRefusalDelay = milliseconds(2);  // of a connection
constexpr Duration kProbeTimeout = milliseconds(30);
constexpr char kRunner[] = "r";

enum class Kind {
  kHealthy,
  kLate,         // answers arrive after its probes have timed out
  kPartitioned,  // no messages in or out, and no runner answers it
  kFaulty        // announces all the time that the runner is down
};

// Boxes that probe one runner and exchange notices about it.
class Fleet {
 public:
  Fleet(int boxes, bool runner_works, Duration failure_delay)
      : runner_works_(runner_works),
        failure_delay_(failure_delay),
        boxes_(boxes) {}

  void set_kind(int box, Kind kind) { boxes_[box].kind = kind; }
  // A request of this box gives it reason to probe.
  void Probe(int box) {
    Box& b = boxes_[box];
    if (!b.watch.BeginProbe(now_, kRunner)) return;
    b.probes++;
    const bool answers =
        runner_works_ && b.kind != Kind::kLate && b.kind != Kind::kPartitioned;
    After(answers ? 2 * kLinkDelay : failure_delay_,
          [this, box, answers] { OnProbeResult(box, answers); });
  }
  void SendNotices(int box) {
    for (size_t i = 0; i < FailureGossip::Options().fanout; i++) {
      const int to = static_cast<int>(random_() % boxes_.size());
      if (to == box || boxes_[box].kind == Kind::kPartitioned) continue;
      messages_++;
      After(kLinkDelay, [this, to] { ReceiveNotice(to); });
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

  int boxes_marking_down() const {
    int n = 0;
    for (const Box& b : boxes_) n += b.watch.IsDown(kRunner);
    return n;
  }
  int boxes_marking_down(Kind kind) const {
    int n = 0;
    for (const Box& b : boxes_) {
      n += b.kind == kind && b.watch.IsDown(kRunner);
    }
    return n;
  }
  int probes() const {
    int n = 0;
    for (const Box& b : boxes_) n += b.probes;
    return n;
  }
  int messages() const { return messages_; }
  // When the n-th box marked the runner as down.
  Time detected_at(size_t n) const { return detected_at_.at(n - 1); }

 private:
  struct Box {
    Kind kind = Kind::kHealthy;
    EndpointWatch watch{EndpointWatch::Options()};
    FailureGossip gossip{FailureGossip::Options()};
    int probes = 0;
  };

  void After(Duration d, std::function<void()> fn) {
    events_.emplace(now_ + d, std::move(fn));
  }
  void OnProbeResult(int box, bool works) {
    Box& b = boxes_[box];
    const auto change = b.watch.OnProbeResult(kRunner, works, 1);
    if (change != EndpointWatch::Change::kWorse) return;
    detected_at_.push_back(now_);
    if (!b.gossip.OnDown(now_, kRunner)) return;
    After(b.gossip.options().batch_window, [this, box] {
      EXPECT_EQ(boxes_[box].gossip.Take().size(), 1);
      SendNotices(box);
    });
  }
  void ReceiveNotice(int box) {
    Box& b = boxes_[box];
    if (b.kind == Kind::kPartitioned) return;
    if (!b.gossip.OnNotice(now_, {kRunner}).empty()) Probe(box);
  }

  bool runner_works_;
  Duration failure_delay_;
  Random random_{7};
  Time now_ = Time{} + seconds(100);
  std::vector<Box> boxes_;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Time> detected_at_;
  int messages_ = 0;
};

TEST(FailureGossip, ReachesNearlyAllBoxesInAFewProbes) {
  const struct {
    int boxes;
    Duration failure_delay;
    Duration within;  // for nine boxes in ten
  } cases[] = {
      {8, kRefusalDelay, milliseconds(20)},
      {64, kRefusalDelay, milliseconds(25)},
      {300, kRefusalDelay, milliseconds(35)},
      {730, kRefusalDelay, milliseconds(35)},
      {8, kProbeTimeout, milliseconds(110)},
      {64, kProbeTimeout, milliseconds(150)},
      {300, kProbeTimeout, milliseconds(205)},
      {730, kProbeTimeout, milliseconds(220)},
  };
  for (const auto& c : cases) {
    Fleet fleet(c.boxes, false, c.failure_delay);
    const Time start = Time{} + seconds(100);
    fleet.Probe(0);
    fleet.RunFor(milliseconds(350));
    EXPECT_GE(fleet.boxes_marking_down(), c.boxes * 97 / 100) << c.boxes;
    EXPECT_LE(fleet.detected_at(c.boxes * 9 / 10) - start, c.within) << c.boxes;
    // One probe per box, and the same number of messages for each.
    EXPECT_LE(fleet.probes(), c.boxes);
    EXPECT_LE(fleet.messages(), 5 * c.boxes);
  }
}

TEST(FailureGossip, FalseNoticesDoNotMarkAWorkingRunnerDown) {
  for (int boxes : {8, 64, 300}) {
    Fleet fleet(boxes, true, kProbeTimeout);
    fleet.set_kind(0, Kind::kFaulty);
    fleet.set_kind(1, Kind::kLate);
    fleet.set_kind(2, Kind::kPartitioned);
    for (int i = 0; i < 200; i++) {
      fleet.SendNotices(0);
      fleet.Probe(1 + i % 2);
      fleet.RunFor(milliseconds(50));
      EXPECT_EQ(fleet.boxes_marking_down(Kind::kHealthy), 0);
      EXPECT_EQ(fleet.boxes_marking_down(Kind::kFaulty), 0);
    }
    // The faulty box sends 1,000 notices in ten seconds. Each box probes at
    // most once a second because of them, besides its own reasons.
    EXPECT_LE(fleet.probes(), 10 * boxes + 2 * 200);
  }
}

TEST(FailureGossip, BatchesAndDeduplicatesNotices) {
  const FailureGossip::Options options;
  FailureGossip gossip(options);
  Time now = Time{} + seconds(5);
  EXPECT_TRUE(gossip.OnDown(now, "a"));
  EXPECT_FALSE(gossip.OnDown(now, "b"));  // goes with the same message
  EXPECT_FALSE(gossip.OnDown(now, "a"));
  EXPECT_EQ(gossip.Take(), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(gossip.Take().empty());
  EXPECT_FALSE(gossip.OnDown(now + options.repeat_interval / 2, "a"));
  EXPECT_TRUE(gossip.OnDown(now + options.repeat_interval, "a"));
  // Runners of notices are probed at most once in that time, too.
  EXPECT_EQ(gossip.OnNotice(now, {"x", "y", "x"}),
            (std::vector<std::string>{"x", "y"}));
  EXPECT_TRUE(
      gossip.OnNotice(now + options.repeat_interval / 2, {"y"}).empty());
  EXPECT_EQ(gossip.OnNotice(now + options.repeat_interval, {"y"}).size(), 1);
}

// A message of a faulty peer may name any number of runners.
TEST(FailureGossip, BoundsTheNumberOfProbes) {
  const FailureGossip::Options options;
  FailureGossip gossip(options);
  std::vector<std::string> many;
  many.reserve(1000);
  for (int i = 0; i < 1000; i++) many.push_back(std::to_string(i));
  EXPECT_EQ(gossip.OnNotice(Time{} + seconds(1), many).size(),
            options.max_endpoints);
  for (const std::string& name : many) gossip.OnDown(Time{} + seconds(1), name);
  EXPECT_EQ(gossip.Take().size(), options.max_endpoints);
}

}  // namespace
}  // namespace pinford
