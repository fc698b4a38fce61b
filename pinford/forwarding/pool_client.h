// The seam to the runners of a pool, for whoever places layers on them.
//
// An order names the number of orders that the runner is expected to have
// taken: one that was held up on its way, and arrives after a newer one, does
// not fit any more and is refused. The fence keeps out a planner that lost its
// lease.

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

// What a runner reports; some hundred milliseconds old when it is read.
struct RunnerReport {
  RunnerState state;
  bool busy = false;  // an order is under way
  int running = 0;    // requests whose first stage it is
  int waiting = 0;    // ... that have not begun
  double used = 0;    // memory taken by requests, thousands of tokens x layers
  double slowdown = 1;  // over 1: it takes so many times as long as it should
};

// What came of asking a runner for its report.
struct RunnerAnswer {
  // Nothing came back in time. A refused connection is no silence: it comes
  // from there, and shows that the way works.
  bool timed_out = true;
  std::optional<RunnerReport> report;  // if what came back was one
};

// What a runner says when it is asked whether it works.
struct RunnerHealth {
  bool answered = false;  // something came back in time
  bool works = false;     // ... and it holds what the list says
  double slowdown = 1;    // as RunnerReport::pace
  double used = 0;        // as RunnerReport::used
  int entries = 0;        // requests there, running or waiting
};

// What its report, or none, says of a runner that the list shows to hold
// `listed`, as the life `incarnation`. Another life at the same address is not
// the one that is meant, whatever it holds.
// One that loads more layers holds them before the list, which is up to a
// heartbeat late, says so.
RunnerHealth HealthOf(const LayerRange& listed, uint64_t incarnation,
                      const RunnerAnswer& answer);

struct LayerOrder {
  LayerRange range;
  uint64_t fence = 0;
  uint64_t expected_orders = 0;
};

enum class LayerOrderStatus {
  kStarted,
  kDone,      // it holds that already
  kConflict,  // it has taken other orders, or is in another state
  kFenced,    // a higher fence was seen
  kNotSent,
  kUnknown,  // it may have been taken, or may be yet
};

std::string_view LayerOrderStatusName(LayerOrderStatus s);

enum class RerouteStatus {
  kDone,
  kNoRequest,       // the entry does not know the request
  kRefusedByStage,  // a stage does not hold its part or has no room
  kUnknown,         // no answer
};

std::string_view RerouteStatusName(RerouteStatus s);

struct RerouteResult {
  RerouteStatus status = RerouteStatus::kUnknown;
  // Of kRefusedByStage: the address of the stage that refuses, "" if it is not
  // named.
  std::string at_fault;
};

using RerouteHandler = std::function<void(const RerouteResult&)>;

template <typename C>
concept PoolClient = requires(C c, const Address& runner,
                              const LayerOrder& order,
                              std::function<void(RunnerAnswer)> on_report,
                              std::function<void(LayerOrderStatus)> on_order,
                              Duration limit, const std::string& request,
                              const std::vector<AddressedStage>& chain,
                              RerouteHandler on_reroute) {
  {c.Report(runner, limit, on_report)};
  {c.Order(runner, order, on_order)};
  // Tells the entry of a running request's chain to go on with another one,
  // whose first stage is the same.
  {c.Reroute(runner, request, chain, limit, on_reroute)};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_POOL_CLIENT_H_
