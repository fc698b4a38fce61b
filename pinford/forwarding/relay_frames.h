// Frames in which a relay passes an endpoint's bytes on.
//
// Each frame is its length in four bytes and as many bytes. The last one has no
// content and says how the endpoint ended the connection. Without it, the relay
// was lost, which is neither the end of a response that has no length nor a
// failure of the endpoint.

#ifndef PINFORD_FORWARDING_RELAY_FRAMES_H_
#define PINFORD_FORWARDING_RELAY_FRAMES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

inline constexpr size_t kMaxRelayFrameBytes = 1 << 20;

// How the endpoint ended its connection to the relay.
enum class RelayedEnd {
  kClosed,  // in order
  kReset,
};

// Requires that there are bytes.
std::string WriteRelayFrame(std::string_view bytes);
std::string WriteRelayEnd(RelayedEnd end);

class RelayFrameReader {
 public:
  // Calls `fn` with the content of the frames in `bytes`, as far as it has
  // arrived. Returns false if a frame is too long; then nothing more is read.
  bool Feed(std::string_view bytes,
            const std::function<void(std::string_view)>& fn);
  // What the last frame says; nullopt while it has not arrived.
  std::optional<RelayedEnd> end() const { return end_; }

 private:
  std::string length_;  // what has arrived of it
  size_t left_ = 0;     // bytes missing of the present frame
  std::optional<RelayedEnd> end_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RELAY_FRAMES_H_
