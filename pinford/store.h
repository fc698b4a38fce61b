// Interface to the platform's key-value service. It holds all persistent state
// and is the only means by which boxes reach agreement.
//
// A value has a revision that increases with each write to its key. The lowest
// revision stands for "no such key". A write names the revision that it
// replaces.

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
  kMissing,   // no such key
  kConflict,  // the key is at another revision, or another holder has the lease
  kTimeout,   // of a watch: no change in its time
  kNotSent,   // the call was never sent: it has no effect, now or later
  kUnknown,   // no reply: a write may have taken effect, now or later
  kCompacted,  // of a watch: the requested changes are no longer kept
  kRefused,    // the service refused the call and did nothing
};

std::string_view StoreStatusName(StoreStatus s);

struct StoreValue {
  std::string value;
  StoreRevision revision;
};

// The result of any call. If a write ends with kOk or kConflict, `now` is what
// the store holds after it (its value may be empty on kOk).
struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  StoreValue now;
};

using StoreCallback = std::function<void(const StoreResult&)>;

// Callbacks are invoked exactly once, never from within the call, and at the
// latest after the client's own timeout.
template <typename S>
concept Store = requires(S s, const std::string& key, StoreRevision revision,
                         const std::string& value, Duration d,
                         StoreCallback fn) {
  {s.Get(key, fn)};
  // Writes `value` if the key is at `revision`.
  {s.CompareAndSwap(key, revision, value, fn)};
  // Waits up to `d` for a revision above `revision`.
  {s.Watch(key, revision, d, fn)};
  // Acquires or renews the lease `key` for `d`, with the holder's id as
  // `value`. On kOk the packed revision is the lease's fencing token: it
  // increases with each new holder and is kept by renewals.
  {s.AcquireLease(key, value, d, fn)};
};

// One key under a mirrored prefix (see prefix_mirror.h).
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;
  bool removed = false;  // of a watch: the key was removed
};

// The result of List or WatchPrefix. `at` is the store's revision that the
// items belong to and that the next watch continues from.
struct PrefixResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  StoreRevision at;
};

using PrefixCallback = std::function<void(const PrefixResult&)>;

// The operations that a prefix mirror needs. Callbacks as for Store.
template <typename S>
concept PrefixStore = requires(S s, const std::string& prefix,
                               StoreRevision since, Duration d,
                               PrefixCallback fn) {
  // Reads all keys under `prefix` at the store's current revision.
  {s.List(prefix, fn)};
  // Waits up to `d` for changes after revision `since`. Ends with kOk and the
  // changes, with kTimeout if there were none, or with kCompacted.
  {s.WatchPrefix(prefix, since, d, fn)};
};

}  // namespace pinford

#endif  // PINFORD_STORE_H_
