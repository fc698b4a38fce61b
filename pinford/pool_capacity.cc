#include "pinford/pool_capacity.h"

#include <algorithm>

namespace pinford {

// Tokens a second that a runner reads beside what is sent to it already.
static double FreeReading(Time now, const EndpointTable& table,
                          const EndpointTable::Row& row) {
  // An account over 1 says that prompts wait, not that none is read.
  constexpr double kLeastFree = 0.05;
  const LoadReport& report = *row.report;
  const double a_token = report.prefill_seconds * report.holds.size() *
                         std::max(1.0, row.slowdown);
  if (a_token <= 0) return 0;
  const double reading = table.PrefillLoadOf(now, row.listed.name);
  return std::max(kLeastFree, 1 - reading) / a_token;
}

static double FreeRoom(Time now, const EndpointTable& table,
                       const EndpointTable::Row& row) {
  const LoadReport& report = *row.report;
  const double taken = table.MemoryUtilizationOf(now, row.listed.name);
  return std::max(0.0, 1 - taken) * report.memory_capacity /
         report.holds.size();
}

PoolCapacity::PoolCapacity(Time now, const EndpointTable& table,
                           const std::string& model, const std::string& version)
    : as_of_(now), layers_(table.LayersOf(model, version)) {
  for (const auto& [name, row] : table.rows()) {
    if (row.listed.role != EndpointRole::kRunner || !row.report) continue;
    const LoadReport& report = *row.report;
    if (report.model != model || report.version != version) continue;
    std::vector<Layer>& hall = halls_[row.listed.hall];
    hall.resize(layers_);
    if (report.holds.empty() || !table.TakesNewWork(now, name)) continue;
    const double reads = FreeReading(now, table, row);
    const double memory_capacity = FreeRoom(now, table, row);
    const int end = std::min(report.holds.end, layers_);
    for (int l = report.holds.begin; l < end; l++) {
      hall[l].holders++;
      hall[l].prefill_per_s += reads;
      hall[l].free_memory += memory_capacity;
    }
  }
}

std::vector<std::string> PoolCapacity::halls() const {
  std::vector<std::string> names;
  for (const auto& [name, layers] : halls_) names.push_back(name);
  return names;
}

PoolCapacity::Layer PoolCapacity::MinOverLayers(const std::string& hall,
                                                const LayerRange& range) const {
  const auto it = halls_.find(hall);
  if (it == halls_.end() || range.empty()) return {};
  const int end = std::min(range.end, layers_);
  if (range.begin >= end) return {};
  Layer least = it->second[range.begin];
  for (int l = range.begin + 1; l < end; l++) {
    const Layer& layer = it->second[l];
    least.holders = std::min(least.holders, layer.holders);
    least.prefill_per_s = std::min(least.prefill_per_s, layer.prefill_per_s);
    least.free_memory = std::min(least.free_memory, layer.free_memory);
  }
  return least;
}

PoolCapacity::Layer PoolCapacity::MinOverLayers(const std::string& hall) const {
  return MinOverLayers(hall, {0, layers_});
}

int PoolCapacity::BottleneckLayer(const std::string& hall) const {
  const auto it = halls_.find(hall);
  if (it == halls_.end()) return 0;
  const auto least = std::min_element(
      it->second.begin(), it->second.end(), [](const Layer& a, const Layer& b) {
        return a.prefill_per_s < b.prefill_per_s;
      });
  return static_cast<int>(least - it->second.begin());
}

}  // namespace pinford
