// Retries that move: a box that lacks some asks a few peers, drawn at random,
// and one that has more than it is likely to need lends.
//
// Losses are not even. A group of runners takes with it the streams of the few
// boxes that had most there, whose shares last for a few retries each while
// most boxes need none; and a box that has just started has no share but what
// its own requests earn.
//
// Why the sum over boxes keeps to the bound is told in retry_share.h, whose
// accounts these are. Here is what a datagram may do to them:
// - An ask carries a random nonce, one for each peer. An answer counts if it
//   carries the nonce of an ask of this life, once, before the ask's end by
//   this box's own clock, and for no more than was asked for.
// - A peer that grants what it does not have adds at most what it was asked
//   for: `most_each` an ask, and `most_borrowed` a window for each box that
//   lacks some.
// - A peer that asks without need is lent at most `most_each` for each of
//   `answers_a_second`, and never what this box keeps for itself.
//
// What a box sends is the same for any number of boxes, and nothing while none
// lacks a retry.
//
// No I/O: the owner sends each of Asks to another peer, and OnAsk's answer
// back.

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
    // Asked of one peer: what a box has to spare where it sees three requests
    // a second, since they earn five retries a window.
    int most_each = 4;
    // 32 retries in all: the streams that a box loses at once with a group of
    // runners. Asks and answers together are 920 bytes in a second of need,
    // with long names (RetryLoans.BytesAreFewAndFlat).
    int asks_a_second = 8;
    // As many as are asked on average where every box lacks some.
    int answers_a_second = 8;
    // In a window: two such losses. Bounds what a lying peer can add.
    int most_borrowed = 64;
  };

  // `share` outlives it.
  RetryLoans(RetryShare* share, const Options& options, Random random)
      : share_(share), options_(options), random_(random) {}

  // The asks to send now, each to another peer. Call it often.
  std::vector<RetryRequest> MakeAsks(Time now);
  // The answer to a peer's ask, if this box lends.
  std::optional<RetryLoan> OnAsk(Time now, const RetryRequest& ask);
  // Takes an answer in; returns how many retries were borrowed.
  int OnLoan(Time now, const RetryLoan& loan);

  int64_t asks() const { return asks_sent_; }
  int64_t lent() const { return lent_; }
  int64_t borrowed() const { return borrowed_; }

 private:
  struct Asked {
    std::string service;
    int count = 0;
    Time until{};
  };
  // Events of the last while.
  using Times = std::deque<Time>;
  // How many of `most` in a span are left.
  static int Left(Time now, Duration span, int most, Times* times);

  RetryShare* share_;
  Options options_;
  Random random_;
  std::unordered_map<uint64_t, Asked> asked_;  // by nonce
  Times ask_times_;
  Times answer_times_;
  Times borrow_times_;
  int64_t asks_sent_ = 0;
  int64_t lent_ = 0;
  int64_t borrowed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RETRY_LOANS_H_
