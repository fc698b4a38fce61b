#include "pinford/forwarding/pool_client.h"

#include "util/names.h"

namespace pinford {

static constexpr EnumName<LayerOrderStatus> kStatusNames[] = {
    {LayerOrderStatus::kBegun, "begun"},
    {LayerOrderStatus::kDone, "done"},
    {LayerOrderStatus::kConflict, "conflict"},
    {LayerOrderStatus::kFenced, "fenced"},
    {LayerOrderStatus::kNotSent, "not sent"},
    {LayerOrderStatus::kUnknown, "no reply"},
};

std::string_view LayerOrderStatusName(LayerOrderStatus s) {
  return NameIn(kStatusNames, s);
}

static constexpr EnumName<RerouteStatus> kRerouteNames[] = {
    {RerouteStatus::kDone, "done"},
    {RerouteStatus::kNoRequest, "no such request"},
    {RerouteStatus::kNoPart, "a stage has not the part"},
    {RerouteStatus::kUnknown, "no reply"},
};

std::string_view RerouteStatusName(RerouteStatus s) {
  return NameIn(kRerouteNames, s);
}

RunnerHealth HealthOf(const LayerRange& listed, uint64_t incarnation,
                      const RunnerAnswer& answer) {
  if (answer.silent) return {};
  const std::optional<RunnerReport>& report = answer.report;
  if (!report) return {true};
  const bool works = report->state.holds.Contains(listed) &&
                     !IsNewLife(incarnation, report->state.incarnation);
  if (!works) return {true};
  return {true, true, report->pace, report->used,
          report->running + report->waiting};
}

}  // namespace pinford
