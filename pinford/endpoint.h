// What is known of an endpoint: its row in the platform's list and its own load
// report.

#ifndef PINFORD_ENDPOINT_H_
#define PINFORD_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/pipeline.h"
#include "util/address.h"

namespace pinford {

enum class EndpointRole {
  kRunner,   // holds layers of a model
  kService,  // answers plain calls
};

enum class ListedState { kLive, kLeaving };

std::optional<EndpointRole> EndpointRoleNamed(std::string_view name);
std::string_view EndpointRoleName(EndpointRole r);
std::optional<ListedState> ListedStateNamed(std::string_view name);
std::string_view ListedStateName(ListedState s);

// One row of the platform's list.
struct ListedEndpoint {
  std::string name;
  EndpointRole role = EndpointRole::kRunner;
  std::string service;  // of a plain service: its name
  Address address;
  std::string hall;
  ListedState state = ListedState::kLive;
  // Grows each time the endpoint restarts under the same name.
  uint64_t incarnation = 0;
  // Of a runner: it refuses orders whose fencing token is lower than one it has
  // seen.
  bool checks_fence = false;
};

// Parses the platform's list. Skips invalid rows and counts them in `bad_rows`;
// returns nothing if the text is not a list.
std::optional<std::vector<ListedEndpoint>> ParseEndpointList(
    std::string_view json, int* bad_rows);
std::string WriteEndpointList(const std::vector<ListedEndpoint>& list);

// An endpoint's own report of its load. It is stale by the time it is read.
struct LoadReport {
  uint64_t incarnation = 0;
  bool leaving = false;
  int running = 0;  // streams or calls in progress
  int work = 0;     // layers that it runs for them, in total; 1 for a call
  int slots = 1;    // streams or calls that it is configured for
  // Only for runners.
  std::string model;
  std::string version;
  int layers = 0;  // of the whole model
  LayerRange holds;
  double layer_seconds = 0;  // without load, one layer of one position
  // Prefill of one token in one layer, in passes of full size; 0 if unknown.
  double prefill_seconds = 0;
  // Work that fits into its memory, in EndpointTable's units; 0 if unknown.
  double memory_capacity = 0;
};

std::optional<LoadReport> ParseLoadReport(std::string_view json);
std::string WriteLoadReport(const LoadReport& report);

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_H_
