// The endpoints that a box knows, their estimated load, and which of them may
// be given new work.
//
// The inputs are all stale, each by a different delay: the platform's list, the
// endpoints' load reports and the peers' counts. The rules are:
//
// - New work goes to an endpoint that is listed as live, has reported recently,
//   has not announced that it is leaving (by a refusal or in its report), and
//   is not backing off after a failure.
// - An endpoint that is withheld, because it may have left unnoticed, gets
//   nothing either.
// - An endpoint that requested a backoff from this box gets nothing until the
//   backoff ends, not even as a last resort (endpoint_backoffs.h).
// - The first notice that an endpoint is leaving counts, whatever its source
//   (list, report, refusal, peer), and holds for that incarnation permanently.
//   Only a higher incarnation takes new work again.
// - An endpoint that named a rate limit gets a request only with a permit
//   (rate_permits.h).
// - Load is what this box has on the endpoint plus what the peers have there.
//   The peers' part comes from gossip, or without that from the last report
//   less this box's own part at that time. As this is stale, each peer is
//   assumed to have placed as much since then as this box did. Boxes that see
//   the same state choose alike, so a box's own placement is the best estimate
//   of the others'. Without this they all pick the endpoint that last looked
//   idle.
// - An endpoint whose memory capacity is known is costed by the fraction in use
//   (runner_cost.h) and is excluded when full.
// - A request occupies one of the engine's slots on its first stage until it
//   ends. Requests beyond the slots queue there, however idle the engine is. So
//   first stages have a cost that depends on the slots in use, and endpoints
//   without a free slot are not picked as first stage. Without this a hall
//   whose chains all started at one endpoint of 192 slots delayed new streams
//   there by 0.6 to 1.6 s with 200 to 250 of them in progress.
// - An engine's prefill rate is limited too, and an overloaded engine delays
//   all first tokens. What the peers send becomes known too late to act on, so
//   each box estimates the prefill load from its own prompts and assumes that
//   all boxes send alike: if each spreads its own prompts evenly, the total is
//   even. The slow links between halls are costed the same way. Without that,
//   full runners push chains across halls until the links saturate and all
//   streams that cross them stall.

#ifndef PINFORD_ENDPOINT_TABLE_H_
#define PINFORD_ENDPOINT_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pinford/chain_picker.h"
#include "pinford/endpoint.h"
#include "pinford/endpoint_backoffs.h"
#include "pinford/mechanisms.h"
#include "pinford/peer_counts.h"
#include "pinford/policy.h"
#include "pinford/rate_permits.h"
#include "pinford/step_deadline.h"
#include "util/clock.h"
#include "util/decaying_sum.h"
#include "util/hash.h"

namespace pinford {

// (endpoint, incarnation): this incarnation is leaving.
using LeavingMark = std::pair<std::string, uint64_t>;

class EndpointTable {
 public:
  struct Options {
    Duration report_valid = seconds(5);  // older reports are ignored
    Duration backoff = seconds(1);       // after a failure, doubled each time
    Duration max_backoff = seconds(30);
    double handoff_seconds = 0.0005;    // one handoff inside a hall
    double cross_hall_seconds = 0.002;  // between halls, until measured
    // Endpoints hand off to one another, so a handoff's cost depends on whether
    // the two stages share a hall. Otherwise each handoff goes through this
    // box.
    bool direct_handoff = false;
    // Fraction of an endpoint's memory beyond which it gets no more work. It is
    // 1 because a request counts with its whole answer from its start, and
    // runners' reports correct the estimate: with less, runners stood at 57% of
    // their memory while requests were refused for lack of memory.
    double max_memory_utilization = 1.0;
    // Backoff after an endpoint refused work as full, unless it requests a
    // longer one. Its present requests end within seconds.
    Duration full_backoff = milliseconds(300);
    // Time constant over which prompts sent count as prefill load. Shorter than
    // the bursts that callers make, long enough for a box to have sent several
    // prompts.
    Duration load_window = milliseconds(2000);
    // Time constant with which an endpoint's reported load decays from the
    // estimate. Load beyond what live boxes sent there (from boxes that were
    // killed, or from before this one started) ends within seconds. So do stale
    // counts of boxes that were removed or partitioned, which raised the
    // estimate to 94% where the runner had 57%.
    Duration unattributed_decay = milliseconds(2000);
    // Random part of a cost, as a fraction of the mean backlog.
    double jitter = 0.02;
    // Bounds the search for a chain (PickSimpleChain): costs are estimates, and
    // a box that has most callers makes hundreds of choices a second.
    int max_further_paths = 8;
    CostOptions cost;
    StepDeadline::Options deadline;
    RatePermits::Options permits;
    MechanismSwitches mechanisms;
  };

  EndpointTable(std::string hall, const Options& options, Random random);

  // Updates from the list, the endpoints and the peers.
  void OnList(const std::vector<ListedEndpoint>& list);
  // Adds or updates one listed endpoint, or marks one as unlisted; the others
  // are unchanged.
  void OnListed(const ListedEndpoint& listed);
  void OnUnlisted(const std::string& name);
  void OnReport(Time now, const std::string& name, const LoadReport& report);
  // The endpoint refused work because it is leaving, or a peer announced it.
  // Returns true if this was not known.
  bool OnLeaving(const std::string& name, uint64_t incarnation);
  bool OnLeaving(const std::string& name);  // its present incarnation
  // The endpoint restarted under the same name. Drops what was known, counted
  // and reported of the earlier incarnation. Work sent to it is lost; later
  // OnDone and OnFailure calls for that work are ignored.
  void OnRestart(Time now, const std::string& name);
  // What shows that an endpoint is down.
  enum class DownEvidence {
    kOwnProbe,   // it did not answer this box; that may be due to the path
    kPeerProbe,  // it did not answer a peer whose path works
    kReport,     // its own report
  };
  // Marks the endpoint as not responding, or as responding again.
  void SetDown(const std::string& name, bool down,
               DownEvidence evidence = DownEvidence::kOwnProbe);
  // Sets whether the endpoint gets no new work although it is listed. Ends with
  // a call for `false` or when it is unlisted.
  void SetWithheld(const std::string& name, bool withheld);
  // Sets how many times slower than nominal the endpoint runs.
  void SetSlowdown(const std::string& name, double slowdown);
  // The endpoint refused work because its memory is full.
  void OnFull(Time now, const std::string& name);
  // The endpoint requested that this box send it nothing for `backoff`.
  void OnBackoffRequested(Time now, const std::string& name, Duration backoff) {
    backoffs_.OnRequested(now, name, backoff);
  }
  // The endpoint does not hold what its last report said; ignores that report.
  void InvalidateReport(const std::string& name);
  // Number of other boxes that place work as this one does.
  void set_peer_boxes(int n) { peer_boxes_ = n; }
  // Number of boxes, including this one, that send prompts as this one does.
  void set_boxes(int n) { boxes_ = n; }
  // The time between two events as a fraction of the pause that callers allow
  // (SpeedWeight).
  void set_gap_share(double share) { gap_share_ = share; }
  // Sets what all other boxes together have on each endpoint; zero where an
  // endpoint is not in `counts`. Linear in the rows.
  void OnPeerCounts(const PeerCounts& counts);
  // A runner's own figures: work in its memory, and requests that have their
  // first stage there. They include load that no live box knows of.
  void OnObserved(Time now, const std::string& name, double work, int entries);

  // Counts this box's work on an endpoint: a stream that runs `work` layers, or
  // a call. Where the memory capacity is known, a layer counts once per
  // thousand tokens of a stream. Call OnSent before the first byte and OnDone
  // at the end.
  void OnSent(const std::string& name, int work = 1);
  void OnDone(const std::string& name, int work = 1);
  // A request starts, or stops, using a first-stage slot there.
  void OnEntry(const std::string& name);
  void OnEntryDone(const std::string& name);
  // Counts prefill work sent there: `tokens` of a prompt times the layers.
  void OnPrefillSent(Time now, const std::string& name, double tokens);
  // Prefill work is queued there; it has been run, or will not be.
  void OnPrefillQueued(const std::string& name, double tokens);
  void OnPrefillDone(const std::string& name, double tokens);
  // Link seconds for one token between two halls; 0 if unknown.
  void set_transfer_seconds_per_token(double s) {
    transfer_seconds_per_token_ = s;
  }
  // `tokens` are sent from one hall to another.
  void OnTransferSent(Time now, double tokens);
  // Tokens are queued for a cross-hall link; they have been transferred, or
  // will not be.
  void OnTransferQueued(double tokens) { queued_transfer_tokens_ += tokens; }
  void OnTransferDone(double tokens);
  // Results of single steps and calls.
  void OnSuccess(const std::string& name, double work, Duration took);
  // `sent` is when the failed step or call was sent.
  void OnFailure(Time now, const std::string& name, Time sent);

  // Drops the endpoint's backoff if its last failure was since then.
  void ForgiveFailures(const std::string& name, Time since);

  bool TakesNewWork(Time now, const std::string& name) const;
  // Whether work may be sent there, if only as a last resort: it is up and not
  // backing off after a refusal. Check again right before the first byte, as
  // connecting can take hundreds of milliseconds.
  bool MaySend(Time now, const std::string& name) const;
  // The remaining part of the backoff that the endpoint requested.
  Duration BackoffLeft(Time now, const std::string& name) const {
    return backoffs_.Remaining(now, name);
  }
  // Number of endpoints in a backoff that they requested.
  size_t BackingOff(Time now) const { return backoffs_.Count(now); }
  // Whether its present incarnation is known to be leaving.
  bool IsLeaving(const std::string& name) const;
  // Its present incarnation; 0 if unknown.
  uint64_t IncarnationOf(const std::string& name) const;
  // When its last restart was seen; Time{} if never.
  Time LastRestartOf(const std::string& name) const;
  Duration DeadlineFor(const std::string& name, double work) const;
  std::optional<Address> AddressOf(const std::string& name) const;
  // "" if unknown.
  const std::string& HallOf(const std::string& name) const;
  // Seconds to run one token of each stream there, over all boxes.
  double BacklogOf(const std::string& name) const;
  // Fraction of its time that goes to prefill, over all boxes; over 1 when more
  // is sent than it can run.
  double PrefillLoadOf(Time now, const std::string& name) const;
  // Fraction of its memory in use, over all boxes; 0 if the capacity is
  // unknown.
  double MemoryUtilizationOf(Time now, const std::string& name) const;
  // Seconds that the prefill work queued there takes, over all boxes.
  double PrefillQueueSecondsOf(const std::string& name) const;
  // Thousands of tokens in each of its layers, over all boxes; 0 if the memory
  // capacity is unknown.
  double LayerWorkOf(Time now, const std::string& name) const;
  // Seconds for a step of `layers` layers there, at its slowdown if `paced`.
  double StepSecondsOf(const std::string& name, int layers, bool paced) const;
  double transfer_seconds_per_token() const {
    return transfer_seconds_per_token_;
  }
  const MechanismSwitches& mechanisms() const { return options_.mechanisms; }
  // Streams or calls there, over all boxes.
  double LoadOf(const std::string& name) const;

  // The version of `model` for new requests: `wanted` if it is not empty, else
  // the highest whose available runners cover every layer. Endpoints that are
  // backing off count only if the others do not suffice. Numbers in names
  // compare as numbers, so v10 is above v9. Returns nothing if there is no such
  // version.
  std::optional<std::string> VersionFor(Time now, const std::string& model,
                                        const std::string& wanted) const;
  // Number of layers of that version; 0 if unknown.
  int LayersOf(const std::string& model, const std::string& version) const;
  // Picks a chain over `range` from endpoints that take new work, weighted by
  // `hall_weight` (a higher weight draws more work, 0 excludes the hall). If
  // those do not cover the range, endpoints that are backing off after a
  // failure but have reported since are used too: they are more likely slow
  // than lost. Returns nothing if these do not cover it either. Excludes
  // endpoints in `avoid`, and endpoints without free memory for `layer_work` on
  // each of their layers: an engine that runs out of memory evicts its newest
  // work and recomputes it.
  using HallWeight = std::function<double(const std::string& hall)>;
  std::optional<Chain> PickChainFor(
      Time now, const std::string& model, const std::string& version,
      const LayerRange& range, const HallWeight& hall_weight,
      double layer_work = 1, const std::set<std::string>& avoid = {},
      PermitClass permit_class = PermitClass::kOrdinary);
  // Where a pool has the least free memory: the layer whose least loaded holder
  // has the highest fraction of its memory in use, or that has no holder.
  struct MemoryBottleneck {
    int layer = 0;
    int holders = 0;  // that take new work
    double memory_used =
        1;  // fraction of the memory of the least loaded of them
  };
  MemoryBottleneck MemoryBottleneckOf(Time now, const std::string& model,
                                      const std::string& version) const;
  // The less loaded of two random endpoints of `service`, excluding `tried`.
  std::optional<std::string> PickService(
      Time now, const std::string& service, const std::set<std::string>& tried,
      PermitClass permit_class = PermitClass::kOrdinary);

  // This box's permits for endpoints that named a rate limit.
  RatePermits* mutable_permits() { return &permits_; }
  const RatePermits& permits() const { return permits_; }
  // A request of the service needs a permit. Wants one of a random endpoint of
  // those that would be used if this box had a permit for them. `repeated`: the
  // request has needed one before and still waits.
  void WantPermit(Time now, const std::string& service, PermitClass c,
                  bool repeated);
  // The time until one of them may be used; nullopt if there are none.
  std::optional<Duration> PermitWait(Time now, const std::string& service,
                                     PermitClass c) const;

  // The listed endpoints of a service by what keeps this box from using them.
  // Each counts once, in the order of the fields.
  struct ServiceState {
    int listed = 0;
    int leaving = 0;
    int down = 0;
    int backing_off = 0;  // after failures or refusals
    int full = 0;         // no free memory, or no free slot on a first stage
    int withheld = 0;     // its entry is missing from the store
    int limited = 0;      // named a rate limit, and this box has no permit
  };
  ServiceState StateOf(Time now, const std::string& service) const;

  // Streams that a model's runners can hold at once: the minimum over all
  // layers of the slots of the endpoints that hold the layer. An upper bound
  // where ranges overlap; busy refusals correct it.
  double StreamSlots(Time now, const std::string& model) const;
  // The same, less the estimated number of present streams.
  double FreeStreamSlots(Time now, const std::string& model) const;
  // Whether some runner reports `model`.
  bool KnowsModel(const std::string& model) const;
  // Models that some runner reports.
  std::set<std::string> Models() const;
  // Demand and capacity of each hall for `model`, in streams.
  std::map<std::string, HallDemand> Halls(Time now,
                                          const std::string& model) const;

  // Work that this box had on earlier incarnations and has not yet ended.
  struct OrphanedLoad {
    int streams = 0;
    int work = 0;
    int entries = 0;
  };
  struct Row {
    uint32_t id = 0;  // NameId of its name
    ListedEndpoint listed;
    std::optional<LoadReport> report;
    Time reported{};
    // This box's work there, now and at the time of the last report.
    int own = 0;  // streams or calls
    int own_at_report = 0;
    int own_work = 0;
    int own_work_at_report = 0;
    int own_work_before = 0;  // at the time of the report before the last
    int own_entries = 0;  // this box's requests with their first stage there
    PeerCount peers;
    // Reported load beyond what was known here (negative if less), and when it
    // was reported.
    double unattributed_work = 0;
    int unattributed_entries = 0;
    Time observed{};
    DecayingSum prefill_load;    // seconds of prefill that this box sent
    double queued_tokens = 0;    // the part of it that has not run, in tokens
    std::set<uint64_t> leaving;  // incarnations known to be leaving
    int failures = 0;            // consecutive
    Time backoff_until{};
    Time failed{};
    Time full_until{};
    Time deadline_doubled{};  // when its deadline was last doubled
    StepDeadline deadline;
    OrphanedLoad lost;
    Time restarted{};  // when its last restart was seen
    bool is_listed = true;
    bool withheld = false;  // by SetWithheld
    bool down = false;      // does not respond, though it is listed
    DownEvidence down_evidence = DownEvidence::kOwnProbe;
    double slowdown = 1;  // times slower than nominal
  };
  const std::map<std::string, Row>& rows() const { return rows_; }
  // Marks to announce to peers.
  std::vector<LeavingMark> LeavingMarks() const;

 private:
  bool enabled(Mechanism m) const { return options_.mechanisms.enabled(m); }
  static void EndOrphaned(int work, Row* row);
  Row* Find(const std::string& name);
  const Row* Find(const std::string& name) const;
  // Whether the row can be erased.
  static bool IsObsolete(const Row& row);
  // The incarnation that a row refers to; its report may be ahead of the list.
  static uint64_t IncarnationOf(const Row& row);
  // Whether its present incarnation is known to be leaving.
  static bool IsLeaving(const Row& row);
  // Listed, responding, not withheld, and not known to be leaving.
  static bool IsUp(const Row& row);
  // Whether it refused work and must not be sent any for now.
  bool IsBackingOff(Time now, const Row& row) const;
  bool MaySend(Time now, const Row& row) const;
  bool TakesNewWork(Time now, const Row& row) const;
  bool TakesWorkAsLastResort(Time now, const Row& row) const;
  // The highest version of which the rows accepted by `takes` hold every layer.
  std::optional<std::string> CompleteVersion(
      const std::string& model, const std::string& wanted,
      const std::function<bool(const Row&)>& takes) const;
  std::optional<Chain> PickAmong(Time now, const std::vector<const Row*>& rows,
                                 const LayerRange& range,
                                 const HallWeight& hall_weight,
                                 PermitClass permit_class);
  // The endpoints of the service that lack only a permit.
  std::vector<const std::string*> LackingPermit(Time now,
                                                const std::string& service,
                                                PermitClass c) const;
  double WorkOf(const Row& row) const;
  // The part of the unattributed load that is estimated to remain.
  double UnattributedFraction(Time now, const Row& row) const;
  double MemoryUsedOf(Time now, const Row& row) const;
  double MemoryUtilizationOf(Time now, const Row& row) const;
  double PrefillLoadOf(Time now, const Row& row) const;
  double PrefillQueueSecondsOf(const Row& row) const;
  // Whether it takes no more work on any of its layers.
  bool IsFull(Time now, const Row& row) const;
  bool HasMemoryFor(Time now, const Row& row, double layer_work) const;
  // Means over the candidates of a pick, to which their costs relate.
  struct Means {
    double backlog = 0;        // seconds
    double layer_seconds = 0;  // of a runner without load
  };
  Means MeansOf(const std::vector<const Row*>& rows) const;
  double CostOf(Time now, const Row& row, const Means& means) const;
  double FirstStageCost(Time now, const Row& row) const;
  double BacklogOf(const Row& row) const;
  double TransferCost(Time now, int halls) const;
  static double LoadOf(const Row& row);
  template <typename SlotsOf>
  double MinOverLayers(Time now, const std::string& model,
                       SlotsOf slots_of) const;
  bool IsRunnerOf(Time now, const Row& row, const std::string& model,
                  const std::string& version) const;

  std::string hall_;
  int peer_boxes_ = 0;
  int boxes_ = 1;
  double gap_share_ = 0;
  double transfer_seconds_per_token_ = 0;
  // Tokens of this box still waiting for a cross-hall link.
  double queued_transfer_tokens_ = 0;
  // Link seconds needed by the tokens that this box sent across halls.
  DecayingSum transfer_load_;
  Options options_;
  Random random_;
  std::map<std::string, Row> rows_;
  EndpointBackoffs backoffs_;
  RatePermits permits_;
};

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_TABLE_H_
