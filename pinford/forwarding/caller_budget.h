// How much of what callers have sent a box holds at once.
//
// The limits of a configuration bound one request. Callers that send many large
// ones and never finish them would still use up the memory of a box, so all
// that is held of callers' requests, from the socket to the last send, adds to
// one account with a limit.
//
// A request may grow as long as there is room left for others: for
// kOthers of its own size, or a quarter of the limit if that is less. Large
// bodies therefore never take the room that small requests need, whether they
// are incomplete or wait for a slow endpoint.

#ifndef PINFORD_FORWARDING_CALLER_BUDGET_H_
#define PINFORD_FORWARDING_CALLER_BUDGET_H_

#include <cstddef>
#include <memory>

#include "pinford/byte_account.h"

namespace pinford {

class CallerBudget {
 public:
  static constexpr size_t kOthers = 256;

  explicit CallerBudget(size_t limit)
      : limit_(limit), account_(std::make_shared<ByteAccount>()) {}

  // Whether a request, of which `bytes` are held, leaves room for others.
  bool HasRoomFor(size_t bytes) const {
    const size_t reserved =
        bytes >= limit_ / 4 / kOthers ? limit_ / 4 : bytes * kOthers;
    return account_->total() + reserved <= limit_;
  }

  void set_limit(size_t limit) { limit_ = limit; }
  size_t held() const { return account_->total(); }
  const std::shared_ptr<ByteAccount>& account() const { return account_; }

 private:
  size_t limit_;
  std::shared_ptr<ByteAccount> account_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CALLER_BUDGET_H_
