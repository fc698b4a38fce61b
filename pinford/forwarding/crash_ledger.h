// Finds what crashes the endpoints that run it: a request, or a part of a
// prompt that several requests have.
//
// Such requests come under new ids at any box, and each of their runs takes an
// endpoint down with all requests that run there. No box sees enough of them
// alone, so boxes add up what they see, by feature. Features of a request are
// the request itself, which its caller may repeat, and each part of its prompt
// that it may share with others (request_fingerprint.h).
//
// The evidence is a set of crashed runs for each feature (crash_evidence.h). A
// box counts an incarnation only once it knows by itself that it has ended, and
// that it is not its own path that is broken (crash_watch.h), so a box that
// lost its own connections cannot accuse a request.
//
// Requests that merely run beside the cause see the same endpoints end, and so
// do the other parts of the cause's own prompt. What tells them apart:
// - A run that has received events for a while is no evidence against the parts
//   of its prompt. A bad part crashes endpoints as its run starts, or as it
//   begins to answer. A whole request may do so at any time (run_findings.h).
// - Runs that end at the same time count less than runs one after the other.
//   When many endpoints are lost at once, a harmless request that many callers
//   send loses several runs, but none of these began after another had ended.
// - A run that succeeds, or for parts goes on for long enough, clears its
//   features: all runs that began earlier no longer count.
// - A part of a prompt that was survived at any time before needs more evidence
//   than one that never was (survival_table.h).
// - Crashes that another suspected feature explains do not count against a
//   request that does not have that other feature (Assess()).
//
// Two steps follow from the evidence. A suspect gets one attempt per request,
// so that a second endpoint is not lost in vain, and all boxes watch for a run
// that clears it. Requests with a quarantined feature are refused everywhere.
// The caller of a started stream would lose what it has received, so the stream
// is still resumed if the suspect is a part of its prompt, or if nothing but
// its own runs accuses it: it may have been moved among endpoints that crash.
// If that is a part of prompts that was survived before, one box sends single
// requests with it as trials, at growing intervals: while all requests with it
// are refused, nothing else could clear it. A trial may cost an endpoint, so
// the number of refused requests must be worth it. A part that was never
// survived is tried a few times if the box knows of no part that was: it cannot
// tell a cause from what all prompts have in common then. A request is tried
// twice if it was survived before: many callers may repeat a harmless one, and
// while endpoints crash in quick succession none of its runs comes to its end.
//
// Traffic: a box sends each crashed run to `kCrashCollectors` boxes chosen by
// rendezvous hashing of the fingerprint. These add up the evidence. Only
// records of suspects are sent to all boxes, by gossip. So the traffic of a box
// does not depend on the number of boxes.
//
// When many endpoints are lost at once, a box has more to send than its budget.
// What it sends first decides how soon a cause is found, so it sends in order
// of Priority: verdicts, the evidence that is the most likely to be of the
// cause, and only then what concerns requests that their callers sent once. Of
// requests, those with the shortest runs come first: the cause is more often
// among those that had just begun than among those that had run for long.
//
// No I/O: the ledger's owner sends what Tick() and Sample() return.

#ifndef PINFORD_FORWARDING_CRASH_LEDGER_H_
#define PINFORD_FORWARDING_CRASH_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/forwarding/crash_evidence.h"
#include "pinford/forwarding/survival_table.h"
#include "pinford/peer_messages.h"
#include "pinford/send_budget.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class Suspicion { kNone, kSuspect, kQuarantined };

std::string_view SuspicionName(Suspicion s);

// Boxes that add up the evidence of one fingerprint. Several, since any of them
// may be dead, partitioned or just started.
inline constexpr int kCrashCollectors = 3;
// Peers that are sent a verdict; each passes it on once. Of n boxes about
// n * exp(-4) get it from none of them, but from a sample.
inline constexpr size_t kCrashFanout = 4;
// The same for news of suspects and of their further crashes, which are many
// while endpoints crash.
inline constexpr size_t kSuspectFanout = 2;

class CrashLedger {
 public:
  struct Options {
    // Crashed incarnations that make a feature a suspect.
    int suspect_crashes = 3;
    // It is quarantined after this many crashes, of which this many happened
    // one after the other,
    int sequential_crashes = 4;
    int min_sequence = 3;
    // ... or after more crashes with a shorter sequence: callers that repeat at
    // once crash several endpoints at the same time.
    int concurrent_crashes = 6;
    int min_concurrent_sequence = 2;
    // Crashes that it takes beyond these if the feature is a part of prompts
    // that was survived before.
    int more_crashes_if_survived = 2;
    // Runs that have received events for so long, and that this box or the
    // caller ended, are no evidence.
    Duration max_run_to_crash = seconds(1);
    // Parts of prompts are survived after so long. The cause crashes endpoints
    // before the first event; endpoints that crash in quick succession leave
    // the streams that are moved among them little time to clear their parts.
    Duration max_part_run_to_crash = milliseconds(250);
    // How long an endpoint may take to be found ended. Its entry is removed
    // after three missed heartbeats of 1.2 s.
    Duration confirm_timeout = seconds(6);
    // How long a quarantine lasts, and a cleared feature is remembered, after
    // the last crash or the run that cleared it.
    Duration retention = seconds(600);
    // Time from the last crash or trial of a quarantined part to its next
    // trial, which grows by the factor with each trial up to the last value.
    Duration first_trial = seconds(3);
    int trial_growth = 6;
    // Trials of a part that was never survived, while no other was either.
    int max_blind_trials = 3;
    // Trials of a request that was survived before.
    int max_request_trials = 2;
    Duration max_trial_pause = seconds(60);
    // Requests with the part that this box refuses before a trial.
    int refusals_per_trial = 20;
    // The same with a request, which fewer callers send than share a part.
    int refusals_per_request_trial = 5;
    // All boxes are told of further crashes of a suspect at this interval.
    Duration growth_interval = milliseconds(300);
    // Messages take time, so that a box learns of a survived run as of one that
    // was later. Differences below this are not taken for another run, or each
    // would seem later to each box to which the message is passed on.
    Duration max_message_delay = milliseconds(250);
    // How long other boxes are told that a suspect was cleared.
    Duration cleared_news = seconds(60);
    // How long after a run Unconfirmed() names its endpoint. A crashed process
    // is found by the first probe.
    Duration check_time = milliseconds(500);
    // Interval of the search for expired records.
    Duration sweep_interval = seconds(1);
    // How long crashed runs that exceed the budget wait to be sent. Later ones
    // tell more of what crashes endpoints now.
    Duration report_time = seconds(3);
    // Delays after which a crashed run is sent again, since datagrams are lost.
    std::vector<Duration> resend_delays = {milliseconds(200),
                                           milliseconds(800)};
    // Bounds on memory, and on what wrong decisions can refuse.
    size_t max_records = 1024;
    size_t max_quarantined = 32;  // requests, and as many parts of prompts
    size_t max_runs = 16;         // per record
    size_t max_survived_parts = 4096;
    size_t max_survived_requests = 1024;
  };

  // Whether this incarnation of the endpoint has ended, as far as this box
  // knows.
  using HasEnded =
      std::function<bool(const std::string& endpoint, uint64_t incarnation)>;

  // A run that has ended without success.
  struct EndedRun {
    std::string endpoint;
    uint64_t incarnation = 0;
    Time began{};
    bool suspicious = true;   // the endpoint itself broke it off
    bool had_events = false;  // received any
  };

  // A record's change of suspicion, for the log.
  struct Change {
    std::string fingerprint;
    Suspicion before = Suspicion::kNone;
    Suspicion now = Suspicion::kNone;
    int crashes = 0;
    int sequence = 0;
    bool survived = false;  // at any time
  };
  struct Updates {
    // Each to kCrashCollectors boxes.
    std::vector<CrashRecord> to_collectors;
    // By gossip, to kCrashFanout peers.
    std::vector<CrashRecord> to_all;
    // Suspects and their further crashes, to kSuspectFanout peers.
    std::vector<CrashRecord> suspects;
    std::vector<Change> changes;
    size_t withheld = 0;  // crashed runs that were never sent, for the budget
  };

  CrashLedger(const Options& options, Random random)
      : options_(options),
        random_(random),
        part_survivals_(options.max_survived_parts),
        request_survivals_(options.max_survived_requests) {}

  // Sets whether this box is the one that tries the feature. Without it there
  // are no trials.
  using TrialOwner = std::function<bool(const std::string& fingerprint)>;
  void set_trial_owner(TrialOwner owns_trial) {
    owns_trial_ = std::move(owns_trial);
  }

  const Options& options() const { return options_; }
  bool empty() const { return records_.empty(); }
  bool has_suspects() const { return !suspects_.empty(); }
  size_t quarantined() const;
  // Confirmed runs of this box that were not sent yet, for the budget.
  struct Backlog {
    size_t runs = 0;
    Duration oldest{};  // since this box knows of it
  };
  Backlog BacklogAt(Time now) const;

  // The endpoint of a run of this box may have crashed.
  void OnRunEnded(Time now, const std::string& fingerprint,
                  const EndedRun& run);
  // A run succeeded, or went on for so long that the part is no cause. It
  // had begun to be answered at `at`: crashed runs that began later still
  // count.
  void OnSurvived(Time now, const std::string& fingerprint, Time at);
  void OnSurvived(Time now, const std::string& fingerprint) {
    OnSurvived(now, fingerprint, now);
  }
  // Evidence of a peer, or from the store.
  void OnRecord(Time now, const CrashRecord& record);

  // Endpoints that just broke off runs, or that peers report, and that are not
  // known to have ended. The caller is to find out.
  std::set<std::string> Unconfirmed(Time now) const;
  // Counts the runs whose endpoints have ended, drops what has expired, and
  // returns what to send now.
  Updates Tick(Time now, const HasEnded& has_ended);

  // What is known of a request, given the fingerprints of all its features: the
  // greatest suspicion of any of them, but for those whose crashes are
  // explained by suspects that the request does not have.
  Suspicion Assess(const std::vector<std::string>& features) const;
  // The same of a request that was sent before, to decide on another send.
  struct SentRequest {
    std::vector<std::string> features;  // its own fingerprint is the last
    bool started = false;               // its caller has received an event
    int accusations = 0;  // its runs that may have crashed endpoints
  };
  Suspicion AssessAgain(const SentRequest& request) const;
  // Whether a request that arrives with these features is refused: it is
  // quarantined, and no trial is due.
  bool Refuse(Time now, const std::vector<std::string>& features);
  // Whether a quarantined request with these features may be sent as a trial.
  // The next trial is not due for a while then. Call it right before the first
  // byte.
  bool TakeTrial(Time now, const std::vector<std::string>& features);
  // What is known of the feature by itself.
  Suspicion Of(const std::string& fingerprint) const;
  // Whether a run cleared the feature, and no evidence has come since.
  bool IsCleared(const std::string& fingerprint) const;
  // Up to `count` records of suspects, and of suspects that were cleared
  // recently, drawn at random, for a peer that may have missed them. Parts of
  // prompts come first in every other call.
  std::vector<CrashRecord> Sample(Time now, size_t count);
  // The records of all quarantined features.
  std::vector<CrashRecord> Quarantined(Time now) const;

 private:
  struct Record {
    explicit Record(Time survived) : evidence(survived) {}

    CrashEvidence evidence;
    Time updated{};  // by the last run, or by one that cleared it
    Suspicion suspicion = Suspicion::kNone;
    bool announce = false;  // to all boxes
    std::optional<Time> announced_at;
    Suspicion announced = Suspicion::kNone;  // the worst ever
    std::optional<Time> cleared;             // while a suspect
    // While it is quarantined.
    int trials = 0;
    Time last_trial{};
    int refusals = 0;  // since then
    // All boxes were told that the feature was survived, since one did not
    // know.
    bool survival_announced = false;
  };
  // Parts of prompts come before requests.
  struct PartsFirst {
    bool operator()(const std::string& a, const std::string& b) const;
  };

  // What is to be sent, the most significant first.
  enum class Priority {
    kVerdict,      // a quarantine or its end, or news of a part of prompts
    kLikelyCause,  // a run with a part that ended before its first event, or of
                   // a request that crashed other endpoints
    kRequest,      // a run of any other request
    kPart,         // any other run with a part
    kSuspect,      // a request that is a suspect, or none any longer
    kAgain,        // a run that was sent before
    kSuspectOnce,  // a suspect that was sent by its caller once
  };
  // What has this priority or a lower one must leave so much of the budget.
  static constexpr Priority kMayWait = Priority::kSuspect;
  static constexpr double kReserve = 0.5;
  struct DueSend;

  using Records = std::map<std::string, Record, PartsFirst>;  // by fingerprint

  SurvivalTable& SurvivalsOf(const std::string& fingerprint);
  // The record of the fingerprint, created if there is room; nullptr otherwise.
  Record* FindOrCreate(const std::string& fingerprint);
  bool EvictOne();
  // Returns false if the run is no evidence.
  bool AddRun(const CrashEvidence::RunKey& key, const CrashEvidence::Run& run,
              Record* record);
  void Clear(Time now, Time survived, Record* record);
  void TickRuns(Time now, const HasEnded& has_ended, CrashEvidence* evidence,
                Updates* updates);
  Suspicion Judge(const std::string& fingerprint, const Record& record) const;
  bool HasRoom(const std::string& fingerprint, const Record& record) const;
  void Update(const std::string& fingerprint, Record* record, Updates* updates);
  // What is known of one of `features`, as part of a request with all of them.
  Suspicion AssessOne(const std::string& feature,
                      const std::vector<std::string>& features) const;
  // The records of those that are quarantined.
  std::vector<std::pair<std::string, Record*>> QuarantinedOf(
      const std::vector<std::string>& features);
  // Whether there may be trials of it at all.
  bool MayTry(const std::string& fingerprint, const Record& record) const;
  bool IsTrialDue(Time now, const std::string& fingerprint,
                  const Record& record) const;
  // Whether the crashes of `feature` are explained by suspects of that level or
  // above that are not `present` in the request.
  bool IsExplained(const std::string& feature, const CrashEvidence& evidence,
                   Suspicion level,
                   const std::vector<std::string>& present) const;
  // How one suspect explains the crashes of another feature.
  enum class Explanation {
    kNone,
    // If it has at least as many crashes itself.
    kAlone,
    // Whatever it leaves open, others may explain. So does a part of prompts
    // that no endpoint has survived, unless that holds of the other too.
    kTogether,
  };
  static Explanation HowExplains(const std::string& cause, bool cause_survived,
                                 const std::string& feature, bool survived);

  // What is to be sent now, in order.
  std::vector<DueSend> CollectDue(Time now);
  static Priority PriorityOf(const std::string& fingerprint,
                             const Record& record,
                             const CrashEvidence::Run& run);
  static Priority AnnouncementPriority(const std::string& fingerprint,
                                       const Record& record);
  // These add what is due and within the budget to `updates`, or return false.
  void SendDue(Time now, Updates* updates);
  bool Announce(Time now, Records::value_type* entry, Updates* updates);
  bool Report(Time now, Records::value_type* entry,
              const CrashEvidence::RunKey& key, Updates* updates);
  void AnnounceGrowth(Time now, Updates* updates);
  bool TakeBudget(Time now, size_t receivers, size_t runs);

  Options options_;
  Random random_;
  TrialOwner owns_trial_ = [](const std::string&) { return false; };
  SurvivalTable part_survivals_;
  SurvivalTable request_survivals_;
  Records records_;
  std::set<std::string, PartsFirst> suspects_;  // and quarantined ones
  size_t quarantined_parts_ = 0;
  size_t quarantined_requests_ = 0;
  bool pending_ = false;    // some run awaits confirmation or a send
  bool parts_next_ = true;  // in Sample()
  Time next_sweep_{};
  // When many endpoints are lost at once, a box has more to send than the 2 KB
  // a second that control traffic may take.
  SendBudget budget_{1000, 1000};
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CRASH_LEDGER_H_
