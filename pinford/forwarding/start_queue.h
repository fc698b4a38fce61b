// Holds requests that reach a box before it knows a configuration and its
// endpoints.
//
// After a power failure callers connect within milliseconds of a box's start,
// and the box can serve them some 30 ms later. If refused, they would retry
// after a much longer pause, and only once. Requests therefore wait, but only
// for a small part of the latency that they ask for, and in limited number. A
// request that has waited for the maximum time is refused as not run.
//
// The queue sends no responses. Its owner removes requests that can proceed or
// have expired.

#ifndef PINFORD_FORWARDING_START_QUEUE_H_
#define PINFORD_FORWARDING_START_QUEUE_H_

#include <deque>
#include <utility>
#include <vector>

#include "util/clock.h"

namespace pinford {

struct StartQueueOptions {
  // A round trip to a seed or to the store takes 10 to 30 ms; the strictest
  // latency that callers ask for is 120 ms.
  Duration max_wait = milliseconds(100);
  // Limits the work that follows at once. The memory of the requests counts
  // against the callers' budget (caller_budget.h).
  size_t max_items = 256;
};

template <typename Item>
class StartQueue {
 public:
  explicit StartQueue(const StartQueueOptions& options) : options_(options) {}

  // Returns false if the queue is full.
  bool Add(Time now, Item item) {
    if (waiting_.size() >= options_.max_items) return false;
    waiting_.emplace_back(now, std::move(item));
    return true;
  }
  // Removes the items that have waited for the maximum time.
  std::vector<Item> PopExpired(Time now) {
    std::vector<Item> out;
    while (!waiting_.empty() &&
           now - waiting_.front().first >= options_.max_wait) {
      out.push_back(std::move(waiting_.front().second));
      waiting_.pop_front();
    }
    return out;
  }
  // Removes all items, in the order in which they were added.
  std::vector<Item> PopAll() {
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
