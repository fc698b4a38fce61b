// A body that is collected before it is forwarded: of a response, or of a
// caller's request.
//
// All such bodies of a box add to one account, which its owner bounds: the
// limit of one body alone does not bound the memory of a box if many arrive at
// once. A body is kept in pieces, because a growing string is copied and needs
// up to three times its size meanwhile.

#ifndef PINFORD_FORWARDING_COLLECTED_BODY_H_
#define PINFORD_FORWARDING_COLLECTED_BODY_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "pinford/byte_account.h"

namespace pinford {

class CollectedBody {
 public:
  explicit CollectedBody(std::shared_ptr<ByteAccount> account)
      : charge_(std::move(account)) {}
  CollectedBody(const CollectedBody&) = delete;
  CollectedBody& operator=(const CollectedBody&) = delete;

  void Append(std::string bytes);
  void Clear();
  // Moves the body of `other` here, in place of this one.
  void TakeFrom(CollectedBody* other);
  // Returns the whole body and clears this one.
  std::string Take();

  size_t size() const { return charge_.bytes(); }

 private:
  ByteCharge charge_;
  std::deque<std::string> pieces_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_COLLECTED_BODY_H_
