// Interface to the runners of a pool, for placing layers on them.
//
// An order names the number of orders that the runner is expected to have
// accepted so far. A delayed order that arrives after a newer one no longer
// matches and is refused. The fence rejects orders of a planner that has lost
// its lease.

#ifndef PINFORD_FORWARDING_POOL_CLIENT_H_
#define PINFORD_FORWARDING_POOL_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/forward_protocol.h"
#include "util/address.h"

namespace pinford {

// The runner that a call is meant for. The call bears its name, because another
// runner may have taken over the address.
struct RunnerRef {
  std::string name;
  Address at;
};

RunnerRef RefTo(const DirectoryEntry& entry);

// A runner's report, some hundred milliseconds old when it is read.
struct RunnerReport {
  RunnerState state;
  bool busy = false;    // an order is in progress
  int running = 0;      // requests whose first stage it is
  int waiting = 0;      // ... that have not started
  double used = 0;      // memory used by requests, thousands of tokens x layers
  double slowdown = 1;  // times slower than nominal; 1: nominal
};

// The result of requesting a runner's report.
struct RunnerAnswer {
  // Nothing came back in time. A refused connection is an answer: it comes from
  // the runner's host and shows that the path works.
  bool timed_out = true;
  std::optional<RunnerReport> report;  // if the answer contained one
  bool refused = false;                // no connection could be made
  bool no_path = false;  // it was not sent, for a reason other than the runner
};

// What came back from a runner that was probed.
enum class ProbeAnswer {
  kNone,     // nothing in time
  kNoPath,   // it could not be sent, for a reason other than the runner
  kRefused,  // no connection could be made
  kOther,    // something, but no report
  kReport,
};

std::string_view ProbeAnswerName(ProbeAnswer a);

// The result of probing a runner.
struct RunnerHealth {
  bool answered = false;  // something came back in time
  bool works = false;     // ... and it holds the listed layers
  double slowdown = 1;    // as RunnerReport::slowdown
  double used = 0;        // as RunnerReport::used
  int entries = 0;        // its requests, running or waiting
  ProbeAnswer answer = ProbeAnswer::kNone;
};

// Evaluates the answer of a runner that is listed as holding `listed`, as the
// incarnation `incarnation`. Another incarnation at the same address does not
// count as working, whatever it holds. A runner that loads more layers holds
// them up to a heartbeat before the list shows it.
RunnerHealth HealthOf(const LayerRange& listed, uint64_t incarnation,
                      const RunnerAnswer& answer);

struct LayerOrder {
  LayerRange range;
  uint64_t fence = 0;
  uint64_t expected_orders = 0;
};

enum class LayerOrderStatus {
  kStarted,
  kDone,      // it holds the range already
  kConflict,  // it has accepted other orders, or is in another state
  kFenced,    // it has seen a higher fence
  kNotSent,
  kOtherRunner,  // another runner has its address, and refused the order
  kUnknown,      // may have been accepted, or may be later
};

std::string_view LayerOrderStatusName(LayerOrderStatus s);

enum class RerouteStatus {
  kDone,
  kNoRequest,       // the first stage does not know the request, or is gone
  kRefusedByStage,  // a stage does not hold its layers or lacks memory
  kUnknown,         // no answer
};

std::string_view RerouteStatusName(RerouteStatus s);

struct RerouteResult {
  RerouteStatus status = RerouteStatus::kUnknown;
  // For kRefusedByStage: the address of the refusing stage, "" if unknown.
  std::string at_fault;
};

using RerouteHandler = std::function<void(const RerouteResult&)>;

template <typename C>
concept PoolClient = requires(C c, const RunnerRef& runner,
                              const LayerOrder& order,
                              std::function<void(RunnerAnswer)> on_report,
                              std::function<void(LayerOrderStatus)> on_order,
                              Duration limit, const std::string& request,
                              const std::vector<AddressedStage>& chain,
                              RerouteHandler on_reroute) {
  {c.Report(runner, limit, on_report)};
  {c.Order(runner, order, on_order)};
  // Asks the first stage of a running request to continue with another chain
  // that has the same first stage.
  {c.Reroute(runner, request, chain, limit, on_reroute)};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_CLIENT_H_
