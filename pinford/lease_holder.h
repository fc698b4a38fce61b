// Holds one lease of the store, or tries to acquire it.
//
// A lease counts only until its last known end: the time just before the
// renewing call was sent, plus the lease's duration. A holder that was paused,
// or that gets no answers, stops holding the lease by itself, without any
// message from the store. The token grows with each new holder and fences off
// the previous one.

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
  // `on_token` receives each new token, and 0 when the lease is lost.
  LeaseHolder(S* store, Clk* clock, std::string key, std::string holder,
              Duration lease, std::function<void(uint64_t)> on_token)
      : store_(store),
        clock_(clock),
        key_(std::move(key)),
        holder_(std::move(holder)),
        lease_(lease),
        on_token_(std::move(on_token)) {}

  // Acquires or renews the lease; `then` receives whether it is held now.
  void Renew(std::function<void(bool)> then) {
    const Time sent = clock_->now();
    store_->AcquireLease(key_, holder_, lease_,
                         [this, sent, then, abandon_count = abandon_count_](
                             const StoreResult& r) {
                           if (abandon_count == abandon_count_)
                             OnReply(sent, r);
                           then(held());
                         });
  }

  // The token while the lease is certain to be held, else 0.
  uint64_t token() const { return held() ? token_ : 0; }
  bool held() const { return token_ != 0 && clock_->now() < held_until_; }
  // How long the lease is certain to be held.
  Duration left() const {
    return held() ? held_until_ - clock_->now() : Duration(0);
  }
  // Abandons the lease: another holder has acted under a higher token, or the
  // store has lost acknowledged writes. A renewal in progress is ignored.
  void Abandon() {
    abandon_count_++;
    SetToken(0);
  }

 private:
  void OnReply(Time sent, const StoreResult& r) {
    if (r.status != StoreStatus::kOk) {
      // Without a reply it is unknown whether the lease was renewed.
      const bool ended = clock_->now() >= held_until_;
      if (r.status == StoreStatus::kConflict || ended) SetToken(0);
      return;
    }
    held_until_ = sent + lease_;
    SetToken(r.now.revision.packed());
    if (clock_->now() >= held_until_) SetToken(0);
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
  uint64_t abandon_count_ = 0;  // counts abandoned leases
  Time held_until_{};
};

}  // namespace pinford

#endif  // PINFORD_LEASE_HOLDER_H_
