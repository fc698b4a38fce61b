#include "pinford/forwarding/hall_exchange.h"

namespace pinford {

void HallExchange::Tick() {
  const Time now = loop_->now();
  if (now < next_) return;
  const auto firsts = roster_->firsts_elsewhere(now);
  const auto halls = static_cast<int64_t>(firsts.size());
  next_ = now + options_.interval + options_.a_hall * halls;
  for (const SourceRoster::First& first : firsts) Ask(first);
}

void HallExchange::Ask(const SourceRoster::First& first) {
  FetchRequest request;
  request.kind = FetchKind::kShared;
  // No documents: they come by the box's own ways.
  for (uint64_t& version : request.above_versions) version = UINT64_MAX;
  sharing_->FillForHall(first.hall, &request);
  link_->Fetch(first.address, request,
               [this, hall = first.hall](const std::optional<FetchReply>& r) {
                 if (r) sharing_->OnHallReply(loop_->now(), hall, *r);
               });
}

}  // namespace pinford
