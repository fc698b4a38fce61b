#include "pinford/send_queue.h"

#include <utility>

namespace pinford {

// Of copied bytes.
static constexpr size_t kMaxJoinedBytes = 64 << 10;

void SendQueue::Append(std::string_view bytes) {
  if (bytes.empty()) return;
  size_ += bytes.size();
  const bool joins =
      !blocks_.empty() && !blocks_.back().shared &&
      blocks_.back().own.size() + bytes.size() <= kMaxJoinedBytes;
  if (joins) {
    blocks_.back().own += bytes;
  } else {
    blocks_.push_back({std::string(bytes), nullptr});
  }
}

void SendQueue::AppendShared(std::shared_ptr<const std::string> bytes) {
  if (bytes == nullptr || bytes->empty()) return;
  size_ += bytes->size();
  blocks_.push_back({"", std::move(bytes)});
}

std::string_view SendQueue::Next() const {
  return std::string_view(blocks_.front().bytes()).substr(skipped_);
}

void SendQueue::Skip(size_t n) {
  size_ -= n;
  skipped_ += n;
  if (skipped_ < blocks_.front().bytes().size()) return;
  blocks_.pop_front();
  skipped_ = 0;
}

void SendQueue::Clear() {
  blocks_.clear();
  skipped_ = 0;
  size_ = 0;
}

}  // namespace pinford
