// Where one request runs: the endpoint it is sent to and, for a pool of
// runners, the chain behind it.
//
// A target is picked from the endpoint table and counted there until it is
// released, so that this box and its peers see what is where. The endpoint
// watch hears of each event that has passed through its stages. A stage that
// is down or slow can be given to other runners while the first one, which
// holds the request, stays.

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
    std::string version;    // of a pool's weights; "" for the newest
    int layers = 0;         // of a pool's model; 0 for a plain service
    double layer_work = 1;  // thousands of tokens that pass each layer
    int prompt = 0;         // tokens of them that are read first
    EndpointTable::HallWeight hall_weight;
  };

  ForwardTarget(EndpointTable* table, EndpointWatch* watch,
                const Options& options);

  // One for the same request that has not been picked.
  ForwardTarget Another() const { return {table_, watch_, options_}; }

  // Picks and counts a target; of a plain service one of `tried` only if
  // there is no other. False if nobody takes the request.
  bool Pick(Time now, const std::set<std::string>& tried);
  // Counts it off. `worked`: it answered; `sent` is when it was sent to.
  void Release(Time now, Time sent, bool worked);

  bool pool() const { return options_.layers > 0; }
  // "" when there is none.
  const std::string& endpoint() const { return endpoint_; }
  const Chain& chain() const { return chain_; }
  // When it was picked, and the endpoint's life then.
  Time picked() const { return picked_; }
  uint64_t incarnation() const { return incarnation_; }
  // Part of the room of its fullest stage that was taken when it was picked,
  // by this box's estimate.
  double fullest() const { return fullest_; }
  // Where the pool was shortest of room when nobody took the request.
  const std::optional<EndpointTable::MemoryBottleneck>& shortage() const {
    return shortage_;
  }
  // The same of its busiest stage's time, by prompts.
  double busiest() const { return busiest_; }
  Address address() const;
  std::vector<AddressedStage> Addressed(const Chain& chain) const;
  // The stage at that address, or the endpoint itself.
  std::string EndpointAt(std::string_view address) const;
  // The stage of `chain` at that address, "" if there is none.
  std::string StageAt(const Chain& chain, std::string_view address) const;

  // Hand-overs between halls in the present chain, and in another one.
  int crossings() const { return CrossingsOf(chain_); }
  int CrossingsOf(const Chain& chain) const;

  // Events have just passed through the chain.
  void OnEvents(Time now);
  // Whether some stage has shown no sign of life, to any request, after `t`.
  bool SomeStageSilentSince(Time t) const;
  std::vector<std::string> SilentSince(Time t) const;
  // Counts a failure against the stages that have shown none, or the endpoint.
  void BlameSince(Time t, Time now, Time sent);

  bool Uses(const std::string& endpoint) const;
  // The version that its stages must have now, if some is whole.
  std::optional<std::string> Version(Time now) const;
  // Whether some stage, or just the first, is down.
  bool HasDown() const;
  bool FirstIsDown() const;
  // Which stages others are to take the place of.
  enum class Impaired { kDown, kDownOrSlow };
  // The chain with others in the place of such stages. Nothing if the first is
  // down, or if nobody can stand in for one that is.
  std::optional<Chain> Without(Time now, Impaired which) const;
  // How many times as long as it should a step of the whole chain takes.
  double Slowdown() const;
  // The streams that lose the stages which `next` replaces, and what can be
  // done for them.
  RecoveryLoad LoadOf(Time now, const Chain& next,
                      const PoolCapacity& capacity) const;
  // A chain that may come in the place of the present one is counted too.
  void Hold(Time now, const Chain& chain);
  void Drop(const Chain& chain);
  // The held `chain` has come in the place of the present one.
  void Replace(Time now, const Chain& chain);

 private:
  bool PickEndpoint(Time now, const std::set<std::string>& tried);
  bool PickChainTarget(Time now);
  int WorkOf(const Stage& stage) const;
  // What its stages were to read has been read, or is waited for no more.
  void NotWaiting();
  // Runners for a stage's part: of its own hall if those can, since from any
  // other all tokens so far would have to cross twice. Priced without its
  // neighbours, 116 of 273 streams of a lost group were given runners of other
  // halls though their own had some; they paused for 351 ms (median), for 141
  // where they did not cross.
  std::optional<Chain> PickPart(Time now, const std::string& version,
                                const Stage& stage,
                                const std::set<std::string>& avoid) const;
  std::optional<Chain> StandIns(Time now, const std::string& version,
                                const Stage& stage,
                                const std::set<std::string>& avoid) const;

  EndpointTable* table_;
  EndpointWatch* watch_;
  Options options_;
  std::string endpoint_;
  Chain chain_;
  Time picked_{};
  uint64_t incarnation_ = 0;
  // Tokens times layers that its stages have been sent and have not shown to
  // have read.
  std::vector<std::pair<std::string, double>> waiting_;
  double crossing_waiting_ = 0;  // tokens that have not crossed between halls
  double fullest_ = 0;
  double busiest_ = 0;
  std::optional<EndpointTable::MemoryBottleneck> shortage_;
  bool timed_;            // Mechanism::kTimedRecovery
  bool watched_ = false;  // its stages are watched for their events
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_TARGET_H_
