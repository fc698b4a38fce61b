// Moves retries between boxes: a box that lacks retries asks a few peers, drawn
// at random, and a peer with more than it is likely to need lends some.
//
// Losses are uneven. A failing group of runners takes down the streams of the
// few boxes that had the most there. The shares of those boxes last for a
// few retries each while most boxes need none; and a box that has just started
// has no share but what its own requests earn.
//
// retry_share.h, which does the accounting, explains why the total over all
// boxes stays within the bound. This class limits what a datagram can do:
// - Each ask to a peer carries a random nonce. A loan counts only if it carries
//   the nonce of an ask of this incarnation, only once, only before the ask
//   expires by this box's own clock, and for no more than was asked for.
// - A peer that grants what it does not have adds at most what it was asked
//   for: `max_per_ask` per ask, and `max_borrowed_per_window` per window for
//   each box that lacks retries.
// - A peer that asks without need gets at most `max_per_ask` for each of
//   `max_loans_per_second` asks, and never what this box reserves for itself.
//
// The traffic of a box does not depend on the number of boxes, and there is
// none while no box lacks a retry.
//
// The class does no I/O: the owner sends each result of Asks() to a different
// peer and returns the result of OnAsk() to the sender.

#ifndef PINFORD_FORWARDING_RETRY_LOANS_H_
#define PINFORD_FORWARDING_RETRY_LOANS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/forwarding/retry_share.h"
#include "pinford/peer_messages.h"
#include "util/hash.h"

namespace pinford {

class RetryLoans {
 public:
  struct Options {
    // Retries asked of one peer: what a box can spare at three requests a
    // second, which earn five retries a window.
    int max_per_ask = 4;
    // Allows 32 retries in all: the streams that a box loses at once with a
    // group of runners. Asks and loans together take 920 bytes in such a second
    // with long names (RetryLoans.BytesAreBoundedForAnyNumberOfBoxes).
    int max_asks_per_second = 8;
    // The average number of asks that a box receives if every box lacks
    // retries.
    int max_loans_per_second = 8;
    // Two such losses. Limits what a peer that grants too much can add.
    int max_borrowed_per_window = 64;
  };

  // `share` must outlive the object.
  RetryLoans(RetryShare* share, const Options& options, Random random)
      : share_(share), options_(options), random_(random) {}

  // Returns the asks to send now, each to a different peer. Call it at every
  // tick.
  std::vector<RetryRequest> MakeAsks(Time now);
  // Returns the response to a peer's ask, if this box lends.
  std::optional<RetryLoan> OnAsk(Time now, const RetryRequest& ask);
  // Accepts a loan. Returns how many retries were borrowed.
  int OnLoan(Time now, const RetryLoan& loan);

  int64_t asks() const { return asks_sent_; }
  int64_t lent() const { return lent_; }
  int64_t borrowed() const { return borrowed_; }

 private:
  struct PendingAsk {
    std::string service;
    int count = 0;
    Time until{};
  };
  // Times of recent events.
  using Times = std::deque<Time>;
  // Drops times older than `span` and returns how many of `max_count` are left.
  static int RemainingInSpan(Time now, Duration span, int max_count,
                             Times* times);

  RetryShare* share_;
  Options options_;
  Random random_;
  std::unordered_map<uint64_t, PendingAsk> pending_asks_;  // by nonce
  Times ask_times_;
  Times loan_times_;
  Times borrow_times_;
  int64_t asks_sent_ = 0;
  int64_t lent_ = 0;
  int64_t borrowed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RETRY_LOANS_H_
