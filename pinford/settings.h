// A box's settings, read from one YAML file.
//
// The file is checked whole: unknown keys, wrong types, values out of range
// and addresses that clash are all reported, each with its line. Nothing
// starts on a file with a finding. docs/OPERATIONS.md lists every key.

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
  // HTTP for the balancer's question whether the box is ready, apart from the
  // operators' address; port 0 without one. Only of a forwarding box.
  Address ready;

  std::string operator_key;  // bearer key
  std::string peer_key;      // of the boxes' own interface

  Address store;  // the platform's key-value service
  std::vector<Address> seeds;

  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;

  int max_body_bytes = 1 << 20;
  int max_header_bytes = 16 << 10;
  Duration idle_timeout = seconds(60);  // of a silent caller
  int max_waiting = 2000;               // requests that wait for a start
  int max_waiting_bytes = 64 << 20;     // of their prompts, in all
  int max_unsent_bytes = 256 << 10;     // of one slow caller
  int max_tokens = 4096;                // of one answer
  int journal_bytes = 1 << 20;          // of one answer, for repairs
  Duration call_timeout = seconds(10);  // of one plain call

  Duration stop_listening_after = seconds(3);  // after SIGTERM
  Duration stop_timeout = seconds(600);

  Duration report_interval = milliseconds(500);  // of asking for loads
  int gossip_bytes_per_second = 1000;
  Duration load_spacing = seconds(10);  // between orders to load weights
  int timeline_events = 20000;
  int utc_offset_minutes = 0;  // of the hour that policies see

  // --- of a forwarding box -------------------------------------------------

  // A policy file that is in force from the start; "" for none.
  std::string policy_file;
  // How old the proof may be that the configuration in force is the newest
  // while a customer's key is still believed. 0: as old as it likes.
  Duration max_key_staleness{};
  // Bound on all boxes' retries to a service, in any window: a part of its
  // requests, and a number.
  double retry_ratio = 0.2;
  double retry_extra = 100;
  Duration retry_window = seconds(10);
  int max_connections = 3500;    // of callers
  MechanismSwitches mechanisms;  // what is switched off for a measurement
};

// Settings from YAML text; `file` names it in findings. Nothing if there is
// any finding.
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::string_view file,
                                      Findings* findings);

}  // namespace pinford

#endif  // PINFORD_SETTINGS_H_
