// Requests that reach a box before it knows a configuration and its endpoints.
//
// After a loss of power callers come within milliseconds of a box's start, and
// it can serve them some 30 ms later. Refused, they would come back after a
// pause that is many times longer, and only once. So they wait, but for a small
// part of the latency that they ask for and in bounded number; who has waited
// that long is refused as not run.
//
// The queue answers nobody: its owner takes out who may go on and whose time is
// over.

#ifndef PINFORD_FORWARDING_START_QUEUE_H_
#define PINFORD_FORWARDING_START_QUEUE_H_

#include <deque>
#include <utility>
#include <vector>

#include "util/clock.h"

namespace pinford {

struct StartQueueOptions {
  // A question to a seed, or to the store, and its answer take 10 to 30 ms; the
  // strictest latency that callers ask for is 120 ms.
  Duration max_wait = milliseconds(100);
  // Bounds memory: 800 bytes each on the mean, 4 MB at the very most.
  size_t most = 256;
};

template <typename Item>
class StartQueue {
 public:
  explicit StartQueue(const StartQueueOptions& options) : options_(options) {}

  // False if it is full.
  bool Add(Time now, Item item) {
    if (waiting_.size() >= options_.most) return false;
    waiting_.emplace_back(now, std::move(item));
    return true;
  }
  // Those who have waited for as long as they may.
  std::vector<Item> TakeOverdue(Time now) {
    std::vector<Item> out;
    while (!waiting_.empty() &&
           now - waiting_.front().first >= options_.max_wait) {
      out.push_back(std::move(waiting_.front().second));
      waiting_.pop_front();
    }
    return out;
  }
  // All, in the order in which they came.
  std::vector<Item> TakeAll() {
    std::vector<Item> out;
    for (auto& [since, item] : waiting_) out.push_back(std::move(item));
    waiting_.clear();
    return out;
  }

 private:
  StartQueueOptions options_;
  std::deque<std::pair<Time, Item>> waiting_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_START_QUEUE_H_
