// The operators' policy as forwarding boxes use it: how a request is treated,
// and which weight each hall has for a service.
//
// Hall weights are evaluated at intervals rather than for each request, since
// they follow the halls' demand, which changes over seconds. A policy call that
// fails yields the defaults of policy.h, is counted and logged.

#ifndef PINFORD_FORWARDING_FORWARD_POLICY_H_
#define PINFORD_FORWARDING_FORWARD_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/metrics.h"
#include "pinford/policy.h"
#include "util/clock.h"

namespace pinford {

class ForwardPolicy {
 public:
  ForwardPolicy(Metrics* metrics, int utc_offset_minutes)
      : metrics_(metrics), utc_offset_minutes_(utc_offset_minutes) {}

  // Loads the policy in `file`, or the defaults if `file` is "". If it cannot
  // be used, returns false with `error` set and keeps the previous policy.
  bool Load(const std::string& file, std::string* error);

  // Requires that Load has succeeded.
  RequestClass Classify(const RequestFacts& facts);
  // Evaluates the halls' weights. To be called every kUpdateEvery.
  void UpdateHallWeights(Time now, const EndpointTable& table);
  // The weight as of the last update; 1 if the policy gives none.
  double HallWeight(const std::string& service, const std::string& hall) const;

  static constexpr seconds kUpdateEvery{1};

 private:
  Metrics* metrics_;
  int utc_offset_minutes_;
  std::unique_ptr<Policy> policy_;
  int64_t errors_ = 0;
  std::map<std::string, std::map<std::string, double>> weights_;  // by service
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_FORWARD_POLICY_H_
