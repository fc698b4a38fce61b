// Counts the bytes that a box holds of one kind, wherever they are.
//
// Whoever holds such bytes has a ByteCharge for them, which gives them back
// when it is destroyed. The account lives as long as any of its charges.

#ifndef PINFORD_BYTE_ACCOUNT_H_
#define PINFORD_BYTE_ACCOUNT_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace pinford {

class ByteAccount {
 public:
  size_t total() const { return total_; }

 private:
  friend class ByteCharge;
  size_t total_ = 0;
};

class ByteCharge {
 public:
  explicit ByteCharge(std::shared_ptr<ByteAccount> account)
      : account_(std::move(account)) {}
  ~ByteCharge() { Set(0); }
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  void Set(size_t bytes) {
    account_->total_ += bytes - bytes_;
    bytes_ = bytes;
  }
  size_t bytes() const { return bytes_; }
  const std::shared_ptr<ByteAccount>& account() const { return account_; }

 private:
  std::shared_ptr<ByteAccount> account_;
  size_t bytes_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_BYTE_ACCOUNT_H_
