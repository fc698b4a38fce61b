// What many boxes do together before an endpoint that names a rate limit, on a
// paused clock. The endpoint sees all requests, so both errors are counted
// exactly: requests beyond the limit, and requests within it that did not come
// while callers were refused.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "pinford/forwarding/permit_exchange.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

constexpr char kEndpoint[] = "endpoint";
constexpr seconds kWindow{4};
// Boxes must keep to a limit this long after it was first named.
constexpr milliseconds kSettleTime{3500};

struct FleetOptions {
  const char* name = "";
  int boxes = 8;
  int halls = 3;
  double rate = 5;            // that the endpoint names
  double demand = 60;         // requests per second, over all boxes
  double first_box_part = 0;  // of the demand
  Duration rest{};       // callers rest for so long after each time of the same
  double loss = 0;       // of datagrams
  int max_delay_ms = 3;  // of datagrams
  // One box after the other, at that interval; 0 for none.
  Duration kills{};
  Duration pauses{};
  // Cuts off one hall for kCutTime at that interval.
  Duration cuts{};
  Duration kill_all{};
  double min_use = 0;  // of the rate, while callers are refused
};

std::ostream& operator<<(std::ostream& out, const FleetOptions& o) {
  return out << o.name;
}

class PermitFleet {
 public:
  PermitFleet(const FleetOptions& options, uint64_t seed)
      : options_(options), random_(seed), boxes_(options.boxes) {
    for (int i = 0; i < options.boxes; i++) Start(i, Time{} - seconds(100));
    ScheduleRequest();
    Every(milliseconds(20), [this] { TickAll(); });
    Every(seconds(1), [this] { EndSecond(); });
    Repeat(options.kills, [this] { Kill(Next()); });
    Repeat(options.pauses, [this] { Pause(Next()); });
    Repeat(options.cuts, [this] { CutHall(); });
    Repeat(options.kill_all, [this] {
      for (int i = 0; i < options_.boxes; i++) Kill(i);
    });
  }

  void RunFor(Duration d) { clock_.Advance(d); }
  Time now() const { return clock_.now(); }
  void set_limit(double per_second) { limit_ = per_second; }

  int refused() const { return refused_; }
  // Sent and received by one box, later than a few seconds after the limit
  // began.
  int most_bytes_per_second() const { return most_bytes_; }

  int MostInWindow(Time from) const {
    const auto start =
        std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    int most = 0;
    for (auto it = start; it != arrivals_.end(); ++it) {
      const auto end = std::lower_bound(it, arrivals_.end(), *it + kWindow);
      most = std::max(most, static_cast<int>(end - it));
    }
    return most;
  }
  double RateBetween(Time from, Time to) const {
    const auto start =
        std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    const auto end = std::lower_bound(arrivals_.begin(), arrivals_.end(), to);
    return static_cast<double>(end - start) / ToSeconds(to - from);
  }

 private:
  static constexpr milliseconds kDownTime{800};  // of a killed box
  static constexpr milliseconds kPauseTime{1500};
  static constexpr milliseconds kCutTime{6000};
  // Until boxes know that one has joined, and that one is lost.
  static constexpr milliseconds kJoinDelay{400};
  static constexpr milliseconds kLossDelay{3000};
  static constexpr seconds kMemberMemory{60};
  static constexpr Time kSettled = Time(seconds(10));
  static constexpr milliseconds kPoll{5};
  static constexpr milliseconds kMaxWait{100};

  struct Box {
    std::unique_ptr<RatePermits> permits;
    std::unique_ptr<PermitExchange> exchange;
    int life = 0;
    bool up = false;
    bool paused = false;
    bool cut = false;
    Time started{};
    Time went{};  // when it was last killed, paused, cut off or back
    std::vector<std::function<void()>> inbox;  // while it is paused
    std::map<int, int> seen;                   // members, by second
    int bytes = 0;
  };

  void Every(Duration d, const std::function<void()>& fn) {
    clock_.After(d, [this, d, fn] {
      fn();
      Every(d, fn);
    });
  }
  void Repeat(Duration d, const std::function<void()>& fn) {
    if (d > Duration(0)) Every(d, fn);
  }
  int Draw(int n) { return static_cast<int>(random_() % n); }
  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  int Next() { return next_box_++ % options_.boxes; }
  int HallOf(int i) const { return i % options_.halls; }
  static std::string Name(int i) { return "box-" + std::to_string(i); }

  void Start(int i, Time started) {
    Box& box = boxes_[i];
    box.life++;
    box.up = true;
    box.paused = false;
    box.started = started;
    box.seen.clear();
    box.permits = std::make_unique<RatePermits>(RatePermits::Options());
    PermitExchange::Calls calls;
    calls.issuers = [this, i](Time, const std::string& key, size_t n) {
      return Issuers(i, key, n);
    };
    calls.send = [this, i](const std::string& to, const PermitRequest& r) {
      const size_t bytes = PeerCodec("k").Encode(r).size();
      Deliver(i, IndexOf(to), bytes,
              [this, to = IndexOf(to), r] { OnRequest(to, r); });
    };
    calls.share = [this, i] { return Share(i); };
    calls.boxes = [this] { return options_.boxes; };
    calls.on_change = [](const std::string&, RateLimits::Change,
                         PermitExchange::Source) {};
    box.exchange = std::make_unique<PermitExchange>(
        started, Name(i), box.permits.get(), PermitExchange::Options(),
        std::move(calls), Random(random_()));
    box.permits->set_on_wanted([this, i, life = box.life] {
      clock_.After(Duration(0), [this, i, life] {
        if (Runs(i, life)) boxes_[i].exchange->SendAsks(now());
      });
    });
  }

  bool Runs(int i, int life) const {
    return boxes_[i].up && !boxes_[i].paused && boxes_[i].life == life;
  }
  static int IndexOf(const std::string& name) {
    return std::stoi(name.substr(4));
  }

  // --- members -------------------------------------------------------------

  bool Reaches(int i, int j) const {
    return boxes_[i].cut == boxes_[j].cut || HallOf(i) == HallOf(j);
  }
  // Whether box `i` takes `j` for a live member.
  bool Sees(int i, int j) const {
    if (i == j) return true;
    const Box& other = boxes_[j];
    const Time joined = std::max(boxes_[i].started, other.started);
    if (now() - joined < kJoinDelay) return false;
    if (other.up && !other.paused && Reaches(i, j)) return true;
    const Time lost = std::max(other.went, boxes_[i].went);
    return now() - lost < kLossDelay;
  }
  std::vector<std::string> Issuers(int i, const std::string& key, size_t n) {
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const bool hall_only : {true, false}) {
      for (int j = 0; j < options_.boxes; j++) {
        if (hall_only && HallOf(j) != 0) continue;
        if (Sees(i, j))
          ranked.emplace_back(RendezvousWeight(Name(j), key), Name(j));
      }
      if (!ranked.empty()) break;
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> names;
    for (size_t k = 0; k < std::min(n, ranked.size()); k++)
      names.push_back(ranked[k].second);
    return names;
  }
  double Share(int i) {
    int live = 0;
    for (int j = 0; j < options_.boxes; j++) live += Sees(i, j);
    std::map<int, int>& seen = boxes_[i].seen;
    const int second = static_cast<int>(ToSeconds(now().time_since_epoch()));
    seen[second] = std::max(seen[second], live);
    std::erase_if(seen, [second](const auto& entry) {
      return entry.first < second - 60;
    });
    int most = 0;
    for (const auto& [at, n] : seen) most = std::max(most, n);
    return std::min(1.0, 1.2 * live / most);
  }

  // --- faults --------------------------------------------------------------

  void Kill(int i) {
    boxes_[i].up = false;
    boxes_[i].inbox.clear();
    boxes_[i].went = now();
    clock_.After(kDownTime, [this, i] {
      if (!boxes_[i].up) Start(i, now());
    });
  }
  void Pause(int i) {
    Box& box = boxes_[i];
    if (!box.up || box.paused) return;
    box.paused = true;
    box.went = now();
    clock_.After(kPauseTime, [this, i, life = box.life] {
      Box& box = boxes_[i];
      if (box.life != life || !box.up) return;
      box.paused = false;
      for (const auto& fn : std::exchange(box.inbox, {})) fn();
    });
  }
  void CutHall() {
    const int hall = Draw(options_.halls);
    SetCut(hall, true);
    clock_.After(kCutTime, [this, hall] { SetCut(hall, false); });
  }
  void SetCut(int hall, bool cut) {
    for (int i = 0; i < options_.boxes; i++) {
      boxes_[i].went = now();
      if (HallOf(i) == hall) boxes_[i].cut = cut;
    }
  }

  // --- messages ------------------------------------------------------------

  void Deliver(int from, int to, size_t bytes,
               const std::function<void()>& fn) {
    boxes_[from].bytes += static_cast<int>(bytes);
    boxes_[to].bytes += static_cast<int>(bytes);
    if (Chance(options_.loss)) return;
    clock_.After(milliseconds(1 + Draw(options_.max_delay_ms)),
                 [this, from, to, fn, life = boxes_[to].life] {
                   Box& box = boxes_[to];
                   if (!box.up || box.life != life || !Reaches(from, to))
                     return;
                   if (box.paused) {
                     box.inbox.push_back(fn);
                   } else {
                     fn();
                   }
                 });
  }
  void OnRequest(int i, const PermitRequest& request) {
    const PermitGrant grant = boxes_[i].exchange->OnRequest(now(), request);
    const int to = IndexOf(request.from);
    Deliver(i, to, PeerCodec("k").Encode(grant).size(),
            [this, to, grant] { boxes_[to].exchange->OnGrant(now(), grant); });
  }
  void TickAll() {
    for (int i = 0; i < options_.boxes; i++) {
      if (!boxes_[i].up || boxes_[i].paused) continue;
      PermitExchange& exchange = *boxes_[i].exchange;
      exchange.Tick(now());
      const LimitNotice news = exchange.TakeNews(now());
      if (news.limits.empty()) continue;
      const size_t bytes = PeerCodec("k").Encode(news).size();
      for (size_t n = 0; n < 7; n++) {
        const int to = Draw(options_.boxes);
        if (to == i) continue;
        Deliver(i, to, bytes, [this, to, news] {
          boxes_[to].exchange->OnNotice(now(), news);
        });
      }
    }
  }
  void EndSecond() {
    for (Box& box : boxes_) {
      const int bytes = std::exchange(box.bytes, 0);
      if (now() >= kSettled) most_bytes_ = std::max(most_bytes_, bytes);
    }
  }

  // --- requests ------------------------------------------------------------

  void ScheduleRequest() {
    std::exponential_distribution<double> gap(options_.demand);
    clock_.After(FromSeconds(gap(random_)), [this] {
      ScheduleRequest();
      const bool rests = options_.rest > Duration(0) &&
                         now().time_since_epoch() / options_.rest % 2 == 1;
      if (rests) return;
      const bool first = Chance(options_.first_box_part);
      const int i = first ? 0 : Draw(options_.boxes);
      if (!boxes_[i].up) return;
      Handle(i, boxes_[i].life, now(), false);
    });
  }
  void Handle(int i, int life, Time since, bool repeated) {
    Box& box = boxes_[i];
    if (!box.up || box.life != life) return;
    if (box.paused) {
      box.inbox.push_back([this, i, life] { Handle(i, life, now(), false); });
      return;
    }
    const PermitClass c = PermitClass::kOrdinary;
    if (box.permits->Take(now(), kEndpoint, c)) return Send(i, life);
    const Duration wait = box.permits->WaitFor(now(), kEndpoint, c);
    box.permits->Want(now(), kEndpoint, c, repeated);
    if (now() - since + wait >= kMaxWait) {
      refused_++;
      return;
    }
    clock_.After(kPoll,
                 [this, i, life, since] { Handle(i, life, since, true); });
  }
  void Send(int i, int life) {
    const Time sent = now();
    clock_.After(milliseconds(1), [this, i, life, sent] {
      arrivals_.push_back(now());
      RateLimitNotice notice;
      if (limit_ > 0) notice = {RateLimitNotice::Kind::kNamed, limit_};
      clock_.After(milliseconds(20 + Draw(100)), [this, i, life, sent, notice] {
        const auto arrive = [this, i, life, sent, notice] {
          if (Runs(i, life))
            boxes_[i].exchange->OnResponse(now(), kEndpoint, 1, sent, notice);
        };
        if (boxes_[i].paused) {
          boxes_[i].inbox.push_back(arrive);
        } else {
          arrive();
        }
      });
    });
  }

  PausedClock clock_;
  FleetOptions options_;
  Random random_;
  std::vector<Box> boxes_;
  double limit_ = 0;
  std::vector<Time> arrivals_;
  int next_box_ = 0;
  int refused_ = 0;
  int most_bytes_ = 0;
};

class PermitFleetTest : public testing::TestWithParam<FleetOptions> {};

TEST_P(PermitFleetTest, TheLimitHoldsAndIsUsed) {
  const FleetOptions& options = GetParam();
  const int seeds = options.boxes > 100 ? 1 : 6;
  for (int seed = 1; seed <= seeds; seed++) {
    PermitFleet fleet(options, seed);
    fleet.RunFor(seconds(2));
    fleet.set_limit(options.rate);
    const Time named = fleet.now();
    fleet.RunFor(seconds(40));
    const int most = fleet.MostInWindow(named + kSettleTime);
    const double used =
        fleet.RateBetween(named + kSettleTime, fleet.now()) / options.rate;
    std::cout << options.name << " seed " << seed << ": most " << most
              << ", used " << used << ", refused " << fleet.refused()
              << ", bytes " << fleet.most_bytes_per_second() << "\n";
    EXPECT_LE(most, 1.5 * options.rate * ToSeconds(kWindow) + 5)
        << "seed " << seed;
    EXPECT_GE(used, options.min_use) << "seed " << seed;
    // After the limit has ended, all is served.
    fleet.set_limit(0);
    fleet.RunFor(seconds(5));
    const int before = fleet.refused();
    fleet.RunFor(seconds(5));
    EXPECT_EQ(fleet.refused(), before) << "seed " << seed;
  }
}

const FleetOptions kFleets[] = {
    {.name = "Eight", .min_use = 0.9},
    {.name = "EightOneBoxHasAllCallers", .first_box_part = 1, .min_use = 0.9},
    {.name = "EightOneBoxHasMost", .first_box_part = 0.9, .min_use = 0.9},
    {.name = "EightLowRate", .rate = 1.5, .min_use = 0.9},
    {.name = "EightLowestRate", .rate = 0.2},
    {.name = "EightHighRate", .rate = 100, .demand = 400, .min_use = 0.9},
    {.name = "EightTwiceTheRate", .demand = 10, .min_use = 0.85},
    {.name = "FortyResting", .boxes = 40, .rate = 1.5, .rest = seconds(4)},
    {.name = "TwoHundred", .boxes = 200, .min_use = 0.9},
    {.name = "SevenHundredThirty",
     .boxes = 730,
     .halls = 22,
     .demand = 400,
     .min_use = 0.9},
    {.name = "LossyLinks", .loss = 0.1, .max_delay_ms = 15},
    {.name = "Kills", .kills = milliseconds(1700)},
    {.name = "Pauses", .pauses = milliseconds(1700)},
    {.name = "Cuts", .cuts = seconds(10)},
    {.name = "AllKilled", .kill_all = seconds(12)},
    {.name = "AllOfIt",
     .boxes = 24,
     .loss = 0.05,
     .max_delay_ms = 10,
     .kills = milliseconds(2300),
     .pauses = milliseconds(1900),
     .cuts = seconds(11)},
};

INSTANTIATE_TEST_SUITE_P(Fleets, PermitFleetTest, testing::ValuesIn(kFleets),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace pinford
