#include "pinford/forwarding/collected_body.h"

#include <algorithm>
#include <utility>

namespace pinford {

// Shorter pieces are joined, so that a body of tiny ones takes no more memory.
static constexpr size_t kPieceBytes = 64 << 10;

// Reserves no more than a piece may take.
static void Join(const std::string& bytes, std::string* piece) {
  const size_t size = piece->size() + bytes.size();
  if (size > piece->capacity())
    piece->reserve(std::clamp(2 * piece->size(), size, kPieceBytes));
  *piece += bytes;
}

void CollectedBody::Append(std::string bytes) {
  if (bytes.empty()) return;
  charge_.Set(size() + bytes.size());
  const bool joins =
      !pieces_.empty() && pieces_.back().size() + bytes.size() <= kPieceBytes;
  if (joins) {
    Join(bytes, &pieces_.back());
  } else {
    pieces_.push_back(std::move(bytes));
  }
}

void CollectedBody::Clear() {
  charge_.Set(0);
  pieces_.clear();
}

void CollectedBody::TakeFrom(CollectedBody* other) {
  pieces_ = std::exchange(other->pieces_, {});
  charge_.Set(other->size());
  other->Clear();
}

std::string CollectedBody::Take() {
  std::string out;
  out.reserve(size());
  while (!pieces_.empty()) {
    out += pieces_.front();
    pieces_.pop_front();
  }
  Clear();
  return out;
}

}  // namespace pinford
