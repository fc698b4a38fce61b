// A box: the router process, with all its components on one event loop.
//
// All boxes are equal, and none holds state that must not be lost. Start opens
// the listening sockets and joins the peers; the box serves requests once it
// has its documents. BeginStop starts a graceful shutdown: the box announces
// that it is leaving (to its peers, and to the load balancer by /readyz), keeps
// serving while the balancer may still send requests, then stops listening,
// drains its active requests and stops the loop.

#ifndef PINFORD_BOX_H_
#define PINFORD_BOX_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pinford/box_context.h"
#include "pinford/caller_api.h"
#include "pinford/documents.h"
#include "pinford/gossip.h"
#include "pinford/hall_planner.h"
#include "pinford/http_server.h"
#include "pinford/load_poller.h"
#include "pinford/operator_api.h"

namespace pinford {

class Box {
 public:
  Box(const Settings& settings, EventLoop* loop);
  ~Box();

  // Returns false and sets `error` if it cannot listen on an address.
  bool Start(std::string* error);
  // Starts a graceful shutdown, at the end of which the loop stops.
  void BeginStop();

 private:
  static constexpr Duration kTickInterval = milliseconds(50);
  static constexpr Duration kShareInterval = seconds(1);

  bool ready() const { return has_initial_state_ && !context_.stopping; }
  void Tick();
  Gossip::Handlers PeerHandlers();
  void OnDigest(const Digest& digest);
  void OnMemberChange(const std::string& name, MemberChange change);
  FetchReply OnFetch(const FetchRequest& request);
  void AnnounceLeaving(const std::string& endpoint);
  void UpdateOwnState();
  void UpdateShares();
  void RefreshMetrics();
  HallView MakeHallView();
  HallPlannerEvents PlannerEvents();
  void FinishStop();

  uint64_t incarnation_;
  BoxContext context_;
  Gossip gossip_;
  Documents documents_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  LoadPoller poller_;
  HallPlanner<StoreClient, EngineClient, EventLoop> planner_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  // The documents are loaded and every listed endpoint was polled once.
  bool has_initial_state_ = false;
  bool was_ready_ = false;
  // By model, the replicas that the policy places in this hall.
  std::map<std::string, int> wanted_replicas_;
  Time stop_started_{};
  Time idle_since_{};
};

}  // namespace pinford

#endif  // PINFORD_BOX_H_
