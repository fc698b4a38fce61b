#include "pinford/endpoint_watch.h"

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
    if (it != rows_.end() && it->second.streams > 0) it->second.streams--;
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

std::vector<std::string> EndpointWatch::ToAsk(Time now) {
  std::vector<std::string> out;
  for (auto& [name, row] : rows_) {
    if (row.asking) continue;
    const Duration pause = row.down ? options_.ask_down : options_.ask_again;
    if (now - row.asked < pause) continue;
    if (!row.down && !Suspicious(now, row)) continue;
    row.asking = true;
    row.asked = now;
    out.push_back(name);
  }
  return out;
}

bool EndpointWatch::OnAnswer(const std::string& endpoint, bool works) {
  auto it = rows_.find(endpoint);
  if (it == rows_.end()) return false;
  it->second.asking = false;
  if (works) {
    it->second.down = false;
    return false;
  }
  return OnDown(endpoint);
}

bool EndpointWatch::OnDown(const std::string& endpoint) {
  return !std::exchange(rows_[endpoint].down, true);
}

bool EndpointWatch::IsDown(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it != rows_.end() && it->second.down;
}

Time EndpointWatch::ProgressOf(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it == rows_.end() ? Time{} : it->second.progress;
}

}  // namespace pinford
