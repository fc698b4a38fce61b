// The platform's key-value service in the test's own process, on its paused
// clock, and the boxes that use it.
//
// A FakeBox can be paused, which delays its timers and replies, or killed,
// which drops them; what it has already sent still takes effect. Calls to a
// FakeStore can be lost on the way there or on the way back, or take effect
// long after the caller's timeout. The store can be restored from a copy, which
// increases its era and assigns revisions again.

#ifndef PINFORD_TESTING_FAKE_STORE_H_
#define PINFORD_TESTING_FAKE_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pinford/store.h"
#include "pinford/store_era.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {

// One box's clock. Implements Clock.
class FakeBox {
 public:
  explicit FakeBox(PausedClock* clock) : clock_(clock) {}

  Time now() const { return clock_->now(); }
  TimerId After(Duration d, std::function<void()> fn) {
    return clock_->After(d, [this, fn = std::move(fn)] { Deliver(fn); });
  }
  void Cancel(TimerId id) { clock_->Cancel(id); }

  // Runs `fn` now, after Resume() if paused, or never if killed.
  void Deliver(std::function<void()> fn) {
    if (killed_) return;
    if (paused_) {
      queued_.push_back(std::move(fn));
    } else {
      fn();
    }
  }
  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    std::vector<std::function<void()>> queued;
    queued.swap(queued_);
    for (auto& fn : queued) Deliver(fn);
  }
  void Kill() { killed_ = true; }
  bool killed() const { return killed_; }

  PausedClock* clock() { return clock_; }

 private:
  PausedClock* clock_;
  bool paused_ = false;
  bool killed_ = false;
  std::vector<std::function<void()>> queued_;
};

static_assert(Clock<FakeBox>);

class FakeStore {
 public:
  struct Faults {
    double lose_request = 0;  // share of calls that never arrive
    double lose_reply = 0;    // share that take effect without a reply
    double late = 0;    // share that take effect after the caller's timeout
    bool down = false;  // refuses connections
    double lease_factor = 1;  // granted lease duration / requested duration
  };

  FakeStore(PausedClock* clock, uint64_t seed) : clock_(clock), random_(seed) {}

  Faults faults;
  std::map<std::string, StoreValue> values;
  int64_t writes = 0;
  int64_t reads = 0;
  // Every value that a key had, in order.
  std::map<std::string, std::vector<std::string>> history;

  uint64_t era() const { return era_; }
  // Restores the state of `age` ago.
  void Restore(Duration age) {
    const Time then = clock_->now() - age;
    Snapshot snapshot = snapshots_.empty() ? Snapshot() : snapshots_.front();
    for (const Snapshot& c : snapshots_) {
      if (c.since <= then) snapshot = c;
    }
    era_++;
    values = snapshot.values;
    leases_ = snapshot.leases;
    last_revision_ = snapshot.last_revision;
  }

  // Runs `effect` as a call from `box`, subject to the faults, and passes its
  // result to `fn`.
  void Call(FakeBox* box, std::function<StoreResult()> effect,
            StoreCallback fn) {
    if (faults.down) {
      StoreResult refused;
      refused.status = StoreStatus::kNotSent;
      Reply(box, milliseconds(1), fn, refused);
      return;
    }
    constexpr Duration kCallTimeout = milliseconds(500);
    if (Chance(faults.lose_request)) {
      Reply(box, kCallTimeout, fn, StoreResult());
      return;
    }
    const bool late = Chance(faults.late);
    const bool lost = late || Chance(faults.lose_reply);
    const Duration request_delay =
        late ? kCallTimeout + milliseconds(random_() % 3000)
             : Duration(milliseconds(1 + random_() % 5));
    if (lost) Reply(box, kCallTimeout, fn, StoreResult());
    clock_->After(request_delay, [this, box, effect, fn, lost] {
      StoreResult result = effect();
      if (!lost) Reply(box, milliseconds(1 + random_() % 5), fn, result);
    });
  }

  StoreResult Read(const std::string& key) {
    reads++;
    StoreResult r;
    auto it = values.find(key);
    r.status = it == values.end() ? StoreStatus::kMissing : StoreStatus::kOk;
    if (it != values.end()) r.now = it->second;
    return r;
  }

  StoreResult Swap(const std::string& key, StoreRevision revision,
                   const std::string& value) {
    SaveSnapshot();
    writes++;
    StoreResult r;
    auto it = values.find(key);
    const StoreRevision present =
        it == values.end() ? StoreRevision() : it->second.revision;
    if (present != revision) {
      r.status = StoreStatus::kConflict;
      if (it != values.end()) r.now = it->second;
      return r;
    }
    values[key] = {value, NextRevision()};
    history[key].push_back(value);
    r.status = StoreStatus::kOk;
    r.now.revision = values[key].revision;
    return r;
  }

  StoreResult Lease(const std::string& key, const std::string& holder,
                    Duration ttl) {
    SaveSnapshot();
    writes++;
    StoreResult r;
    LeaseState& lease = leases_[key];
    const bool expired = lease.until <= clock_->now();
    if (!expired && lease.holder != holder) {
      r.status = StoreStatus::kConflict;
      r.now = {lease.holder, lease.token};
      return r;
    }
    // A lease of an earlier era is granted again, as by the platform's adapter.
    if (expired || lease.token.era() < era_) lease.token = NextRevision();
    lease.holder = holder;
    lease.until =
        clock_->now() + FromSeconds(ToSeconds(ttl) * faults.lease_factor);
    r.status = StoreStatus::kOk;
    r.now = {holder, lease.token};
    return r;
  }

 private:
  struct LeaseState {
    std::string holder;
    Time until{};
    StoreRevision token;
  };

  struct Snapshot {
    Time since{};
    std::map<std::string, StoreValue> values;
    std::map<std::string, LeaseState> leases;
    uint64_t last_revision = 0;
  };

  // Saves the current state; called before each change.
  void SaveSnapshot() {
    snapshots_.push_back({last_change_, values, leases_, last_revision_});
    last_change_ = clock_->now();
    constexpr size_t kMaxSnapshots = 200;
    if (snapshots_.size() > kMaxSnapshots) snapshots_.pop_front();
  }

  StoreRevision NextRevision() {
    return StoreRevision::Make(era_, ++last_revision_).value();
  }
  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  void Reply(FakeBox* box, Duration d, StoreCallback fn, StoreResult r) {
    clock_->After(d, [box, fn, r] { box->Deliver([fn, r] { fn(r); }); });
  }

  PausedClock* clock_;
  Random random_;
  uint64_t last_revision_ = 0;
  uint64_t era_ = 0;
  std::deque<Snapshot> snapshots_;
  Time last_change_{};
  std::map<std::string, LeaseState> leases_;
};

// One box's connection to a FakeStore. Implements Store. Like the platform's
// adapter, it drops answers of an earlier era than the latest one seen.
class FakeStoreClient {
 public:
  FakeStoreClient(FakeBox* box, FakeStore* store) : box_(box), store_(store) {}

  StoreEra era;

  void Get(const std::string& key, StoreCallback fn) {
    Call([store = store_, key] { return store->Read(key); }, std::move(fn));
  }
  void CompareAndSwap(const std::string& key, StoreRevision revision,
                      const std::string& value, StoreCallback fn) {
    Call([store = store_, key, revision,
          value] { return store->Swap(key, revision, value); },
         std::move(fn));
  }
  void Watch(const std::string& key, StoreRevision revision, Duration d,
             StoreCallback fn) {
    box_->clock()->After(d, [this, key, revision, fn] {
      Call(
          [store = store_, key, revision] {
            StoreResult r = store->Read(key);
            if (r.now.revision <= revision) r.status = StoreStatus::kTimeout;
            return r;
          },
          fn);
    });
  }
  void AcquireLease(const std::string& key, const std::string& holder,
                    Duration ttl, StoreCallback fn) {
    Call([store = store_, key, holder,
          ttl] { return store->Lease(key, holder, ttl); },
         std::move(fn));
  }

 private:
  void Call(std::function<StoreResult()> effect, StoreCallback fn) {
    auto reply_era = std::make_shared<std::optional<uint64_t>>();
    store_->Call(
        box_,
        [store = store_, reply_era, effect = std::move(effect)] {
          *reply_era = store->era();
          return effect();
        },
        [this, reply_era, fn = std::move(fn)](const StoreResult& r) {
          const bool answered = r.status != StoreStatus::kUnknown &&
                                r.status != StoreStatus::kNotSent;
          const bool late = answered && *reply_era && !era.Observe(**reply_era);
          fn(late ? StoreResult() : r);
        });
  }

  FakeBox* box_;
  FakeStore* store_;
};

static_assert(Store<FakeStoreClient>);

}  // namespace pinford

#endif  // PINFORD_TESTING_FAKE_STORE_H_
