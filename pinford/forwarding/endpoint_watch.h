// Detects failed endpoints from the requests themselves.
//
// Every event of a stream shows that all stages of its chain work. A stage that
// runs for several streams thus shows it many times between two events of one
// of them, so a silence far beyond its usual interval is suspicious long before
// any single stream is late. Suspects are probed, and only the result of a
// probe, or its absence, marks an endpoint as down, slow or working. One that
// is down or slow is probed until it recovers or leaves the list.
//
// No I/O: the owner probes the endpoints that EndpointsToProbe returns and
// passes in the results.

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
    // Silence beyond this multiple of the mean interval is suspicious,
    double silence_factor = 4;
    // ... but never less than this: passes of a busy runner take up to 15 ms,
    // and prefill runs in between.
    Duration min_silence = milliseconds(60);
    // Minimum time between two probes of an endpoint that works, and of one
    // that is down or slow.
    Duration healthy_probe_interval = milliseconds(150);
    Duration impaired_probe_interval = milliseconds(400);
    // A runner whose slowdown reaches this is slow: pauses in its streams are
    // then close to their limit.
    double slow_threshold = 2;
  };

  explicit EndpointWatch(const Options& options) : options_(options) {}

  // Events of a stream start, or stop, to pass through these stages.
  void OnBegin(Time now, const Chain& chain);
  void OnEnd(const Chain& chain);
  void OnProgress(Time now, const Chain& chain);

  // Endpoints to probe now. Marks each as being probed.
  std::vector<std::string> EndpointsToProbe(Time now);
  // Whether an endpoint that is suspected for another reason than silence is to
  // be probed now; marks it as being probed. False while a probe is outstanding
  // and for a while after one: each refusal of a full runner makes it suspect.
  bool BeginProbe(Time now, const std::string& endpoint);
  enum class Change { kNone, kWorse, kBetter };
  // The result of a probe: whether the endpoint works, and its slowdown.
  Change OnProbeResult(const std::string& endpoint, bool works,
                       double slowdown);
  // A probe got no answer, possibly by this box's own fault. Returns true if it
  // may be repeated at once; otherwise it is repeated in turn.
  bool OnProbeInconclusive(const std::string& endpoint);
  // The probe tells nothing of the endpoint.
  void OnProbeDiscarded(const std::string& endpoint);
  void Forget(const std::string& endpoint) { rows_.erase(endpoint); }
  // The endpoint has restarted: drops what was observed of its old incarnation.
  void OnRestart(const std::string& endpoint);

  bool IsDown(const std::string& endpoint) const;
  // It is down, is being probed, or did not answer its last probe.
  bool IsSuspected(const std::string& endpoint) const;
  bool IsSlow(const std::string& endpoint) const;
  // When it last showed that it works; Time{} if never.
  Time LastProgressOf(const std::string& endpoint) const;

 private:
  struct Row {
    int streams = 0;
    int stale_streams = 0;  // streams of old incarnations that have not ended
    Time progress{};
    double mean_interval = 0;  // seconds between events
    Time last_probe{};
    bool probing = false;
    bool inconclusive = false;  // the last probe may be repeated at once
    bool down = false;
    bool slow = false;
  };

  bool MayProbe(Time now, const Row& row) const;
  bool IsSuspicious(Time now, const Row& row) const;

  Options options_;
  std::unordered_map<std::string, Row> rows_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_WATCH_H_
