// Splits the body of a streamed answer into whole events.
//
// An event ends with an empty line (the text/event-stream format). Only whole
// events are handed on, so what a caller has read always ends where a stream
// can be taken up again: after the event whose id was read last. Events up to
// an id that was passed on already are dropped.

#ifndef PINFORD_FORWARDING_EVENT_STREAM_H_
#define PINFORD_FORWARDING_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

class EventStream {
 public:
  // Takes bytes in. Returns the whole events among them that are new.
  std::string Feed(std::string_view bytes);

  // Drops the bytes of an event that was broken off: another run goes on.
  void DropPartial() { partial_.clear(); }
  bool has_partial() const { return !partial_.empty(); }

  // The id of the last event that was passed on; nothing before the first.
  std::optional<uint64_t> last_id() const { return last_id_; }
  // Starts after an event that the caller already has.
  void set_last_id(uint64_t id) { last_id_ = id; }
  int64_t events() const { return events_; }

 private:
  std::string partial_;
  std::optional<uint64_t> last_id_;
  int64_t events_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_EVENT_STREAM_H_
