#include "pinford/pool_capacity.h"

#include <algorithm>

namespace pinford {

// Tokens per second that a runner can prefill beyond its present load.
static double FreePrefillRate(Time now, const EndpointTable& table,
                              const EndpointTable::Row& row) {
  // A load over 1 means that prompts are queued, not that none is run.
  constexpr double kMinFree = 0.05;
  const LoadReport& report = *row.report;
  const double token_seconds = report.prefill_seconds * report.holds.size() *
                               std::max(1.0, row.slowdown);
  if (token_seconds <= 0) return 0;
  const double load = table.PrefillLoadOf(now, row.listed.name);
  return std::max(kMinFree, 1 - load) / token_seconds;
}

static double FreeMemory(Time now, const EndpointTable& table,
                         const EndpointTable::Row& row) {
  const LoadReport& report = *row.report;
  const double used = table.MemoryUtilizationOf(now, row.listed.name);
  return std::max(0.0, 1 - used) * report.memory_capacity / report.holds.size();
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
    const double prefill = FreePrefillRate(now, table, row);
    const double memory = FreeMemory(now, table, row);
    const int end = std::min(report.holds.end, layers_);
    for (int l = report.holds.begin; l < end; l++) {
      hall[l].holders++;
      hall[l].prefill_per_s += prefill;
      hall[l].free_memory += memory;
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
  Layer minimum = it->second[range.begin];
  for (int l = range.begin + 1; l < end; l++) {
    const Layer& layer = it->second[l];
    minimum.holders = std::min(minimum.holders, layer.holders);
    minimum.prefill_per_s =
        std::min(minimum.prefill_per_s, layer.prefill_per_s);
    minimum.free_memory = std::min(minimum.free_memory, layer.free_memory);
  }
  return minimum;
}

PoolCapacity::Layer PoolCapacity::MinOverLayers(const std::string& hall) const {
  return MinOverLayers(hall, {0, layers_});
}

int PoolCapacity::BottleneckLayer(const std::string& hall) const {
  const auto it = halls_.find(hall);
  if (it == halls_.end()) return 0;
  const auto minimum = std::min_element(
      it->second.begin(), it->second.end(), [](const Layer& a, const Layer& b) {
        return a.prefill_per_s < b.prefill_per_s;
      });
  return static_cast<int>(minimum - it->second.begin());
}

}  // namespace pinford
