// The list of endpoints as boxes believe it.

#include "pinford/forwarding/endpoint_directory.h"

#include <gtest/gtest.h>

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
      said.push_back("+" + e.listed.name);
    };
    events.on_leaving = [this](const std::string& id) {
      said.push_back("~" + id);
    };
    events.on_removed = [this](const std::string& id) {
      said.push_back("-" + id);
    };
    return events;
  }
  std::vector<std::string> Said() { return std::exchange(said, {}); }

  std::vector<std::string> said;
  EndpointTable table;
  EndpointDirectory directory;
};

using Strings = std::vector<std::string>;

TEST(EndpointDirectory, WhatIsMissingFromAListIsGoneUnlessItMayHaveLapsed) {
  Fixture f;
  Time now = Time{} + seconds(100);
  f.directory.OnList(now, {Entry("a"), Entry("b")});
  EXPECT_EQ(f.Said(), (Strings{"+a", "+b"}));
  f.directory.OnList(now, {Entry("a")});
  EXPECT_EQ(f.Said(), (Strings{"-b"}));

  // The store has come back: its entries may have run out meanwhile.
  f.directory.OnStoreReachable(now);
  f.directory.OnList(now, {});
  f.directory.Tick(now + seconds(1));
  EXPECT_EQ(f.Said(), Strings{});
  EXPECT_TRUE(f.table.TakesNewWork(now, "a") ||
              f.directory.Find("a") != nullptr);
  f.directory.OnEntry(now + seconds(2), Entry("a"));
  f.directory.Tick(now + seconds(4));
  EXPECT_EQ(f.Said(), Strings{}) << "it came back in time";

  f.directory.OnStoreReachable(now + seconds(10));
  f.directory.OnRemoved(now + seconds(10), "a");
  f.directory.Tick(now + seconds(11));
  EXPECT_EQ(f.Said(), Strings{});
  f.directory.Tick(now + seconds(13));
  EXPECT_EQ(f.Said(), (Strings{"-a"}));
}

// A peer that gets the list of a box which still waits for an entry drops it
// when that box does: the list's version says nothing of it any more.
TEST(EndpointDirectory, APeerDropsWhatMayHaveLapsedWhenItsSourceDoes) {
  Fixture source;
  Fixture peer;
  const Time now = Time{} + seconds(100);
  source.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnList(now, source.directory.Snapshot(now));
  source.directory.OnStoreReachable(now);
  source.directory.OnRemoved(now, "b");
  const Time asked = now + milliseconds(500);
  const auto copy =
      ParseDirectory(WriteDirectory(source.directory.Snapshot(asked)));
  ASSERT_TRUE(copy);
  peer.directory.OnList(asked, *copy);
  EXPECT_EQ(peer.Said(), (Strings{"+a", "+b"}));
  peer.directory.Tick(now + milliseconds(2100));
  EXPECT_EQ(peer.Said(), Strings{});
  peer.directory.Tick(now + milliseconds(2200));
  EXPECT_EQ(peer.Said(), (Strings{"-b"}));

  // An entry that is back is back for the peer, too.
  const Time later = now + seconds(10);
  source.directory.Tick(later);
  source.directory.OnStoreReachable(later);
  source.directory.OnRemoved(later, "a");
  peer.directory.OnList(later, source.directory.Snapshot(later));
  source.directory.OnEntry(later, Entry("a"));
  peer.directory.OnList(later, source.directory.Snapshot(later));
  peer.directory.Tick(later + seconds(5));
  EXPECT_EQ(peer.Said(), Strings{});
}

// Time left for an entry never grows by going from peer to peer.
TEST(EndpointDirectory, CopiesOfCopiesDoNotKeepAnEntryForLonger) {
  Fixture boxes[2];
  Time now = Time{} + seconds(100);
  for (Fixture& box : boxes) box.directory.OnList(now, {Entry("a")});
  boxes[0].directory.OnStoreReachable(now);
  boxes[0].directory.OnRemoved(now, "a");
  const Time over = now + milliseconds(2200);
  for (int i = 0; now < over; i++, now += milliseconds(100)) {
    boxes[(i + 1) % 2].directory.OnList(now,
                                        boxes[i % 2].directory.Snapshot(now));
  }
  for (Fixture& box : boxes) {
    box.directory.Tick(over);
    EXPECT_TRUE(box.directory.entries().empty());
  }
}

// A box that the store had refused for a while waits for entries that others
// saw go, and its list is newer than theirs.
TEST(EndpointDirectory, ACopyBringsNothingBackThatMayHaveLapsed) {
  Fixture late;
  Fixture peer;
  const Time now = Time{} + seconds(100);
  late.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnList(now, {Entry("a"), Entry("b")});
  peer.directory.OnRemoved(now, "b");
  late.directory.OnStoreReachable(now);
  late.directory.OnList(now, {Entry("a")});
  peer.directory.OnList(now, late.directory.Snapshot(now));
  EXPECT_EQ(peer.Said(), (Strings{"+a", "+b", "-b"}));
  EXPECT_FALSE(peer.table.TakesNewWork(now, "b"));
}

// What a runner or a peer says of an entry does not put it back into the store.
TEST(EndpointDirectory, OnlyTheStoreBringsALapsedEntryBack) {
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

// A box that has just started knows of no entry that could have lapsed.
TEST(EndpointDirectory, ANewBoxTakesTheStoresWordAtOnce) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  f.directory.OnStoreReachable(now);
  f.directory.OnList(now, {Entry("a"), Entry("b")});
  f.directory.OnRemoved(now + seconds(1), "b");
  EXPECT_EQ(f.Said(), (Strings{"+a", "+b", "-b"}));
}

TEST(EndpointDirectory, LeavingIsBelievedFromWhoeverSaysItAndForGood) {
  for (int way = 0; way < 3; way++) {
    Fixture f;
    const Time now = Time{} + seconds(100);
    f.directory.OnList(now, {Entry("a", false, {0, 8})});
    EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
    if (way == 0) f.directory.OnLeaving(now, "a", 1);
    if (way == 1) f.directory.OnEntry(now, Entry("a", true, {0, 8}));
    if (way == 2) f.directory.OnList(now, {Entry("a", true, {0, 8})});
    EXPECT_FALSE(f.table.TakesNewWork(now, "a")) << way;
    EXPECT_EQ(f.Said(), (Strings{"+a", "~a"})) << way;
    // An older word that it is there changes nothing.
    f.directory.OnEntry(now, Entry("a", false, {0, 8}));
    f.directory.OnList(now, {Entry("a", false, {0, 8})});
    EXPECT_FALSE(f.table.TakesNewWork(now, "a")) << way;
    EXPECT_EQ(f.Said(), Strings{}) << way;
  }
}

TEST(EndpointDirectory, RunnersGetTheirPaceAndRoomFromTheConfiguration) {
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
  // Its own word is ahead of the list.
  f.directory.OnRunnerState(now, "a", {"big", "1", {0, 4}, 3});
  EXPECT_EQ(f.table.rows().at("a").report->holds, (LayerRange{0, 4}));
}

TEST(EndpointDirectory, TheListForAPeerReadsBackAsItWas) {
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

// --- lives under one id, and entries of another writer ----------------------

DirectoryEntry LifeOf(uint64_t life, bool leaving = false,
                      LayerRange holds = {0, 8}) {
  DirectoryEntry e = Entry("a", leaving, holds);
  e.listed.incarnation = e.runner->incarnation = life;
  return e;
}

TEST(EndpointDirectory, ALaterLifeBeginsWithNothingOfTheOneBefore) {
  Fixture f;
  const Time now = Time{} + seconds(100);
  f.directory.OnList(now, {LifeOf(1000)});
  f.table.OnSent("a", 3);
  f.table.OnEntry("a");
  f.table.SetDown("a", true);
  f.table.SetSlowdown("a", 5);
  f.table.OnFull(now, "a");
  f.table.OnFailure(now, "a", now);
  f.table.OnObserved(now, "a", 50, 4);
  const Time later = now + milliseconds(10);
  f.directory.OnEntry(later, LifeOf(2000, false, {}));
  EXPECT_TRUE(f.table.TakesNewWork(later, "a"));
  EXPECT_EQ(f.table.LoadOf("a"), 0);
  EXPECT_EQ(f.table.MemoryUtilizationOf(later, "a"), 0);
  EXPECT_TRUE(f.table.rows().at("a").report->holds.empty());
  EXPECT_EQ(f.table.rows().at("a").slowdown, 1);
  // What was sent before fails now, and ends.
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

// Words of three lives, of all sources, in any order; and of nobody's.
TEST(EndpointDirectory, LivesAreToldApartInAnyOrder) {
  for (int seed = 0; seed < 400; seed++) {
    Random random(seed);
    Fixture f;
    Time now = Time{} + seconds(100);
    f.directory.OnList(now, {Entry("b")});
    bool present = false;
    uint64_t newest = 0;
    uint64_t left = 0;
    LayerRange holds;
    for (int step = 0; step < 40; step++) {
      now += milliseconds(100);
      const uint64_t life = 1000 * (1 + random() % 3);
      const bool leaving = random() % 6 == 0;
      const int to = 1 + static_cast<int>(random() % 8);
      const DirectoryEntry word = LifeOf(life, leaving, {0, to});
      const int source = static_cast<int>(random() % 8);
      if (source == 0) f.directory.OnList(now, {word, Entry("b")});
      if (source == 1) f.directory.OnEntry(now, word);
      if (source == 2) {
        const auto copy = ParseDirectory(WriteDirectory({word, Entry("b")}));
        f.directory.OnList(now, *copy);
      }
      if (source <= 2) {
        if (leaving) left = std::max(left, life);
        if (life >= newest) {
          newest = life;
          present = true;
          holds = {0, to};
        }
      }
      if (source == 3) {
        RunnerState state = *word.runner;
        state.leaving = leaving;
        f.directory.OnRunnerState(now, "a", state);
        if (leaving) left = std::max(left, life);
        if (present && life >= newest) {
          newest = life;
          holds = {0, to};
        }
      }
      if (source == 4 && random() % 3 == 0) {
        f.directory.OnLeaving(now, "a", life);
        left = std::max(left, life);
      }
      if (source == 5) f.directory.OnUnreadable(now, "a");
      if (source == 6) f.directory.OnList(now, {Entry("b")}, {"a"});
      if (source == 7) f.directory.OnRemoved(now, "a");
      if (source >= 5) present = false;
      ASSERT_EQ(f.table.TakesNewWork(now, "a"), present && newest > left)
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

// Where a word tells no life, leaving is believed and a life stays known.
TEST(EndpointDirectory, WhereLivesCannotBeToldApart) {
  using Word = std::function<void(Time, EndpointDirectory*)>;
  const auto entry = [](uint64_t life, bool leaving = false) -> Word {
    return [=](Time now, EndpointDirectory* d) {
      d->OnEntry(now, LifeOf(life, leaving));
    };
  };
  const auto copy = [](uint64_t life) -> Word {
    return
        [=](Time now, EndpointDirectory* d) { d->OnList(now, {LifeOf(life)}); };
  };
  const auto mark = [](uint64_t life) -> Word {
    return
        [=](Time now, EndpointDirectory* d) { d->OnLeaving(now, "a", life); };
  };
  const struct {
    const char* what;
    std::vector<Word> words;
    bool works;
  } cases[] = {
      {"a mark without a life", {entry(1000), mark(1)}, false},
      {"a mark of the life before", {entry(2000), mark(1000)}, true},
      {"a mark of a life to come", {entry(1000), mark(2000)}, false},
      {"... which comes", {entry(1000), mark(2000), entry(2000)}, false},
      {"... and the next", {mark(2000), entry(2000), entry(3000)}, true},
      {"a mark before its entry", {mark(1000), entry(1000)}, false},
      {"a mark without a life, first", {entry(1), mark(1), entry(1000)}, false},
      {"... does not hold for the next",
       {entry(1), mark(1), entry(1000), entry(2000)},
       true},
      {"an entry without a life where one was told",
       {entry(1000), entry(1)},
       false},
      {"... and a good one again", {entry(1000), entry(1), entry(1000)}, true},
      {"... that said it leaves",
       {entry(1000), entry(1, true), entry(1000)},
       true},
      {"a copy of a box that tells no lives", {entry(1000), copy(0)}, true},
      {"... of one that leaves", {entry(1000, true), copy(0)}, false},
      {"no lives at all", {entry(1), entry(1)}, true},
  };
  for (const auto& c : cases) {
    Fixture f;
    Time now = Time{} + seconds(100);
    for (const Word& word : c.words) {
      word(now, &f.directory);
      now += milliseconds(10);
    }
    EXPECT_EQ(f.table.TakesNewWork(now, "a"), c.works) << c.what;
  }
}

// Right after the store is back, too, when what is missing may have lapsed.
TEST(EndpointDirectory, AnUnreadableEntryEndsNewWorkAtOnceAndNothingElse) {
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
    EXPECT_TRUE(f.table.AddressOf("a")) << "what runs there finishes";
    f.directory.OnEntry(now, Entry("a"));
    EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
  }
}

// Ranges that the pool does not have, and services that nobody named.
TEST(EndpointDirectory, WhatTheConfigurationDoesNotNameGetsNoWork) {
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
  EXPECT_TRUE(f.table.TakesNewWork(now, "o")) << "named by now";
  EXPECT_FALSE(f.table.TakesNewWork(now, "b"));
}

// The store is back from a copy in which "a" stands, which had gone before.
TEST(EndpointDirectory, WhatWasGoneComesBackWithTheCopyOnlyIfItIsThere) {
  const Time now = Time{} + seconds(100);
  const Time written = now + seconds(2);
  const struct {
    const char* name;
    std::function<void(EndpointDirectory*)> then;
    Duration works_from;  // after the restore; none if that is 0
  } cases[] = {
      {"it stands there", [](EndpointDirectory*) {}, seconds(5)},
      {"it is written again",
       [&](EndpointDirectory* d) { d->OnEntry(written, LifeOf(1000)); },
       seconds(2)},
      {"it has started anew",
       [&](EndpointDirectory* d) {
         d->OnList(written, {LifeOf(2000), Entry("b")});
       },
       seconds(2)},
      {"it lapses", [&](EndpointDirectory* d) { d->OnRemoved(written, "a"); },
       Duration(0)},
      {"it is in the next list, too",
       [&](EndpointDirectory* d) {
         d->OnList(written, {LifeOf(1000), Entry("b")});
       },
       seconds(5)},
      {"it is in no later list",
       [&](EndpointDirectory* d) { d->OnList(written, {Entry("b")}); },
       Duration(0)},
      {"it was said to leave",
       [&](EndpointDirectory* d) {
         d->OnLeaving(written, "a", 1000);
         d->OnEntry(written, LifeOf(1000));
       },
       Duration(0)},
  };
  for (const auto& c : cases) {
    for (const bool by_peer : {false, true}) {
      Fixture f;
      Fixture source;
      f.directory.OnList(now - seconds(9), {LifeOf(1000), Entry("b")});
      f.directory.OnRemoved(now - seconds(8), "a");
      f.directory.OnStoreRestored(now);
      if (by_peer) {
        // A box that has just started hears of it from one that doubts it.
        source.directory.OnList(now - seconds(9), {LifeOf(1000), Entry("b")});
        source.directory.OnRemoved(now - seconds(8), "a");
        source.directory.OnStoreRestored(now);
        source.directory.OnList(now, {LifeOf(1000), Entry("b")});
        const auto copy =
            ParseDirectory(WriteDirectory(source.directory.Snapshot(now)));
        ASSERT_TRUE(copy);
        f.directory.OnList(now, *copy);
      } else {
        f.directory.OnList(now, {LifeOf(1000), Entry("b")});
      }
      bool told = false;
      for (Duration d{}; d < seconds(7); d += milliseconds(100)) {
        if (!std::exchange(told, told || d >= seconds(2)) && d >= seconds(2)) {
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

// What the copy lacks is kept as after an outage, and what leaves, or has begun
// a later life, does not come back as it was.
TEST(EndpointDirectory, TheCopyTakesBackNothingThatIsKnown) {
  const Time now = Time{} + seconds(100);
  Fixture f;
  f.directory.OnList(now - seconds(9), {LifeOf(2000), Entry("b"), Entry("c")});
  f.directory.OnLeaving(now - seconds(8), "b", 1);
  f.directory.OnStoreRestored(now);
  f.directory.OnList(now, {LifeOf(1000), Entry("b")});
  EXPECT_EQ(f.directory.Find("a")->listed.incarnation, 2000);
  EXPECT_TRUE(f.table.TakesNewWork(now, "a"));
  EXPECT_FALSE(f.table.TakesNewWork(now, "b"));
  EXPECT_TRUE(f.table.TakesNewWork(now, "c"));
  f.directory.Tick(now + milliseconds(2100));
  EXPECT_TRUE(f.table.TakesNewWork(now + milliseconds(2100), "c"));
  f.directory.Tick(now + milliseconds(2300));
  EXPECT_EQ(f.directory.Find("c"), nullptr);
}

TEST(ListChanges, AreThoseSinceAMomentThatIsKnown) {
  ListChanges changes;
  EXPECT_EQ(changes.Since(0), Strings{});
  EXPECT_EQ(changes.Since(1), std::nullopt);
  changes.Note("a");
  changes.Note("b");
  const uint64_t then = changes.at();
  changes.Note("a");
  changes.Note("c");
  changes.Note("a");
  EXPECT_EQ(changes.Since(0), (Strings{"b", "c", "a"}));
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
  EXPECT_EQ(changes.Since(changes.at()), Strings{});
  changes.Forget("b");
  EXPECT_EQ(changes.Since(0), std::nullopt) << "it would not hear of b";
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
  changes.Forget("unknown");
  EXPECT_EQ(changes.Since(then), (Strings{"c", "a"}));
}

// A peer that is told of changes alone believes what one does that is given the
// whole list, whatever happens to the list and however seldom they ask.
TEST(EndpointDirectory, ChangesMakeOfAPeersListWhatTheWholeListDoes) {
  int partial = 0;
  for (int seed = 0; seed < 400; seed++) {
    Random random(seed);
    // Entries hold until they change, as on forwarding boxes.
    Fixture source(hours(1));
    Fixture whole(hours(1));
    Fixture part(hours(1));
    std::optional<uint64_t> had;  // of the source's moments
    Time now = Time{} + seconds(100);
    const auto some = [&random] {
      return std::string(1, static_cast<char>('a' + random() % 6));
    };
    const auto entry = [&] {
      DirectoryEntry e = LifeOf(1000 * (1 + random() % 2), random() % 5 == 0,
                                {0, 1 + static_cast<int>(random() % 8)});
      e.listed.name = some();
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
          source.directory.OnRemoved(now, some());
          break;
        case 4:
          source.directory.OnList(now, {entry(), entry(), entry(), entry()},
                                  {some()});
          break;
        case 5:
          if (random() % 3 == 0) source.directory.OnStoreReachable(now);
          break;
        case 6:
          if (random() % 3 > 0) break;
          for (Fixture* f : {&source, &whole, &part}) {
            f->directory.OnStoreRestored(now);
          }
          break;
        case 7:
          source.directory.OnLeaving(now, some(), 1000);
          break;
        default:
          break;
      }
      for (Fixture* f : {&source, &whole, &part}) f->directory.Tick(now);
      if (random() % 3 > 0) continue;
      const auto copy =
          ParseDirectory(WriteDirectory(source.directory.Snapshot(now)));
      ASSERT_TRUE(copy);
      whole.directory.OnList(now, *copy);
      const auto since =
          had ? source.directory.ChangesSince(now, *had) : std::nullopt;
      if (since) {
        const auto changes = ParseChanges(WriteChanges(*since));
        ASSERT_TRUE(changes);
        part.directory.OnChanges(now, *changes);
        partial++;
      } else {
        part.directory.OnList(now, *copy);
      }
      had = source.directory.at();
      // What is left of a time is told in whole milliseconds.
      for (Fixture* f : {&whole, &part}) f->directory.Tick(now);
      ASSERT_EQ(WriteDirectory(part.directory.Snapshot(now)),
                WriteDirectory(whole.directory.Snapshot(now)))
          << seed << " " << step;
      for (const auto& [id, kept] : whole.directory.entries()) {
        ASSERT_EQ(part.table.TakesNewWork(now, id),
                  whole.table.TakesNewWork(now, id))
            << seed << " " << step << " " << id;
      }
    }
  }
  EXPECT_GT(partial, 5000);
}

}  // namespace
}  // namespace pinford
