// Splits the body of a streamed response into complete events.
//
// An event ends with an empty line (the text/event-stream format). Only
// complete events are forwarded, so a stream that is interrupted can always be
// resumed after the last event id that its caller has received. Events with an
// id at or below the last one forwarded are duplicates and are dropped.

#ifndef PINFORD_FORWARDING_EVENT_STREAM_H_
#define PINFORD_FORWARDING_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

class EventStream {
 public:
  // A faulty endpoint may send an event without end. Those of engines are some
  // hundred bytes long.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Adds bytes of the body. Returns the new complete events, if any.
  std::string Feed(std::string_view bytes);

  // Discards an incomplete event, before another attempt resumes the stream.
  void DropPartial() {
    partial_.clear();
    searched_ = 0;
  }
  bool has_partial() const { return !partial_.empty(); }
  // Whether the incomplete event is longer than kMaxEventBytes. The stream is
  // then of no use.
  bool exceeds_limit() const { return partial_.size() > kMaxEventBytes; }

  // The id of the last event returned; nothing before the first.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Starts after an event that the caller already has.
  void set_last_id(uint64_t id) { last_id_ = id; }
  int64_t events() const { return events_; }

 private:
  std::string partial_;
  size_t searched_ = 0;  // bytes of it in which no event ends
  std::optional<uint64_t> last_id_;
  int64_t events_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_EVENT_STREAM_H_
