// The seam to the platform's key-value service: the only place where boxes
// agree on anything, and the only place that keeps anything.
//
// A value has a revision that grows with each write to its key. The revision
// before all others stands for "no such key". A write names the revision that
// it replaces.

#ifndef PINFORD_STORE_H_
#define PINFORD_STORE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/store_revision.h"
#include "util/clock.h"

namespace pinford {

enum class StoreStatus {
  kOk,
  kMissing,    // no such key
  kConflict,   // the key is at another revision, or the lease is another's
  kTimeout,    // of a watch: nothing new in its time
  kNotSent,    // the call never left: it has no effect and will have none
  kUnknown,    // no reply: a write may have taken effect, now or later
  kCompacted,  // of a watch: changes that were asked for are kept no more
  kRefused,    // the service refused the call and did nothing
};

std::string_view StoreStatusName(StoreStatus s);

struct StoreValue {
  std::string value;
  StoreRevision revision;
};

// The result of any call. On kOk and kConflict of a write, `now` is what the
// store holds after it (its value may be empty on kOk).
struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  StoreValue now;
};

using StoreCallback = std::function<void(const StoreResult&)>;

// Callbacks come later, never from within the call, and always once: after
// the client's own time limit at the latest.
template <typename S>
concept Store = requires(S s, const std::string& key, StoreRevision revision,
                         const std::string& value, Duration d,
                         StoreCallback fn) {
  {s.Get(key, fn)};
  // Writes `value` if the key is at `revision`.
  {s.CompareAndSwap(key, revision, value, fn)};
  // Waits up to `d` for a revision above `revision`.
  {s.Watch(key, revision, d, fn)};
  // Takes or renews the lease `key` for `value` (the holder's id) for `d`. On
  // kOk the revision, packed, is the lease's fencing token: it grows with each
  // new holder and stays over renewals.
  {s.AcquireLease(key, value, d, fn)};
};

// One key under a prefix that is mirrored (prefix_mirror.h).
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
  bool removed = false;  // of a watch: the key was removed
};

// The result of List or WatchPrefix. `at` is the store's revision that the
// items are of, and that the next watch goes on from.
struct PrefixResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  StoreRevision at;
};

using PrefixCallback = std::function<void(const PrefixResult&)>;

// What a mirror needs. Callbacks as with Store.
template <typename S>
concept PrefixStore = requires(S s, const std::string& prefix,
                               StoreRevision since, Duration d,
                               PrefixCallback fn) {
  // All keys under `prefix`, as new as the store has them.
  {s.List(prefix, fn)};
  // Waits up to `d` for changes after revision `since`. kOk with the changes,
  // kTimeout if there were none, kCompacted.
  {s.WatchPrefix(prefix, since, d, fn)};
};

}  // namespace pinford

#endif  // PINFORD_STORE_H_
