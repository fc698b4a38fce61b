#include "pinford/forwarding/load_board.h"

#include <algorithm>
#include <cmath>

namespace pinford {

void LoadView::Merge(const LoadStamp& stamp,
                     const std::vector<EndpointState>& rows) {
  if (stamp.board != stamp_.board) rows_.clear();
  stamp_ = stamp;
  for (const EndpointState& row : rows) rows_[row.id] = row;
}

const EndpointState* LoadView::Find(uint32_t endpoint) const {
  const auto it = rows_.find(endpoint);
  return it == rows_.end() ? nullptr : &it->second;
}

void LoadBoard::OnBox(Time now, const std::string& box,
                      std::vector<EndpointLoad> loads) {
  boxes_[box] = {std::move(loads), now};
}

void LoadBoard::OnHall(Time now, const std::string& hall,
                       const LoadStamp& stamp,
                       const std::vector<EndpointState>& rows, uint32_t boxes) {
  Hall& h = halls_[hall];
  h.view.Merge(stamp, rows);
  h.boxes = boxes;
  h.heard = now;
}

LoadStamp LoadBoard::known_of(const std::string& hall) const {
  const auto it = halls_.find(hall);
  return it == halls_.end() ? LoadStamp() : it->second.view.stamp();
}

void LoadBoard::AddTo(Loads* sums, const EndpointLoad& load) {
  Load& sum = (*sums)[load.id];
  sum.work += load.work;
  sum.entries += load.entries;
  sum.reading += load.reading;
}

// Whether a value changed by more than picks are worth.
static bool Notable(double before, double now, double least) {
  constexpr double kPart = 0.06;
  return std::abs(now - before) > std::max(least, kPart * before);
}

static uint16_t Bounded(double v) {
  return static_cast<uint16_t>(std::clamp(v, 0.0, 65535.0));
}

static bool IsEmpty(const EndpointState& s) {
  return s.work == 0 && s.entries == 0 && s.reading == 0 &&
         s.pace == kUsualPace;
}

void LoadBoard::Take(Time now, const Loads& sums, Table* table) const {
  // Thousands of tokens times layers, requests, and ms a second or two.
  constexpr double kLeastWork = 8;
  constexpr double kLeastEntries = 2;
  constexpr double kLeastReading = 20;
  const auto take = [&](uint32_t id, const Load& load, Row* row) {
    const EndpointState& told = row->told;
    const bool changed = load.pace != told.pace ||
                         Notable(told.work, load.work, kLeastWork) ||
                         Notable(told.entries, load.entries, kLeastEntries) ||
                         Notable(told.reading, load.reading, kLeastReading);
    if (!changed) return;
    row->told = {id, Bounded(load.work), Bounded(load.entries),
                 Bounded(load.reading), load.pace};
    row->version = table->version;
    row->changed = now;
  };
  table->version++;
  for (const auto& [id, load] : sums) take(id, load, &table->rows[id]);
  for (auto it = table->rows.begin(); it != table->rows.end();) {
    Row& row = it->second;
    if (!sums.contains(it->first)) take(it->first, Load(), &row);
    const bool over =
        IsEmpty(row.told) && now - row.changed > options_.keep_empty;
    it = over ? table->rows.erase(it) : std::next(it);
  }
}

void LoadBoard::Sum(Time now, const std::vector<EndpointLoad>& own,
                    const std::vector<EndpointState>& known) {
  summed_ = now;
  std::erase_if(boxes_, [&](const auto& box) {
    return now - box.second.heard > options_.box_counts;
  });
  std::erase_if(halls_, [&](const auto& hall) {
    return now - hall.second.heard > options_.hall_counts;
  });
  Loads sums;
  for (const EndpointLoad& load : own) AddTo(&sums, load);
  for (const auto& [name, box] : boxes_) {
    for (const EndpointLoad& load : box.loads) AddTo(&sums, load);
  }
  hall_boxes_ = fleet_boxes_ = static_cast<uint32_t>(boxes_.size()) + 1;
  for (const EndpointState& state : known) sums[state.id].pace = state.pace;
  Take(now, sums, &hall_);
  for (const auto& [name, hall] : halls_) {
    fleet_boxes_ += hall.boxes;
    for (const auto& [id, row] : hall.view.rows()) {
      AddTo(&sums, {id, row.work, row.entries, row.reading});
    }
  }
  Take(now, sums, &fleet_);
}

LoadStamp LoadBoard::stamp(LoadScope scope) const {
  return {id_, table(scope).version};
}

std::vector<EndpointState> LoadBoard::Since(LoadScope scope,
                                            const LoadStamp& since) const {
  const uint64_t after = since.board == id_ ? since.version : 0;
  std::vector<EndpointState> rows;
  for (const auto& [id, row] : table(scope).rows) {
    if (row.version > after) rows.push_back(row.told);
  }
  return rows;
}

const EndpointState* LoadBoard::Find(LoadScope scope, uint32_t endpoint) const {
  const auto& rows = table(scope).rows;
  const auto it = rows.find(endpoint);
  return it == rows.end() ? nullptr : &it->second.told;
}

std::vector<uint32_t> LoadBoard::DeadElsewhere() const {
  std::vector<uint32_t> dead;
  for (const auto& [name, hall] : halls_) {
    for (const auto& [id, row] : hall.view.rows()) {
      if (row.pace == kDeadPace) dead.push_back(id);
    }
  }
  return dead;
}

}  // namespace pinford
