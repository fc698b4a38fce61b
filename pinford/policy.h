// Policies: operators' programs in Lua 5.4.
//
// A policy is one or more Lua files that define functions. pinford calls them
// with plain tables, and they return plain tables:
//
//   classify(request)              the class of a completion (RequestClass)
//   repeatable(call)               whether a plain call may be sent twice
//   share(pool, halls, hour)       how a model's load is split between halls
//   placement(pool, halls, hour)   how many replicas each hall should have
//
// Each function is optional and has a documented default. Programs have no io,
// os, load, require or debug, so they can only access their inputs. Each call
// is limited in instructions, and the program in memory. If a call fails, the
// default is used, the failure is counted, and its message is kept for the
// operator. Lua is used rather than a custom language: it gives operators
// loops, functions and a manual, and leaves the project no parser to maintain.

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

// Most urgent first.
enum class Tier { kCritical, kHigh, kStandard, kBackground };
inline constexpr int kTierCount = 4;

std::string_view TierName(Tier t);

// The input of classify().
struct RequestFacts {
  std::string customer;
  std::string model;
  std::string kind;  // the X-Kind header, which callers choose freely
  int prompt_bytes = 0;
  int max_tokens = 0;
  double hour = 0;   // of the day, in the box's time zone, 0 to 24
  int priority = 5;  // of a forwarded request; 0 is the most urgent
};

// The result of classify(). The initial values are the defaults.
struct RequestClass {
  Tier tier = Tier::kStandard;
  double weight = 1;    // of the customer's share within the tier
  std::string group;    // if not "", the group's customers share one weight
  std::string model;    // "" keeps the requested model
  std::string version;  // "" means the newest complete version
  Duration deadline = seconds(30);  // for the first token
  bool refuse = false;              // refuse immediately, with not_run
};

// The input of repeatable().
struct CallFacts {
  std::string customer;
  std::string service;
  std::string method;
  std::string path;
};

// Demand for a model and its capacity in one hall: input of share() and
// placement().
struct HallDemand {
  double demand = 0;    // streams wanted
  double capacity = 0;  // streams its endpoints can serve
};

// A source file of a policy.
struct PolicyFile {
  std::string name;
  std::string source;
  friend bool operator==(const PolicyFile&, const PolicyFile&) = default;
};

class Policy {
 public:
  struct Options {
    int max_instructions = 200000;  // per call
    size_t max_bytes = 8 << 20;     // of the program's memory, in total
  };

  // Compiles the files, runs their top level and calls each function with
  // sample inputs. Returns null, with all findings added, if anything fails.
  static std::unique_ptr<Policy> Load(const std::vector<PolicyFile>& files,
                                      const Options& options,
                                      Findings* findings);
  ~Policy();
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  RequestClass Classify(const RequestFacts& facts);
  // Whether a call may be sent twice. By default only GET calls may.
  bool IsIdempotent(const CallFacts& facts);
  // Returns the weight of each hall. Halls that are missing have weight 1.
  std::map<std::string, double> Share(
      const std::string& pool, const std::map<std::string, HallDemand>& halls,
      double hour);
  // Returns the desired replicas in each hall; empty if the policy has no
  // placement().
  std::map<std::string, int> Placement(
      const std::string& pool, const std::map<std::string, HallDemand>& halls,
      double hour);

  // The number of failed calls and the message of the last.
  int64_t errors() const { return errors_; }
  const std::string& last_error() const { return last_error_; }

  // Implementation details.
  struct LimitedAllocator;
  struct Invocation;

 private:
  explicit Policy(const Options& options);
  bool Open();
  void LoadFiles(const std::vector<PolicyFile>& files, Findings* findings);
  void TrySamples(const std::string& file, Findings* findings);
  // Runs `invocation` within the limits. Returns false and sets last_error_ if
  // it fails.
  bool Run(Invocation* invocation);

  Options options_;
  std::unique_ptr<LimitedAllocator> allocator_;
  lua_State* lua_ = nullptr;
  int64_t errors_ = 0;
  std::string last_error_;
};

}  // namespace pinford

#endif  // PINFORD_POLICY_H_
