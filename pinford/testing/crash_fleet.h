// A fleet of boxes with a crash ledger each, on a paused clock, before
// endpoints that some requests crash, with sound requests beside them.
//
// The causes: a part of prompts that requests of which no two are alike have in
// common, and one request that its callers repeat. The fleet sees all runs, so
// it counts both errors exactly: causes that are sent too late, and sound
// requests that are refused or cut.

#ifndef PINFORD_TESTING_CRASH_FLEET_H_
#define PINFORD_TESTING_CRASH_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include "pinford/forwarding/run_findings.h"
#include "pinford/testing/ledger_net.h"

namespace pinford {

struct CrashFleetOptions {
  LedgerNet::Options net = {.max_confirm_ms = 300};
  int endpoints = 12;
  int bad_callers = 2;  // of requests with the bad part
  int sound_callers = 60;
  // Callers of the one crashing request, and of one sound request.
  int repeat_callers = 0;
  int popular_callers = 0;
  int attempts = 2;   // per request, before its first event
  int most_runs = 8;  // per request that is resumed
  // Each request has one of so many first parts, and one of so many second
  // parts. 0: it has none.
  int first_parts = 60;
  int second_parts = 0;
  // How many of them the crashing requests use.
  int bad_first_parts = 60;
  // The bad part is in sound requests too until it turns bad.
  bool was_sound = false;
  Duration mass_crash_interval{};  // of half of the endpoints; 0 for none
  // When the callers of the causes start.
  Duration before_crashes = seconds(5);
  // For so long all endpoints crash soon after each of their starts.
  Duration flapping{};
  // Of a run until it crashes its endpoint.
  Duration part_crash_time = milliseconds(60);
  Duration repeat_crash_time = milliseconds(60);
  // Of the callers of the crashing request; twice that at most.
  Duration repeat_pause = milliseconds(400);
  uint64_t seed = 1;
};

class CrashFleet {
 public:
  // What a run takes until its first event.
  static constexpr milliseconds kFirstEventTime{80};
  // Crashes of the bad part, and of the repeated request, of which all boxes in
  // contact must know.
  static constexpr int kPartCrashesBeforeBound = 5;
  static constexpr int kRequestCrashesBeforeBound = 3;

  struct Cause {
    int crashes = 0;
    std::optional<Time> bound;  // all boxes must know from then on
    int late_sends = 0;
  };

  explicit CrashFleet(const CrashFleetOptions& options);

  void RunFor(Duration d) { clock_.Advance(d); }

  const Cause& bad_part() const { return bad_part_; }
  const Cause& repeated() const { return repeated_; }
  int crashes() const { return bad_part_.crashes + repeated_.crashes; }
  int sound_refused() const { return sound_refused_; }
  int sound_served() const { return sound_served_; }
  // Of those that had begun to be answered, by suspicion.
  int sound_cut() const { return sound_cut_; }
  int popular_refused() const { return popular_refused_; }
  int popular_served() const { return popular_served_; }
  int most_bytes_per_second() const { return net_.most_bytes_per_second(); }

 private:
  static constexpr milliseconds kPause{400};  // of callers, up to twice that
  static constexpr milliseconds kAnswerTime{1720};
  static constexpr milliseconds kRestartTime{3000};
  static constexpr milliseconds kFlapLife{250};

  enum class Kind { kSound, kBadPart, kRepeated, kPopular };

  struct Endpoint {
    int id;  // of the present incarnation
    bool up = true;
  };
  struct Request {
    Kind kind = Kind::kSound;
    std::vector<std::string> parts;
    std::string fingerprint;
    int box = 0;
    Duration answered{};  // how far earlier runs have answered it
    std::optional<Duration> answering_before;  // of the run before
    int attempts = 0;
    int accusations = 0;  // runs that may have crashed their endpoints

    bool has_begun() const { return answered > Duration(0); }
  };
  struct Run {
    int number = 0;
    Request request;
    size_t endpoint = 0;
    int id = 0;  // of the endpoint
    Time began{};
  };

  int Pick(int n) { return static_cast<int>(random_() % n); }
  Request Draw(Kind kind);
  void DrawParts(Kind kind, Request* request);
  void ScheduleNext(Kind kind);
  static std::vector<std::string> FeaturesOf(const Request& r);
  Suspicion Assess(const Request& r);
  void Admit(const Request& r);
  void Refuse(const Request& r);
  void Send(Request r);
  // The cause that the request is, if any.
  Cause* CauseOf(const Request& r);
  Run* Find(int number);
  Duration AnsweringFor(const Run& run) const;
  void Record(Run* ended_run, RunEnd end);
  void PartsSurvived(const Run& run);
  void Complete(int number);
  void CrashBy(int number);
  void Crash(size_t index);
  void Restart(size_t index);
  void AfterCrash(Request r);
  void ScheduleMassCrash();

  CrashFleetOptions options_;
  Random random_;
  PausedClock clock_;
  LedgerNet net_;
  std::vector<Endpoint> endpoints_;
  std::vector<Run> running_;
  int next_id_ = 1000;
  int next_number_ = 0;
  bool turned_bad_ = false;
  Cause bad_part_;
  Cause repeated_;
  int sound_refused_ = 0;
  int sound_served_ = 0;
  int sound_cut_ = 0;
  int popular_refused_ = 0;
  int popular_served_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_CRASH_FLEET_H_
