#include "pinford/forwarding/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace pinford {

void EndpointWatch::OnBegin(Time now, const Chain& chain) {
  for (const Stage& stage : chain) {
    Row& row = rows_[stage.endpoint];
    // Silence from before it had anything to do says nothing.
    if (row.streams++ == 0) row.progress = std::max(row.progress, now);
  }
}

void EndpointWatch::OnEnd(const Chain& chain) {
  for (const Stage& stage : chain) {
    auto it = rows_.find(stage.endpoint);
    if (it == rows_.end()) continue;
    Row& row = it->second;
    int& streams = row.lost > 0 ? row.lost : row.streams;
    if (streams > 0) streams--;
  }
}

void EndpointWatch::OnProgress(Time now, const Chain& chain) {
  constexpr double kWeight = 0.1;  // of the newest interval
  for (const Stage& stage : chain) {
    Row& row = rows_[stage.endpoint];
    const double interval = ToSeconds(now - row.progress);
    if (row.progress != Time{}) {
      row.usual += (interval - row.usual) * (row.usual == 0 ? 1 : kWeight);
    }
    row.progress = now;
  }
}

bool EndpointWatch::Suspicious(Time now, const Row& row) const {
  if (row.streams == 0) return false;
  const Duration usual = FromSeconds(row.usual * options_.usual_times);
  return now - row.progress >= std::max(usual, options_.least_silence);
}

bool EndpointWatch::MayAsk(Time now, const Row& row) const {
  if (row.asking) return false;
  const Duration pause = row.down || row.slow ? options_.impaired_probe_interval
                                              : options_.healthy_probe_interval;
  return row.asked == Time{} || now - row.asked >= pause;
}

bool EndpointWatch::BeginProbe(Time now, const std::string& endpoint) {
  Row& row = rows_[endpoint];
  if (!MayAsk(now, row)) return false;
  row.asking = true;
  row.asked = now;
  return true;
}

std::vector<std::string> EndpointWatch::EndpointsToProbe(Time now) {
  std::vector<std::string> out;
  for (const auto& [name, row] : rows_) {
    if (!MayAsk(now, row)) continue;
    if (row.down || row.slow || Suspicious(now, row)) out.push_back(name);
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
  row.asking = row.undecided = false;
  const bool slow = works && slowdown >= options_.slow_pace;
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
  row.asking = false;
  row.undecided = !row.undecided;
  if (row.undecided) row.asked = Time{};
  return row.undecided;
}

void EndpointWatch::OnRestart(const std::string& endpoint) {
  const auto it = rows_.find(endpoint);
  if (it == rows_.end()) return;
  Row fresh;
  fresh.lost = it->second.lost + it->second.streams;
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
  return row.down || row.asking || row.undecided;
}

Time EndpointWatch::LastProgressOf(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it == rows_.end() ? Time{} : it->second.progress;
}

}  // namespace pinford
