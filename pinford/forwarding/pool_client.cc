#include "pinford/forwarding/pool_client.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<LayerOrderStatus> kStatusNames[] = {
    {LayerOrderStatus::kStarted, "begun"},
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
    {RerouteStatus::kRefusedByStage, "a stage has not the part"},
    {RerouteStatus::kUnknown, "no reply"},
};

std::string_view RerouteStatusName(RerouteStatus s) {
  return NameIn(kRerouteNames, s);
}

RunnerHealth HealthOf(const LayerRange& listed, uint64_t incarnation,
                      const RunnerAnswer& answer) {
  if (answer.timed_out) return {};
  const std::optional<RunnerReport>& report = answer.report;
  if (!report) return {true};
  const bool works =
      report->state.holds.Contains(listed) &&
      !IsNewerIncarnation(incarnation, report->state.incarnation);
  if (!works) return {true};
  return {true, true, report->slowdown, report->used,
          report->running + report->waiting};
}

}  // namespace pinford
