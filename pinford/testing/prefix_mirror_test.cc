// Mirrors of the store: that a copy is complete, and that its proof never
// claims more than is true, whatever the store does.

#include "pinford/forwarding/prefix_mirror.h"

#include <gtest/gtest.h>

#include <map>

#include "pinford/store_era.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {
namespace {

// A store with watches, whose answers can be lost, late or refused, and which
// can forget its history. Its watches may hear nothing for a while, for up to
// a second as the platform says; then the history is forgotten too. It can go
// back to a copy; answers of before that come later are dropped, and a watch
// from before ends as one whose history is forgotten, as the platform's adapter
// has it.
class FakePrefixStore {
 public:
  FakePrefixStore(PausedClock* clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  double lose = 0;    // share of answers that never come
  double late = 0;    // share that come 0.5 to 3 s late
  double refuse = 0;  // share of calls that are refused
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
  void ForgetHistory() {
    log_.clear();
    forgotten_ = Next();
    deaf_ = false;
  }
  void GoDeaf(Duration d) {
    if (std::exchange(deaf_, true)) return;
    clock_->After(d, [this] { ForgetHistory(); });
  }
  bool deaf() const { return deaf_; }
  // Goes back to what it held `n` changes ago.
  void Restore(size_t n) {
    const Copy copy = copies_[copies_.size() - 1 - n];
    copies_.resize(copies_.size() - n);
    items_ = copy.items;
    revision_ = StoreRevision::Make(revision_.era() + 1, copy.number).value();
    std::erase_if(log_, [&copy](const StoreItem& item) {
      return item.revision.number() > copy.number;
    });
    forgotten_ = StoreRevision();
    deaf_ = false;
  }
  size_t copies() const { return copies_.size(); }
  StoreEra era;  // that the mirror's box knows of
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
    // Looks each 50 ms, as a waiting watch would be woken.
    Wait(since, clock_->now() + d, std::move(fn));
  }

 private:
  void Wait(StoreRevision since, Time until, PrefixCallback fn) {
    const bool other = since.era() < revision_.era();
    if (other || since < forgotten_) {
      Answer(Duration(0), fn, [] {
        PrefixResult r;
        r.status = StoreStatus::kCompacted;
        return r;
      });
      return;
    }
    const bool news = revision_ > since && !deaf_;
    if (!news && clock_->now() < until) {
      clock_->After(milliseconds(50),
                    [this, since, until, fn] { Wait(since, until, fn); });
      return;
    }
    Answer(Duration(0), fn, [this, since, news] {
      PrefixResult r;
      // Since it was looked at, 2 ms ago.
      if (since.era() < revision_.era() || since < forgotten_) {
        r.status = StoreStatus::kCompacted;
        return r;
      }
      r.status = news ? StoreStatus::kOk : StoreStatus::kTimeout;
      r.at = news ? revision_ : since;
      for (const StoreItem& item : log_) {
        if (news && item.revision > since) r.items.push_back(item);
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
    if (Chance(refuse)) {
      clock_->After(milliseconds(4), [fn] {
        PrefixResult r;
        r.status = StoreStatus::kRefused;
        fn(r);
      });
      return;
    }
    const bool lost = Chance(lose);
    const bool is_late = Chance(late);
    // What is answered is as of the call's arrival, however late it comes.
    clock_->After(milliseconds(2), [=, this] {
      const PrefixResult r = effect();
      if (lost) return;
      const Duration back =
          is_late ? milliseconds(500 + random_() % 2500) : milliseconds(2);
      clock_->After(back, [this, fn, r, told = revision_.era()] {
        fn(era.Observe(told) ? r : PrefixResult());
      });
    });
  }

  PausedClock* clock_;
  Random random_;
  StoreRevision revision_ = StoreRevision::Make(0, 1).value();
  StoreRevision forgotten_;
  bool deaf_ = false;
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> log_;
  std::vector<Copy> copies_ = {{}};
};

static_assert(PrefixStore<FakePrefixStore>);

// A mirror and its copy.
struct Mirrored {
  Mirrored(FakePrefixStore* store, PausedClock* clock,
           const PrefixMirrorOptions& options = {})
      : mirror(store, clock, "p/", options, Events()) {
    store->era.set_on_increase([this](uint64_t, uint64_t) { mirror.Relist(); });
  }

  PrefixMirrorEvents Events() {
    PrefixMirrorEvents events;
    events.on_list = [this](const PrefixResult& r) {
      copy.clear();
      Take(r);
      lists++;
    };
    events.on_changes = [this](const PrefixResult& r) { Take(r); };
    events.on_freshness = [](Time) {};
    events.on_reachable = [this](bool r, StoreStatus) {
      reachable = r;
      changes_of_reach++;
    };
    return events;
  }
  void Take(const PrefixResult& r) {
    for (const StoreItem& item : r.items) {
      if (item.removed) {
        copy.erase(item.key);
      } else {
        copy[item.key] = item.value;
      }
    }
  }

  std::map<std::string, std::string> copy;
  int lists = 0;
  bool reachable = false;
  int changes_of_reach = 0;
  PrefixMirror<FakePrefixStore, PausedClock> mirror;
};

TEST(PrefixMirror, HearsOfChangesAtOnceAndCostsOneCallAWait) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  Mirrored m(&store, &clock);
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
  EXPECT_EQ(m.changes_of_reach, 1);
}

TEST(PrefixMirror, ListsAgainWhenHistoryIsForgotten) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  Mirrored m(&store, &clock);
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  store.GoDeaf(milliseconds(900));
  store.Remove("p/a");
  store.Put("p/c", "3");
  clock.Advance(milliseconds(2400));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(m.lists, 2);
}

TEST(PrefixMirror, SaysOnceThatTheStoreIsAwayAndAsksItSparingly) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  Mirrored m(&store, &clock);
  m.mirror.Start();
  clock.Advance(seconds(1));
  store.lose = 1;
  clock.Advance(seconds(4));
  EXPECT_FALSE(m.reachable);
  EXPECT_EQ(m.changes_of_reach, 2);
  const int64_t before = store.calls;
  clock.Advance(seconds(10));
  EXPECT_LE(store.calls - before, 12);
  store.lose = 0;
  clock.Advance(milliseconds(1100));
  EXPECT_TRUE(m.reachable);
}

// A store that falls silent and is slow when it is back: its return is noticed
// after a pause and its answer, whatever a lone call would have waited.
TEST(PrefixMirror, NoticesTheReturnOfASilentStoreSoon) {
  for (int after = 0; after < 2000; after += 37) {
    PausedClock clock;
    FakePrefixStore store(&clock, 1);
    PrefixMirrorOptions options;
    options.unreachable_timeout = milliseconds(20);
    Mirrored m(&store, &clock, options);
    m.mirror.Start();
    clock.Advance(seconds(1));
    store.lose = 1;
    clock.Advance(seconds(4) + milliseconds(after));
    EXPECT_FALSE(m.reachable);
    const int64_t before = store.calls;
    clock.Advance(seconds(1));
    EXPECT_LE(store.calls - before, 4);
    store.lose = 0;
    clock.Advance(milliseconds(300));
    EXPECT_TRUE(m.reachable) << after;
  }
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  PrefixMirrorOptions options;
  options.unreachable_timeout = milliseconds(20);
  Mirrored m(&store, &clock, options);
  m.mirror.Start();
  clock.Advance(seconds(1));
  store.lose = 1;
  clock.Advance(seconds(4));
  // Answers come back 0.5 to 3 s late: one of several counts.
  store.lose = 0;
  store.late = 1;
  clock.Advance(milliseconds(3300));
  EXPECT_TRUE(m.reachable);
}

TEST(PrefixMirror, LeavesTheStoreAloneWhileStopped) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  Mirrored m(&store, &clock);
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

TEST(PrefixMirror, LooksOnceWithoutAWatch) {
  PausedClock clock;
  FakePrefixStore store(&clock, 1);
  store.Put("p/a", "1");
  Mirrored m(&store, &clock);
  m.mirror.ReadOnce();
  m.mirror.ReadOnce();
  clock.Advance(seconds(5));
  EXPECT_EQ(m.copy, store.Values());
  EXPECT_EQ(store.calls, 1);
  EXPECT_TRUE(m.reachable);

  // One that gets no answer ends, and the next may begin.
  store.lose = 1;
  m.mirror.ReadOnce();
  clock.Advance(seconds(5));
  EXPECT_EQ(store.calls, 2);
  EXPECT_FALSE(m.reachable);
  store.lose = 0;
  store.Put("p/b", "2");
  m.mirror.ReadOnce();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());

  // A look that is under way becomes the mirror's first list.
  m.mirror.ReadOnce();
  m.mirror.Start();
  clock.Advance(milliseconds(100));
  EXPECT_EQ(store.calls, 5) << "a list and a watch";
  store.Put("p/c", "3");
  clock.Advance(milliseconds(100));
  EXPECT_EQ(m.copy, store.Values());
}

// Random schedules: at each moment the copy must hold whatever had been
// written by the proof, or something newer. The store is deaf for at most
// a second, as the platform says.
TEST(PrefixMirror, AProofNeverClaimsMoreThanIsTrue) {
  for (int seed = 0; seed < 300; seed++) {
    PausedClock clock;
    Random random(seed);
    FakePrefixStore store(&clock, seed + 1000);
    Mirrored m(&store, &clock);
    m.mirror.Start();
    // The number that was the newest from a time on.
    std::map<Time, int> truth = {{Time{}, 0}};
    int written = 0;
    for (int step = 0; step < 600; step++) {
      clock.Advance(milliseconds(20 + random() % 60));
      switch (random() % 24) {
        case 0:
          store.Put("p/n", std::to_string(++written));
          truth[clock.now()] = written;
          break;
        case 1:
          store.lose = random() % 3 * 0.4;
          store.late = random() % 3 * 0.3;
          store.refuse = random() % 4 == 0 ? 0.5 : 0;
          break;
        case 2:
          if (random() % 4 == 0) store.GoDeaf(milliseconds(900));
          break;
        case 3:
          if (!store.deaf()) store.ForgetHistory();
          break;
        default:
          break;
      }
      if (m.mirror.fresh_as_of() == Time{}) continue;
      const int then =
          std::prev(truth.upper_bound(m.mirror.fresh_as_of()))->second;
      const auto it = m.copy.find("p/n");
      const int have = it == m.copy.end() ? 0 : std::stoi(it->second);
      ASSERT_GE(have, then) << seed << " at step " << step;
    }
    // Whatever went wrong, it ends up right.
    store.lose = store.late = store.refuse = 0;
    clock.Advance(seconds(5));
    EXPECT_EQ(m.copy, store.Values()) << seed;
    EXPECT_LE(clock.now() - m.mirror.fresh_as_of(), seconds(3)) << seed;
  }
}

// The store comes back from a copy, and the revisions of what was lost are
// given out again: what lies between is not missed, and the mirror is soon
// right.
TEST(PrefixMirror, AfterARestoreTheCopyIsTheStoresAgain) {
  for (size_t lost = 0; lost < 4; lost++) {
    for (size_t written = 0; written < 6; written++) {
      PausedClock clock;
      FakePrefixStore store(&clock, 1);
      for (int i = 0; i < 4; i++) store.Put("p/" + std::to_string(i), "old");
      Mirrored m(&store, &clock);
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

// As above, with restores, two in a row among them. Contents come again after
// one: what the copy holds must have been there at the proof, or later.
TEST(PrefixMirror, AProofNeverClaimsMoreThanIsTrueOverRestores) {
  int restores = 0;
  for (int seed = 0; seed < 300; seed++) {
    PausedClock clock;
    Random random(seed + 5000);
    FakePrefixStore store(&clock, seed + 6000);
    Mirrored m(&store, &clock);
    m.mirror.Start();
    using Content = std::map<std::string, std::string>;
    // When each content was there last.
    std::map<Content, Time> there = {{{}, clock.now()}};
    int written = 0;
    for (int step = 0; step < 600; step++) {
      // What is there until now.
      clock.Advance(milliseconds(20 + random() % 60));
      there[store.Values()] = clock.now();
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
          store.lose = random() % 3 * 0.4;
          store.late = random() % 3 * 0.3;
          store.refuse = random() % 4 == 0 ? 0.5 : 0;
          break;
        case 4:
          if (!store.deaf()) store.ForgetHistory();
          break;
        case 5:
          store.Restore(random() % std::min<size_t>(store.copies(), 6));
          restores++;
          if (random() % 3 == 0) store.Restore(0);
          break;
        default:
          break;
      }
      there[store.Values()] = clock.now();
      if (m.mirror.fresh_as_of() == Time{}) continue;
      ASSERT_TRUE(there.contains(m.copy)) << seed << " at step " << step;
      ASSERT_GE(there[m.copy], m.mirror.fresh_as_of())
          << seed << " at step " << step;
    }
    store.lose = store.late = store.refuse = 0;
    clock.Advance(seconds(5));
    EXPECT_EQ(m.copy, store.Values()) << seed;
    EXPECT_LE(clock.now() - m.mirror.fresh_as_of(), seconds(3)) << seed;
  }
  EXPECT_GT(restores, 5000);
}

}  // namespace
}  // namespace pinford
