#include "pinford/placement.h"

#include <algorithm>

#include "util/json.h"

namespace pinford {

std::string WritePlan(const PlacementPlan& plan) {
  Json holdings = Json::object();
  for (const auto& [runner, h] : plan.holdings) {
    holdings[runner] = {{"model", h.model},
                        {"version", h.version},
                        {"begin", h.range.begin},
                        {"end", h.range.end}};
  }
  return DumpJson(Json{
      {"token", plan.token}, {"number", plan.number}, {"holdings", holdings}});
}

std::optional<PlacementPlan> ParsePlan(std::string_view json) {
  const Json v = ParseJson(json);
  PlacementPlan plan;
  plan.token = JsonField<uint64_t>(v, "token", 0);
  plan.number = JsonField<uint64_t>(v, "number", 0);
  if (plan.number == 0) return std::nullopt;
  const Json holdings = v.value("holdings", Json::object());
  for (const auto& [runner, h] : holdings.items()) {
    plan.holdings[runner] = {
        JsonField<std::string>(h, "model", ""),
        JsonField<std::string>(h, "version", ""),
        {JsonField(h, "begin", 0), JsonField(h, "end", 0)}};
  }
  return plan;
}

// Holders of each layer of `model`; empty if there are none.
static std::vector<int> Coverage(const std::vector<PlannedRunner>& runners,
                                 const std::string& model) {
  std::vector<int> holders;
  for (const PlannedRunner& r : runners) {
    if (r.holds.model != model || !r.usable) continue;
    holders.resize(std::max<size_t>(holders.size(), r.layers));
    for (int l = r.holds.range.begin; l < r.holds.range.end; l++) holders[l]++;
  }
  return holders;
}

int ReplicasOf(const std::vector<PlannedRunner>& runners,
               const std::string& model) {
  const std::vector<int> holders = Coverage(runners, model);
  if (holders.empty()) return 0;
  return *std::min_element(holders.begin(), holders.end());
}

static int WantedOf(const std::map<std::string, int>& wanted,
                    const std::string& model) {
  auto it = wanted.find(model);
  return it == wanted.end() ? 0 : it->second;
}

// Whether `runner` can be moved without reducing its model below the wanted
// replicas. A model that the policy does not name keeps all its runners.
static bool CanSpare(const std::vector<PlannedRunner>& runners,
                     const PlannedRunner& runner,
                     const std::map<std::string, int>& wanted) {
  if (!runner.usable || runner.cooling_down) return false;
  if (!wanted.contains(runner.holds.model)) return false;
  std::vector<int> holders = Coverage(runners, runner.holds.model);
  const int needed = WantedOf(wanted, runner.holds.model);
  for (int l = runner.holds.range.begin; l < runner.holds.range.end; l++) {
    if (holders[l] - 1 < needed) return false;
  }
  return true;
}

// The first run of layers with too few holders, at most `size` long.
static std::optional<LayerRange> UnderReplicated(
    const std::vector<int>& holders, int needed, int size) {
  const int layers = static_cast<int>(holders.size());
  for (int begin = 0; begin < layers; begin++) {
    if (holders[begin] >= needed) continue;
    int end = begin;
    while (end < layers && end - begin < size && holders[end] < needed) end++;
    return LayerRange{begin, end};
  }
  return std::nullopt;
}

// A usable runner that holds the model, from which its version is known.
static const PlannedRunner* HolderOf(const std::vector<PlannedRunner>& runners,
                                     const std::string& model) {
  for (const PlannedRunner& r : runners) {
    if (r.holds.model == model && r.usable) return &r;
  }
  return nullptr;
}

std::optional<Move> NextMove(const std::vector<PlannedRunner>& runners,
                             const std::map<std::string, int>& wanted) {
  for (const auto& [model, needed] : wanted) {
    const PlannedRunner* holder = HolderOf(runners, model);
    if (holder == nullptr || ReplicasOf(runners, model) >= needed) continue;
    const PlannedRunner* spare = nullptr;
    for (const PlannedRunner& r : runners) {
      if (!CanSpare(runners, r, wanted)) continue;
      if (spare == nullptr || r.load < spare->load) spare = &r;
    }
    if (spare == nullptr) continue;
    const std::optional<LayerRange> range = UnderReplicated(
        Coverage(runners, model), needed, spare->holds.range.size());
    if (!range) continue;
    return Move{spare->name, {model, holder->holds.version, *range}};
  }
  return std::nullopt;
}

}  // namespace pinford
