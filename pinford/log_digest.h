// Summarizes the logs of any number of boxes: outcomes of forwarded requests,
// times to the first event, pauses within streams and their causes, by time
// window, service and hall; or the trace of one request across all boxes.
//
// Lines are JSON objects as written by LogFormat::kJson. Other lines are
// skipped and reported as findings. Timestamps are those of each box's own
// clock and may be skewed.
//
// Only events with a request id are kept, at about 300 bytes each.

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

// Why a stream started late or paused for too long.
enum class DelayCause {
  kStageReplaced,  // a stage was down or slow and was replaced
  kRestarted,      // a stage was down or slow; the request restarted
  kStalled,        // no event for too long; the request restarted
  kAttemptFailed,  // an attempt failed and was retried
  kNone,           // none of these
};

std::string_view DelayCauseName(DelayCause c);

struct LogDigestOptions {
  int64_t window_ms = 2000;
  int64_t first_ms = 500;  // a first event after this is late
  int64_t gap_ms = 200;    // a pause longer than this is late
};

class LogDigest {
 public:
  explicit LogDigest(const LogDigestOptions& options) : options_(options) {}

  // Adds the lines of one log. `file` is its name in findings.
  void Read(std::string_view text, const std::string& file);

  // The summary, one row per group.
  Json Windows() const;
  // The summary as a human-readable table.
  std::string Table() const;
  // All events of a request in time order, one per line.
  std::string RequestTrace(const std::string& request) const;

  // Lines that could not be parsed.
  const Findings& findings() const { return findings_; }
  // Number of lines that boxes reported as dropped.
  int64_t dropped_lines() const { return dropped_lines_; }

 private:
  struct Event {
    int64_t ms = 0;  // since 1970
    std::string box;
    std::string name;
    Json fields;
  };
  // Requests are grouped by time window, service and the hall of the box.
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
    std::map<std::string, int> kinds;    // stages by kind of runner
    std::map<std::string, int> runners;  // chains by runner
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
  std::vector<Event> events_;  // that have a request id, in the order read
  std::map<std::string, std::set<std::string>>
      event_names_by_request_;  // of each request
  std::map<std::string, std::string> hall_by_box_;
  std::map<std::string, std::string> kind_by_endpoint_;
  Findings findings_;
  int64_t dropped_lines_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_LOG_DIGEST_H_
