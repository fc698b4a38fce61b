// Keeps a copy of all keys under one prefix of the store, and knows how old
// the proof is that the copy is the newest.
//
// A copy that only has to begin is read once, without a watch (Look).
//
// It lists the prefix, then watches for changes from there on. When the store
// has forgotten the history, or a watch fails, it lists again: a list and the
// changes after it cannot miss one, a watch that broke may have.
//
// A proof is the moment *before* a call was sent whose answer showed what the
// store then held: however late the answer came or the process was paused
// meanwhile, the copy was the newest at that moment. Each answered call
// renews it; an unanswered store lets it grow old.

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
  // How long a watch waits. A proof is this old by the time of the answer, and
  // twice by the next; a waiting watch counts as one call to the store.
  Duration watch_timeout = milliseconds(1000);
  // After the wait, how long an answer may take.
  Duration answer_limit = milliseconds(700);
  // The same of a list once the store has fallen silent. Another is then sent
  // after `retry`, but an answer to any of them still counts: so a return is
  // noticed this soon, however slow the store is.
  Duration silent_limit = milliseconds(700);
  // Between calls to a store that does not answer or refuses: doubled with
  // each failure in a row, up to the latter.
  Duration retry_delay = milliseconds(250);
  Duration max_retry_delay = milliseconds(250);
  // A watch that brings changes all the time is asked again no sooner.
  Duration min_watch_interval = milliseconds(20);
};

struct PrefixMirrorEvents {
  // The whole prefix, in place of all that was known.
  std::function<void(const PrefixResult&)> on_list;
  // Changes since.
  std::function<void(const PrefixResult&)> on_changes;
  std::function<void(Time proof)> on_proof;
  // The store answers this mirror, or does no longer.
  std::function<void(bool reachable, StoreStatus why)> on_reachable;
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

  // Mirrors from now on, beginning with a list.
  void Start() {
    if (std::exchange(active_, true) || reading_once_) return;
    failures_ = 0;
    List();
  }
  // Leaves the store alone. The copy and its proof grow old.
  void Stop() {
    if (!std::exchange(active_, false)) return;
    current_call_++;
    list_epoch_++;
    clock_->Cancel(timer_);
    reading_once_ = false;
  }
  // Somebody else hears from the store again.
  void RetryNow() {
    if (active_ && !reachable_) List();
  }
  // The store has come back from a copy: what the mirror goes on from is of
  // before.
  void ListAgain() {
    if (active_) List();
  }
  // Lists the prefix once, unless it is mirrored or being listed already.
  void Look() {
    if (active_ || std::exchange(reading_once_, true)) return;
    List();
  }

  bool active() const { return active_; }

  // Whether the last call failed. False while none has ended yet.
  bool failing() const { return failures_ > 0; }
  // From now on retries come at the latest after so long.
  void set_most_retry(Duration d) { options_.max_retry_delay = d; }
  StoreRevision at() const { return at_; }
  // Time{} before the first.
  Time proof() const { return fresh_as_of_; }

 private:
  void List() {
    const Time sent_at = clock_->now();
    const uint64_t epoch = list_epoch_;
    const bool unreachable = active_ && !reachable_;
    StartTimeout(++current_call_,
                 unreachable ? options_.silent_limit : options_.answer_limit);
    store_->List(prefix_, [this, sent_at, epoch](const PrefixResult& r) {
      if (epoch != list_epoch_) return;
      list_epoch_++;
      current_call_++;
      if (r.status != StoreStatus::kOk) {
        OnFailure(r.status);
        return;
      }
      OnSuccess(sent_at);
      at_ = r.at;
      events_.on_list(r);
      reading_once_ = false;
      if (active_) {
        Watch();
      } else {
        clock_->Cancel(timer_);
      }
    });
  }

  void Watch() {
    const Time sent_at = clock_->now();
    const uint64_t call = ++current_call_;
    StartTimeout(call, options_.watch_timeout + options_.answer_limit);
    store_->WatchPrefix(prefix_, at_, options_.watch_timeout,
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
        // Changes prove only what came with them, not that no more follow.
        OnSuccess(sent_at);
        Schedule(options_.min_watch_interval, [this] { Watch(); });
        return;
      case StoreStatus::kTimeout:
        at_ = r.at;
        OnSuccess(sent_at);
        Watch();
        return;
      case StoreStatus::kForgotten:
        List();
        return;
      default:
        OnFailure(r.status);
        return;
    }
  }

  // Gives an answer up that does not come. A later one of the same call is
  // passed over.
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

  void OnSuccess(Time sent_at) {
    failures_ = 0;
    if (!reachable_) {
      reachable_ = true;
      events_.on_reachable(true, StoreStatus::kOk);
    }
    fresh_as_of_ = std::max(fresh_as_of_, sent_at);
    events_.on_proof(fresh_as_of_);
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
  uint64_t current_call_ = 0;  // the call whose answer is waited for
  int failures_ = 0;           // of calls of a mirror, in a row
  uint64_t list_epoch_ = 0;    // grows when lists under way no longer count
  TimerId timer_ = 0;
  bool active_ = false;
  bool reading_once_ = false;  // a list is under way that no watch may follow
  bool reachable_ = false;
  Time fresh_as_of_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PREFIX_MIRROR_H_
