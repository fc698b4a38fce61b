#include "pinford/timeline.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <tuple>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<EventKind> kEventKindNames[] = {
    {EventKind::kBoxStarted, "box_started"},
    {EventKind::kBoxReady, "box_ready"},
    {EventKind::kBoxLeaving, "box_leaving"},
    {EventKind::kBoxStopped, "box_stopped"},
    {EventKind::kPeerJoined, "peer_joined"},
    {EventKind::kPeerLost, "peer_lost"},
    {EventKind::kPeerLeaving, "peer_leaving"},
    {EventKind::kConfigurationAdopted, "configuration_adopted"},
    {EventKind::kSubmissionDecided, "submission_decided"},
    {EventKind::kEndpointsAdopted, "endpoints_adopted"},
    {EventKind::kEndpointLeaving, "endpoint_leaving"},
    {EventKind::kRequestArrived, "request_arrived"},
    {EventKind::kRequestStarted, "request_started"},
    {EventKind::kRequestEnded, "request_ended"},
    {EventKind::kStageLost, "stage_lost"},
    {EventKind::kStageRepaired, "stage_repaired"},
    {EventKind::kCallEnded, "call_ended"},
    {EventKind::kStoreLost, "store_lost"},
    {EventKind::kStoreBack, "store_back"},
    {EventKind::kPolicyError, "policy_error"},
    {EventKind::kOrderSent, "order_sent"},
    {EventKind::kLeaseTaken, "lease_taken"},
    {EventKind::kLeaseLost, "lease_lost"},
};

std::string_view EventKindName(EventKind k) {
  return NameIn(kEventKindNames, k);
}

Timeline::Timeline(std::string box, uint64_t incarnation, size_t capacity,
                   std::function<uint64_t()> wall)
    : box_(std::move(box)),
      incarnation_(incarnation),
      capacity_(capacity),
      wall_(std::move(wall)) {}

HybridTime Timeline::now() {
  const uint64_t wall = wall_();
  if (wall > last_.millis) {
    last_ = {wall, 0};
  } else {
    last_.counter++;
  }
  return last_;
}

void Timeline::Observe(const HybridTime& other) {
  if (other > last_) last_ = other;
}

void Timeline::Add(EventKind kind, std::string request, std::string detail) {
  if (ring_.size() >= capacity_) {
    ring_.pop_front();
    dropped_++;
  }
  ring_.push_back({now(), box_, incarnation_, ++sequence_, kind,
                   std::move(request), std::move(detail)});
}

std::vector<TimelineEvent> Timeline::Events(std::string_view request) const {
  std::vector<TimelineEvent> events;
  for (const TimelineEvent& e : ring_) {
    if (request.empty() || e.request == request) events.push_back(e);
  }
  return events;
}

void SortEvents(std::vector<TimelineEvent>* events) {
  auto key = [](const TimelineEvent& e) {
    return std::tie(e.time, e.box, e.incarnation, e.sequence);
  };
  std::sort(events->begin(), events->end(),
            [&key](const TimelineEvent& a, const TimelineEvent& b) {
              return key(a) < key(b);
            });
}

std::string FormatEvent(const TimelineEvent& e) {
  const std::time_t second = static_cast<std::time_t>(e.time.millis / 1000);
  return fmt::format("{:%FT%T}.{:03}Z+{} {} {}{}{} {}", fmt::gmtime(second),
                     e.time.millis % 1000, e.time.counter, e.box,
                     EventKindName(e.kind), e.request.empty() ? "" : " ",
                     e.request, e.detail);
}

}  // namespace pinford
