#include "pinford/forwarding/pool_client.h"

#include "util/enum_names.h"

namespace pinford {

RunnerRef RefTo(const DirectoryEntry& entry) {
  return {entry.listed.name, entry.listed.address};
}

static constexpr EnumName<LayerOrderStatus> kStatusNames[] = {
    {LayerOrderStatus::kStarted, "begun"},
    {LayerOrderStatus::kDone, "done"},
    {LayerOrderStatus::kConflict, "conflict"},
    {LayerOrderStatus::kFenced, "fenced"},
    {LayerOrderStatus::kNotSent, "not sent"},
    {LayerOrderStatus::kOtherRunner, "another runner"},
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

static constexpr EnumName<ProbeAnswer> kAnswerNames[] = {
    {ProbeAnswer::kNone, "none"},       {ProbeAnswer::kNoPath, "no path"},
    {ProbeAnswer::kRefused, "refused"}, {ProbeAnswer::kOther, "other"},
    {ProbeAnswer::kReport, "report"},
};

std::string_view ProbeAnswerName(ProbeAnswer a) {
  return NameIn(kAnswerNames, a);
}

static ProbeAnswer AnswerOf(const RunnerAnswer& answer) {
  if (answer.no_path) return ProbeAnswer::kNoPath;
  if (answer.timed_out) return ProbeAnswer::kNone;
  if (answer.report) return ProbeAnswer::kReport;
  return answer.refused ? ProbeAnswer::kRefused : ProbeAnswer::kOther;
}

RunnerHealth HealthOf(const LayerRange& listed, uint64_t incarnation,
                      const RunnerAnswer& answer) {
  RunnerHealth health;
  health.answer = AnswerOf(answer);
  health.answered = health.answer != ProbeAnswer::kNone &&
                    health.answer != ProbeAnswer::kNoPath;
  if (health.answer != ProbeAnswer::kReport) return health;
  const RunnerReport& report = *answer.report;
  health.works = report.state.holds.Contains(listed) &&
                 !IsNewerIncarnation(incarnation, report.state.incarnation);
  if (!health.works) return health;
  health.slowdown = report.slowdown;
  health.used = report.used;
  health.entries = report.running + report.waiting;
  return health;
}

}  // namespace pinford
