// What the list of endpoints costs a box, by its length: made for a peer, taken
// from one, and changed by one entry.

#include <benchmark/benchmark.h>

#include "pinford/forwarding/endpoint_directory.h"
#include "util/deflate.h"
#include "util/hash.h"

namespace pinford {
namespace {

constexpr size_t kMostBytes = 64 << 20;

std::shared_ptr<const ServiceConfiguration> Pool() {
  auto c = std::make_shared<ServiceConfiguration>();
  c->version = 1;
  EnginePool engine;
  engine.layers = 80;
  engine.layer_mb = 1750;
  engine.token_bytes = 1000000;
  engine.step_seconds = 0.001;
  engine.kinds = {{"big", 72000, 2, 1}, {"small", 22000, 16, 8}};
  c->services = {{"pool", 0, engine}};
  return c;
}

// Ids and addresses of runners have nothing in common that packs well.
std::vector<DirectoryEntry> Entries(int n) {
  Random random(1);
  std::vector<DirectoryEntry> list;
  for (int i = 0; i < n; i++) {
    DirectoryEntry e;
    char id[20];
    snprintf(id, sizeof(id), "i-%010lx", random() & 0xffffffffff);
    e.listed.name = id;
    e.listed.service = "pool";
    e.listed.hall = "hall-" + std::to_string(i % 3);
    e.listed.address = {"10." + std::to_string(i % 3) + "." +
                            std::to_string(random() % 250) + "." +
                            std::to_string(random() % 250),
                        8304};
    e.listed.incarnation = 1790000000000 + random() % 100000;
    e.slots = 192;
    const int begin = static_cast<int>(random() % 70);
    e.runner = RunnerState{i % 5 == 0 ? "big" : "small",
                           "1",
                           {begin, begin + 10},
                           random() % 100,
                           e.listed.incarnation};
    list.push_back(e);
  }
  return list;
}

struct Box {
  Box()
      : table("hall-0", EndpointTable::Options(), Random(1)),
        directory(&table, EndpointDirectory::Options(), {}) {
    directory.set_configuration(Time{}, Pool());
  }
  EndpointTable table;
  EndpointDirectory directory;
};

void BM_ListForAPeer(benchmark::State& state) {
  Box box;
  box.directory.OnList(Time{}, Entries(static_cast<int>(state.range(0))));
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string body =
        Deflate(WriteDirectory(box.directory.Snapshot(Time{})));
    bytes = body.size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_ListForAPeer)->Arg(99)->Arg(1000)->Arg(2999)->Arg(6100);

void BM_ListFromAPeer(benchmark::State& state) {
  Box source;
  source.directory.OnList(Time{}, Entries(static_cast<int>(state.range(0))));
  const std::string body =
      Deflate(WriteDirectory(source.directory.Snapshot(Time{})));
  Box box;
  for (auto _ : state) {
    box.directory.OnList(Time{}, *ParseDirectory(*Inflate(body, kMostBytes)));
  }
}
BENCHMARK(BM_ListFromAPeer)->Arg(99)->Arg(1000)->Arg(2999)->Arg(6100);

void BM_ListChange(benchmark::State& state) {
  const auto entries = Entries(static_cast<int>(state.range(0)));
  Box box;
  box.directory.OnList(Time{}, entries);
  DirectoryEntry e = entries[0];
  for (auto _ : state) {
    e.runner->orders++;
    box.directory.OnEntry(Time{}, e);
  }
}
BENCHMARK(BM_ListChange)->Arg(99)->Arg(1000)->Arg(2999)->Arg(6100);

// One entry changes, and a peer that has all others is told.
void BM_ChangeToAPeer(benchmark::State& state) {
  const auto entries = Entries(static_cast<int>(state.range(0)));
  Box source;
  Box peer;
  source.directory.OnList(Time{}, entries);
  peer.directory.OnList(Time{}, entries);
  DirectoryEntry e = entries[0];
  size_t bytes = 0;
  for (auto _ : state) {
    const uint64_t at = source.directory.at();
    e.runner->orders++;
    source.directory.OnEntry(Time{}, e);
    const std::string body =
        Deflate(WriteChanges(*source.directory.ChangesSince(Time{}, at)));
    bytes = body.size();
    peer.directory.OnChanges(Time{}, *ParseChanges(*Inflate(body, kMostBytes)));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_ChangeToAPeer)->Arg(99)->Arg(1000)->Arg(2999)->Arg(6100);

// A chain over runners that hand over to one another.
void BM_PickAmongRunners(benchmark::State& state) {
  EndpointTable::Options options;
  options.direct_handoff = true;
  EndpointTable table("hall-0", options, Random(1));
  EndpointDirectory directory(&table, EndpointDirectory::Options(), {});
  directory.set_configuration(Time{}, Pool());
  directory.OnList(Time{}, Entries(static_cast<int>(state.range(0))));
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.PickChainFor(
        Time{}, "pool", "1", {0, 80}, [](const std::string&) { return 1.0; },
        1));
  }
}
BENCHMARK(BM_PickAmongRunners)->Arg(99)->Arg(1000)->Arg(2999)->Arg(6100);

}  // namespace
}  // namespace pinford

BENCHMARK_MAIN();
