#include "pinford/forwarding/endpoint_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "util/hash.h"

namespace pinford {
namespace {

DirectoryEntry Entry(const std::string& id, bool leaving = false,
                     LayerRange holds = {}) {
  DirectoryEntry e;
  e.listed.name = id;
  e.listed.service = "pool";
  e.listed.hall = "h";
  e.listed.address = {"10.0.0.1", 80};
  e.listed.incarnation = 1;
  e.listed.state = leaving ? ListedState::kLeaving : ListedState::kLive;
  e.slots = 4;
  e.runner = RunnerState{"big", "1", holds, 0};
  return e;
}

struct Fixture {
  explicit Fixture(Duration report_valid = seconds(5))
      : table("h", TableOptions(report_valid), Random(1)),
        directory(&table, EndpointDirectory::Options(), Events()) {
    auto c = std::make_shared<ServiceConfiguration>();
    c->version = 1;
    EnginePool engine;
    engine.layers = 8;
    engine.layer_mb = 1000;
    engine.token_bytes = 8000000;
    engine.step_seconds = 0.001;
    engine.kinds = {{"big", 10000, 2, 1}};
    c->services = {{"pool", 0, engine}, {"plain", 0, {}}};
    directory.set_configuration(Time{}, c);
  }
  static EndpointTable::Options TableOptions(Duration report_valid) {
    EndpointTable::Options options;
    options.report_valid = report_valid;
    return options;
  }
  EndpointDirectory::Events Events() {
    EndpointDirectory::Events events;
    events.on_joined = [this](const DirectoryEntry& e) {
      events_seen.push_back("+" + e.listed.name);
    };
    events.on_leaving = [this](const std::string& id, EntrySource) {
      events_seen.push_back("~" + id);
    };
    events.on_removed = [this](const std::string& id, EntrySource) {
      events_seen.push_back("-" + id);
    };
    return events;
  }
  std::vector<std::string> TakeEvents() {
    return std::exchange(events_seen, {});
  }

  std::vector<std::string> events_seen;
  EndpointTable table;
  EndpointDirectory directory;
};

using Strings = std::vector<std::string>;

TEST(EndpointDirectory, RemovesMissingEntriesUnlessTheyMayHaveLapsed) {
  Fixture f;
  Time now = Time{} + seconds(100);
  f.directory.OnList(now, {Entry("a"), Entry("b")});
  EXPECT_EQ(f.TakeEvents(), (Strings{"+a", "+b"}));
  f.directory.OnList(now, {Entry("a")});
  EXPECT_EQ(f.TakeEvents(), (Strings{"-b"}));

  // The store is back after an outage: its entries may have lapsed during it.
  f.directory.OnStoreReachable(now);
  f.directory.OnList(now, {});
  f.directory.Tick(now + seconds(1));
  EXPECT_EQ(f.TakeEvents(), Strings{});
  EXPECT_TRUE(f.table.TakesNewWork(now, "a") ||
              f.directory.Find("a") != nullptr);
  f.directory.OnEntry(now + seconds(2), Entry("a"));
  f.directory.Tick(now + seconds(4));
  EXPECT_EQ(f.TakeEvents(), Strings{}) << "it came back in time";

  f.directory.OnStoreReachable(now + seconds(10));
  f.directory.OnRemoved(now + seconds(10), "a");
  f.directory.Tick(now + seconds(11));
  EXPECT_EQ(f.TakeEvents(), Strings{});
  f.directory.Tick(now + seconds(13));
  EXPECT_EQ(f.TakeEvents(), (Strings{"-a"}));
}

TEST(EndpointDirectory, AnEntryThatMayHaveLapsedGetsNoNewWorkBesideOthers) {
  const Time now = Time{} + seconds(100);
  const struct {
    const char* name;
    std::vector<std::string> missing;  // of "a", "b" and "c"
    bool restored;                     // the store, from a backup
    bool used;                         // the missing ones
  } cases[] = {
      {"one", {"a"}, false, false},
      {"most", {"a", "b"}, false, true},
      {"all", {"a", "b", "c"}, false, true},
      {"one, lost by a restore", {"a"}, true, true},
  };
  for (const auto& c : cases) {
    for (const bool listed : {true, false}) {
      SCOPED_TRACE(std::string(c.name) +
                   (listed ? " in a list" : " one by one"));
      Fixture f;
      std::vector<DirectoryEntry> left;
      for (const char* id : {"a", "b", "c"}) {
        f.directory.OnEntry(now, Entry(id));
        const auto end = c.missing.end();
        if (std::find(c.missing.begin(), end, id) == end)
          left.push_back(Entry(id));
      }
      if (c.restored) {
        f.directory.OnStoreRestored(now);
      } else {
        f.directory.OnStoreReachable(now);
      }
      if (listed) {
        f.directory.OnList(now, left);
      } else {
        for (const std::string& id : c.missing) f.directory.OnRemoved(now, id);
        f.directory.OnListVersion(now, 1);
      }
      for (const std::string& id : c.missing) {
        EXPECT_EQ(f.table.TakesNewWork(now, id), c.used) << id;
        EXPECT_NE(f.directory.Find(id), nullptr) << id;
      }
      for (const DirectoryEntry& entry : left) {
        EXPECT_TRUE(f.table.TakesNewWork(now, entry.listed.name));
      }
      f.directory.OnEntry(now + seconds(1), Entry("a"));
      EXPECT_TRUE(f.table.TakesNewWork(now + seconds(1), "a"));
    }
  }
}

// Leaving entries are no alternative to missing ones, and other services' say
// nothing of this one's.
TEST(EndpointDirectory, OnlyUsableEntriesOfAServiceCountForItsMissingOnes) {
  const Time now = Time{} + seconds(100);
  Fixture f;
  for (const char* id : {"a", "b"}) f.directory.OnEntry(now, Entry(id));
  for (const char* id : {"l", "m"}) f.directory.OnEntry(now, Entry(id, true));
  for (const char* id : {"x", "y", "z"}) {
    DirectoryEntry other = Entry(id);
    other.listed.service = "plain";
    other.runner.reset();
    f.directory.OnEntry(now, other);
  }
  f.directory.OnStoreReachable(now);
  f.directory.OnRemoved(now, "a");
  f.directory.Tick(now);
  EXPECT_FALSE(f.table.TakesNewWork(now, "a")) << "one of two";
  f.directory.OnRemoved(now, "b");
  f.directory.Tick(now);
  EXPECT_TRUE(f.table.TakesNewWork(now, "a")) << "both";
  EXPECT_FALSE(f.table.TakesNewWork(now, "l"));
  f.directory.OnRemoved(now, "x");
  EXPECT_FALSE(f.table.TakesNewWork(now, "x")) << "one of three";
}

// A peer's notice holds until the list of this box shows what became of the
// entry.
TEST(EndpointDirectory, AnEntryThatAPeerReportsMissingIsWithheld) {
  const Time now = Time{} + seconds(100);
  const auto usable = [now](const Fixture& f) {
    return f.table.TakesNewWork(now, "a");
  };
  DirectoryEntry a = Entry("a");
  a.listed.incarnation = 2000;
  const struct {
    const char* name;
    std::function<void(EndpointDirectory*)> then;
    bool usable;
  } cases[] = {
      {"nothing", [](EndpointDirectory*) {}, false},
      {"an older list", [&](EndpointDirectory* d) { d->OnListVersion(now, 6); },
       false},
      {"an older list that has it",
       [&](EndpointDirectory* d) {
         d->OnList(now, {a, Entry("b"), Entry("c")}, {}, EntrySource::kPeer);
         d->OnListVersion(now, 6);
       },
       false},
      {"a list as recent that has it",
       [&](EndpointDirectory* d) { d->OnListVersion(now, 7); }, true},
      {"a list as recent that lacks it",
       [&](EndpointDirectory* d) {
         d->OnList(now, {Entry("b"), Entry("c")}, {}, EntrySource::kPeer);
         d->OnListVersion(now, 7);
       },
       false},
      {"a newer incarnation",
       [&](EndpointDirectory* d) {
         DirectoryEntry restarted = Entry("a");
         restarted.listed.incarnation = 3000;
         d->OnEntry(now, restarted);
       },
       true},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    Fixture f;
    for (const DirectoryEntry& e : {a, Entry("b"), Entry("c")})
      f.directory.OnEntry(now, e);
    EXPECT_FALSE(f.directory.OnMissingReported(now, "a", 1999, 7));
    EXPECT_FALSE(f.directory.OnMissingReported(now, "x", 2000, 7));
    EXPECT_TRUE(usable(f));
    EXPECT_TRUE(f.directory.OnMissingReported(now, "a", 2000, 7));
    EXPECT_FALSE(f.directory.OnMissingReported(now, "a", 2000, 7));
    EXPECT_FALSE(usable(f));
    EXPECT_NE(f.directory.Find("a"), nullptr);
    c.then(&f.directory);
    EXPECT_EQ(usable(f), c.usable);
  }
}

// What a mirror tells its peers: live entries that the store's list lacks, as
// this box read it, and not those that a restore lost.
TEST(EndpointDirectory, ReportsWhatItReadsToBeMissing) {
  const Time now = Time{} + seconds(100);
  std::vector<std::string> read;
  EndpointTable table("h", EndpointTable::Options(), Random(1));
  EndpointDirectory::Events events;
  events.on_missing_read = [&read](const std::string& id, uint64_t) {
    read.push_back(id);
  };
  EndpointDirectory directory(&table, EndpointDirectory::Options(), events);
  for (const char* id : {"a", "b", "c", "d", "e"})
    directory.OnEntry(now, Entry(id));
  directory.OnEntry(now, Entry("l", true));
  directory.OnRemoved(now, "a");
  directory.OnRemoved(now, "l");
  EXPECT_EQ(std::exchange(read, {}), Strings{"a"});
  directory.OnStoreReachable(now);
  directory.OnList(now, {Entry("c"), Entry("d"), Entry("e")});
  EXPECT_EQ(std::exchange(read, {}), Strings{"b"}) << "kept, and reported";
  directory.OnChanges(now, {{}, {"c"}});
  EXPECT_EQ(read, Strings{}) << "a peer's word";
  directory.OnStoreRestored(now);
  directory.OnList(now, {Entry("e")});
  EXPECT_EQ(read, Strings{}) << "lost by the restore";
}

// A peer that has the list of a box that still waits for an entry removes the
// entry when that box does: no new list version announces the removal.
TEST(EndpointDirectory, PeerRemovesLapsedEntriesWhenItsSourceDoes) {
  Fixture source;
  Fixture peer;
  const Time now = Time{} + seconds(100);
  source.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnList(now, source.directory.Snapshot(now));
  source.directory.OnStoreReachable(now);
  source.directory.OnRemoved(now, "b");
  const Time fetched = now + milliseconds(500);
  const auto copy =
      ParseDirectory(WriteDirectory(source.directory.Snapshot(fetched)));
  ASSERT_TRUE(copy);
  peer.directory.OnList(fetched, *copy);
  EXPECT_EQ(peer.TakeEvents(), (Strings{"+a", "+b"}));
  peer.directory.Tick(now + milliseconds(2100));
  EXPECT_EQ(peer.TakeEvents(), Strings{});
  peer.directory.Tick(now + milliseconds(2200));
  EXPECT_EQ(peer.TakeEvents(), (Strings{"-b"}));

  // An entry that is back is back for the peer, too.
  const Time later = now + seconds(10);
  source.directory.Tick(later);
  source.directory.OnStoreReachable(later);
  source.directory.OnRemoved(later, "a");
  peer.directory.OnList(later, source.directory.Snapshot(later));
  source.directory.OnEntry(later, Entry("a"));
  peer.directory.OnList(later, source.directory.Snapshot(later));
  peer.directory.Tick(later + seconds(5));
  EXPECT_EQ(peer.TakeEvents(), Strings{});
}

// The time left for an entry does not grow when snapshots are passed on.
TEST(EndpointDirectory, ForwardedSnapshotsDoNotExtendALapse) {
  Fixture boxes[2];
  Time now = Time{} + seconds(100);
  for (Fixture& box : boxes) box.directory.OnList(now, {Entry("a")});
  boxes[0].directory.OnStoreReachable(now);
  boxes[0].directory.OnRemoved(now, "a");
  const Time deadline = now + milliseconds(2200);
  for (int i = 0; now < deadline; i++, now += milliseconds(100)) {
    boxes[(i + 1) % 2].directory.OnList(now,
                                        boxes[i % 2].directory.Snapshot(now));
  }
  for (Fixture& box : boxes) {
    box.directory.Tick(deadline);
    EXPECT_TRUE(box.directory.entries().empty());
  }
}

// A box that the store refused for a while still keeps entries that others saw
// removed, and its list is newer than theirs.
TEST(EndpointDirectory, SnapshotDoesNotRestoreLapsedEntries) {
  Fixture lagging;
  Fixture peer;
  const Time now = Time{} + seconds(100);
  lagging.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnRemoved(now, "b");
  lagging.directory.OnStoreReachable(now);
  lagging.directory.OnList(now, {Entry("a")});
  peer.directory.OnList(now, lagging.directory.Snapshot(now));
  EXPECT_EQ(peer.TakeEvents(), (Strings{"+a", "+b", "-b"}));
  EXPECT_FALSE(peer.table.TakesNewWork(now, "b"));
}

// Reports of runners and peers do not put an entry back into the store.
TEST(EndpointDirectory, OnlyTheStoreRestoresALapsedEntry) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  f.directory.OnList(now, {Entry("a"), Entry("b")});
  f.directory.OnStoreReachable(now);
  f.directory.OnList(now, {});
  f.directory.OnRunnerState(now + seconds(1), "a", {"big", "1", {0, 4}, 3});
  f.directory.OnLeaving(now + seconds(1), "b", 1);
  f.directory.Tick(now + milliseconds(2200));
  EXPECT_TRUE(f.directory.entries().empty());
}

// A box that has just started knows no entry that could have lapsed.
TEST(EndpointDirectory, EmptyDirectoryHasNoLapsedEntries) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  f.directory.OnStoreReachable(now);
  f.directory.OnList(now, {Entry("a"), Entry("b")});
  f.directory.OnRemoved(now + seconds(1), "b");
  EXPECT_EQ(f.TakeEvents(), (Strings{"+a", "+b", "-b"}));
}

TEST(EndpointDirectory, LeavingIsAcceptedFromAnySourceAndNotRevoked) {
  for (int source_kind = 0; source_kind < 3; source_kind++) {
    Fixture f;
    const Time now = Time{} + seconds(100);
    f.directory.OnList(now, {Entry("a", false, {0, 8})});
    EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
    if (source_kind == 0) f.directory.OnLeaving(now, "a", 1);
    if (source_kind == 1) f.directory.OnEntry(now, Entry("a", true, {0, 8}));
    if (source_kind == 2) f.directory.OnList(now, {Entry("a", true, {0, 8})});
    EXPECT_FALSE(f.table.TakesNewWork(now, "a")) << source_kind;
    EXPECT_EQ(f.TakeEvents(), (Strings{"+a", "~a"})) << source_kind;
    // An older update does not revoke it.
    f.directory.OnEntry(now, Entry("a", false, {0, 8}));
    f.directory.OnList(now, {Entry("a", false, {0, 8})});
    EXPECT_FALSE(f.table.TakesNewWork(now, "a")) << source_kind;
    EXPECT_EQ(f.TakeEvents(), Strings{}) << source_kind;
  }
}

TEST(EndpointDirectory, SpeedAndFreeMemoryComeFromTheConfiguration) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  DirectoryEntry plain = Entry("p");
  plain.listed.service = "plain";
  plain.runner.reset();
  f.directory.OnList(now, {Entry("a", false, {2, 8}), plain});
  const auto& rows = f.table.rows();
  EXPECT_EQ(rows.at("a").listed.role, EndpointRole::kRunner);
  EXPECT_EQ(rows.at("p").listed.role, EndpointRole::kService);
  const LoadReport& report = *rows.at("a").report;
  EXPECT_EQ(report.holds, (LayerRange{2, 8}));
  EXPECT_DOUBLE_EQ(report.layer_seconds, 0.002 / 8);
  // 10,000 MB less 6 layers, at 1 MB a token and layer, in thousands.
  EXPECT_DOUBLE_EQ(report.memory_capacity, 4);
  // The runner's own report is ahead of the list.
  f.directory.OnRunnerState(now, "a", {"big", "1", {0, 4}, 3});
  EXPECT_EQ(f.table.rows().at("a").report->holds, (LayerRange{0, 4}));
}

TEST(EndpointDirectory, SerializedListRoundTrips) {
  std::vector<DirectoryEntry> list = {Entry("a", true, {0, 4}), Entry("b")};
  list[1].runner.reset();
  const auto read = ParseDirectory(WriteDirectory(list));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), 2u);
  EXPECT_EQ((*read)[0].listed.state, ListedState::kLeaving);
  EXPECT_EQ((*read)[0].runner->holds, (LayerRange{0, 4}));
  EXPECT_FALSE((*read)[1].runner);
  for (const char* bad : {"", "{}", "[1]", "[{\"id\":\"a\"}]",
                          "[{\"id\":\"a\",\"address\":\"x\"}]"}) {
    EXPECT_FALSE(ParseDirectory(bad)) << bad;
  }
}

// --- incarnations under one id, and entries of other writers -----------------

DirectoryEntry WithIncarnation(uint64_t incarnation, bool leaving = false,
                               LayerRange holds = {0, 8}) {
  DirectoryEntry e = Entry("a", leaving, holds);
  e.listed.incarnation = e.runner->incarnation = incarnation;
  return e;
}

TEST(EndpointDirectory, NewIncarnationStartsWithoutEarlierState) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  f.directory.OnList(now, {WithIncarnation(1000)});
  f.table.OnSent("a", 3);
  f.table.OnEntry("a");
  f.table.SetDown("a", true);
  f.table.SetSlowdown("a", 5);
  f.table.OnFull(now, "a");
  f.table.OnFailure(now, "a", now);
  f.table.OnObserved(now, "a", 50, 4);
  const Time later = now + milliseconds(10);
  f.directory.OnEntry(later, WithIncarnation(2000, false, {}));
  EXPECT_TRUE(f.table.TakesNewWork(later, "a"));
  EXPECT_EQ(f.table.LoadOf("a"), 0);
  EXPECT_EQ(f.table.MemoryUtilizationOf(later, "a"), 0);
  EXPECT_TRUE(f.table.rows().at("a").report->holds.empty());
  EXPECT_EQ(f.table.rows().at("a").slowdown, 1);
  // Failures and ends of requests to the old incarnation do not count.
  f.table.OnFailure(later, "a", now);
  EXPECT_TRUE(f.table.TakesNewWork(later, "a"));
  f.table.OnSent("a", 2);
  f.table.OnDone("a", 3);
  f.table.OnEntryDone("a");
  EXPECT_EQ(f.table.LoadOf("a"), 1);
  EXPECT_EQ(f.table.rows().at("a").own_work, 2);
  f.table.OnDone("a", 2);
  EXPECT_EQ(f.table.LoadOf("a"), 0);
}

// Updates of three incarnations from all sources, in random order.
TEST(EndpointDirectory, SeparatesIncarnationsInAnyOrder) {
  for (int seed = 0; seed < 400; seed++) {
    Random random(seed);
    Fixture f;
    Time now = Time{} + seconds(100);
    f.directory.OnList(now, {Entry("b")});
    bool present = false;
    uint64_t newest = 0;
    uint64_t max_leaving = 0;
    LayerRange holds;
    for (int step = 0; step < 40; step++) {
      now += milliseconds(100);
      const uint64_t incarnation = 1000 * (1 + random() % 3);
      const bool leaving = random() % 6 == 0;
      const int to = 1 + static_cast<int>(random() % 8);
      const DirectoryEntry update =
          WithIncarnation(incarnation, leaving, {0, to});
      const int source = static_cast<int>(random() % 8);
      if (source == 0) f.directory.OnList(now, {update, Entry("b")});
      if (source == 1) f.directory.OnEntry(now, update);
      if (source == 2) {
        const auto copy = ParseDirectory(WriteDirectory({update, Entry("b")}));
        f.directory.OnList(now, *copy);
      }
      if (source <= 2) {
        if (leaving) max_leaving = std::max(max_leaving, incarnation);
        if (incarnation >= newest) {
          newest = incarnation;
          present = true;
          holds = {0, to};
        }
      }
      if (source == 3) {
        RunnerState state = *update.runner;
        state.leaving = leaving;
        f.directory.OnRunnerState(now, "a", state);
        if (leaving) max_leaving = std::max(max_leaving, incarnation);
        if (present && incarnation >= newest) {
          newest = incarnation;
          holds = {0, to};
        }
      }
      if (source == 4 && random() % 3 == 0) {
        f.directory.OnLeaving(now, "a", incarnation);
        max_leaving = std::max(max_leaving, incarnation);
      }
      if (source == 5) f.directory.OnUnreadable(now, "a");
      if (source == 6) f.directory.OnList(now, {Entry("b")}, {"a"});
      if (source == 7) f.directory.OnRemoved(now, "a");
      if (source >= 5) present = false;
      ASSERT_EQ(f.table.TakesNewWork(now, "a"), present && newest > max_leaving)
          << seed << " " << step;
      ASSERT_TRUE(f.table.TakesNewWork(now, "b")) << seed;
      ASSERT_EQ(f.directory.Find("a") != nullptr, present) << seed;
      if (!present) continue;
      ASSERT_EQ(f.directory.Find("a")->listed.incarnation, newest) << seed;
      ASSERT_EQ(f.table.rows().at("a").listed.incarnation, newest) << seed;
      ASSERT_EQ(f.table.rows().at("a").report->holds, holds) << seed;
      for (const LeavingMark& mark : f.table.LeavingMarks()) {
        ASSERT_EQ(mark.second, newest) << seed;
      }
    }
  }
}

// An update without an incarnation may mark an endpoint as leaving; the known
// incarnation stays known.
TEST(EndpointDirectory, UnknownIncarnations) {
  using Update = std::function<void(Time, EndpointDirectory*)>;
  const auto entry = [](uint64_t incarnation, bool leaving = false) -> Update {
    return [=](Time now, EndpointDirectory* d) {
      d->OnEntry(now, WithIncarnation(incarnation, leaving));
    };
  };
  const auto copy = [](uint64_t incarnation) -> Update {
    return [=](Time now, EndpointDirectory* d) {
      d->OnList(now, {WithIncarnation(incarnation)});
    };
  };
  const auto mark = [](uint64_t incarnation) -> Update {
    return [=](Time now, EndpointDirectory* d) {
      d->OnLeaving(now, "a", incarnation);
    };
  };
  const struct {
    const char* what;
    std::vector<Update> updates;
    bool works;
  } cases[] = {
      {"a mark without an incarnation", {entry(1000), mark(1)}, false},
      {"a mark of an older incarnation", {entry(2000), mark(1000)}, true},
      {"a mark of a newer incarnation", {entry(1000), mark(2000)}, false},
      {"... which then starts", {entry(1000), mark(2000), entry(2000)}, false},
      {"... and one after that", {mark(2000), entry(2000), entry(3000)}, true},
      {"a mark before its entry", {mark(1000), entry(1000)}, false},
      {"a mark without an incarnation, first",
       {entry(1), mark(1), entry(1000)},
       false},
      {"... does not hold for the next one",
       {entry(1), mark(1), entry(1000), entry(2000)},
       true},
      {"an entry without an incarnation after one with it",
       {entry(1000), entry(1)},
       false},
      {"... and a valid one again", {entry(1000), entry(1), entry(1000)}, true},
      {"... that was leaving",
       {entry(1000), entry(1, true), entry(1000)},
       true},
      {"a snapshot without incarnations", {entry(1000), copy(0)}, true},
      {"... of a leaving endpoint", {entry(1000, true), copy(0)}, false},
      {"no incarnations at all", {entry(1), entry(1)}, true},
  };
  for (const auto& c : cases) {
    Fixture f;
    Time now = Time{} + seconds(100);
    for (const Update& update : c.updates) {
      update(now, &f.directory);
      now += milliseconds(10);
    }
    EXPECT_EQ(f.table.TakesNewWork(now, "a"), c.works) << c.what;
  }
}

// Also right after the store is back, when missing entries may have lapsed.
TEST(EndpointDirectory, UnreadableEntryStopsOnlyNewWorkAtOnce) {
  for (const bool by_list : {false, true}) {
    Fixture f;
    const Time now = Time{} + seconds(100);
    f.directory.OnList(now, {Entry("a"), Entry("b")});
    f.table.OnSent("a");
    f.directory.OnStoreReachable(now);
    if (by_list) f.directory.OnList(now, {Entry("b")}, {"a"});
    if (!by_list) f.directory.OnUnreadable(now, "a");
    EXPECT_FALSE(f.table.TakesNewWork(now, "a"));
    EXPECT_TRUE(f.table.TakesNewWork(now, "b"));
    EXPECT_TRUE(f.table.AddressOf("a")) << "running requests may finish";
    f.directory.OnEntry(now, Entry("a"));
    EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
  }
}

// Layer ranges outside the pool's model, and services that are not configured.
TEST(EndpointDirectory, UnconfiguredEndpointsGetNoWork) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  DirectoryEntry other = Entry("o");
  other.listed.service = "unnamed";
  f.directory.OnList(now, {Entry("a", false, {2, 9}), other, Entry("b")});
  EXPECT_FALSE(f.table.TakesNewWork(now, "a"));
  EXPECT_FALSE(f.table.TakesNewWork(now, "o"));
  EXPECT_TRUE(f.table.TakesNewWork(now, "b"));
  EXPECT_EQ(f.directory.unusable(), 2u);
  f.directory.OnEntry(now, Entry("a", false, {2, 8}));
  EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
  f.directory.OnRunnerState(now, "a", {"big", "1", {0, 1 << 30}, 3});
  EXPECT_FALSE(f.table.TakesNewWork(now, "a"));
  auto c = std::make_shared<ServiceConfiguration>();
  c->version = 2;
  c->services = {{"unnamed", 0, {}}};
  f.directory.set_configuration(now, c);
  EXPECT_TRUE(f.table.TakesNewWork(now, "o")) << "configured now";
  EXPECT_FALSE(f.table.TakesNewWork(now, "b"));
}

// The store was restored from a backup that contains "a", which was removed.
TEST(EndpointDirectory, RemovedEntryInABackupIsQuarantined) {
  const Time now = Time{} + seconds(100);
  const Time written = now + seconds(2);
  const struct {
    const char* name;
    std::function<void(EndpointDirectory*)> then;
    Duration works_from;  // after the restore; 0: never
  } cases[] = {
      {"it stays in the store", [](EndpointDirectory*) {}, seconds(5)},
      {"it is written again",
       [&](EndpointDirectory* d) {
         d->OnEntry(written, WithIncarnation(1000));
       },
       seconds(2)},
      {"it has restarted",
       [&](EndpointDirectory* d) {
         d->OnList(written, {WithIncarnation(2000), Entry("b")});
       },
       seconds(2)},
      {"it lapses", [&](EndpointDirectory* d) { d->OnRemoved(written, "a"); },
       Duration(0)},
      {"it is in the next list",
       [&](EndpointDirectory* d) {
         d->OnList(written, {WithIncarnation(1000), Entry("b")});
       },
       seconds(5)},
      {"it is in no later list",
       [&](EndpointDirectory* d) { d->OnList(written, {Entry("b")}); },
       Duration(0)},
      {"it was reported as leaving",
       [&](EndpointDirectory* d) {
         d->OnLeaving(written, "a", 1000);
         d->OnEntry(written, WithIncarnation(1000));
       },
       Duration(0)},
  };
  for (const auto& c : cases) {
    for (const bool by_peer : {false, true}) {
      Fixture f;
      Fixture source;
      f.directory.OnList(now - seconds(9), {WithIncarnation(1000), Entry("b")});
      f.directory.OnRemoved(now - seconds(8), "a");
      f.directory.OnStoreRestored(now);
      if (by_peer) {
        // A box that has just started gets it from one that quarantines it.
        source.directory.OnList(now - seconds(9),
                                {WithIncarnation(1000), Entry("b")});
        source.directory.OnRemoved(now - seconds(8), "a");
        source.directory.OnStoreRestored(now);
        source.directory.OnList(now, {WithIncarnation(1000), Entry("b")});
        const auto copy =
            ParseDirectory(WriteDirectory(source.directory.Snapshot(now)));
        ASSERT_TRUE(copy);
        f.directory.OnList(now, *copy);
      } else {
        f.directory.OnList(now, {WithIncarnation(1000), Entry("b")});
      }
      bool done = false;
      for (Duration d{}; d < seconds(7); d += milliseconds(100)) {
        if (!std::exchange(done, done || d >= seconds(2)) && d >= seconds(2)) {
          c.then(&f.directory);
        }
        f.directory.Tick(now + d);
        const bool works = c.works_from > Duration(0) && d >= c.works_from;
        ASSERT_EQ(f.table.TakesNewWork(now + d, "a"), works)
            << c.name << " " << by_peer << " " << ToMillis(d);
        ASSERT_TRUE(f.directory.Find("b") != nullptr);
      }
    }
  }
}

// Entries missing from the backup are kept as after an outage. Leaving marks
// and newer incarnations are not reverted.
TEST(EndpointDirectory, BackupDoesNotRevertKnownState) {
  const Time now = Time{} + seconds(100);
  Fixture f;
  f.directory.OnList(now - seconds(9),
                     {WithIncarnation(2000), Entry("b"), Entry("c")});
  f.directory.OnLeaving(now - seconds(8), "b", 1);
  f.directory.OnStoreRestored(now);
  f.directory.OnList(now, {WithIncarnation(1000), Entry("b")});
  EXPECT_EQ(f.directory.Find("a")->listed.incarnation, 2000);
  EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
  EXPECT_FALSE(f.table.TakesNewWork(now, "b"));
  EXPECT_TRUE(f.table.TakesNewWork(now, "c"));
  f.directory.Tick(now + milliseconds(2100));
  EXPECT_TRUE(f.table.TakesNewWork(now + milliseconds(2100), "c"));
  f.directory.Tick(now + milliseconds(2300));
  EXPECT_EQ(f.directory.Find("c"), nullptr);
}

TEST(ListChanges, ReturnsChangesSinceAKnownSequenceNumber) {
  ListChanges changes;
  EXPECT_EQ(changes.Since(0), Strings{});
  EXPECT_EQ(changes.Since(1), std::nullopt);
  changes.Record("a");
  changes.Record("b");
  const uint64_t then = changes.at();
  changes.Record("a");
  changes.Record("c");
  changes.Record("a");
  EXPECT_EQ(changes.Since(0), (Strings{"b", "c", "a"}));
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
  EXPECT_EQ(changes.Since(changes.at()), Strings{});
  changes.Erase("b");
  EXPECT_EQ(changes.Since(0), std::nullopt) << "it would miss the change of b";
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
  changes.Erase("unknown");
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
}

// A peer that gets changes only ends up in the same state as one that gets the
// full list, for random events and intervals between fetches.
TEST(EndpointDirectory, ChangesAndFullListGiveTheSameResult) {
  int incremental_updates = 0;
  for (int seed = 0; seed < 400; seed++) {
    Random random(seed);
    // Reports stay valid until they change, as on forwarding boxes.
    Fixture source(hours(1));
    Fixture full(hours(1));
    Fixture incremental(hours(1));
    std::optional<uint64_t> known_at;  // in the source's sequence
    Time now = Time{} + seconds(100);
    const auto random_id = [&random] {
      return std::string(1, static_cast<char>('a' + random() % 6));
    };
    const auto entry = [&] {
      DirectoryEntry e =
          WithIncarnation(1000 * (1 + random() % 2), random() % 5 == 0,
                          {0, 1 + static_cast<int>(random() % 8)});
      e.listed.name = random_id();
      return e;
    };
    for (int step = 0; step < 60; step++) {
      now += milliseconds(random() % 400);
      switch (random() % 9) {
        case 0:
        case 1:
        case 2:
          source.directory.OnEntry(now, entry());
          break;
        case 3:
          source.directory.OnRemoved(now, random_id());
          break;
        case 4:
          source.directory.OnList(now, {entry(), entry(), entry(), entry()},
                                  {random_id()});
          break;
        case 5:
          if (random() % 3 == 0) source.directory.OnStoreReachable(now);
          break;
        case 6:
          if (random() % 3 > 0) break;
          for (Fixture* f : {&source, &full, &incremental}) {
            f->directory.OnStoreRestored(now);
          }
          break;
        case 7:
          source.directory.OnLeaving(now, random_id(), 1000);
          break;
        default:
          break;
      }
      for (Fixture* f : {&source, &full, &incremental}) f->directory.Tick(now);
      if (random() % 3 > 0) continue;
      const auto copy =
          ParseDirectory(WriteDirectory(source.directory.Snapshot(now)));
      ASSERT_TRUE(copy);
      full.directory.OnList(now, *copy);
      const auto since = known_at
                             ? source.directory.ChangesSince(now, *known_at)
                             : std::nullopt;
      if (since) {
        const auto changes = ParseChanges(WriteChanges(*since));
        ASSERT_TRUE(changes);
        incremental.directory.OnChanges(now, *changes);
        incremental_updates++;
      } else {
        incremental.directory.OnList(now, *copy);
      }
      known_at = source.directory.at();
      // Remaining times are sent in whole milliseconds.
      for (Fixture* f : {&full, &incremental}) f->directory.Tick(now);
      ASSERT_EQ(WriteDirectory(incremental.directory.Snapshot(now)),
                WriteDirectory(full.directory.Snapshot(now)))
          << seed << " " << step;
      for (const auto& [id, stored] : full.directory.entries()) {
        ASSERT_EQ(incremental.table.TakesNewWork(now, id),
                  full.table.TakesNewWork(now, id))
            << seed << " " << step << " " << id;
      }
    }
  }
  EXPECT_GT(incremental_updates, 5000);
}

}  // namespace
}  // namespace pinford
