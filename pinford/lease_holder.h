// Holds one lease of the store's, or tries for it.
//
// A lease counts only until its last known end: the moment before the call
// that renewed it was sent, plus its duration. A holder that was paused, or
// that gets no answers, stops counting as one by itself, without a word from
// the store. The token grows with each new holder and fences off the one
// before.

#ifndef PINFORD_LEASE_HOLDER_H_
#define PINFORD_LEASE_HOLDER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "pinford/store.h"
#include "util/clock.h"

namespace pinford {

template <Store S, Clock Clk>
class LeaseHolder {
 public:
  // `on_token` is told of each new token, and of 0 when the lease is lost.
  LeaseHolder(S* store, Clk* clock, std::string key, std::string holder,
              Duration lease, std::function<void(uint64_t)> on_token)
      : store_(store),
        clock_(clock),
        key_(std::move(key)),
        holder_(std::move(holder)),
        lease_(lease),
        on_token_(std::move(on_token)) {}

  // Takes or renews the lease; `then` is told whether it is held now.
  void Renew(std::function<void(bool)> then) {
    const Time asked = clock_->now();
    store_->AcquireLease(
        key_, holder_, lease_,
        [this, asked, then, forgotten = forgotten_](const StoreResult& r) {
          if (forgotten == forgotten_) OnAnswer(asked, r);
          then(held());
        });
  }

  // The token while the lease is held for sure, else 0.
  uint64_t token() const { return held() ? token_ : 0; }
  bool held() const { return token_ != 0 && clock_->now() < until_; }
  // How long it is held for sure.
  Duration left() const {
    return held() ? until_ - clock_->now() : Duration(0);
  }
  // Another has been seen at work under a higher token, or the store has lost
  // what it acknowledged. A renewal that is under way counts no more.
  void Abandon() {
    forgotten_++;
    SetToken(0);
  }

 private:
  void OnAnswer(Time asked, const StoreResult& r) {
    if (r.status != StoreStatus::kOk) {
      // Without a reply the lease may have been renewed or not.
      const bool ended = clock_->now() >= until_;
      if (r.status == StoreStatus::kConflict || ended) SetToken(0);
      return;
    }
    until_ = asked + lease_;
    SetToken(r.now.revision.packed());
    if (clock_->now() >= until_) SetToken(0);
  }

  void SetToken(uint64_t token) {
    if (token == token_) return;
    token_ = token;
    if (on_token_) on_token_(token);
  }

  S* store_;
  Clk* clock_;
  std::string key_;
  std::string holder_;
  Duration lease_;
  std::function<void(uint64_t)> on_token_;
  uint64_t token_ = 0;
  uint64_t forgotten_ = 0;  // how often it was
  Time until_{};
};

}  // namespace pinford

#endif  // PINFORD_LEASE_HOLDER_H_
