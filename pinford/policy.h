// Operators' policy programs, in Lua 5.4.
//
// A policy is one or more Lua files. They define functions that pinford calls
// with plain tables and whose results are plain tables:
//
//   classify(request)          how a completion is treated (RequestClass)
//   repeatable(call)           whether a plain call may be sent twice
//   share(pool, halls, hour)   how a model's load is split over halls
//   placement(pool, halls, hour)   how many replicas each hall should hold
//
// Each is optional; a missing one means the documented default. A program has
// no io, os, load, require or debug, so it can reach nothing but its inputs.
// Every call is bounded in instructions and memory. A call that fails gives
// the default for that request, is counted, and its text is kept for the
// operator. Lua was chosen over a language of pinford's own: operators get
// loops, functions and a manual, and the project gets no parser to maintain.

#ifndef PINFORD_POLICY_H_
#define PINFORD_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/finding.h"
#include "util/clock.h"

struct lua_State;

namespace pinford {

// Most urgent first. The number of tiers follows the measurement in
// docs/MEASUREMENTS.md.
enum class Tier { kCritical, kHigh, kStandard, kBackground };
inline constexpr int kTierCount = 4;

std::string_view TierName(Tier t);

// What a policy sees of a completion.
struct RequestFacts {
  std::string customer;
  std::string model;
  std::string kind;  // the X-Kind header, free for callers to use
  int prompt_bytes = 0;
  int max_tokens = 0;
  double hour = 0;   // of the day in the box's time zone, 0 to 24
  int priority = 5;  // of a forwarded request; 0 is the most urgent
};

// How a completion is treated. The values here are the defaults.
struct RequestClass {
  Tier tier = Tier::kStandard;
  double weight = 1;    // of the customer's share inside the tier
  std::string group;    // customers of one group share one weight; or ""
  std::string model;    // "" keeps the caller's
  std::string version;  // "" means the newest that is whole
  Duration deadline = seconds(30);  // for the first token
  bool refuse = false;              // answer not_run at once
};

// What a policy sees of a plain call.
struct CallFacts {
  std::string customer;
  std::string service;
  std::string method;
  std::string path;
};

// Demand and capacity of one hall for a model, as share() sees them.
struct HallDemand {
  double demand = 0;    // streams wanted
  double capacity = 0;  // streams its endpoints can hold
};

// One file of a policy.
struct PolicyFile {
  std::string name;
  std::string source;
  friend bool operator==(const PolicyFile&, const PolicyFile&) = default;
};

class Policy {
 public:
  struct Options {
    int max_instructions = 200000;  // a call
    size_t max_bytes = 8 << 20;     // of the program's memory, in all
  };

  // Compiles and runs the files' top level, and tries each function on sample
  // inputs. Null, with all findings added, if anything is wrong.
  static std::unique_ptr<Policy> Load(const std::vector<PolicyFile>& files,
                                      const Options& options,
                                      Findings* findings);
  ~Policy();
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  RequestClass Classify(const RequestFacts& facts);
  // By default GET calls are repeatable and all others are not.
  bool IsIdempotent(const CallFacts& facts);
  // Weight of each hall; a hall that is missing has weight 1.
  std::map<std::string, double> Share(
      const std::string& pool, const std::map<std::string, HallDemand>& halls,
      double hour);
  // Replicas wanted in each hall; empty when the policy says nothing.
  std::map<std::string, int> Placement(
      const std::string& pool, const std::map<std::string, HallDemand>& halls,
      double hour);

  // Calls that failed, and the text of the last.
  int64_t errors() const { return errors_; }
  const std::string& last_error() const { return last_error_; }

  // Of the implementation.
  struct Memory;
  struct Job;

 private:
  explicit Policy(const Options& options);
  bool Open();
  void LoadFiles(const std::vector<PolicyFile>& files, Findings* findings);
  void TrySamples(const std::string& file, Findings* findings);
  // Runs `job` under the limits. False, with last_error_ set, on an error.
  bool Run(Job* job);

  Options options_;
  std::unique_ptr<Memory> memory_;
  lua_State* lua_ = nullptr;
  int64_t errors_ = 0;
  std::string last_error_;
};

}  // namespace pinford

#endif  // PINFORD_POLICY_H_
