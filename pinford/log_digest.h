// What the logs of any number of boxes say of the requests they forwarded:
// how tries ended and why, how long first events and pauses took and what came
// between, over windows of time, by service and hall; or the story of one
// request over all boxes.
//
// Lines are JSON objects as LogFormat::kJson writes them. A line that is none
// is counted with its place and passed over. Times are the boxes' own, which
// may differ by their clocks.
//
// Memory grows with the events that are kept: those that name a request, at
// about 300 bytes each.

#ifndef PINFORD_LOG_DIGEST_H_
#define PINFORD_LOG_DIGEST_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/finding.h"
#include "util/json.h"

namespace pinford {

// What came between, where a stream paused for too long or began too late.
enum class DelayCause {
  kStageReplaced,  // a stage was down or slow; another took its part
  kRestarted,      // a stage was down or slow; the stream began anew
  kStalled,        // nothing came for too long; it began anew
  kAttemptFailed,  // an attempt ended, and another followed
  kNone,           // none of these
};

std::string_view DelayCauseName(DelayCause c);

struct LogDigestOptions {
  int64_t window_ms = 2000;
  int64_t first_ms = 500;  // a later first event counts as late
  int64_t gap_ms = 200;    // a longer pause does
};

class LogDigest {
 public:
  explicit LogDigest(const LogDigestOptions& options) : options_(options) {}

  // Reads the lines of one log. `file` names it in findings.
  void Read(std::string_view text, const std::string& file);

  // What was read, window by window.
  Json Windows() const;
  // The same as a table for people.
  std::string Table() const;
  // All that names the request, in order of time, a line each.
  std::string RequestTrace(const std::string& request) const;

  // Lines that are no events of a log.
  const Findings& findings() const { return findings_; }
  // Lines that boxes left out when too many came at once, as they say.
  int64_t dropped_lines() const { return dropped_lines_; }

 private:
  struct Event {
    int64_t ms = 0;  // since 1970
    std::string box;
    std::string name;
    Json fields;
  };
  // A window of time, a service, and the hall of the boxes.
  struct Group {
    int64_t window = 0;
    std::string service;
    std::string hall;
    auto operator<=>(const Group&) const = default;
  };
  struct Tally {
    std::map<std::string, int> outcomes;
    std::vector<double> first_ms;
    std::vector<double> gap_ms;
    std::map<DelayCause, int> late;
    std::vector<double> fullest;
    std::vector<double> busiest;
    std::map<int, int> stages;
    std::map<std::string, int> kinds;    // stages on each
    std::map<std::string, int> runners;  // chains through each
    std::map<int, int> bottleneck_layers;
    std::vector<double> bottleneck_memory_used;
  };

  void AddEvent(Event event);
  void CountRequest(const Event& end, Tally* tally) const;
  void CountChain(std::string_view chain, Tally* tally) const;
  DelayCause CauseOf(const std::string& request) const;
  std::map<Group, Tally> Tallies() const;
  Json JsonOf(const Group& group, const Tally& tally) const;

  LogDigestOptions options_;
  std::vector<Event> events_;  // that name a request, in the order read
  std::map<std::string, std::set<std::string>>
      event_names_by_request_;  // of each request
  std::map<std::string, std::string> hall_by_box_;
  std::map<std::string, std::string> kind_by_endpoint_;
  Findings findings_;
  int64_t dropped_lines_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_LOG_DIGEST_H_
