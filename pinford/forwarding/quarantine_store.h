// Keeps the quarantined requests in the store, so that they stay quarantined
// when all boxes of a fleet die together. Otherwise such a request would crash
// several endpoints again after each such loss.
//
// All boxes share one key. The boxes that mirror the store, a few per hall,
// read it once when they start to mirror it, or when the store was restored
// from a backup, and pass it to their peers as evidence. They write it when a
// request is quarantined that it lacks, or cleared. So there are no calls in
// normal operation but one read per mirror.

#ifndef PINFORD_FORWARDING_QUARANTINE_STORE_H_
#define PINFORD_FORWARDING_QUARANTINE_STORE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/quarantine_document.h"
#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

inline constexpr char kQuarantineKey[] = "pinford/quarantine";

template <Store S>
class QuarantineStore {
 public:
  struct Events {
    // Gets what was read.
    std::function<void(const std::vector<CrashRecord>&)> on_records;
    // Whether a run has cleared the request since.
    std::function<bool(const std::string& fingerprint)> is_cleared;
  };

  // `store` must outlive the object.
  QuarantineStore(S* store, Events events)
      : store_(store), events_(std::move(events)) {}

  // Reads or writes, if that is due. Call it often while this box mirrors the
  // store; `quarantined` are the requests that it knows to be quarantined.
  void Sync(Time now, const std::vector<CrashRecord>& quarantined) {
    if (busy_ || now < next_call_) return;
    if (!loaded_) {
      next_call_ = now + kCallInterval;
      Load();
    } else if (LacksAny(quarantined) || HasCleared()) {
      next_call_ = now + kCallInterval;
      Save(quarantined);
    }
  }

  // This box no longer mirrors the store, or the store was restored: what it
  // holds is unknown.
  void Reset() { loaded_ = false; }

 private:
  static constexpr Duration kCallInterval = seconds(1);

  bool LacksAny(const std::vector<CrashRecord>& quarantined) const {
    return std::any_of(quarantined.begin(), quarantined.end(),
                       [this](const CrashRecord& r) {
                         return !stored_.contains(r.fingerprint);
                       });
  }

  bool HasCleared() const {
    return std::any_of(stored_.begin(), stored_.end(), events_.is_cleared);
  }

  void Load() {
    busy_ = true;
    store_->Get(kQuarantineKey,
                [this, alive = std::weak_ptr(alive_)](const StoreResult& r) {
                  if (alive.expired()) return;
                  busy_ = false;
                  if (r.status == StoreStatus::kOk) {
                    OnLoaded(r.now);
                  } else if (r.status == StoreStatus::kMissing) {
                    OnLoaded(StoreValue{"[]", StoreRevision()});
                  }
                });
  }

  void OnLoaded(const StoreValue& value) {
    loaded_ = true;
    revision_ = value.revision;
    // A value that cannot be parsed is replaced at the next write.
    read_ = ParseQuarantine(value.value).value_or(std::vector<CrashRecord>());
    stored_ = FingerprintsOf(read_);
    if (!read_.empty()) events_.on_records(read_);
  }

  static std::set<std::string> FingerprintsOf(
      const std::vector<CrashRecord>& records) {
    std::set<std::string> out;
    for (const CrashRecord& r : records) out.insert(r.fingerprint);
    return out;
  }

  void Save(std::vector<CrashRecord> records) {
    const std::set<std::string> known = FingerprintsOf(records);
    for (const CrashRecord& r : read_) {
      const bool keep =
          !known.contains(r.fingerprint) && !events_.is_cleared(r.fingerprint);
      if (keep && records.size() < kMaxCrashRecords) records.push_back(r);
    }
    busy_ = true;
    store_->CompareAndSwap(
        kQuarantineKey, revision_, WriteQuarantine(records),
        [this, alive = std::weak_ptr(alive_),
         saved = FingerprintsOf(records)](const StoreResult& r) {
          if (alive.expired()) return;
          busy_ = false;
          if (r.status == StoreStatus::kOk) {
            revision_ = r.now.revision;
            stored_ = saved;
          } else {
            // Another box has written, or the write may have taken effect.
            loaded_ = false;
          }
        });
  }

  S* store_;
  Events events_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  bool busy_ = false;
  bool loaded_ = false;
  Time next_call_{};
  StoreRevision revision_;
  std::vector<CrashRecord> read_;  // by the last read
  std::set<std::string> stored_;   // fingerprints
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_QUARANTINE_STORE_H_
