// Tests of the forwarding path's decisions without a clock or sockets: tables
// of cases, and random cases compared with simple oracles.

#include <gtest/gtest.h>

#include <algorithm>

#include "pinford/forwarding/attempt_result.h"
#include "pinford/forwarding/endpoint_watch.h"
#include "pinford/forwarding/event_stream.h"
#include "pinford/forwarding/forward_head.h"
#include "pinford/forwarding/pool_placement.h"
#include "pinford/forwarding/retry_share.h"
#include "pinford/forwarding/route_table.h"
#include "util/base64.h"
#include "util/hash.h"

namespace pinford {
namespace {

// --- results of attempts ---------------------------------------------------

TEST(AttemptResult, NotRunRequiresEndpointReportOrNoSend) {
  const struct {
    const char* name;
    AttemptFacts facts;
    Executed executed;
    ResponseUse use;
    EndpointFeedback feedback;
  } cases[] = {
      {"no connection",
       {UpstreamEnd::kRefused},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"withheld",
       {UpstreamEnd::kWithdrawn},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kNone},
      {"not relayed",
       {UpstreamEnd::kNoRelay},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kNone},
      {"its relay lost",
       {UpstreamEnd::kRelayLost},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kNone},
      {"its relay lost within the response",
       {UpstreamEnd::kRelayLost, 200, false, true},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kNone},
      {"broken",
       {UpstreamEnd::kBroken},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"no HTTP",
       {UpstreamEnd::kMalformed},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"no id",
       {UpstreamEnd::kUnidentified},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"cut",
       {UpstreamEnd::kTruncated, 200, false, true},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"cut refusal",
       {UpstreamEnd::kTruncated, 503, true, false},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"refused",
       {UpstreamEnd::kComplete, 503, true, false},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kRejected},
      {"another incarnation",
       {UpstreamEnd::kComplete, 421, false, false},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kRejected},
      {"503 without a report",
       {UpstreamEnd::kComplete, 503, false, false},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"429 without a report",
       {UpstreamEnd::kComplete, 429, false, false},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"answer",
       {UpstreamEnd::kComplete, 200, false, true},
       Executed::kYes,
       ResponseUse::kForward,
       EndpointFeedback::kNone},
      {"answer without seal",
       {UpstreamEnd::kComplete, 200, false, false},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"encoded answer",
       {UpstreamEnd::kComplete, 200, false, true, true},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"encoded error",
       {UpstreamEnd::kComplete, 500, false, true, true},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"encoded refusal",
       {UpstreamEnd::kComplete, 503, true, false, true},
       Executed::kNo,
       ResponseUse::kNone,
       EndpointFeedback::kRejected},
      {"success that reports that it has not run",
       {UpstreamEnd::kComplete, 200, true, true},
       Executed::kMaybe,
       ResponseUse::kNone,
       EndpointFeedback::kFailed},
      {"its own error",
       {UpstreamEnd::kComplete, 500, false, true},
       Executed::kYes,
       ResponseUse::kForwardError,
       EndpointFeedback::kNone},
      {"a sealed 404",
       {UpstreamEnd::kComplete, 404, false, true},
       Executed::kYes,
       ResponseUse::kForward,
       EndpointFeedback::kNone},
  };
  for (const auto& c : cases) {
    const AttemptResult r = ClassifyAttempt(c.facts);
    EXPECT_EQ(r.executed, c.executed) << c.name;
    EXPECT_EQ(r.use, c.use) << c.name;
    EXPECT_EQ(r.feedback, c.feedback) << c.name;
  }
}

// For all combinations: "not run" requires a report or that nothing was sent,
// and only a complete, sealed response is forwarded.
TEST(AttemptResult, HoldsForAllCombinations) {
  for (UpstreamEnd end :
       {UpstreamEnd::kComplete, UpstreamEnd::kRefused, UpstreamEnd::kWithdrawn,
        UpstreamEnd::kBroken, UpstreamEnd::kTruncated, UpstreamEnd::kMalformed,
        UpstreamEnd::kNoRelay, UpstreamEnd::kRelayLost,
        UpstreamEnd::kUnidentified}) {
    for (int status : {0, 200, 206, 304, 400, 404, 421, 429, 500, 503, 504}) {
      for (int bits = 0; bits < 8; bits++) {
        const AttemptFacts f{end, status, (bits & 1) != 0, (bits & 2) != 0,
                             (bits & 4) != 0};
        const AttemptResult r = ClassifyAttempt(f);
        const bool never_sent = end == UpstreamEnd::kRefused ||
                                end == UpstreamEnd::kWithdrawn ||
                                end == UpstreamEnd::kNoRelay;
        const bool success = status >= 200 && status < 300;
        const bool rejected = status == 421 || (f.reported_not_run && !success);
        const bool reported = end == UpstreamEnd::kComplete && rejected;
        EXPECT_EQ(r.executed == Executed::kNo, never_sent || reported);
        if (r.use == ResponseUse::kNone) continue;
        EXPECT_EQ(end, UpstreamEnd::kComplete);
        EXPECT_TRUE(f.sealed && !f.encoded && !f.reported_not_run);
      }
    }
  }
}

// --- events ----------------------------------------------------------------

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) +
         "\n\n";
}

// Guards against an event that never ends: it was held whole, and all of it was
// searched again for each piece.
TEST(EventStream, AnEventIsHeldUpToALimit) {
  constexpr size_t kPiece = 1 << 10;
  EventStream stream;
  EXPECT_EQ(stream.Feed(Event(1)), Event(1));
  const std::string piece(kPiece, 'x');
  size_t fed = 0;
  while (fed + kPiece <= EventStream::kMaxEventBytes) {
    EXPECT_EQ(stream.Feed(piece), "");
    fed += kPiece;
    ASSERT_FALSE(stream.exceeds_limit()) << fed;
  }
  stream.Feed(piece);
  EXPECT_TRUE(stream.exceeds_limit());
  stream.DropPartial();
  EXPECT_FALSE(stream.exceeds_limit());
  EXPECT_EQ(stream.Feed(Event(2)), Event(2));
}

TEST(EventStream, ForwardsWholeEventsOnceForAnyChunking) {
  for (int seed = 0; seed < 300; seed++) {
    Random random(seed);
    const int events = 1 + static_cast<int>(random() % 20);
    std::string all;
    for (int i = 1; i <= events; i++) all += Event(i);
    EventStream stream;
    std::string out;
    // Attempts break at random places. Each next one resumes after the last
    // event that was forwarded, or repeats some events before it.
    size_t from = 0;
    for (int run = 0; run < 5; run++) {
      const bool last = run == 4;
      const size_t length = all.size() - from;
      const size_t end = last ? all.size() : from + random() % (length + 1);
      while (from < end) {
        const size_t n = std::min(end - from, 1 + random() % 17);
        out += stream.Feed(std::string_view(all).substr(from, n));
        from += n;
      }
      EXPECT_EQ(all.compare(0, out.size(), out), 0) << seed;
      EXPECT_TRUE(out.empty() || out.ends_with("\n\n")) << seed;
      stream.DropPartial();
      const uint64_t passed = stream.last_id().value_or(0);
      const uint64_t back = std::min<uint64_t>(passed, random() % 3);
      from = 0;
      for (uint64_t i = 1; i <= passed - back; i++) {
        from += Event(static_cast<int>(i)).size();
      }
    }
    EXPECT_EQ(out, all) << seed;
    EXPECT_EQ(stream.events(), events);
  }
}

TEST(EventStream, AcceptsBothLineEndings) {
  EventStream stream;
  EXPECT_EQ(stream.Feed("version: 3\nid: 4\ndata: a\n\n"),
            "version: 3\nid: 4\ndata: a\n\n");
  EXPECT_EQ(stream.Feed("id:5\r\ndata: b\r\n\r\n"), "id:5\r\ndata: b\r\n\r\n");
  EXPECT_EQ(stream.last_id(), 5u);
  EXPECT_EQ(stream.Feed("id: 5\ndata: again\n\n"), "");
  EXPECT_EQ(stream.Feed(": a comment\n\n"), ": a comment\n\n");
  stream.set_last_id(9);
  EXPECT_EQ(stream.Feed(Event(8) + Event(9) + Event(10)), Event(10));
}

// --- routes ----------------------------------------------------------------

TEST(RouteTable, LongestPrefixMatchesLinearSearch) {
  for (int seed = 0; seed < 200; seed++) {
    Random random(seed);
    auto word = [&random] { return std::string(1, 'a' + random() % 3); };
    auto config = std::make_shared<ServiceConfiguration>();
    config->version = 1;
    for (int i = 0; i < 20; i++) {
      Route r;
      r.name = "r" + std::to_string(i);
      r.host = word() + ".example";
      r.prefix = "/";
      for (uint64_t n = random() % 4; n > 0; n--) r.prefix += word() + "/";
      const bool taken = std::any_of(
          config->routes.begin(), config->routes.end(), [&r](const Route& o) {
            return o.host == r.host && o.prefix == r.prefix;
          });
      if (!taken) config->routes.push_back(r);
    }
    const RouteTable table(config);
    for (int i = 0; i < 50; i++) {
      const std::string host = word() + ".example";
      std::string path = "/";
      for (uint64_t n = random() % 5; n > 0; n--) path += word() + "/";
      if (random() % 2 == 0) path += word();
      const Route* best = nullptr;
      for (const Route& r : config->routes) {
        const bool fits = r.host == host && path.starts_with(r.prefix);
        const bool longer =
            best == nullptr || r.prefix.size() > best->prefix.size();
        if (fits && longer) best = &r;
      }
      EXPECT_EQ(table.Find(host, path), best) << host << path;
      EXPECT_EQ(table.Find(host + ":8080", path + "?q=/x/"), best);
    }
  }
}

TEST(RouteTable, KeysAndShares) {
  auto config = std::make_shared<ServiceConfiguration>();
  config->customers = {{{"c1", {"k1", "k2"}, 1}, {"c2", {"k3"}, {}}}};
  const RouteTable table(config);
  EXPECT_EQ(table.CustomerOf("k2")->name, "c1");
  EXPECT_EQ(table.CustomerOf("k3")->name, "c2");
  EXPECT_EQ(table.CustomerOf("k4"), nullptr);
  EXPECT_EQ(table.CustomerOf(""), nullptr);
  Route open;
  open.anonymous = true;
  EXPECT_FALSE(table.NeedsKey(open));
  EXPECT_TRUE(table.NeedsKey(Route()));

  Route split;
  split.services = {{"a", 90}, {"b", 0}, {"c", 10}};
  int drawn[3] = {};
  for (int i = 0; i < 1000; i++) {
    drawn[DrawService(split, i / 1000.0)[0] - 'a']++;
  }
  EXPECT_EQ(drawn[0], 900);
  EXPECT_EQ(drawn[1], 0);
  EXPECT_EQ(drawn[2], 100);
  EXPECT_EQ(DrawService(Route(), 0.5), "");
}

// --- retries ---------------------------------------------------------------

// Boxes with uneven load retry as much as they may. Together they stay within
// the bound in every window, although they learn late how many boxes there are.
TEST(RetryShare, BoundHoldsAcrossBoxesInEveryWindow) {
  constexpr int kBoxes = 8;
  for (int seed = 0; seed < 20; seed++) {
    Random random(seed);
    RetryShare::Options options;
    std::vector<RetryShare> boxes;
    boxes.reserve(kBoxes);
    for (int b = 0; b < kBoxes; b++) boxes.emplace_back(Time{}, options);
    std::vector<Time> requests;
    std::vector<Time> retries;
    for (int ms = 0; ms < 40000; ms += 10) {
      const Time now = Time{} + milliseconds(ms);
      for (int b = 0; b < kBoxes; b++) {
        // Boxes know of each other after 3 s; later a partition hides half.
        const bool cut = ms > 15000 && ms < 25000;
        boxes[b].OnBoxCount(now, ms < 3000 ? 1 : cut ? kBoxes / 2 : kBoxes);
        if (static_cast<int>(random() % 100) < 2 * b) {
          boxes[b].OnRequest(now, "s");
          requests.push_back(now);
        }
        while (boxes[b].Acquire(now, "s")) retries.push_back(now);
      }
    }
    for (int ms = 0; ms < 40000; ms += 500) {
      const Time from = Time{} + milliseconds(ms);
      const auto in = [from, &options](const std::vector<Time>& times) {
        return std::count_if(times.begin(), times.end(), [&](Time t) {
          return from <= t && t < from + options.window;
        });
      };
      EXPECT_LE(in(retries), options.ratio * static_cast<double>(in(requests)) +
                                 options.extra)
          << seed << " from " << ms;
    }
    EXPECT_GT(retries.size(), 300u) << "the bound is also reached";
  }
}

TEST(RetryShare, ANewBoxHasNoFixedShare) {
  RetryShare::Options options;
  RetryShare share(Time{}, options);
  share.OnBoxCount(Time{}, 1);
  EXPECT_FALSE(share.Acquire(Time{} + seconds(1), "s"));
  for (int i = 0; i < 100; i++) share.OnRequest(Time{} + seconds(1), "s");
  int taken = 0;
  while (share.Acquire(Time{} + seconds(2), "s")) taken++;
  EXPECT_EQ(taken, 16);  // 0.8 x 0.2 x 100
}

// --- idle endpoints --------------------------------------------------------

TEST(EndpointWatch, ProbesEndpointsIdleBeyondTheirUsualInterval) {
  EndpointWatch watch{EndpointWatch::Options()};
  const Chain fast = {{"a", {0, 4}}, {"b", {4, 8}}};
  const Chain other = {{"a", {0, 4}}, {"c", {4, 8}}};
  Time now{};
  watch.OnBegin(now, fast);
  watch.OnBegin(now, other);
  for (int i = 0; i < 50; i++) {
    now += milliseconds(10);
    watch.OnProgress(now, i % 2 == 0 ? fast : other);
    EXPECT_TRUE(watch.EndpointsToProbe(now).empty());
  }
  // b and c become idle; a continues with other streams.
  const Chain alone = {{"a", {0, 4}}};
  watch.OnBegin(now, alone);
  std::vector<std::string> asked;
  for (int i = 0; i < 12; i++) {
    now += milliseconds(10);
    watch.OnProgress(now, alone);
    for (const std::string& name : watch.EndpointsToProbe(now))
      asked.push_back(name);
  }
  std::sort(asked.begin(), asked.end());
  EXPECT_EQ(asked, (std::vector<std::string>{"b", "c"}));
  using Change = EndpointWatch::Change;
  EXPECT_EQ(watch.OnProbeResult("b", false, 1), Change::kWorse);
  EXPECT_EQ(watch.OnProbeResult("c", true, 1), Change::kNone);
  EXPECT_TRUE(watch.IsDown("b"));
  EXPECT_FALSE(watch.IsDown("c"));
  // An endpoint that is down is probed until it responds.
  now += milliseconds(500);
  const std::vector<std::string> again = watch.EndpointsToProbe(now);
  EXPECT_NE(std::find(again.begin(), again.end(), "b"), again.end());
  EXPECT_EQ(watch.OnProbeResult("b", true, 1), Change::kBetter);
  EXPECT_FALSE(watch.IsDown("b"));
  // An endpoint that reports a slowdown is probed until it is no longer slow.
  EXPECT_EQ(watch.OnProbeResult("c", true, 5), Change::kWorse);
  EXPECT_TRUE(watch.IsSlow("c"));
  EXPECT_EQ(watch.OnProbeResult("c", true, 6), Change::kNone);
  now += milliseconds(500);
  const std::vector<std::string> slow = watch.EndpointsToProbe(now);
  EXPECT_NE(std::find(slow.begin(), slow.end(), "c"), slow.end());
  EXPECT_EQ(watch.OnProbeResult("c", true, 1.2), Change::kBetter);
  EXPECT_FALSE(watch.IsSlow("c"));
}

TEST(EndpointWatch, OneProbeAtATime) {
  const EndpointWatch::Options options;
  EndpointWatch watch{options};
  Time now = Time{} + seconds(1);
  // Each rejection asks for a probe; one is in progress, then there is a pause.
  EXPECT_TRUE(watch.BeginProbe(now, "a"));
  EXPECT_FALSE(watch.BeginProbe(now + milliseconds(1), "a"));
  EXPECT_TRUE(watch.BeginProbe(now + milliseconds(1), "b"));
  watch.OnProbeResult("a", true, 1);
  EXPECT_FALSE(watch.BeginProbe(now + milliseconds(2), "a"));
  now += options.healthy_probe_interval;
  EXPECT_TRUE(watch.BeginProbe(now, "a"));
  // An endpoint that is down is probed by EndpointsToProbe and not sooner.
  watch.OnProbeResult("a", false, 1);
  EXPECT_FALSE(watch.BeginProbe(now + options.healthy_probe_interval, "a"));
  EXPECT_TRUE(watch.BeginProbe(now + options.impaired_probe_interval, "a"));
}

TEST(EndpointWatch, EndpointsWithoutStreamsAreNotProbed) {
  EndpointWatch watch{EndpointWatch::Options()};
  const Chain chain = {{"a", {0, 8}}};
  Time now{};
  watch.OnBegin(now, chain);
  watch.OnProgress(now + milliseconds(10), chain);
  watch.OnEnd(chain);
  now += seconds(10);
  EXPECT_TRUE(watch.EndpointsToProbe(now).empty());
  watch.OnBegin(now, chain);
  EXPECT_TRUE(watch.EndpointsToProbe(now + milliseconds(30)).empty());
}

// --- placement -------------------------------------------------------------

EnginePool TestPool() {
  EnginePool pool;
  pool.layers = 80;
  pool.layer_mb = 1750;
  pool.kinds = {{"big", 72000, 2.4, 3.2},
                {"mid", 43200, 5.6, 2.7},
                {"small", 21600, 16, 8.2}};
  return pool;
}

TEST(PoolPlacement, CoversEveryLayerAndRefillsAfterLosses) {
  const EnginePool pool = TestPool();
  const PoolPlacementOptions options;
  for (int seed = 0; seed < 50; seed++) {
    Random random(seed);
    std::vector<PoolRunner> runners;
    runners.reserve(33);
    const char* kinds[] = {"big", "mid", "mid", "small", "small"};
    for (int i = 0; i < 33; i++) {
      runners.push_back({"r" + std::to_string(i),
                         "h" + std::to_string(random() % 3),
                         kinds[random() % 5],
                         {}});
    }
    const auto least = [&runners, &pool] {
      int fewest = 1000;
      for (int l = 0; l < pool.layers; l++) {
        fewest = std::min<int>(
            fewest,
            std::count_if(runners.begin(), runners.end(), [l](const auto& r) {
              return r.holds.Contains({l, l + 1});
            }));
      }
      return fewest;
    };
    const auto place = [&] {
      const auto placed = PlaceUnderfilledRunners(pool, runners, options);
      for (PoolRunner& r : runners) {
        const auto it = placed.find(r.name);
        if (it != placed.end()) r.holds = it->second;
      }
    };
    place();
    int total = 0;
    for (const PoolRunner& r : runners) {
      EXPECT_EQ(r.holds.size(),
                LayersOfKind(pool, *pool.Kind(r.kind), options));
      EXPECT_TRUE((LayerRange{0, 80}.Contains(r.holds)));
      total += r.holds.size();
    }
    EXPECT_GE(least(), total / pool.layers - 2) << seed;
    // Some restart without layers; the layers that they held are held again.
    const int before = least();
    for (PoolRunner& r : runners) {
      if (random() % 4 == 0) r.holds = {};
    }
    place();
    EXPECT_GE(least(), before - 1) << seed;
  }
}

// Returns the greatest minimum of free memory over all layers that any
// placement of the runners reaches.
double BestLeast(const EnginePool& pool, std::vector<PoolRunner>* runners,
                 size_t i, const PoolPlacementOptions& options) {
  if (i == runners->size())
    return PoolMemory(pool, options, *runners).MinFreeMemory();
  PoolRunner& r = (*runners)[i];
  const int n = LayersOfKind(pool, *pool.Kind(r.kind), options);
  double best = 0;
  for (int b = 0; b + n <= pool.layers; b++) {
    r.holds = {b, b + n};
    best = std::max(best, BestLeast(pool, runners, i + 1, options));
  }
  r.holds = {};
  return best;
}

// Compares small pools of one hall with all possible placements.
TEST(PoolPlacement, IsNearOptimalOnSmallPools) {
  EnginePool pool;
  pool.layers = 6;
  pool.layer_mb = 1000;
  pool.kinds = {
      {"four", 6000, 1, 1}, {"three", 4500, 1, 1}, {"two", 3000, 1, 1}};
  const PoolPlacementOptions options;
  const char* kinds[] = {"four", "three", "two"};
  double reached = 0;
  double possible = 0;
  for (int seed = 0; seed < 60; seed++) {
    Random random(seed);
    std::vector<PoolRunner> runners;
    runners.reserve(5);
    for (int i = 0; i < 5; i++) {
      runners.push_back(
          {"r" + std::to_string(i), "h", kinds[random() % 3], {}});
    }
    const double best = BestLeast(pool, &runners, 0, options);
    const auto placed = PlaceUnderfilledRunners(pool, runners, options);
    for (PoolRunner& r : runners) r.holds = placed.at(r.name);
    const double got = PoolMemory(pool, options, runners).MinFreeMemory();
    EXPECT_GT(got, 0) << seed << ": a layer has no holder";
    EXPECT_GE(got, best / 2) << seed;
    reached += got;
    possible += best;
  }
  EXPECT_GT(reached, 0.9 * possible);
}

TEST(PoolPlacement, KeepsHeldLayersAndExtendsAroundThem) {
  const EnginePool pool = TestPool();
  const PoolPlacementOptions options;
  for (const LayerRange held : {LayerRange{0, 9}, {30, 39}, {71, 80}}) {
    const std::vector<PoolRunner> runners = {{"big", "h", "big", held},
                                             {"mid", "h", "mid", {40, 56}}};
    const auto placed = PlaceUnderfilledRunners(pool, runners, options);
    ASSERT_EQ(placed.count("big"), 1u);
    EXPECT_TRUE(placed.at("big").Contains(held));
    EXPECT_EQ(placed.at("big").size(), 27);
    EXPECT_EQ(placed.count("mid"), 0u) << "it holds all that it can";
  }
}

TEST(PoolPlacement, AMoveCoversUnheldLayers) {
  const EnginePool pool = TestPool();
  const PoolPlacementOptions options;
  // Ranges of 27 layers; no runner holds layers from 54 on.
  std::vector<PoolRunner> runners = {{"a", "h", "big", {0, 27}},
                                     {"b", "h", "big", {0, 27}},
                                     {"c", "h", "big", {27, 54}}};
  constexpr double kMinGain = 2;
  const auto move = BestMove(pool, runners, {0, 1, 2}, kMinGain, options);
  ASSERT_TRUE(move);
  EXPECT_NE(move->runner, "c") << "then its layers would have no holder";
  EXPECT_EQ(move->range, (LayerRange{53, 80}));
  for (PoolRunner& r : runners) {
    if (r.name == move->runner) r.holds = move->range;
  }
  EXPECT_FALSE(BestMove(pool, runners, {0, 1, 2}, kMinGain, options));
  EXPECT_FALSE(BestMove(pool, runners, {}, 0, options));
}

TEST(PoolPlacement, UnusableKindsGetNoLayers) {
  EnginePool pool = TestPool();
  pool.kinds.push_back({"tiny", 1000, 1, 1});
  pool.kinds.push_back({"huge", 1e6, 1, 1});
  const auto placed = PlaceUnderfilledRunners(pool,
                                              {{"unknown", "h", "unknown", {}},
                                               {"tiny", "h", "tiny", {}},
                                               {"huge", "h", "huge", {}}},
                                              PoolPlacementOptions());
  EXPECT_EQ(placed.size(), 1u);
  EXPECT_EQ(placed.at("huge"), (LayerRange{0, 80}));
}

// --- heads -----------------------------------------------------------------

TEST(ForwardHead, ForwardsAllButConnectionAndKeyHeaders) {
  ForwardProtocol protocol;
  protocol.write_chain = [](const std::vector<AddressedStage>& chain) {
    return std::to_string(chain.size()) + " stages";
  };
  HttpHead head;
  head.method = "PATCH";
  head.target = "/a/b?c=d";
  head.headers = {{"Host", "h"},
                  {"X-Key", "secret"},
                  {"Connection", "close, X-Hop"},
                  {"X-Hop", "1"},
                  {"X-Customer", "forged"},
                  {"x-chain", "forged"},
                  {"X-Instance", "forged"},
                  {"X-Time-Left", "99999"},
                  {"Keep-Alive", "timeout=3"},
                  {"Transfer-Encoding", "chunked"},
                  {"Last-Event-ID", "3"},
                  {"X-Other", "kept"}};
  AttemptHeaders notes;
  notes.customer = "c";
  notes.instance = "i";
  notes.time_left = milliseconds(1234);
  notes.chain = {{{"10.0.0.1", 1}, {0, 4}}, {{"10.0.0.2", 1}, {4, 8}}};
  notes.urgency = 2;
  notes.last_event = "7";
  EXPECT_EQ(WriteForwardedHead(head, 4, protocol, notes),
            "PATCH /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\n"
            "X-Time-Left: 1234\r\nX-Instance: i\r\nX-Customer: c\r\n"
            "X-Chain: 2 stages\r\nX-Priority: 2\r\nLast-Event-ID: 7\r\n"
            "Content-Length: 4\r\n\r\n");
  HttpHead answer;
  answer.headers = {{"Content-Type", "t"}, {"Content-Length", "3"},
                    {"Connection", "x-a"}, {"X-A", "1"},
                    {"X-Load", "1,2,3"},   {"X-Seal", "s"},
                    {"Keep-Alive", "x"},   {"X-Other", "kept"}};
  EXPECT_EQ(ForwardedResponseHeaders(answer, protocol),
            (HttpHeaders{
                {"Content-Type", "t"}, {"X-Seal", "s"}, {"X-Other", "kept"}}));
}

TEST(Base64, RoundTrip) {
  for (int seed = 0; seed < 200; seed++) {
    Random random(seed);
    std::string bytes(random() % 50, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes);
  }
  EXPECT_EQ(EncodeBase64("node-0"), "bm9kZS0w");
  EXPECT_FALSE(DecodeBase64("abc"));
  EXPECT_FALSE(DecodeBase64("ab!="));
}

}  // namespace
}  // namespace pinford
