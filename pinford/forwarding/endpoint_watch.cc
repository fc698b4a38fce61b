#include "pinford/forwarding/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace pinford {

void EndpointWatch::OnBegin(Time now, const Chain& chain) {
  for (const Stage& stage : chain) {
    Row& row = rows_[stage.endpoint];
    // Silence while it had no streams does not count.
    if (row.streams++ == 0) row.progress = std::max(row.progress, now);
  }
}

void EndpointWatch::OnEnd(const Chain& chain) {
  for (const Stage& stage : chain) {
    auto it = rows_.find(stage.endpoint);
    if (it == rows_.end()) continue;
    Row& row = it->second;
    int& streams = row.stale_streams > 0 ? row.stale_streams : row.streams;
    if (streams > 0) streams--;
  }
}

void EndpointWatch::OnProgress(Time now, const Chain& chain) {
  constexpr double kSmoothingFactor = 0.1;  // weight of the newest interval
  for (const Stage& stage : chain) {
    Row& row = rows_[stage.endpoint];
    const double interval = ToSeconds(now - row.progress);
    if (row.progress != Time{}) {
      row.mean_interval += (interval - row.mean_interval) *
                           (row.mean_interval == 0 ? 1 : kSmoothingFactor);
    }
    row.progress = now;
  }
}

bool EndpointWatch::IsSuspicious(Time now, const Row& row) const {
  if (row.streams == 0) return false;
  const Duration limit =
      FromSeconds(row.mean_interval * options_.silence_factor);
  return now - row.progress >= std::max(limit, options_.min_silence);
}

bool EndpointWatch::MayProbe(Time now, const Row& row) const {
  if (row.probing) return false;
  const Duration min_pause = row.down || row.slow
                                 ? options_.impaired_probe_interval
                                 : options_.healthy_probe_interval;
  return row.last_probe == Time{} || now - row.last_probe >= min_pause;
}

bool EndpointWatch::BeginProbe(Time now, const std::string& endpoint) {
  Row& row = rows_[endpoint];
  if (!MayProbe(now, row)) return false;
  row.probing = true;
  row.last_probe = now;
  return true;
}

std::vector<std::string> EndpointWatch::EndpointsToProbe(Time now) {
  std::vector<std::string> out;
  for (const auto& [name, row] : rows_) {
    if (!MayProbe(now, row)) continue;
    if (row.down || row.slow || IsSuspicious(now, row)) out.push_back(name);
  }
  for (const std::string& name : out) BeginProbe(now, name);
  return out;
}

EndpointWatch::Change EndpointWatch::OnProbeResult(const std::string& endpoint,
                                                   bool works,
                                                   double slowdown) {
  auto it = rows_.find(endpoint);
  if (it == rows_.end()) it = rows_.emplace(endpoint, Row()).first;
  Row& row = it->second;
  row.probing = row.inconclusive = false;
  const bool slow = works && slowdown >= options_.slow_threshold;
  const bool was_down = std::exchange(row.down, !works);
  const bool was_slow = std::exchange(row.slow, slow);
  if ((row.down && !was_down) || (row.slow && !was_slow)) {
    return Change::kWorse;
  }
  const bool same = row.down == was_down && row.slow == was_slow;
  return same ? Change::kNone : Change::kBetter;
}

bool EndpointWatch::OnProbeInconclusive(const std::string& endpoint) {
  Row& row = rows_[endpoint];
  row.probing = false;
  row.inconclusive = !row.inconclusive;
  if (row.inconclusive) row.last_probe = Time{};
  return row.inconclusive;
}

void EndpointWatch::OnProbeDiscarded(const std::string& endpoint) {
  const auto it = rows_.find(endpoint);
  if (it != rows_.end()) it->second.probing = false;
}

void EndpointWatch::OnRestart(const std::string& endpoint) {
  const auto it = rows_.find(endpoint);
  if (it == rows_.end()) return;
  Row fresh;
  fresh.stale_streams = it->second.stale_streams + it->second.streams;
  it->second = fresh;
}

bool EndpointWatch::IsSlow(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it != rows_.end() && it->second.slow;
}

bool EndpointWatch::IsDown(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it != rows_.end() && it->second.down;
}

bool EndpointWatch::IsSuspected(const std::string& endpoint) const {
  const auto it = rows_.find(endpoint);
  if (it == rows_.end()) return false;
  const Row& row = it->second;
  return row.down || row.probing || row.inconclusive;
}

Time EndpointWatch::LastProgressOf(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it == rows_.end() ? Time{} : it->second.progress;
}

}  // namespace pinford
