// All endpoints a box knows of, how loaded each is likely to be, and which may
// be given new work.
//
// Three sources disagree, each late in its own way: the platform's list lags,
// load reports lag, and peers' counts lag. The rules are:
//
//   - New work goes to an endpoint that the list shows live, that has reported
//     of late, that has neither refused as leaving nor said so in its report,
//     and that is not resting after a failure.
//   - An endpoint that has asked this box for rest gets nothing until it is
//     over, not even where nobody else can serve (endpoint_backoffs.h).
//   - That an endpoint leaves is believed from whoever says it first (list,
//     report, refusal, peer) for that incarnation and for good: only a higher
//     incarnation takes new work again.
//   - Load is what this box has there now, plus what others have there. The
//     latter is what peers gossip, or without that what the last report showed
//     beyond this box's own part at that time; and because all of it is late,
//     what others have placed since is taken to be, box for box, what this one
//     has. Boxes that see the same state choose alike, so each is the best
//     guess at the rest; without this they all herd onto the endpoint that
//     last looked idle (measured in docs/MEASUREMENTS.md).
//   - An endpoint whose room is known is priced by the part of it that is
//     taken (runner_cost.h), and left out when it is full.
//   - The first stage of a chain holds a request's place among the engine's
//     slots until it ends; beyond them requests wait there, however idle the
//     engine is. So the first stage has a price by the slots that are taken,
//     and endpoints without a free one are no first stage. Without this a hall
//     whose chains all begin at one endpoint of 192 slots kept new streams
//     waiting there for 0.6 to 1.6 s with 200 to 250 of them under way.
//   - What such an engine can read of new prompts is bounded too, and what
//     exceeds it makes all first tokens late. How much others send there is
//     known too late to act on, so each box keeps an account of its own prompts
//     and takes all boxes to send alike: if each spreads its own evenly, so is
//     the whole. The links between halls, which are slow, are priced likewise:
//     without that, full runners drive chains across halls, the links fill, and
//     all that crosses them stands still.

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
#include "pinford/step_deadline.h"
#include "util/clock.h"
#include "util/decaying_sum.h"
#include "util/hash.h"

namespace pinford {

// (endpoint, incarnation): says that this incarnation is leaving.
using LeavingMark = std::pair<std::string, uint64_t>;

class EndpointTable {
 public:
  struct Options {
    Duration report_valid = seconds(5);  // a report older than this is none
    Duration rest = seconds(1);          // after a failure, doubled each time
    Duration max_rest = seconds(30);
    double hop_seconds = 0.0005;        // inside a hall, one hand-over
    double cross_hall_seconds = 0.002;  // between halls, until measured
    // Endpoints hand over to one another, so that what counts is whether two
    // neighbours share a hall; else each hand-over goes by this box.
    bool direct_handoff = false;
    // Part of an endpoint's room beyond which it gets no more. All of it, since
    // a request counts with its whole answer from its start, and what runners
    // say corrects the account: below, runners stood at 57 in 100 of their
    // memory while requests were refused for want of room.
    double most_room = 1.0;
    // How long an endpoint that refused work as full is left alone, if it does
    // not ask for more. What is there ends within seconds.
    Duration full_backoff = milliseconds(300);
    // Over how long prompts sent are counted against what an endpoint can
    // read. Shorter than the bursts that callers make, long enough for a box
    // to have sent several prompts.
    Duration reading_span = milliseconds(2000);
    // How long what an endpoint said counts against the account. What it has
    // beyond what living boxes sent there (their boxes were killed, or this one
    // has just started) ends within seconds; so do counts of boxes that are
    // gone or cut off, which made the account 94 in 100 where the runner
    // had 57.
    Duration unknown_for = milliseconds(2000);
    // Random part of a price, as a part of the mean backlog.
    double jitter = 0.02;
    PriceOptions price;
    StepDeadline::Options deadline;
    MechanismSwitches mechanisms;
  };

  EndpointTable(std::string hall, const Options& options, Random random);

  // Sources.
  void OnList(const std::vector<ListedEndpoint>& list);
  // One of its entries, new or changed, or one that is listed no more; the
  // others stay as they are.
  void OnListed(const ListedEndpoint& listed);
  void OnUnlisted(const std::string& name);
  void OnReport(Time now, const std::string& name, const LoadReport& report);
  // The endpoint refused work because it is leaving, or a peer says so.
  // True if that is news.
  bool OnLeaving(const std::string& name, uint64_t incarnation);
  bool OnLeaving(const std::string& name);  // of its present incarnation
  // It has started anew under the same name: what was known of it, counted
  // there and reported is of a life that is over. What was sent to that life
  // is lost; Done and Failure of it count no more.
  void OnRestart(Time now, const std::string& name);
  // The endpoint does not answer, or does again.
  void SetDown(const std::string& name, bool down);
  // It takes so many times as long as it should.
  void SetSlowdown(const std::string& name, double slowdown);
  // The endpoint refused work because it has no room.
  void OnFull(Time now, const std::string& name);
  // The endpoint wants nothing from this box for so long.
  void OnBackoffRequested(Time now, const std::string& name, Duration rest) {
    rests_.OnAsked(now, name, rest);
  }
  // The endpoint does not hold what its last report said: that report counts
  // no more.
  void InvalidateReport(const std::string& name);
  // How many other boxes place work as this one does.
  void set_peer_boxes(int n) { peer_boxes_ = n; }
  // How many boxes, this one among them, send prompts as this one does.
  void set_boxes(int n) { boxes_ = n; }
  // What events take of the pauses that callers allow (SpeedWeight).
  void set_gap_share(double share) { gap_share_ = share; }
  // What peers have on each endpoint, all boxes but this one; nothing on those
  // that are not named. One walk over the rows.
  void OnPeerCounts(const PeerCounts& counts);
  // What a runner says it has: work in its memory, and requests whose first
  // stage it is. It counts what no living box knows of, too.
  void OnObserved(Time now, const std::string& name, double work, int entries);

  // What this box has there: a stream that runs `work` layers, or a call.
  // Where room is known, a layer counts for each thousand tokens of a stream.
  // Sent before the first byte, Done at the end.
  void OnSent(const std::string& name, int work = 1);
  void OnDone(const std::string& name, int work = 1);
  // A request begins, or ends, to have its first stage there.
  void OnEntry(const std::string& name);
  void OnEntryDone(const std::string& name);
  // `tokens` of a prompt, times the layers that read them, are sent there.
  void OnPrefillSent(Time now, const std::string& name, double tokens);
  // Those of a prompt wait there to be read; they have been, or will not be.
  void OnPrefillQueued(const std::string& name, double tokens);
  void OnPrefillDone(const std::string& name, double tokens);
  // Seconds that a token takes of the link between two halls; 0 if unknown.
  void set_transfer_seconds_per_token(double s) { crossing_seconds_ = s; }
  // `tokens` are sent that pass from one hall to another.
  void OnTransferSent(Time now, double tokens);
  // Those wait to pass; they have passed, or will not.
  void OnTransferQueued(double tokens) { crossing_waiting_ += tokens; }
  void OnTransferDone(double tokens);
  // Results of single steps and calls.
  void OnSuccess(const std::string& name, double work, Duration took);
  // `sent` is when the step or call that failed was sent.
  void OnFailure(Time now, const std::string& name, Time sent);

  bool TakesNewWork(Time now, const std::string& name) const;
  // Whether work may be sent there, at need too: it is up, and is not left
  // alone because it refused. To be asked again right before the first byte: a
  // connection takes up to hundreds of milliseconds to make.
  bool MaySend(Time now, const std::string& name) const;
  // What is left of the rest that it asked for.
  Duration BackoffLeft(Time now, const std::string& name) const {
    return rests_.Left(now, name);
  }
  // Endpoints that rest because they asked to.
  size_t BackingOff(Time now) const { return rests_.Count(now); }
  // Whether its present incarnation is known to be leaving.
  bool IsLeaving(const std::string& name) const;
  // Its present incarnation; 0 if it is not known.
  uint64_t IncarnationOf(const std::string& name) const;
  // When it was seen to have started anew; Time{} if never.
  Time LastRestartOf(const std::string& name) const;
  Duration DeadlineFor(const std::string& name, double work) const;
  std::optional<Address> AddressOf(const std::string& name) const;
  // "" if it is not known.
  const std::string& HallOf(const std::string& name) const;
  // Seconds that one token of each stream there takes, by all boxes.
  double BacklogOf(const std::string& name) const;
  // Part of its time that goes to reading prompts, by all boxes; over 1 when
  // more is sent than it can read.
  double PrefillLoadOf(Time now, const std::string& name) const;
  // Part of its room that is taken, by all boxes; 0 where none is known.
  double MemoryUtilizationOf(Time now, const std::string& name) const;
  // Seconds that what waits to be read there takes, by all boxes.
  double WaitingOf(const std::string& name) const;
  // Thousands of tokens of each of its layers there, by all boxes; 0 where no
  // room is known.
  double LayerWorkOf(Time now, const std::string& name) const;
  // Seconds for a step of `layers` layers there, at its pace.
  double StepSecondsOf(const std::string& name, int layers, bool paced) const;
  double transfer_seconds_per_token() const { return crossing_seconds_; }
  const MechanismSwitches& mechanisms() const { return options_.mechanisms; }
  // Streams or calls there, by all boxes.
  double LoadOf(const std::string& name) const;

  // The version of `model` that new requests get: `wanted` if it is not
  // empty, else the greatest whose runners cover every layer now, those that
  // rest only if the others do not; numbers in names count as numbers, so v10
  // is above v9.
  // Nothing if there is none.
  std::optional<std::string> VersionFor(Time now, const std::string& model,
                                        const std::string& wanted) const;
  // Layers of that version, 0 if it is not known.
  int LayersOf(const std::string& model, const std::string& version) const;
  // A chain over `range` of endpoints that take new work, weighed by
  // `hall_weight` (a greater weight draws more; 0 means never). If those do
  // not cover the range, endpoints that rest after a failure but have
  // reported since are taken too: likely slow rather than lost. Nothing if
  // that does not cover it either.
  // Endpoints in `avoid` are left out. Endpoints without room for `layer_work`
  // on each of their layers are left out: one that is overfull drops its newest
  // work and runs it anew.
  using HallWeight = std::function<double(const std::string& hall)>;
  std::optional<Chain> PickChainFor(Time now, const std::string& model,
                                    const std::string& version,
                                    const LayerRange& range,
                                    const HallWeight& hall_weight,
                                    double layer_work = 1,
                                    const std::set<std::string>& avoid = {});
  // Where a pool is shortest of room: the layer whose emptiest holder has the
  // greatest part of its room taken, or that nobody holds.
  struct MemoryBottleneck {
    int layer = 0;
    int holders = 0;         // that take new work
    double memory_used = 1;  // part of the room of the emptiest of them
  };
  MemoryBottleneck MemoryBottleneckOf(Time now, const std::string& model,
                                      const std::string& version) const;
  // The less loaded of two random endpoints of `service`, none of `tried`.
  std::optional<std::string> PickService(Time now, const std::string& service,
                                         const std::set<std::string>& tried);

  // Streams that a model's runners can hold at once: the least, over all
  // layers, of the slots of the endpoints that hold the layer. An upper bound
  // where ranges overlap; refusals as busy correct it.
  double StreamSlots(Time now, const std::string& model) const;
  // The same, less what is estimated to be there already.
  double FreeStreamSlots(Time now, const std::string& model) const;
  // Whether some runner reports `model`.
  bool KnowsModel(const std::string& model) const;
  // Models that some runner reports.
  std::set<std::string> Models() const;
  // Demand and capacity of each hall for `model`, in streams.
  std::map<std::string, HallDemand> Halls(Time now,
                                          const std::string& model) const;

  // What this box had on lives that are over, until it is done there too.
  struct LostLoad {
    int streams = 0;
    int work = 0;
    int entries = 0;
  };
  struct Row {
    uint32_t id = 0;  // NameId of its name
    ListedEndpoint listed;
    std::optional<LoadReport> report;
    Time reported{};
    // What this box has there, and had when the report came.
    int own = 0;  // streams or calls
    int own_at_report = 0;
    int own_work = 0;
    int own_work_at_report = 0;
    int own_work_before = 0;  // when the report before that came
    int own_entries = 0;      // requests whose first stage it is, of this box
    PeerCount peers;
    // What it said it had beyond what was known here, less where negative, and
    // when.
    double unknown_work = 0;
    int unknown_entries = 0;
    Time observed{};
    DecayingSum reading;         // seconds that this box's prompts take to read
    double waiting = 0;          // of them, what has not been read, tokens
    std::set<uint64_t> leaving;  // incarnations known to leave
    int failures = 0;            // in a row
    Time resting_until{};
    Time failed{};
    Time full_until{};
    Time backed_off{};  // when its deadline was last doubled
    StepDeadline deadline;
    LostLoad lost;
    Time begun{};  // when it was seen to have started anew
    bool is_listed = true;
    bool down = false;    // does not answer, though it is listed
    double slowdown = 1;  // over 1: slower than it should be
  };
  const std::map<std::string, Row>& rows() const { return rows_; }
  // Marks worth telling peers.
  std::vector<LeavingMark> LeavingMarks() const;

 private:
  bool enabled(Mechanism m) const { return options_.mechanisms.enabled(m); }
  static void EndLost(int work, Row* row);
  Row* Find(const std::string& name);
  const Row* Find(const std::string& name) const;
  // Whether nothing of the row is of use any more.
  static bool IsOver(const Row& row);
  // That a row speaks of: its report may be ahead of the list.
  static uint64_t IncarnationOf(const Row& row);
  // Its present incarnation is known to be leaving.
  static bool IsLeaving(const Row& row);
  // Listed, and not known to be leaving.
  static bool IsUp(const Row& row);
  // It has refused work, and is not to be sent to for a while.
  bool LeftAlone(Time now, const Row& row) const;
  bool MaySend(Time now, const Row& row) const;
  bool TakesNewWork(Time now, const Row& row) const;
  bool TakesWorkAtNeed(Time now, const Row& row) const;
  // The greatest version that the rows of `takes` hold every layer of.
  std::optional<std::string> WholeVersion(
      const std::string& model, const std::string& wanted,
      const std::function<bool(const Row&)>& takes) const;
  std::optional<Chain> PickAmong(Time now, const std::vector<const Row*>& rows,
                                 const LayerRange& range,
                                 const HallWeight& hall_weight);
  double WorkOf(const Row& row) const;
  // Part of what was observed beyond what was known that is likely left.
  double UnknownLeft(Time now, const Row& row) const;
  double RoomTakenOf(Time now, const Row& row) const;
  double MemoryUtilizationOf(Time now, const Row& row) const;
  double PrefillLoadOf(Time now, const Row& row) const;
  double WaitingOf(const Row& row) const;
  bool HasRoom(Time now, const Row& row, double layer_work) const;
  // What prices of a pick are taken against: means over its candidates.
  struct Means {
    double backlog = 0;        // seconds
    double layer_seconds = 0;  // of a runner without load
  };
  Means MeansOf(const std::vector<const Row*>& rows) const;
  double PriceOf(Time now, const Row& row, const Means& means) const;
  double EntryPrice(Time now, const Row& row) const;
  double BacklogOf(const Row& row) const;
  double CrossingPrice(Time now, int halls) const;
  static double LoadOf(const Row& row);
  template <typename SlotsOf>
  double LeastOverLayers(Time now, const std::string& model,
                         SlotsOf slots_of) const;
  bool IsRunnerOf(Time now, const Row& row, const std::string& model,
                  const std::string& version) const;

  std::string hall_;
  int peer_boxes_ = 0;
  int boxes_ = 1;
  double gap_share_ = 0;
  double crossing_seconds_ = 0;
  double crossing_waiting_ = 0;  // tokens of this box that have not crossed
  DecayingSum crossing_;  // seconds that this box's tokens take of the links
  Options options_;
  Random random_;
  std::map<std::string, Row> rows_;
  EndpointRests rests_;
};

}  // namespace pinford

#endif  // PINFORD_ENDPOINT_TABLE_H_
