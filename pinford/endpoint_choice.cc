// The part of EndpointTable that chooses: which rows together hold a model,
// which suit a request best, and what capacity a model has left. The estimates
// for single rows are in endpoint_table.cc.

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

#include "pinford/endpoint_table.h"

namespace pinford {

// Whether a runner holds a part of the model, by its last report.
static bool Holds(const EndpointTable::Row& row, const std::string& model,
                  const std::string& version) {
  return row.listed.role == EndpointRole::kRunner && row.report &&
         row.report->model == model && row.report->version == version;
}

bool EndpointTable::IsRunnerOf(Time now, const Row& row,
                               const std::string& model,
                               const std::string& version) const {
  return Holds(row, model, version) && TakesNewWork(now, row);
}

int EndpointTable::LayersOf(const std::string& model,
                            const std::string& version) const {
  for (const auto& [name, row] : rows_) {
    if (row.report && row.report->model == model &&
        row.report->version == version) {
      return row.report->layers;
    }
  }
  return 0;
}

// Whether `ranges` together hold every layer below `layers`.
static bool Cover(std::vector<LayerRange> ranges, int layers) {
  std::sort(ranges.begin(), ranges.end(),
            [](const LayerRange& a, const LayerRange& b) {
              return a.begin < b.begin;
            });
  int covered = 0;
  for (const LayerRange& r : ranges) {
    if (r.begin > covered) return false;
    covered = std::max(covered, r.end);
  }
  return layers > 0 && covered >= layers;
}

std::optional<std::string> EndpointTable::CompleteVersion(
    const std::string& model, const std::string& wanted,
    const std::function<bool(const Row&)>& takes) const {
  const auto below = [](const std::string& a, const std::string& b) {
    return strverscmp(a.c_str(), b.c_str()) < 0;
  };
  std::map<std::string, std::vector<LayerRange>, decltype(below)> held(below);
  for (const auto& [name, row] : rows_) {
    if (!row.report || !Holds(row, model, row.report->version)) continue;
    if (!wanted.empty() && row.report->version != wanted) continue;
    if (takes(row)) held[row.report->version].push_back(row.report->holds);
  }
  for (auto it = held.rbegin(); it != held.rend(); ++it) {
    if (Cover(it->second, LayersOf(model, it->first))) return it->first;
  }
  return std::nullopt;
}

std::optional<std::string> EndpointTable::VersionFor(
    Time now, const std::string& model, const std::string& wanted) const {
  auto version = CompleteVersion(
      model, wanted, [&](const Row& row) { return TakesNewWork(now, row); });
  if (version || !enabled(Mechanism::kLastResort)) return version;
  return CompleteVersion(model, wanted, [&](const Row& row) {
    return TakesWorkAsLastResort(now, row);
  });
}

EndpointTable::Means EndpointTable::MeansOf(
    const std::vector<const Row*>& rows) const {
  Means sums;
  for (const Row* row : rows) {
    sums.backlog += BacklogOf(*row);
    sums.layer_seconds += row->report->layer_seconds;
  }
  const double n = std::max<double>(1, rows.size());
  return {sums.backlog / n, sums.layer_seconds / n};
}

std::optional<Chain> EndpointTable::PickAmong(
    Time now, const std::vector<const Row*>& rows, const LayerRange& range,
    const HallWeight& hall_weight, PermitClass permit_class) {
  std::uniform_real_distribution<double> jitter(0, options_.jitter);
  const Means means = MeansOf(rows);
  std::vector<Candidate> candidates;
  candidates.reserve(rows.size());
  std::map<std::string, int> halls;
  for (const Row* row : rows) {
    const std::string& hall = row->listed.hall;
    const int number =
        halls.emplace(hall, static_cast<int>(halls.size())).first->second;
    const bool remote = hall != hall_ && !options_.direct_handoff;
    const double handoff =
        remote ? options_.cross_hall_seconds : options_.handoff_seconds;
    const double cost = CostOf(now, *row, means) *
                        std::pow(options_.cost.factor, jitter(random_));
    const bool elsewhere = hall != hall_ && options_.direct_handoff;
    double first = options_.direct_handoff
                       ? FirstStageCost(now, *row) +
                             (elsewhere ? options_.cross_hall_seconds : 0)
                       : 0;
    // Only the first stage of a whole chain is sent the request.
    if (range.begin == 0 &&
        !permits_.MayBegin(now, row->listed.name, permit_class))
      first = std::numeric_limits<double>::infinity();
    candidates.push_back({row->listed.name, row->report->holds,
                          cost / hall_weight(hall), handoff, number, first});
  }
  if (!options_.direct_handoff) return PickChain(candidates, range);
  const double transfer = TransferCost(now, static_cast<int>(halls.size()));
  return PickSimpleChain(candidates, range, transfer,
                         options_.max_further_paths)
      .chain;
}

std::optional<Chain> EndpointTable::PickChainFor(
    Time now, const std::string& model, const std::string& version,
    const LayerRange& range, const HallWeight& hall_weight, double layer_work,
    const std::set<std::string>& avoid, PermitClass permit_class) {
  std::vector<const Row*> available;
  std::vector<const Row*> last_resort;
  for (const auto& [name, row] : rows_) {
    if (!Holds(row, model, version)) continue;
    if (hall_weight(row.listed.hall) <= 0) continue;
    if (!TakesWorkAsLastResort(now, row) || !HasMemoryFor(now, row, layer_work))
      continue;
    if (avoid.contains(name)) continue;
    last_resort.push_back(&row);
    if (TakesNewWork(now, row)) available.push_back(&row);
  }
  std::optional<Chain> chain =
      PickAmong(now, available, range, hall_weight, permit_class);
  if (chain || available.size() == last_resort.size()) return chain;
  return PickAmong(now, last_resort, range, hall_weight, permit_class);
}

EndpointTable::MemoryBottleneck EndpointTable::MemoryBottleneckOf(
    Time now, const std::string& model, const std::string& version) const {
  std::vector<MemoryBottleneck> at_layer(LayersOf(model, version));
  for (size_t l = 0; l < at_layer.size(); l++) {
    at_layer[l].layer = static_cast<int>(l);
  }
  for (const auto& [name, row] : rows_) {
    if (!Holds(row, model, version) || !TakesWorkAsLastResort(now, row))
      continue;
    const LayerRange& r = row.report->holds;
    for (int l = r.begin; l < r.end; l++) {
      MemoryBottleneck& s = at_layer[l];
      s.memory_used =
          s.holders++ == 0
              ? MemoryUtilizationOf(now, row)
              : std::min(s.memory_used, MemoryUtilizationOf(now, row));
    }
  }
  const auto less = [](const MemoryBottleneck& a, const MemoryBottleneck& b) {
    return a.holders > 0 && (b.holders == 0 || a.memory_used < b.memory_used);
  };
  const auto worst = std::max_element(at_layer.begin(), at_layer.end(), less);
  return worst == at_layer.end() ? MemoryBottleneck() : *worst;
}

std::optional<std::string> EndpointTable::PickService(
    Time now, const std::string& service, const std::set<std::string>& tried,
    PermitClass permit_class) {
  std::vector<const Row*> usable;
  std::vector<const Row*> backing_off;
  for (const auto& [name, row] : rows_) {
    if (row.listed.role != EndpointRole::kService) continue;
    if (row.listed.service != service || tried.contains(name)) continue;
    if (!permits_.MayBegin(now, name, permit_class)) continue;
    if (TakesNewWork(now, row)) {
      usable.push_back(&row);
    } else if (MaySend(now, row)) {
      backing_off.push_back(&row);
    }
  }
  // An endpoint that failed recently may work; with none the call fails for
  // certain.
  if (usable.empty()) usable = std::move(backing_off);
  if (usable.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, usable.size() - 1);
  const Row* a = usable[any(random_)];
  const Row* b = usable[any(random_)];
  const Row* least = LoadOf(*a) <= LoadOf(*b) ? a : b;
  return least->listed.name;
}

std::vector<const std::string*> EndpointTable::LackingPermit(
    Time now, const std::string& service, PermitClass c) const {
  std::vector<const std::string*> names;
  for (const auto& [name, limit] : permits_.limits().limits()) {
    if (permits_.MayBegin(now, name, c)) continue;
    const Row* row = Find(name);
    if (row == nullptr || row->listed.service != service) continue;
    const bool receives_requests =
        row->listed.role == EndpointRole::kService ||
        (row->report && !row->report->holds.empty() &&
         row->report->holds.begin == 0);
    if (receives_requests && MaySend(now, *row)) names.push_back(&name);
  }
  return names;
}

void EndpointTable::WantPermit(Time now, const std::string& service,
                               PermitClass c, bool repeated) {
  // The one that can be asked for soonest: asking for several would leave some
  // of their permits unused.
  std::vector<const std::string*> names = LackingPermit(now, service, c);
  if (names.empty()) return;
  std::shuffle(names.begin(), names.end(), random_);
  const auto wait = [&](const std::string* name) {
    return permits_.WaitFor(now, *name, c);
  };
  const auto soonest = std::min_element(
      names.begin(), names.end(),
      [&](const auto* a, const auto* b) { return wait(a) < wait(b); });
  permits_.Want(now, **soonest, c, repeated);
}

std::optional<Duration> EndpointTable::PermitWait(Time now,
                                                  const std::string& service,
                                                  PermitClass c) const {
  std::optional<Duration> least;
  for (const std::string* name : LackingPermit(now, service, c)) {
    const Duration wait = permits_.WaitFor(now, *name, c);
    if (!least || wait < *least) least = wait;
  }
  return least;
}

bool EndpointTable::IsFull(Time now, const Row& row) const {
  const bool first_stage = !row.report->holds.empty() &&
                           row.report->holds.begin == 0 &&
                           options_.direct_handoff;
  if (first_stage && std::isinf(FirstStageCost(now, row))) return true;
  return !HasMemoryFor(now, row, 1);
}

EndpointTable::ServiceState EndpointTable::StateOf(
    Time now, const std::string& service) const {
  ServiceState state;
  for (const auto& [name, row] : rows_) {
    if (row.listed.service != service || !row.is_listed) continue;
    state.listed++;
    if (IsLeaving(row)) {
      state.leaving++;
    } else if (row.down) {
      state.down++;
    } else if (row.withheld) {
      state.withheld++;
    } else if (!TakesNewWork(now, row)) {
      state.backing_off++;
    } else if (IsFull(now, row)) {
      state.full++;
    } else if (!permits_.MayBegin(now, name, PermitClass::kOrdinary)) {
      state.limited++;
    }
  }
  return state;
}

// The minimum, over the layers of `model`, of the sum of slots_of(row) over the
// runners that hold the layer.
template <typename SlotsOf>
double EndpointTable::MinOverLayers(Time now, const std::string& model,
                                    SlotsOf slots_of) const {
  std::vector<double> at_layer;
  for (const auto& [name, row] : rows_) {
    if (!row.report || row.report->holds.empty()) continue;
    if (!IsRunnerOf(now, row, model, row.report->version)) continue;
    at_layer.resize(std::max<size_t>(at_layer.size(), row.report->layers));
    const LayerRange& r = row.report->holds;
    for (int l = r.begin; l < r.end; l++) at_layer[l] += slots_of(row);
  }
  if (at_layer.empty()) return 0;
  return *std::min_element(at_layer.begin(), at_layer.end());
}

double EndpointTable::StreamSlots(Time now, const std::string& model) const {
  return MinOverLayers(now, model,
                       [](const Row& row) { return row.report->slots; });
}

double EndpointTable::FreeStreamSlots(Time now,
                                      const std::string& model) const {
  return MinOverLayers(now, model, [](const Row& row) {
    return std::max(0.0, row.report->slots - LoadOf(row));
  });
}

bool EndpointTable::KnowsModel(const std::string& model) const {
  return !model.empty() &&
         std::any_of(rows_.begin(), rows_.end(), [&model](const auto& entry) {
           const Row& row = entry.second;
           return row.report && row.report->model == model;
         });
}

std::set<std::string> EndpointTable::Models() const {
  std::set<std::string> models;
  for (const auto& [name, row] : rows_) {
    if (row.report && !row.report->model.empty()) {
      models.insert(row.report->model);
    }
  }
  return models;
}

std::map<std::string, HallDemand> EndpointTable::Halls(
    Time now, const std::string& model) const {
  std::map<std::string, HallDemand> halls;
  for (const auto& [name, row] : rows_) {
    if (!row.report || row.report->layers == 0) continue;
    if (!IsRunnerOf(now, row, model, row.report->version)) continue;
    // An endpoint that holds a fraction of the layers carries that fraction of
    // each stream.
    const double part =
        static_cast<double>(row.report->holds.size()) / row.report->layers;
    halls[row.listed.hall].capacity += part * row.report->slots;
    halls[row.listed.hall].demand += part * LoadOf(row);
  }
  return halls;
}

}  // namespace pinford
