#include "pinford/forwarding/collected_body.h"

#include <utility>

namespace pinford {

// Shorter pieces are joined, so that a body of tiny ones takes no more memory.
static constexpr size_t kPieceBytes = 64 << 10;

void CollectedBody::Append(std::string bytes) {
  size_ += bytes.size();
  *total_ += bytes.size();
  const bool joins =
      !pieces_.empty() && pieces_.back().size() + bytes.size() <= kPieceBytes;
  if (joins) {
    pieces_.back() += bytes;
  } else {
    pieces_.push_back(std::move(bytes));
  }
}

void CollectedBody::Clear() {
  *total_ -= size_;
  size_ = 0;
  pieces_.clear();
}

std::string CollectedBody::Take() {
  std::string out;
  out.reserve(size_);
  while (!pieces_.empty()) {
    out += pieces_.front();
    pieces_.pop_front();
  }
  Clear();
  return out;
}

}  // namespace pinford
