// The place where one request runs: the endpoint that it is sent to and, for a
// pool of runners, the chain behind it.
//
// A target is picked from the endpoint table and counts as load there until it
// is released, so that this box and its peers know the load of each endpoint.
// Every event that passes through its stages is reported to the endpoint
// watch. The layers of a stage that is down or slow can be moved to other
// runners while the first stage, which holds the request, stays.

#ifndef PINFORD_FORWARDING_FORWARD_TARGET_H_
#define PINFORD_FORWARDING_FORWARD_TARGET_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/endpoint_watch.h"
#include "pinford/forwarding/forward_protocol.h"
#include "pinford/forwarding/stage_recovery.h"
#include "pinford/pool_capacity.h"
#include "util/clock.h"

namespace pinford {

class ForwardTarget {
 public:
  struct Options {
    std::string service;
    std::string version;    // of the pool's weights; "" for the newest
    int layers = 0;         // of the pool's model; 0 for a plain service
    double layer_work = 1;  // thousands of tokens that pass through each layer
    int prompt = 0;         // tokens of them to be prefilled
    EndpointTable::HallWeight hall_weight;
  };

  ForwardTarget(EndpointTable* table, EndpointWatch* watch,
                const Options& options);

  // Returns another target for the same request, not yet picked.
  ForwardTarget CloneUnpicked() const { return {table_, watch_, options_}; }

  // Picks a target and counts its load. For a plain service, endpoints in
  // `tried` are used only if there is no other. Takes a permit if the endpoint
  // has a rate limit; `repeated`: the request was waiting for one. Returns
  // false if no endpoint accepts the request.
  bool Pick(Time now, const std::set<std::string>& tried,
            PermitClass permit_class = PermitClass::kOrdinary,
            bool repeated = false);
  // Uses the permit, just before the request is sent. Returns false if it needs
  // one and has none: the endpoint has named a limit since it was picked, or
  // the permit has expired.
  bool UsePermit(Time now);
  // Removes its load, and gives back a permit that was not used. `succeeded`:
  // it responded; `sent`: when the request was sent.
  void Release(Time now, Time sent, bool succeeded);

  bool pool() const { return options_.layers > 0; }
  // "" if there is none.
  const std::string& endpoint() const { return endpoint_; }
  const Chain& chain() const { return chain_; }
  // When it was picked, and the endpoint's incarnation at that time.
  Time picked_at() const { return picked_at_; }
  uint64_t incarnation() const { return incarnation_; }
  // Used part of the memory of its fullest stage when it was picked, by this
  // box's estimate.
  double max_memory_use() const { return max_memory_use_; }
  // Where the pool had the least free memory when no chain was found.
  const std::optional<EndpointTable::MemoryBottleneck>& memory_bottleneck()
      const {
    return memory_bottleneck_;
  }
  // Part of its busiest stage's time that went to prefill when it was picked.
  double max_prefill_load() const { return max_prefill_load_; }
  // This box's other requests at the endpoint.
  int Neighbors() const;
  Address address() const;
  std::vector<AddressedStage> WithAddresses(const Chain& chain) const;
  // The stage at that address, or else the endpoint itself.
  std::string EndpointAt(std::string_view address) const;
  // The stage of `chain` at that address; "" if there is none.
  std::string StageAt(const Chain& chain, std::string_view address) const;

  // Number of handoffs between halls in the present chain, and in another one.
  int hall_transfers() const { return HallTransfers(chain_); }
  int HallTransfers(const Chain& chain) const;

  // Records that events have just passed through the chain.
  void OnEvents(Time now);
  // Whether some stage has made no progress, for any request, after `t`.
  bool AnyStageIdleSince(Time t) const;
  std::vector<std::string> StagesIdleSince(Time t) const;
  // Records a failure of those stages, or of a plain service's endpoint.
  void FailStagesIdleSince(Time t, Time now, Time sent);

  bool Uses(const std::string& endpoint) const;
  // The version that its stages must have now; nothing if the runners do not
  // cover all layers of any version.
  std::optional<std::string> Version(Time now) const;
  // Whether any stage, or the first one, is down.
  bool HasDownStage() const;
  bool FirstStageIsDown() const;
  // Which stages to replace.
  enum class Impaired { kDown, kDownOrSlow };
  // Returns the chain with such stages replaced. Nothing if the first stage is
  // down, or if a stage that is down has no replacement.
  std::optional<Chain> ChainWithoutImpaired(Time now, Impaired which) const;
  // Time of a step of the whole chain, in multiples of its nominal time.
  double Slowdown() const;
  // Estimates the work to recover all streams that lose the stages which `next`
  // replaces.
  RecoveryLoad RecoveryLoadFor(Time now, const Chain& next,
                               const PoolCapacity& capacity) const;
  // Adds, or removes, the load of a chain that may replace the present one.
  void ReserveChain(Time now, const Chain& chain);
  void ReleaseChain(const Chain& chain);
  // Replaces the present chain by the reserved `chain`.
  void SwitchTo(Time now, const Chain& chain);

 private:
  bool PickEndpoint(Time now, const std::set<std::string>& tried);
  bool PickChainTarget(Time now);
  void ReturnPermit(Time now);
  int WorkOf(const Stage& stage) const;
  // Removes the prefill and transfer load that is done or no longer needed.
  void ClearPendingLoad();
  // Picks runners for a stage's layers, from the stage's own hall if possible:
  // in any other hall, all tokens so far would have to be transferred twice.
  // When the cost ignored the neighboring stages, 116 of 273 streams of a lost
  // group were moved to other halls though their own had runners; those streams
  // paused for 351 ms (median), the others for 141 ms.
  std::optional<Chain> PickRunnersFor(Time now, const std::string& version,
                                      const Stage& stage,
                                      const std::set<std::string>& avoid) const;
  std::optional<Chain> PickReplacements(
      Time now, const std::string& version, const Stage& stage,
      const std::set<std::string>& avoid) const;

  EndpointTable* table_;
  EndpointWatch* watch_;
  Options options_;
  std::string endpoint_;
  Chain chain_;
  Time picked_at_{};
  uint64_t incarnation_ = 0;
  // By stage, tokens times layers that were sent and not yet prefilled.
  std::vector<std::pair<std::string, double>> pending_prefill_;
  double pending_transfer_ = 0;  // tokens not yet transferred between halls
  double max_memory_use_ = 0;
  double max_prefill_load_ = 0;
  std::optional<EndpointTable::MemoryBottleneck> memory_bottleneck_;
  PermitClass permit_class_ = PermitClass::kOrdinary;
  // When the permit expires, Time::max() if the endpoint needed none; nullopt
  // once it was used or if there is none.
  std::optional<Time> permit_expires_;
  bool timed_recovery_;   // Mechanism::kTimedRecovery
  bool watched_ = false;  // the endpoint watch follows its stages
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_TARGET_H_
