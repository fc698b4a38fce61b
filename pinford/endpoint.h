// What is known of an endpoint: the platform's list and its own report.

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
  // Grows each time the endpoint starts anew under the same name.
  uint64_t incarnation = 0;
  // Of a runner: refuses orders whose fencing token is lower than one it saw.
  bool checks_fence = false;
};

// Reads the platform's list. Rows that cannot be read are left out and
// counted in `bad_rows`; nothing at all means the text is not a list.
std::optional<std::vector<ListedEndpoint>> ParseEndpointList(
    std::string_view json, int* bad_rows);
std::string WriteEndpointList(const std::vector<ListedEndpoint>& list);

// An endpoint's own report of its load. It is late by the time it is read.
struct LoadReport {
  uint64_t incarnation = 0;
  bool leaving = false;
  int running = 0;  // streams or calls in its care
  int work = 0;     // the layers it runs for them, in all; of a call, 1
  int slots = 1;    // how many it is made for
  // Of a runner.
  std::string model;
  std::string version;
  int layers = 0;  // of the whole model
  LayerRange holds;
  double layer_seconds = 0;  // idle, one layer of one position
  // To read one token of a prompt in one layer, at the pace of full passes; 0
  // if that is not known.
  double prefill_seconds = 0;
  // Work that fits into its memory, as EndpointTable counts it; 0 if that is
  // not known.
  double memory_capacity = 0;
};

std::optional<LoadReport> ParseLoadReport(std::string_view json);
std::string WriteLoadReport(const LoadReport& report);

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_H_
