#include "pinford/forwarding/relay_frames.h"

#include <algorithm>

#include "pinford/peer_messages.h"

namespace pinford {

// Lengths of the last frame, which has no content.
static constexpr size_t kClosedLength = 0;
static constexpr size_t kResetLength = 0xffffffff;

std::string WriteRelayFrame(std::string_view bytes) {
  std::string frame = LengthPrefix(bytes.size());
  frame += bytes;
  return frame;
}

std::string WriteRelayEnd(RelayedEnd end) {
  return LengthPrefix(end == RelayedEnd::kClosed ? kClosedLength
                                                 : kResetLength);
}

bool RelayFrameReader::Feed(std::string_view bytes,
                            const std::function<void(std::string_view)>& fn) {
  while (!bytes.empty() && !end_) {
    if (left_ > 0) {
      const std::string_view content = bytes.substr(0, left_);
      bytes.remove_prefix(content.size());
      left_ -= content.size();
      fn(content);
      continue;
    }
    const size_t missing = kLengthBytes - length_.size();
    length_ += bytes.substr(0, missing);
    bytes.remove_prefix(std::min(missing, bytes.size()));
    if (length_.size() < kLengthBytes) return true;
    const size_t length = ParseLength(length_);
    length_.clear();
    if (length == kClosedLength) end_ = RelayedEnd::kClosed;
    if (length == kResetLength) end_ = RelayedEnd::kReset;
    if (end_) return true;
    if (length > kMaxRelayFrameBytes) return false;
    left_ = length;
  }
  return true;
}

}  // namespace pinford
