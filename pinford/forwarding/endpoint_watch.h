// Notices endpoints that have stopped working, from the requests themselves.
//
// Whenever an event of a stream arrives, every stage of its chain has just
// shown that it works. A stage that runs for several streams so shows it many
// times in the time between two events of one of them; silence far beyond
// what is usual for it is suspicious long before any single stream is late.
// What is suspected is asked directly, and only its own answer, or none, makes
// it count as down, slow or working. One that is down or slow is asked again
// until it is well or leaves the list.
//
// No I/O: the owner asks whom EndpointsToProbe names and hands in what came of
// it.

#ifndef PINFORD_FORWARDING_ENDPOINT_WATCH_H_
#define PINFORD_FORWARDING_ENDPOINT_WATCH_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "pinford/pipeline.h"
#include "util/clock.h"

namespace pinford {

class EndpointWatch {
 public:
  struct Options {
    // Silence beyond so many usual intervals is suspicious,
    double usual_times = 4;
    // ... but no shorter one: passes of a busy runner take up to 15 ms, and a
    // prompt is read between them.
    Duration least_silence = milliseconds(60);
    // An endpoint that has answered is not asked again for so long, nor is
    // one that is down or slow.
    Duration healthy_probe_interval = milliseconds(150);
    Duration impaired_probe_interval = milliseconds(400);
    // A runner that takes so many times as long as it should is slow: its
    // streams' pauses then come near what they may be.
    double slow_pace = 2;
  };

  explicit EndpointWatch(const Options& options) : options_(options) {}

  // Events of a stream begin, or end, to pass through these stages.
  void OnBegin(Time now, const Chain& chain);
  void OnEnd(const Chain& chain);
  void OnProgress(Time now, const Chain& chain);

  // Whom to ask now. Each counts as asked.
  std::vector<std::string> EndpointsToProbe(Time now);
  // Whether one that is in doubt for another reason than its silence is to be
  // asked now; it then counts as asked. False while an answer is awaited, and
  // for a while after one: a full runner is doubted with each refusal.
  bool BeginProbe(Time now, const std::string& endpoint);
  enum class Change { kNone, kWorse, kBetter };
  // What came of it: whether it works, and at what pace.
  Change OnProbeResult(const std::string& endpoint, bool works,
                       double slowdown);
  // Nothing came of it, and whether that is this box's own fault is open. True
  // if it may be asked once more at once, else it has its turn later.
  bool OnProbeInconclusive(const std::string& endpoint);
  void Forget(const std::string& endpoint) { rows_.erase(endpoint); }
  // It has started anew: what was seen of it is of a life that is over.
  void OnRestart(const std::string& endpoint);

  bool IsDown(const std::string& endpoint) const;
  // It is down, is being asked, or did not answer of late.
  bool IsSuspected(const std::string& endpoint) const;
  bool IsSlow(const std::string& endpoint) const;
  // When it last showed that it works; Time{} if never.
  Time LastProgressOf(const std::string& endpoint) const;

 private:
  struct Row {
    int streams = 0;
    int lost = 0;  // streams of lives that are over, until they end
    Time progress{};
    double usual = 0;  // seconds between signs of life
    Time asked{};
    bool asking = false;
    bool undecided = false;  // by the last answer, or none
    bool down = false;
    bool slow = false;
  };

  bool MayAsk(Time now, const Row& row) const;
  bool Suspicious(Time now, const Row& row) const;

  Options options_;
  std::unordered_map<std::string, Row> rows_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_WATCH_H_
