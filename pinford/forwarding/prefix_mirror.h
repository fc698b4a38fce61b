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
  Duration wait = milliseconds(1000);
  // After the wait, how long an answer may take.
  Duration answer_timeout = milliseconds(700);
  // The same of a list once the store has fallen silent. Another is then sent
  // after `retry`, but an answer to any of them still counts: so a return is
  // noticed this soon, however slow the store is.
  Duration unreachable_timeout = milliseconds(700);
  // Between calls to a store that does not answer or refuses: doubled with
  // each failure in a row, up to the latter.
  Duration retry = milliseconds(250);
  Duration most_retry = milliseconds(250);
  // A watch that brings changes all the time is asked again no sooner.
  Duration least_pause = milliseconds(20);
};

struct PrefixMirrorEvents {
  // The whole prefix, in place of all that was known.
  std::function<void(const PrefixResult&)> on_list;
  // Changes since.
  std::function<void(const PrefixResult&)> on_changes;
  std::function<void(Time fresh_as_of)> on_freshness;
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
    if (std::exchange(active_, true) || looking_) return;
    failures_ = 0;
    List();
  }
  // Leaves the store alone. The copy and its proof grow old.
  void Stop() {
    if (!std::exchange(active_, false)) return;
    call_++;
    lists_++;
    clock_->Cancel(guard_);
    looking_ = false;
  }
  // Somebody else hears from the store again.
  void RetryNow() {
    if (active_ && !reachable_) List();
  }
  // The store has come back from a copy: what the mirror goes on from is of
  // before.
  void Relist() {
    if (active_) List();
  }
  // Lists the prefix once, unless it is mirrored or being listed already.
  void ReadOnce() {
    if (active_ || std::exchange(looking_, true)) return;
    List();
  }

  bool active() const { return active_; }

  // Whether the last call failed. False while none has ended yet.
  bool failing() const { return failures_ > 0; }
  // From now on retries come at the latest after so long.
  void set_max_retry_delay(Duration d) { options_.most_retry = d; }
  StoreRevision at() const { return at_; }
  // Time{} before the first.
  Time fresh_as_of() const { return proof_; }

 private:
  void List() {
    const Time sent = clock_->now();
    const uint64_t lists = lists_;
    const bool silent = active_ && !reachable_;
    Guard(++call_,
          silent ? options_.unreachable_timeout : options_.answer_timeout);
    store_->List(prefix_, [this, sent, lists](const PrefixResult& r) {
      if (lists != lists_) return;
      lists_++;
      call_++;
      if (r.status != StoreStatus::kOk) {
        Failed(r.status);
        return;
      }
      Reached(sent);
      at_ = r.at;
      events_.on_list(r);
      looking_ = false;
      if (active_) {
        Watch();
      } else {
        clock_->Cancel(guard_);
      }
    });
  }

  void Watch() {
    const Time sent = clock_->now();
    const uint64_t call = ++call_;
    Guard(call, options_.wait + options_.answer_timeout);
    store_->WatchPrefix(prefix_, at_, options_.wait,
                        [this, sent, call](const PrefixResult& r) {
                          if (call != call_) return;
                          OnWatch(sent, r);
                        });
  }

  void OnWatch(Time sent, const PrefixResult& r) {
    switch (r.status) {
      case StoreStatus::kOk:
        at_ = r.at;
        events_.on_changes(r);
        // Changes prove only what came with them, not that no more follow.
        Reached(sent);
        Later(options_.least_pause, [this] { Watch(); });
        return;
      case StoreStatus::kTimeout:
        at_ = r.at;
        Reached(sent);
        Watch();
        return;
      case StoreStatus::kCompacted:
        List();
        return;
      default:
        Failed(r.status);
        return;
    }
  }

  // Gives an answer up that does not come. A later one of the same call is
  // passed over.
  void Guard(uint64_t call, Duration limit) {
    clock_->Cancel(guard_);
    guard_ = clock_->After(limit, [this, call] {
      if (call != call_) return;
      call_++;
      Failed(StoreStatus::kUnknown);
    });
  }

  void Later(Duration d, std::function<void()> fn) {
    clock_->Cancel(guard_);
    const uint64_t call = ++call_;
    guard_ = clock_->After(d, [this, call, fn = std::move(fn)] {
      if (call == call_) fn();
    });
  }

  void Reached(Time sent) {
    failures_ = 0;
    if (!reachable_) {
      reachable_ = true;
      events_.on_reachable(true, StoreStatus::kOk);
    }
    proof_ = std::max(proof_, sent);
    events_.on_freshness(proof_);
  }

  void Failed(StoreStatus why) {
    if (reachable_) {
      reachable_ = false;
      events_.on_reachable(false, why);
    }
    looking_ = false;
    if (active_) {
      constexpr int kMostDoublings = 10;
      const Duration retry =
          options_.retry * (1 << std::min(failures_++, kMostDoublings));
      Later(std::min(retry, options_.most_retry), [this] { List(); });
      return;
    }
    call_++;
    clock_->Cancel(guard_);
  }

  S* store_;
  Clk* clock_;
  std::string prefix_;
  PrefixMirrorOptions options_;
  PrefixMirrorEvents events_;
  StoreRevision at_;
  uint64_t call_ = 0;   // the call whose answer is waited for
  int failures_ = 0;    // of calls of a mirror, in a row
  uint64_t lists_ = 0;  // grows when lists under way no longer count
  TimerId guard_ = 0;
  bool active_ = false;
  bool looking_ = false;  // a list is under way that no watch may follow
  bool reachable_ = false;
  Time proof_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PREFIX_MIRROR_H_
