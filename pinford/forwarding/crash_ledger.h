// Finds requests that crash the endpoints that run them.
//
// Such a request comes again under new ids at any box, and each of its runs
// takes an endpoint down with all requests that run there. No box sees enough
// of it alone, so boxes add up what they see, by fingerprint
// (request_fingerprint.h).
//
// The evidence is a set of crashed runs: pairs of a fingerprint and the
// incarnation of an endpoint that ended while the request ran there. Sets are
// merged by union, so order, repetition and loss of messages do not matter. A
// box counts an incarnation only once it knows by itself that it has ended, and
// that it is not its own path that is broken (crash_watch.h), so a box that
// lost its own connections cannot accuse a request.
//
// Requests that merely run beside the cause see the same endpoints end. What
// tells them apart:
// - A run that has received events for `max_run_to_crash` is no evidence. The
//   cause crashes endpoints as soon as its run starts.
// - Runs that end at the same time count less than runs one after the other.
//   When many endpoints are lost at once, a harmless request that many callers
//   send loses several runs, but none of these began after another had ended.
// - A run that succeeds, or goes on for `max_run_to_crash`, clears the request:
//   all runs that began earlier no longer count.
//
// Two steps follow from the evidence. A suspect gets one attempt per request,
// so that a second endpoint is not lost in vain, and all boxes watch for a run
// that clears it. A quarantined request is refused everywhere.
//
// Traffic: a box sends each crashed run to `kCrashCollectors` boxes chosen by
// rendezvous hashing of the fingerprint. These add up the evidence. Only
// records of suspects are sent to all boxes, by gossip. So the traffic of a box
// does not depend on the number of boxes.
//
// No I/O: the ledger's owner sends what Tick() and Sample() return.

#ifndef PINFORD_FORWARDING_CRASH_LEDGER_H_
#define PINFORD_FORWARDING_CRASH_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/peer_messages.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class Suspicion { kNone, kSuspect, kQuarantined };

std::string_view SuspicionName(Suspicion s);

// Boxes that add up the evidence of one fingerprint. Several, since any of them
// may be dead, partitioned or just started.
inline constexpr int kCrashCollectors = 3;

class CrashLedger {
 public:
  struct Options {
    // Crashed incarnations that make a request a suspect.
    int suspect_crashes = 3;
    // It is quarantined after this many crashes, of which this many happened
    // one after the other,
    int sequential_crashes = 4;
    int min_sequence = 3;
    // ... or after more crashes with a shorter sequence: callers that repeat at
    // once crash several endpoints at the same time.
    int concurrent_crashes = 6;
    int min_concurrent_sequence = 2;
    Duration max_run_to_crash = seconds(1);
    // How long an endpoint may take to be found ended. Its entry is removed
    // after three missed heartbeats of 1.2 s.
    Duration confirm_timeout = seconds(6);
    // How long a quarantine lasts, and a cleared request is remembered, after
    // the last crash or the run that cleared it.
    Duration retention = seconds(600);
    // How long other boxes are told that a suspect was cleared.
    Duration cleared_news = seconds(60);
    // How long after a run Unconfirmed() names its endpoint. A crashed process
    // is found by the first probe.
    Duration check_time = milliseconds(500);
    // Interval of the search for expired records.
    Duration sweep_interval = seconds(1);
    // Delays after which a crashed run is sent again, since datagrams are lost.
    std::vector<Duration> resend_delays = {milliseconds(200),
                                           milliseconds(800)};
    // Bounds on memory, and on what a wrong decision can refuse.
    size_t max_records = 1024;
    size_t max_quarantined = 64;
    size_t max_runs = 8;  // per record
  };

  // Whether this incarnation of the endpoint has ended, as far as this box
  // knows.
  using HasEnded =
      std::function<bool(const std::string& endpoint, uint64_t incarnation)>;

  // A record's change of suspicion, for the log.
  struct Change {
    std::string fingerprint;
    Suspicion before = Suspicion::kNone;
    Suspicion now = Suspicion::kNone;
    int crashes = 0;
    int sequence = 0;
  };
  struct Updates {
    // Each to kCrashCollectors boxes; those with the most evidence first.
    std::vector<CrashRecord> to_collectors;
    std::vector<CrashRecord> to_all;  // by gossip
    std::vector<Change> changes;
  };

  CrashLedger(const Options& options, Random random)
      : options_(options), random_(random) {}

  const Options& options() const { return options_; }
  bool empty() const { return records_.empty(); }

  // A run of this box has ended without success; the endpoint may have crashed.
  // `suspicious`: the endpoint itself broke it off.
  void OnRunEnded(Time now, const std::string& fingerprint,
                  const std::string& endpoint, uint64_t incarnation, Time began,
                  bool suspicious);
  // A run succeeded, or went on for so long that the request is no cause.
  void OnSurvived(Time now, const std::string& fingerprint);
  // Evidence of a peer, or from the store.
  void OnRecord(Time now, const CrashRecord& record);

  // Endpoints that just broke off runs, or that peers report, and that are not
  // known to have ended. The caller is to find out.
  std::set<std::string> Unconfirmed(Time now) const;
  // Counts the runs whose endpoints have ended, drops what has expired, and
  // returns what to send now.
  Updates Tick(Time now, const HasEnded& has_ended);

  Suspicion Of(const std::string& fingerprint) const;
  // Whether a run cleared the request, and no evidence has come since.
  bool IsCleared(const std::string& fingerprint) const;
  // Up to `count` records of suspects, and of suspects that were cleared
  // recently, drawn at random, for a peer that may have missed them.
  std::vector<CrashRecord> Sample(Time now, size_t count);
  // The records of all quarantined requests.
  std::vector<CrashRecord> Quarantined(Time now) const;
  size_t quarantined() const { return quarantined_; }

 private:
  struct Run {
    Time began{};
    Time ended{};
    Time known_since{};
    bool confirmed = false;
    bool suspicious = true;
    // Of this box's own runs: sends that are due after confirmation.
    bool own = false;
    size_t sends = 0;
    Time next_send{};
  };
  using RunKey = std::pair<std::string, uint64_t>;  // endpoint, incarnation
  struct Record {
    std::map<RunKey, Run> runs;
    Time survived = Time::min();
    Time updated{};  // end of the last crashed or survived run
    Suspicion suspicion = Suspicion::kNone;
    bool announce = false;   // to all boxes
    bool announced = false;  // was sent to all boxes at some time
  };

  // The record of the fingerprint, created if there is room; nullptr otherwise.
  Record* FindOrCreate(const std::string& fingerprint);
  bool EvictOne();
  // Returns false if the run began before the request was cleared.
  bool AddRun(const RunKey& key, const Run& run, Record* record);
  void Clear(Time survived, Record* record);
  void TickRuns(Time now, const HasEnded& has_ended,
                const std::string& fingerprint, Record* record,
                Updates* updates);
  Suspicion Judge(const Record& record) const;
  void Update(const std::string& fingerprint, Record* record, Updates* updates);
  static int CountConfirmed(const Record& record);
  int CrashesOf(const std::string& fingerprint) const;
  // The greatest number of confirmed runs of which each began after the one
  // before it had ended.
  static int SequenceOf(const Record& record);
  CrashRecord Encode(Time now, const std::string& fingerprint,
                     const Record& record) const;

  Options options_;
  Random random_;
  std::map<std::string, Record> records_;  // by fingerprint
  size_t quarantined_ = 0;
  bool pending_ = false;  // some run awaits confirmation or a send
  Time next_sweep_{};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CRASH_LEDGER_H_
