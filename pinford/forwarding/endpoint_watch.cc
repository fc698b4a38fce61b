#include "pinford/forwarding/endpoint_watch.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

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
    if (!row.down && !row.slow) row.unchanged = 0;
  }
}

bool EndpointWatch::Suspicious(Time now, const Row& row) const {
  if (row.streams == 0) return false;
  const Duration usual = FromSeconds(row.usual * options_.usual_times);
  return now - row.progress >= std::max(usual, options_.least_silence);
}

bool EndpointWatch::MayAsk(Time now, const Row& row) const {
  if (row.asking) return false;
  const Duration pause =
      row.down || row.slow ? options_.ask_impaired : options_.ask_again;
  return row.asked == Time{} || now - row.asked >= pause;
}

Duration EndpointWatch::PauseOf(const std::string& endpoint,
                                const Row& row) const {
  constexpr int kMaxDoublings = 10;
  const bool impaired = row.down || row.slow;
  const Duration least = impaired ? options_.ask_impaired : options_.ask_again;
  const Duration most = impaired ? options_.most_impaired : options_.most_again;
  const Duration pause =
      std::min({most, least * boxes_,
                least * (1 << std::min(row.unchanged, kMaxDoublings))});
  // From half of it on, by chance, but the same each time.
  constexpr double kTop = 18446744073709551616.0;  // 2^64
  const double part = Hash64(endpoint, options_.seed) / kTop;
  const Duration apart = FromSeconds(ToSeconds(pause) * (1 + part) / 2);
  return std::max(least, apart);
}

void EndpointWatch::NoteAsked(Time now, Row* row) {
  row->asking = true;
  row->asked = now;
}

bool EndpointWatch::BeginAsk(Time now, const std::string& endpoint) {
  Row& row = rows_[endpoint];
  // Who doubts it may know better than the last answers.
  row.unchanged = 0;
  if (!MayAsk(now, row)) return false;
  NoteAsked(now, &row);
  return true;
}

std::vector<std::string> EndpointWatch::ToAsk(Time now) {
  std::vector<std::string> out;
  for (const auto& [name, row] : rows_) {
    if (!MayAsk(now, row)) continue;
    if (now - row.asked < PauseOf(name, row) && row.asked != Time{}) continue;
    if (row.down || row.slow || Suspicious(now, row)) out.push_back(name);
  }
  for (const std::string& name : out) NoteAsked(now, &rows_[name]);
  return out;
}

EndpointWatch::Change EndpointWatch::OnAnswer(const std::string& endpoint,
                                              bool works, double pace) {
  auto it = rows_.find(endpoint);
  if (it == rows_.end()) it = rows_.emplace(endpoint, Row()).first;
  Row& row = it->second;
  row.asking = false;
  const bool slow = works && pace >= options_.slow_pace;
  const bool was_down = std::exchange(row.down, !works);
  const bool was_slow = std::exchange(row.slow, slow);
  const bool as_before = row.down == was_down && row.slow == was_slow;
  row.unchanged = as_before ? row.unchanged + 1 : 0;
  if ((row.down && !was_down) || (row.slow && !was_slow)) {
    return Change::kWorse;
  }
  const bool same = row.down == was_down && row.slow == was_slow;
  return same ? Change::kNone : Change::kBetter;
}

bool EndpointWatch::IsSlow(const std::string& endpoint) const {
  auto it = rows_.find(endpoint);
  return it != rows_.end() && it->second.slow;
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
