// The bytes that a connection still has to send.
//
// Short writes are copied and joined. A large block can be shared instead: it
// is held by reference until its last byte is sent, so that a body exists once
// however often it is sent. Sent bytes are skipped, not moved.

#ifndef PINFORD_SEND_QUEUE_H_
#define PINFORD_SEND_QUEUE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace pinford {

class SendQueue {
 public:
  void Append(std::string_view bytes);
  void AppendShared(std::shared_ptr<const std::string> bytes);
  // The next bytes, as far as they are contiguous. Valid until the next change.
  // Requires that the queue is not empty.
  std::string_view Next() const;
  // Removes `n` bytes, at most Next().size().
  void Skip(size_t n);
  void Clear();

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Block {
    std::string own;
    std::shared_ptr<const std::string> shared;  // instead of `own`, if set

    const std::string& bytes() const { return shared ? *shared : own; }
  };

  std::deque<Block> blocks_;  // none is empty
  size_t skipped_ = 0;        // of the first block
  size_t size_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_SEND_QUEUE_H_
