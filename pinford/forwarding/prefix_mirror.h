// Mirrors all keys under one prefix of the store, and knows when the copy was
// last known to be current.
//
// The mirror lists the prefix, then watches for changes from there on. If the
// store has compacted the history, or a watch fails, it lists again: a list and
// the changes after it cannot miss a change, but a broken watch may have. A
// copy can also be read once, without a watch (ReadOnce).
//
// An owner that has the prefix as of some revision from elsewhere is told the
// changes since instead of a list: a list of 3,000 keys is 15 calls or more.
//
// The freshness time is the time *before* a call was sent whose answer showed
// the state of the store: the copy was current at that time, however late the
// answer arrived and whether or not the process was paused in between. Each
// answered call renews it; while the store is unreachable, its age grows.

#ifndef PINFORD_FORWARDING_PREFIX_MIRROR_H_
#define PINFORD_FORWARDING_PREFIX_MIRROR_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

struct PrefixMirrorOptions {
  // How long a watch waits. The freshness age is this long when the answer
  // arrives, and twice as long before the next one; a waiting watch counts as
  // one call to the store.
  Duration watch_timeout = milliseconds(1000);
  // How long an answer may take beyond the watch timeout.
  Duration answer_timeout = milliseconds(700);
  // The same for a list while the store is unreachable. Another list is then
  // sent after `retry_delay`, but an answer to any of them is accepted, so
  // recovery is noticed this soon, however slow the store is.
  Duration unreachable_timeout = milliseconds(700);
  // Between calls to a store that does not answer or refuses: doubled with each
  // consecutive failure, up to the maximum.
  Duration retry_delay = milliseconds(250);
  Duration max_retry_delay = milliseconds(250);
  // How long a single read of changes waits for one. The store may withhold
  // changes from watches for up to a second.
  Duration read_once_timeout = milliseconds(1200);
  // Minimum time between watches that return changes continuously.
  Duration min_watch_interval = milliseconds(20);
};

struct PrefixMirrorEvents {
  // The whole prefix; replaces everything known before.
  std::function<void(const PrefixResult&)> on_list;
  // Changes since the last list or changes.
  std::function<void(const PrefixResult&)> on_changes;
  // The copy, as told by then, was current at that time.
  std::function<void(Time fresh_as_of)> on_freshness;
  // The store became reachable or unreachable for this mirror; failing() still
  // tells whether calls failed before.
  std::function<void(bool reachable, StoreStatus why)> on_reachable;
  // The revision as of which the owner has the prefix; may be empty.
  std::function<StoreRevision()> known = {};
};

template <PrefixStore S, Clock Clk>
class PrefixMirror {
 public:
  PrefixMirror(S* store, Clk* clock, std::string prefix,
               const PrefixMirrorOptions& options, PrefixMirrorEvents events)
      : store_(store),
        clock_(clock),
        prefix_(std::move(prefix)),
        options_(options),
        events_(std::move(events)) {}

  // Starts mirroring, beginning with a list or the changes since `known`.
  void Start() {
    if (std::exchange(active_, true) || reading_once_) return;
    failures_ = 0;
    Begin();
  }
  // Stops calling the store. The copy is kept, and its freshness age grows.
  void Stop() {
    if (!std::exchange(active_, false)) return;
    current_call_++;
    list_epoch_++;
    clock_->Cancel(timer_);
    reading_once_ = false;
  }
  // Another client of this box reached the store after it had not. Retries
  // immediately, or watches anew: the connection of the present watch may have
  // fallen silent with that client's.
  void RetryNow() {
    if (!active_) return;
    if (reachable_) {
      Watch();
    } else {
      List();
    }
  }
  // The store was restored from a backup, so the position of the mirror is no
  // longer valid.
  void Relist() {
    if (active_) List();
  }
  // Reads the prefix once, unless it is being mirrored or read already.
  void ReadOnce() {
    if (active_ || std::exchange(reading_once_, true)) return;
    Begin();
  }

  bool active() const { return active_; }

  // Whether the last call failed. False until the first one has ended.
  bool failing() const { return failures_ > 0; }
  // Sets the upper bound of the delay between retries.
  void set_max_retry_delay(Duration d) { options_.max_retry_delay = d; }
  StoreRevision at() const { return at_; }
  // When the copy was last known to be current; Time{} if never.
  Time fresh_as_of() const { return fresh_as_of_; }

 private:
  void Begin() {
    const StoreRevision known =
        events_.known ? events_.known() : StoreRevision();
    if (known == StoreRevision()) {
      List();
      return;
    }
    at_ = known;
    Watch();
  }

  void List() {
    const Time sent_at = clock_->now();
    const uint64_t epoch = list_epoch_;
    const bool unreachable = active_ && !reachable_;
    StartTimeout(++current_call_, unreachable ? options_.unreachable_timeout
                                              : options_.answer_timeout);
    store_->List(prefix_, [this, sent_at, epoch](const PrefixResult& r) {
      if (epoch != list_epoch_) return;
      list_epoch_++;
      current_call_++;
      if (r.status != StoreStatus::kOk) {
        OnFailure(r.status);
        return;
      }
      OnAnswered();
      at_ = r.at;
      events_.on_list(r);
      OnFresh(sent_at);
      if (Continues()) Watch();
    });
  }

  // Ends a single read. Returns whether the prefix is being mirrored.
  bool Continues() {
    reading_once_ = false;
    if (!active_) clock_->Cancel(timer_);
    return active_;
  }

  void Watch() {
    const Time sent_at = clock_->now();
    const uint64_t call = ++current_call_;
    const Duration wait =
        active_ ? options_.watch_timeout
                : std::min(options_.watch_timeout, options_.read_once_timeout);
    StartTimeout(call, wait + options_.answer_timeout);
    store_->WatchPrefix(prefix_, at_, wait,
                        [this, sent_at, call](const PrefixResult& r) {
                          if (call != current_call_) return;
                          OnWatch(sent_at, r);
                        });
  }

  void OnWatch(Time sent_at, const PrefixResult& r) {
    switch (r.status) {
      case StoreStatus::kOk:
        at_ = r.at;
        events_.on_changes(r);
        OnAnswered();
        // Further changes may already have followed, but the copy holds
        // everything written before the call was sent.
        OnFresh(sent_at);
        if (!Continues()) return;
        Schedule(options_.min_watch_interval, [this] { Watch(); });
        return;
      case StoreStatus::kTimeout:
        at_ = r.at;
        OnAnswered();
        OnFresh(sent_at);
        if (Continues()) Watch();
        return;
      case StoreStatus::kCompacted:
        List();
        return;
      default:
        OnFailure(r.status);
        return;
    }
  }

  // Limits the wait for an answer. A later answer to the same call is ignored,
  // except to a list.
  void StartTimeout(uint64_t call, Duration limit) {
    clock_->Cancel(timer_);
    timer_ = clock_->After(limit, [this, call] {
      if (call != current_call_) return;
      current_call_++;
      OnFailure(StoreStatus::kUnknown);
    });
  }

  void Schedule(Duration d, std::function<void()> fn) {
    clock_->Cancel(timer_);
    const uint64_t call = ++current_call_;
    timer_ = clock_->After(d, [this, call, fn = std::move(fn)] {
      if (call == current_call_) fn();
    });
  }

  void OnAnswered() {
    if (!reachable_) {
      reachable_ = true;
      events_.on_reachable(true, StoreStatus::kOk);
    }
    failures_ = 0;
  }

  void OnFresh(Time sent_at) {
    fresh_as_of_ = std::max(fresh_as_of_, sent_at);
    events_.on_freshness(fresh_as_of_);
  }

  void OnFailure(StoreStatus why) {
    if (reachable_) {
      reachable_ = false;
      events_.on_reachable(false, why);
    }
    reading_once_ = false;
    if (active_) {
      constexpr int kMaxDoublings = 10;
      const Duration retry_delay =
          options_.retry_delay * (1 << std::min(failures_++, kMaxDoublings));
      Schedule(std::min(retry_delay, options_.max_retry_delay),
               [this] { List(); });
      return;
    }
    current_call_++;
    clock_->Cancel(timer_);
  }

  S* store_;
  Clk* clock_;
  std::string prefix_;
  PrefixMirrorOptions options_;
  PrefixMirrorEvents events_;
  StoreRevision at_;
  uint64_t current_call_ = 0;  // identifies the call whose answer is awaited
  int failures_ = 0;           // consecutive failed calls while mirroring
  uint64_t list_epoch_ = 0;    // incremented when outstanding lists become void
  TimerId timer_ = 0;
  bool active_ = false;
  bool reading_once_ = false;  // a list without a following watch is pending
  bool reachable_ = false;
  Time fresh_as_of_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PREFIX_MIRROR_H_
