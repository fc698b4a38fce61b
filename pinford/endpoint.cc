#include "pinford/endpoint.h"

#include "util/enum_names.h"
#include "util/json.h"

namespace pinford {

static constexpr EnumName<EndpointRole> kRoleNames[] = {
    {EndpointRole::kRunner, "runner"},
    {EndpointRole::kService, "service"},
};

static constexpr EnumName<ListedState> kStateNames[] = {
    {ListedState::kLive, "live"},
    {ListedState::kLeaving, "leaving"},
};

std::optional<EndpointRole> EndpointRoleNamed(std::string_view name) {
  return ValueIn(kRoleNames, name);
}
std::string_view EndpointRoleName(EndpointRole r) {
  return NameIn(kRoleNames, r);
}
std::optional<ListedState> ListedStateNamed(std::string_view name) {
  return ValueIn(kStateNames, name);
}
std::string_view ListedStateName(ListedState s) {
  return NameIn(kStateNames, s);
}

static std::optional<ListedEndpoint> ParseRow(const Json& v) {
  ListedEndpoint e;
  e.name = JsonField<std::string>(v, "name", "");
  e.service = JsonField<std::string>(v, "service", "");
  e.hall = JsonField<std::string>(v, "hall", "");
  e.incarnation = JsonField<uint64_t>(v, "incarnation", 0);
  e.checks_fence = JsonField(v, "checks_fence", false);
  auto role = EndpointRoleNamed(JsonField<std::string>(v, "role", ""));
  auto state = ListedStateNamed(JsonField<std::string>(v, "state", "live"));
  auto address = Address::Parse(JsonField<std::string>(v, "address", ""));
  if (e.name.empty() || !role || !state || !address) return std::nullopt;
  e.role = *role;
  e.state = *state;
  e.address = *address;
  return e;
}

std::optional<std::vector<ListedEndpoint>> ParseEndpointList(
    std::string_view json, int* bad_rows) {
  *bad_rows = 0;
  Json v = ParseJson(json);
  if (!v.is_array()) return std::nullopt;
  std::vector<ListedEndpoint> list;
  for (const Json& row : v) {
    if (std::optional<ListedEndpoint> e = ParseRow(row)) {
      list.push_back(std::move(*e));
    } else {
      (*bad_rows)++;
    }
  }
  return list;
}

std::string WriteEndpointList(const std::vector<ListedEndpoint>& list) {
  Json v = Json::array();
  for (const ListedEndpoint& e : list) {
    v.push_back({{"name", e.name},
                 {"role", EndpointRoleName(e.role)},
                 {"service", e.service},
                 {"address", e.address.ToString()},
                 {"hall", e.hall},
                 {"state", ListedStateName(e.state)},
                 {"incarnation", e.incarnation},
                 {"checks_fence", e.checks_fence}});
  }
  return DumpJson(v);
}

std::optional<LoadReport> ParseLoadReport(std::string_view json) {
  Json v = ParseJson(json);
  if (!v.is_object()) return std::nullopt;
  LoadReport r;
  r.incarnation = JsonField<uint64_t>(v, "incarnation", 0);
  r.leaving = JsonField(v, "leaving", false);
  r.running = JsonField(v, "running", 0);
  r.work = JsonField(v, "work", r.running);
  r.slots = JsonField(v, "slots", 1);
  r.model = JsonField<std::string>(v, "model", "");
  r.version = JsonField<std::string>(v, "version", "");
  r.layers = JsonField(v, "layers", 0);
  r.holds = {JsonField(v, "begin", 0), JsonField(v, "end", 0)};
  r.layer_seconds = JsonField(v, "layer_seconds", 0.0);
  constexpr int kMaxLayers = 10000;
  bool sane = r.running >= 0 && r.work >= 0 && r.slots > 0 && r.layers >= 0 &&
              r.layers <= kMaxLayers && r.layer_seconds >= 0 &&
              r.holds.begin >= 0 && r.holds.begin <= r.holds.end &&
              r.holds.end <= r.layers;
  if (!sane) return std::nullopt;
  return r;
}

std::string WriteLoadReport(const LoadReport& r) {
  return DumpJson(Json{{"incarnation", r.incarnation},
                       {"leaving", r.leaving},
                       {"running", r.running},
                       {"work", r.work},
                       {"slots", r.slots},
                       {"model", r.model},
                       {"version", r.version},
                       {"layers", r.layers},
                       {"begin", r.holds.begin},
                       {"end", r.holds.end},
                       {"layer_seconds", r.layer_seconds}});
}

}  // namespace pinford
