// The slopes from which docs/CAPACITY.md is worked out: what each part costs
// for one unit of its work, at three sizes or more.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <numeric>

#include "pinford/admission.h"
#include "pinford/claim.h"
#include "pinford/configuration.h"
#include "pinford/endpoint_table.h"
#include "pinford/engine_protocol.h"
#include "pinford/forwarding/pool_placement.h"
#include "pinford/forwarding/source_selector.h"
#include "pinford/membership.h"
#include "pinford/policy.h"
#include "pinford/timeline.h"

namespace pinford {
namespace {

size_t HeapBytes() { return mallinfo2().uordblks; }

MemberRow Row(int i, const std::string& hall) {
  MemberRow row;
  row.name = "box-" + std::to_string(i);
  row.hall = hall;
  row.address = "127.0.0.1:" + std::to_string(1000 + i);
  row.incarnation = 1790000000000 + i;
  row.heartbeat = 1000;
  return row;
}

Membership Fleet(int near, int far) {
  Membership m(Row(0, "h0"), {}, Membership::Options(), Random(1));
  std::vector<MemberRow> rows;
  for (int i = 1; i < near + far; i++) {
    rows.push_back(Row(i, i < near ? "h0" : "h" + std::to_string(1 + i % 21)));
  }
  m.OnRows(Time{}, rows);
  std::vector<EndpointCount> counts;
  for (uint32_t i = 0; i < 64; i++) counts.push_back({i * 77, 5});
  m.set_counts(counts);
  return m;
}

// One digest made, sealed, opened and taken in: what a gossip round costs a
// box as sender and as receiver. Arguments: boxes in the hall, elsewhere.
void BM_GossipRound(benchmark::State& state) {
  Membership a = Fleet(state.range(0), state.range(1));
  Membership b = Fleet(state.range(0), state.range(1));
  const PeerCodec codec("a key of sixteen");
  size_t bytes = 0;
  Time now = Time{} + seconds(6);  // nobody counts as joined just now
  double interval = 0;
  for (auto _ : state) {
    auto [out, next] = a.Tick(
        now, [&codec](const Digest& d) { return codec.Encode(d).size(); });
    if (out.empty()) continue;
    const std::string sealed = codec.Encode(out[0].digest);
    bytes = sealed.size();
    interval = ToSeconds(next);
    auto opened = codec.DecodeDigest(sealed);
    opened->sender.name = "box-1";
    benchmark::DoNotOptimize(b.OnDigest(now, *opened));
  }
  state.counters["digest_bytes"] = static_cast<double>(bytes);
  state.counters["interval_s"] = interval;
  state.counters["bytes_per_s"] = static_cast<double>(bytes) / interval;
}
BENCHMARK(BM_GossipRound)
    ->Args({8, 0})
    ->Args({33, 0})
    ->Args({33, 160})
    ->Args({33, 697});

// What peers have on each endpoint, as a box works it out at each tick.
// Arguments: boxes, endpoints.
// Runners of three kinds in `halls` halls, the given part of which hold
// nothing.
std::vector<PoolRunner> RunnersOf(const EnginePool& pool, int n, int halls,
                                  int empty_of_a_hundred) {
  constexpr int kHundred = 100;
  std::vector<PoolRunner> runners;
  for (int i = 0; i < n; i++) {
    const AcceleratorKind& kind = pool.kinds[i % pool.kinds.size()];
    const int size = LayersOfKind(pool, kind, {});
    const int begin = (i * 7) % (pool.layers - size + 1);
    const bool empty = i % kHundred < empty_of_a_hundred;
    runners.push_back({"r" + std::to_string(i), "h" + std::to_string(i % halls),
                       kind.name,
                       empty ? LayerRange() : LayerRange{begin, begin + size}});
  }
  return runners;
}

EnginePool PoolOfEighty() {
  EnginePool pool;
  pool.layers = 80;
  pool.layer_mb = 1750;
  pool.kinds = {{"big", 72000, 2.4, 3.2},
                {"mid", 14400, 5.3, 7.9},
                {"small", 21600, 16, 8.2}};
  return pool;
}

// Placing a pool that holds nothing, a tenth of one, and looking for a move.
void BM_PlaceRest(benchmark::State& state) {
  const EnginePool pool = PoolOfEighty();
  const auto runners = RunnersOf(pool, static_cast<int>(state.range(0)), 3,
                                 static_cast<int>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(PlaceUnderfilledRunners(pool, runners, {}));
  }
}
BENCHMARK(BM_PlaceRest)
    ->Args({38, 100})
    ->Args({226, 100})
    ->Args({226, 0})
    ->Args({226, 10})
    ->Args({1000, 10})
    ->Args({6100, 10});

void BM_BestMove(benchmark::State& state) {
  const EnginePool pool = PoolOfEighty();
  const auto runners = RunnersOf(pool, static_cast<int>(state.range(0)), 3, 0);
  std::vector<size_t> all(runners.size());
  std::iota(all.begin(), all.end(), 0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(BestMove(pool, runners, all, 2, {}));
  }
}
BENCHMARK(BM_BestMove)->Arg(38)->Arg(226)->Arg(1000)->Arg(6100);

// Moves of a pool that lost the holders of its last layers, four at once.
void BM_BestMoves(benchmark::State& state) {
  const EnginePool pool = PoolOfEighty();
  auto runners = RunnersOf(pool, static_cast<int>(state.range(0)), 3, 0);
  std::erase_if(runners, [&pool](const PoolRunner& r) {
    return r.holds.end == pool.layers;
  });
  std::vector<size_t> all(runners.size());
  std::iota(all.begin(), all.end(), 0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(BestMoves(pool, runners, all, {}, 4, 2, {}));
  }
}
BENCHMARK(BM_BestMoves)->Arg(190)->Arg(1000)->Arg(6100);

// The ranks of a hall's boxes for the store, made anew at each turn.
void BM_SourceRoster(benchmark::State& state) {
  const int boxes = static_cast<int>(state.range(0));
  const int halls = static_cast<int>(state.range(1));
  std::vector<MemberRow> rows(boxes);
  for (int i = 0; i < boxes; i++) {
    rows[i].name = "box-" + std::to_string(i);
    rows[i].hall = "hall-" + std::to_string(i % halls);
    rows[i].address = "10.0.0.1:" + std::to_string(1000 + i);
    rows[i].incarnation = rows[i].heartbeat = 1;
  }
  Membership membership(rows[0], {}, Membership::Options(), Random(1));
  const Time now = Time{} + seconds(1);
  membership.OnRows(now, rows);
  SourceSelector::Options options;
  options.refresh = Duration(0);
  SourceSelector roster(&membership, options);
  for (auto _ : state) benchmark::DoNotOptimize(roster.rank(now));
}
BENCHMARK(BM_SourceRoster)->Args({60, 4})->Args({300, 5})->Args({730, 22});

void BM_PeerCounts(benchmark::State& state) {
  const auto boxes = static_cast<int>(state.range(0));
  const auto endpoints = static_cast<uint32_t>(state.range(1));
  Membership m = Fleet(boxes, 0);
  const Time now = Time{} + seconds(6);
  for (int i = 1; i < boxes; i++) {
    Digest d;
    d.sender = Row(i, "h0");
    d.sender.heartbeat = 2000;
    for (uint32_t c = 0; c < 64; c++)
      d.counts.push_back({(c * 7 + i) % endpoints, 3});
    m.OnDigest(now, d);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(m.SumOfCounts(now));
  }
}
BENCHMARK(BM_PeerCounts)->Args({8, 33})->Args({33, 277})->Args({33, 6100});

void BM_MembershipMemory(benchmark::State& state) {
  double each = 0;
  for (auto _ : state) {
    const size_t before = HeapBytes();
    Membership m = Fleet(33, static_cast<int>(state.range(0)));
    each = static_cast<double>(HeapBytes() - before) / (33.0 + state.range(0));
  }
  state.counters["bytes_per_member"] = each;
}
BENCHMARK(BM_MembershipMemory)->Arg(0)->Arg(160)->Arg(697);

EndpointTable Runners(int n, int layers) {
  EndpointTable table("hall", EndpointTable::Options(), Random(1));
  std::vector<ListedEndpoint> list;
  for (int i = 0; i < n; i++) {
    ListedEndpoint e;
    e.name = "runner-" + std::to_string(i);
    e.hall = "hall";
    e.address = {"127.0.0.1", 1};
    list.push_back(e);
  }
  table.OnList(list);
  const int quarter = layers / 4;
  for (int i = 0; i < n; i++) {
    LoadReport r;
    r.model = "m";
    r.version = "v";
    r.layers = layers;
    r.holds = {i % 4 * quarter, (i % 4 + 1) * quarter};
    r.slots = 64;
    r.work = r.running = i % 7;
    r.layer_seconds = 0.0001 * (1 + i % 6);
    table.OnReport(Time{}, list[i].name, r);
  }
  return table;
}

// What peers told since the last tick, handed to the table: so many runners,
// each fourth of which some peer counts.
void BM_CountsToTheTable(benchmark::State& state) {
  const auto runners = static_cast<int>(state.range(0));
  EndpointTable table = Runners(runners, 80);
  PeerCounts counts;
  for (const auto& [name, row] : table.rows()) {
    if (row.id % 4 == 0) counts[row.id] = {3, 1};
  }
  for (auto _ : state) table.OnPeerCounts(counts);
}
BENCHMARK(BM_CountsToTheTable)->Arg(99)->Arg(2999)->Arg(6100);

// One choice of a chain. Arguments: runners of the model, layers.
void BM_PickChain(benchmark::State& state) {
  EndpointTable table = Runners(static_cast<int>(state.range(0)),
                                static_cast<int>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.PickChainFor(
        Time{}, "m", "v", {0, static_cast<int>(state.range(1))},
        [](const std::string&) { return 1.0; }));
  }
}
BENCHMARK(BM_PickChain)
    ->Args({30, 32})
    ->Args({30, 80})
    ->Args({90, 80})
    ->Args({277, 80});

// One look at what endpoints there are, as each arriving request takes.
void BM_SlotsOfModel(benchmark::State& state) {
  EndpointTable table = Runners(static_cast<int>(state.range(0)), 80);
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.FreeStreamSlots(Time{}, "m"));
    benchmark::DoNotOptimize(table.VersionFor(Time{}, "m", ""));
  }
}
BENCHMARK(BM_SlotsOfModel)->Arg(30)->Arg(90)->Arg(277);

void BM_EndpointMemory(benchmark::State& state) {
  double each = 0;
  for (auto _ : state) {
    const size_t before = HeapBytes();
    EndpointTable table = Runners(static_cast<int>(state.range(0)), 80);
    each = static_cast<double>(HeapBytes() - before) /
           static_cast<double>(state.range(0));
  }
  state.counters["bytes_per_endpoint"] = each;
}
BENCHMARK(BM_EndpointMemory)->Arg(30)->Arg(277)->Arg(6100);

// A load report read, as from a poll.
void BM_ReadReport(benchmark::State& state) {
  LoadReport r;
  r.model = "model";
  r.version = "version";
  r.layers = 80;
  const std::string text = WriteLoadReport(r);
  for (auto _ : state) benchmark::DoNotOptimize(ParseLoadReport(text));
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(BM_ReadReport);

// One policy call on a request.
void BM_Classify(benchmark::State& state) {
  Findings findings;
  auto policy = Policy::Load(
      {{"p.lua",
        "local w = {}\n"
        "for i = 1, " +
            std::to_string(state.range(0)) +
            " do w['customer-' .. i] = i end\n"
            "function classify(r)\n"
            "  if r.kind == 'host' then return {tier='critical', deadline=5} "
            "end\n"
            "  return {tier='high', weight=w[r.customer] or 1, deadline=10}\n"
            "end"}},
      Policy::Options(), &findings);
  RequestFacts facts;
  facts.customer = "customer-5";
  for (auto _ : state) benchmark::DoNotOptimize(policy->Classify(facts));
}
BENCHMARK(BM_Classify)->Arg(10)->Arg(780)->Arg(10000);

// One request offered and one taken, with so many waiting and customers.
void BM_Admission(benchmark::State& state) {
  Admission admission({.max_waiting = 1000000});
  const auto customers = static_cast<int>(state.range(1));
  uint64_t id = 0;
  auto offer = [&] {
    AdmissionItem item;
    item.id = id;
    item.share = "customer-" + std::to_string(id % customers);
    item.cost = 100;
    item.deadline = Time{} + hours(1);
    id++;
    admission.Offer(Time{}, item);
  };
  for (int i = 0; i < state.range(0); i++) offer();
  for (auto _ : state) {
    offer();
    benchmark::DoNotOptimize(admission.Take(1));
  }
}
BENCHMARK(BM_Admission)->Args({10, 10})->Args({200, 100})->Args({2000, 780});

// An activation's way through the box: read from one stage's reply, written
// into the next stage's request. Argument: bytes of one activation as text.
void BM_RelayActivation(benchmark::State& state) {
  StepReply reply;
  reply.id = {"0123456789abcdef0123456789abcdef", 5, 3, 17, {0, 20}};
  reply.activations = {std::string(state.range(0), 'a')};
  const std::string text = WriteStepReply(reply);
  for (auto _ : state) {
    std::optional<StepReply> in = ParseStepReply(text);
    StepRequest out;
    out.id = in->id;
    out.activations = std::move(in->activations);
    benchmark::DoNotOptimize(WriteStepRequest(out));
  }
}
BENCHMARK(BM_RelayActivation)
    ->Arg(16)
    ->Arg(1 << 10)
    ->Arg(1 << 14)
    ->Arg(1 << 15);

// A configuration taken in by a box: read, compiled and tried.
void BM_AdoptConfiguration(benchmark::State& state) {
  std::string source = "function classify(r) return {} end\n";
  while (source.size() < static_cast<size_t>(state.range(0))) {
    source += "-- a line that says what the next one is there for\n";
  }
  const std::string text =
      WriteConfiguration(MakeSuccessor({}, "s", "a", {{"p.lua", source}}));
  for (auto _ : state) {
    std::optional<Configuration> c = ParseConfiguration(text);
    Findings findings;
    benchmark::DoNotOptimize(
        Policy::Load(c->policy, Policy::Options(), &findings));
  }
}
BENCHMARK(BM_AdoptConfiguration)->Arg(2 << 10)->Arg(32 << 10)->Arg(256 << 10);

void BM_ClaimText(benchmark::State& state) {
  Claim claim;
  claim.attempt = "0123456789abcdef0123456789abcdef";
  claim.state = ClaimState::kDone;
  claim.body = std::string(300, 'b');
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseClaim(WriteClaim(claim)));
  }
  state.counters["bytes"] = static_cast<double>(WriteClaim(claim).size());
}
BENCHMARK(BM_ClaimText);

void BM_TimelineEvent(benchmark::State& state) {
  uint64_t wall = 1;
  Timeline timeline("box-1", 1, state.range(0), [&wall] { return wall++; });
  const size_t before = HeapBytes();
  auto add = [&timeline] {
    timeline.Add(EventKind::kRequestEnded, "0123456789abcdef0123456789abcdef",
                 "complete, 40 tokens");
  };
  for (int i = 0; i < state.range(0); i++) add();
  state.counters["bytes_per_event"] =
      static_cast<double>(HeapBytes() - before) /
      static_cast<double>(state.range(0));
  for (auto _ : state) add();
}
BENCHMARK(BM_TimelineEvent)->Arg(1000)->Arg(20000)->Arg(100000);

}  // namespace
}  // namespace pinford

BENCHMARK_MAIN();
