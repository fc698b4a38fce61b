// The timeline: an event log that has one order over all boxes.
//
// Each box keeps its latest events in memory. Events are timestamped by a
// hybrid logical clock (Kulkarni et al., "Logical physical clocks", OPODIS
// 2014): the wall clock while that advances, and a counter while it does not or
// a peer's clock is ahead. So an event that another box caused never sorts
// before its cause, however far the boxes' clocks differ.

#ifndef PINFORD_TIMELINE_H_
#define PINFORD_TIMELINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pinford {

enum class EventKind : uint8_t {
  kBoxStarted,
  kBoxReady,
  kBoxLeaving,
  kBoxStopped,
  kPeerJoined,
  kPeerLost,
  kPeerLeaving,
  kConfigurationAdopted,
  kSubmissionDecided,
  kEndpointsAdopted,
  kEndpointLeaving,
  kRequestArrived,
  kRequestStarted,
  kRequestEnded,
  kStageLost,
  kStageRepaired,
  kCallEnded,
  kStoreLost,
  kStoreRegained,
  kPolicyError,
  kOrderSent,
  kLeaseAcquired,
  kLeaseLost,
};

std::string_view EventKindName(EventKind k);

struct HybridTime {
  uint64_t millis = 0;  // since 1970
  uint32_t counter = 0;
  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

struct TimelineEvent {
  HybridTime time;
  std::string box;
  uint64_t incarnation = 0;  // of the box
  uint64_t sequence = 0;     // number of the event on its box
  EventKind kind = EventKind::kBoxStarted;
  std::string request;  // id, or "" if it concerns no single request
  std::string detail;
};

class Timeline {
 public:
  // `wall` returns milliseconds since 1970. Keeps the latest `capacity` events.
  Timeline(std::string box, uint64_t incarnation, size_t capacity,
           std::function<uint64_t()> wall);

  void Add(EventKind kind, std::string request, std::string detail);
  // Advances the clock to a peer's time, so that later events sort after it.
  void Observe(const HybridTime& other);
  // Advances the clock and returns its time.
  HybridTime now();

  // The retained events of `request`, or all of them if it is "".
  std::vector<TimelineEvent> Events(std::string_view request) const;
  // Events dropped because newer ones took their place.
  uint64_t dropped() const { return dropped_; }

 private:
  std::string box_;
  uint64_t incarnation_;
  size_t capacity_;
  std::function<uint64_t()> wall_;
  HybridTime last_;
  uint64_t sequence_ = 0;
  uint64_t dropped_ = 0;
  std::deque<TimelineEvent> events_;
};

// Sorts events of several boxes by time.
void SortEvents(std::vector<TimelineEvent>* events);
// One line of human-readable text.
std::string FormatEvent(const TimelineEvent& e);

}  // namespace pinford

#endif  // PINFORD_TIMELINE_H_
