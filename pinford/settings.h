// Settings of a box, read from a YAML file.
//
// The whole file is validated: unknown keys, wrong types, values out of range
// and conflicting addresses are all reported with their lines. A box does not
// start with an invalid file. docs/OPERATIONS.md lists all keys.

#ifndef PINFORD_SETTINGS_H_
#define PINFORD_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/finding.h"
#include "pinford/log.h"
#include "pinford/mechanisms.h"
#include "util/address.h"
#include "util/clock.h"

namespace pinford {

struct Settings {
  std::string box;
  std::string hall;

  Address callers;    // HTTP for callers
  Address operators;  // HTTP for operators, metrics and health
  Address peers;      // UDP and TCP for the other boxes
  // HTTP for the load balancer's readiness checks, separate from the operators'
  // address. Port 0 if there is none. Forwarding boxes only.
  Address ready;

  std::string operator_key;  // bearer key
  std::string peer_key;      // authenticates messages between boxes

  Address store;  // the platform's key-value service
  std::vector<Address> seeds;

  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  int max_body_bytes = 1 << 20;
  int max_header_bytes = 16 << 10;
  Duration idle_timeout = seconds(60);  // of a caller's connection
  int max_waiting = 2000;               // queued requests
  int max_waiting_bytes = 64 << 20;     // total size of their prompts
  int max_unsent_bytes = 256 << 10;     // per caller
  int max_tokens = 4096;                // per completion
  int journal_bytes = 1 << 20;          // per completion, for recovery
  Duration call_timeout = seconds(10);  // of a plain call

  Duration stop_listening_after = seconds(3);  // after SIGTERM
  Duration stop_timeout = seconds(600);

  Duration report_interval = milliseconds(500);  // of load polls
  int gossip_bytes_per_second = 1000;
  Duration load_spacing = seconds(10);  // between orders to load weights
  int timeline_events = 20000;
  int utc_offset_minutes = 0;  // for the hour passed to policies

  // --- forwarding boxes only -----------------------------------------------

  // A policy file to load at the start; "" for none.
  std::string policy_file;
  // Customers' keys are accepted only while the configuration in force is known
  // to have been the newest within this time. 0 means no limit.
  Duration max_key_staleness{};
  // Limit on the retries to a service by all boxes in any window: retry_ratio
  // times its requests, plus retry_extra.
  double retry_ratio = 0.2;
  double retry_extra = 100;
  Duration retry_window = seconds(10);
  int max_connections = 3500;  // from callers
  // What is held of callers' requests, until they have been forwarded.
  int max_held_bytes = 64 << 20;
  MechanismSwitches mechanisms;  // switched off for measurements
};

// Parses settings from YAML. `file` is the name used in findings. Returns
// nullopt if there are any findings.
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Findings* findings);

}  // namespace pinford

#endif  // PINFORD_SETTINGS_H_
