// One box: all parts put together on one event loop.
//
// A box is equal to every other and keeps nothing that may not be lost.
// Start listens and joins; it serves once its documents are there. BeginStop
// is the planned stop: the box says that it leaves (to its peers, and to the
// balancer by /readyz), serves on while the balancer may still send, then
// stops listening, lets every request in its care finish, and ends the loop.

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

  // False, with `error` set, if an address cannot be listened on.
  bool Start(std::string* error);
  void BeginStop();

 private:
  static constexpr Duration kTick = milliseconds(50);
  static constexpr Duration kShareEvery = seconds(1);

  bool ready() const { return informed_ && !parts_.stopping; }
  void Tick();
  Gossip::Handlers PeerHandlers();
  void OnDigest(const Digest& digest);
  void NoteMember(const std::string& name, MemberChange change);
  FetchReply OnFetch(const FetchRequest& request);
  void SpreadLeaving(const std::string& endpoint);
  void UpdateOwnState();
  void UpdateShares();
  void RefreshMetrics();
  HallView ViewOfHall();
  HallPlannerEvents PlannerEvents();
  void FinishStop();

  uint64_t incarnation_;
  BoxContext parts_;
  Gossip peers_;
  Documents documents_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  LoadPoller poller_;
  HallPlanner<StoreClient, EngineClient, EventLoop> planner_;
  HttpServer callers_;
  HttpServer operators_;
  // The documents are there and every listed endpoint was asked once.
  bool informed_ = false;
  bool was_ready_ = false;
  std::map<std::string, int> wanted_;  // replicas here, by the policy
  Time stop_begun_{};
  Time idle_since_{};
};

}  // namespace pinford

#endif  // PINFORD_BOX_H_
