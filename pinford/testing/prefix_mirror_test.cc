// PrefixMirror: the copy is complete, and its freshness is never overstated,
// whatever the store does.

#include "pinford/forwarding/prefix_mirror.h"

#include <gtest/gtest.h>

#include <map>

#include "pinford/store_era.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

// Store with watches, whose answers can be lost, late or refused, and which can
// compact its history. Its watches may miss changes for up to a second, as the
// platform documents; the history is compacted then. It can be restored from a
// backup: answers from before that arrive later are dropped, and an older watch
// ends as if its history were compacted, as in the platform's adapter.
class FakePrefixStore {
 public:
  FakePrefixStore(PausedClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  double lost_share = 0;     // share of answers that never arrive
  double late_share = 0;     // share that arrive 0.5 to 3 s late
  double refused_share = 0;  // share of calls that are refused
  int64_t calls = 0;

  void Put(const std::string& key, const std::string& value) {
    items_[key] = {key, value, Next(), false};
    log_.push_back(items_[key]);
    copies_.push_back({items_, revision_.number()});
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    log_.push_back({key, "", Next(), true});
    copies_.push_back({items_, revision_.number()});
  }
  void CompactHistory() {
    log_.clear();
    compacted_ = Next();
    watches_stalled_ = false;
  }
  void StallWatches(Duration d) {
    if (std::exchange(watches_stalled_, true)) return;
    clock_->After(d, [this] { CompactHistory(); });
  }
  bool watches_stalled() const { return watches_stalled_; }
  StoreRevision revision() const { return revision_; }
  // Restores the contents of `n` changes ago.
  void Restore(size_t n) {
    const Copy copy = copies_[copies_.size() - 1 - n];
    copies_.resize(copies_.size() - n);
    items_ = copy.items;
    revision_ = StoreRevision::Make(revision_.era() + 1, copy.number).value();
    std::erase_if(log_, [&copy](const StoreItem& item) {
      return item.revision.number() > copy.number;
    });
    compacted_ = StoreRevision();
    watches_stalled_ = false;
  }
  size_t copies() const { return copies_.size(); }
  StoreEra era;  // as known to the mirror's box
  std::map<std::string, std::string> Values() const {
    std::map<std::string, std::string> out;
    for (const auto& [key, item] : items_) out[key] = item.value;
    return out;
  }

  void List(const std::string&, PrefixCallback fn) {
    calls++;
    Answer(Duration(0), fn, [this] {
      PrefixResult r;
      r.status = StoreStatus::kOk;
      r.at = revision_;
      for (const auto& [key, item] : items_) r.items.push_back(item);
      return r;
    });
  }

  void WatchPrefix(const std::string&, StoreRevision since, Duration d,
                   PrefixCallback fn) {
    calls++;
    // Polls every 50 ms to simulate a watch that is woken.
    Wait(since, clock_->now() + d, std::move(fn));
  }

 private:
  void Wait(StoreRevision since, Time until, PrefixCallback fn) {
    const bool other = since.era() < revision_.era();
    if (other || since < compacted_) {
      Answer(Duration(0), fn, [] {
        PrefixResult r;
        r.status = StoreStatus::kCompacted;
        return r;
      });
      return;
    }
    const bool has_changes = revision_ > since && !watches_stalled_;
    if (!has_changes && clock_->now() < until) {
      clock_->After(milliseconds(50),
                    [this, since, until, fn] { Wait(since, until, fn); });
      return;
    }
    Answer(Duration(0), fn, [this, since, has_changes] {
      PrefixResult r;
      // The state may have changed since the check 2 ms ago.
      if (since.era() < revision_.era() || since < compacted_) {
        r.status = StoreStatus::kCompacted;
        return r;
      }
      r.status = has_changes ? StoreStatus::kOk : StoreStatus::kTimeout;
      r.at = has_changes ? revision_ : since;
      for (const StoreItem& item : log_) {
        if (has_changes && item.revision > since) r.items.push_back(item);
      }
      return r;
    });
  }

  struct Copy {
    std::map<std::string, StoreItem> items;
    uint64_t number = 1;
  };

  StoreRevision Next() {
    revision_ =
        StoreRevision::Make(revision_.era(), revision_.number() + 1).value();
    return revision_;
  }

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }

  void Answer(Duration, PrefixCallback fn,
              std::function<PrefixResult()> effect) {
    if (Chance(refused_share)) {
      clock_->After(milliseconds(4), [fn] {
        PrefixResult r;
        r.status = StoreStatus::kRefused;
        fn(r);
      });
      return;
    }
    const bool lost = Chance(lost_share);
    const bool is_late = Chance(late_share);
    // The answer reflects the arrival of the call, however late it is
    // delivered.
    clock_->After(milliseconds(2), [=, this] {
      const PrefixResult r = effect();
      if (lost) return;
      const Duration back =
          is_late ? milliseconds(500 + random_() % 2500) : milliseconds(2);
      clock_->After(back, [this, fn, r, answer_era = revision_.era()] {
        fn(era.Observe(answer_era) ? r : PrefixResult());
      });
    });
  }

  PausedClock* clock_;
  Random random_;
  StoreRevision revision_ = StoreRevision::Make(0, 1).value();
  StoreRevision compacted_;
  bool watches_stalled_ = false;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> log_;
  std::vector<Copy> copies_ = {{}};
};

static_assert(PrefixStore<FakePrefixStore>);

// A mirror together with its copy of the contents.
struct MirroredCopy {
  MirroredCopy(FakePrefixStore* store, PausedClock* clock,
               const PrefixMirrorOptions& options = {})
      : mirror(store, clock, "p/", options, Events()) {
    store->era.set_on_increase([this](uint64_t, uint64_t) { mirror.Relist(); });
  }

  PrefixMirrorEvents Events() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) {
      copy.clear();
      Apply(r);
      lists++;
    };
    events.on_changes = [this](const PrefixResult& r) { Apply(r); };
    events.on_freshness = [](Time) {};
    events.on_reachable = [this](bool r, StoreStatus) {
      reachable = r;
      reachability_changes++;
    };
    events.known = [this] { return known; };
    return events;
  }
  void Apply(const PrefixResult& r) {
    for (const StoreItem& item : r.items) {
      if (item.removed) {
        copy.erase(item.key);
      } else {
        copy[item.key] = item.value;
      }
    }
  }

  std::map<std::string, std::string> copy;
  StoreRevision known;  // as of which the copy was had from elsewhere
  int lists = 0;
  bool reachable = false;
  int reachability_changes = 0;
  PrefixMirror<FakePrefixStore, PausedClock> mirror;
};

TEST(PrefixMirror, ReceivesChangesAtOnceWithOneCallPerWatchTimeout) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  MirroredCopy m(&store, &clock);
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_TRUE(m.reachable);
  store.Put("p/b", "2");
  store.Remove("p/a");
  clock.Advance(milliseconds(150));
  EXPECT_EQ(m.copy, store.Values());
  const int64_t before = store.calls;
  clock.Advance(seconds(30));
  EXPECT_LE(store.calls - before, 30);
  EXPECT_EQ(m.lists, 1);
  EXPECT_EQ(m.reachability_changes, 1);
}

TEST(PrefixMirror, RelistsAfterHistoryIsCompacted) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  MirroredCopy m(&store, &clock);
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  store.StallWatches(milliseconds(900));
  store.Remove("p/a");
  store.Put("p/c", "3");
  clock.Advance(milliseconds(2400));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(m.lists, 2);
}

TEST(PrefixMirror, ReportsAnUnreachableStoreOnceAndRetriesSparingly) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  MirroredCopy m(&store, &clock);
  m.mirror.Start();
  clock.Advance(seconds(1));
  store.lost_share = 1;
  clock.Advance(seconds(4));
  EXPECT_FALSE(m.reachable);
  EXPECT_EQ(m.reachability_changes, 2);
  const int64_t before = store.calls;
  clock.Advance(seconds(10));
  EXPECT_LE(store.calls - before, 12);
  store.lost_share = 0;
  clock.Advance(milliseconds(1100));
  EXPECT_TRUE(m.reachable);
}

// Guards against a watch that waits on a silent connection while another client
// of the box reaches the store.
TEST(PrefixMirror, AsksAgainWhenAnotherClientReachedTheStore) {
  for (int after = 0; after < 1400; after += 100) {
    PausedClock clock;
    FakePrefixStore store(&clock, 1);
    store.Put("p/a", "1");
    MirroredCopy m(&store, &clock);
    m.mirror.Start();
    clock.Advance(milliseconds(1500));
    store.lost_share = 1;
    store.Remove("p/a");
    clock.Advance(milliseconds(after));
    store.lost_share = 0;
    m.mirror.RetryNow();
    clock.Advance(milliseconds(60));
    EXPECT_EQ(m.copy, store.Values()) << after;
  }
}

// The store stops answering and is slow when it recovers: recovery is noticed
// after one retry delay and one answer, whatever the timeout of a single call.
TEST(PrefixMirror, NoticesTheReturnOfASilentStoreSoon) {
  for (int after = 0; after < 2000; after += 37) {
    PausedClock clock;
    FakePrefixStore store(&clock, 1);
    PrefixMirrorOptions options;
    options.unreachable_timeout = milliseconds(20);
    MirroredCopy m(&store, &clock, options);
    m.mirror.Start();
    clock.Advance(seconds(1));
    store.lost_share = 1;
    clock.Advance(seconds(4) + milliseconds(after));
    EXPECT_FALSE(m.reachable);
    const int64_t before = store.calls;
    clock.Advance(seconds(1));
    EXPECT_LE(store.calls - before, 4);
    store.lost_share = 0;
    clock.Advance(milliseconds(300));
    EXPECT_TRUE(m.reachable) << after;
  }
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  PrefixMirrorOptions options;
  options.unreachable_timeout = milliseconds(20);
  MirroredCopy m(&store, &clock, options);
  m.mirror.Start();
  clock.Advance(seconds(1));
  store.lost_share = 1;
  clock.Advance(seconds(4));
  // Answers arrive 0.5 to 3 s late, and any of several is accepted.
  store.lost_share = 0;
  store.late_share = 1;
  clock.Advance(milliseconds(3300));
  EXPECT_TRUE(m.reachable);
}

// A copy as of a known revision needs the changes since, which is one call
// where a list of 3,000 keys is 15 or more.
TEST(PrefixMirror, ContinuesFromAKnownRevision) {
  for (const bool once : {false, true}) {
    PausedClock clock;
    FakePrefixStore store(&clock, 1);
    store.Put("p/a", "1");
    MirroredCopy m(&store, &clock);
    m.copy = store.Values();
    m.known = store.revision();
    store.Remove("p/a");
    store.Put("p/b", "2");
    if (once) {
      m.mirror.ReadOnce();
    } else {
      m.mirror.Start();
    }
    clock.Advance(milliseconds(100));
    EXPECT_EQ(m.copy, store.Values());
    EXPECT_EQ(m.lists, 0);
    EXPECT_TRUE(m.reachable);
    clock.Advance(seconds(3));
    if (once) {
      EXPECT_EQ(store.calls, 1);
    } else {
      store.Put("p/c", "3");
      clock.Advance(milliseconds(150));
      EXPECT_EQ(m.copy, store.Values());
    }
  }
}

// The store withholds changes from watches for a second, then drops its
// history: a single read must not take its silence for the newest state.
TEST(PrefixMirror, AReadOfChangesOutlastsAStallOfWatches) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  MirroredCopy m(&store, &clock);
  m.copy = store.Values();
  m.known = store.revision();
  store.StallWatches(seconds(1));
  store.Remove("p/a");
  m.mirror.ReadOnce();
  clock.Advance(milliseconds(1300));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(m.lists, 1);
}

TEST(PrefixMirror, AKnownRevisionThatIsGoneIsListed) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  MirroredCopy m(&store, &clock);
  m.known = store.revision();
  store.Put("p/b", "2");
  store.CompactHistory();
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(m.lists, 1);
}

TEST(PrefixMirror, MakesNoCallsWhileStopped) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  MirroredCopy m(&store, &clock);
  m.mirror.Start();
  clock.Advance(seconds(1));
  m.mirror.Stop();
  const int64_t before = store.calls;
  store.Put("p/a", "1");
  clock.Advance(seconds(10));
  EXPECT_EQ(store.calls, before);
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());
}

TEST(PrefixMirror, ReadOnceListsWithoutAWatch) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  MirroredCopy m(&store, &clock);
  m.mirror.ReadOnce();
  m.mirror.ReadOnce();
  clock.Advance(seconds(5));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(store.calls, 1);
  EXPECT_TRUE(m.reachable);

  // A read without an answer ends, and the next may start.
  store.lost_share = 1;
  m.mirror.ReadOnce();
  clock.Advance(seconds(5));
  EXPECT_EQ(store.calls, 2);
  EXPECT_FALSE(m.reachable);
  store.lost_share = 0;
  store.Put("p/b", "2");
  m.mirror.ReadOnce();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());

  // An outstanding read becomes the first list of the mirror.
  m.mirror.ReadOnce();
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(store.calls, 5) << "a list and a watch";
  store.Put("p/c", "3");
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());
}

// Random schedules: at each step the copy must hold what had been written by
// the freshness time, or something newer. Watches miss changes for at most a
// second, as the platform documents.
TEST(PrefixMirror, FreshnessIsNeverOverstated) {
  for (int seed = 0; seed < 300; seed++) {
    PausedClock clock;
    Random random(seed);
    FakePrefixStore store(&clock, seed + 1000);
    MirroredCopy m(&store, &clock);
    m.mirror.Start();
    // The newest number written, by the time from which it was so.
    std::map<Time, int> newest = {{Time{}, 0}};
    int written = 0;
    for (int step = 0; step < 600; step++) {
      clock.Advance(milliseconds(20 + random() % 60));
      switch (random() % 24) {
        case 0:
          store.Put("p/n", std::to_string(++written));
          newest[clock.now()] = written;
          break;
        case 1:
          store.lost_share = random() % 3 * 0.4;
          store.late_share = random() % 3 * 0.3;
          store.refused_share = random() % 4 == 0 ? 0.5 : 0;
          break;
        case 2:
          if (random() % 4 == 0) store.StallWatches(milliseconds(900));
          break;
        case 3:
          if (!store.watches_stalled()) store.CompactHistory();
          break;
        default:
          break;
      }
      if (m.mirror.fresh_as_of() == Time{}) continue;
      const int expected =
          std::prev(newest.upper_bound(m.mirror.fresh_as_of()))->second;
      const auto it = m.copy.find("p/n");
      const int copied = it == m.copy.end() ? 0 : std::stoi(it->second);
      ASSERT_GE(copied, expected) << seed << " at step " << step;
    }
    // After the faults end, the copy becomes correct.
    store.lost_share = store.late_share = store.refused_share = 0;
    clock.Advance(seconds(5));
    EXPECT_EQ(m.copy, store.Values()) << seed;
    EXPECT_LE(clock.now() - m.mirror.fresh_as_of(), seconds(3)) << seed;
  }
}

// The store is restored from a backup, and the revisions of the lost changes
// are issued again: no change in between is missed, and the mirror soon is
// correct.
TEST(PrefixMirror, TheCopyFollowsARestoredStore) {
  for (size_t lost = 0; lost < 4; lost++) {
    for (size_t written = 0; written < 6; written++) {
      PausedClock clock;
      FakePrefixStore store(&clock, 1);
      for (int i = 0; i < 4; i++) store.Put("p/" + std::to_string(i), "old");
      MirroredCopy m(&store, &clock);
      m.mirror.Start();
      clock.Advance(milliseconds(100));
      store.Restore(lost);
      for (size_t i = 0; i < written; i++) {
        store.Put("p/" + std::to_string(9 - i), "new");
      }
      const int64_t before = store.calls;
      clock.Advance(milliseconds(1100));
      EXPECT_EQ(m.copy, store.Values()) << lost << " " << written;
      EXPECT_EQ(m.mirror.at().era(), 1);
      EXPECT_LE(store.calls - before, 4);
    }
  }
}

// As above, with restores, including two in a row. Contents recur after a
// restore: what the copy holds must have been present at the freshness time, or
// later.
TEST(PrefixMirror, FreshnessIsNeverOverstatedAcrossRestores) {
  int restores = 0;
  for (int seed = 0; seed < 300; seed++) {
    PausedClock clock;
    Random random(seed + 5000);
    FakePrefixStore store(&clock, seed + 6000);
    MirroredCopy m(&store, &clock);
    m.mirror.Start();
    using Content = std::map<std::string, std::string>;
    // When each content was last present.
    std::map<Content, Time> last_present = {{{}, clock.now()}};
    int written = 0;
    for (int step = 0; step < 600; step++) {
      // The content present until now.
      clock.Advance(milliseconds(20 + random() % 60));
      last_present[store.Values()] = clock.now();
      switch (random() % 24) {
        case 0:
        case 1:
          store.Put("p/" + std::to_string(random() % 3),
                    std::to_string(++written));
          break;
        case 2:
          store.Remove("p/" + std::to_string(random() % 3));
          break;
        case 3:
          store.lost_share = random() % 3 * 0.4;
          store.late_share = random() % 3 * 0.3;
          store.refused_share = random() % 4 == 0 ? 0.5 : 0;
          break;
        case 4:
          if (!store.watches_stalled()) store.CompactHistory();
          break;
        case 5:
          store.Restore(random() % std::min<size_t>(store.copies(), 6));
          restores++;
          if (random() % 3 == 0) store.Restore(0);
          break;
        default:
          break;
      }
      last_present[store.Values()] = clock.now();
      if (m.mirror.fresh_as_of() == Time{}) continue;
      ASSERT_TRUE(last_present.contains(m.copy)) << seed << " at step " << step;
      ASSERT_GE(last_present[m.copy], m.mirror.fresh_as_of())
          << seed << " at step " << step;
    }
    store.lost_share = store.late_share = store.refused_share = 0;
    clock.Advance(seconds(5));
    EXPECT_EQ(m.copy, store.Values()) << seed;
    EXPECT_LE(clock.now() - m.mirror.fresh_as_of(), seconds(3)) << seed;
  }
  EXPECT_GT(restores, 5000);
}

}  // namespace
}  // namespace pinford
