#include "pinford/forwarding/forward_policy.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "pinford/box_context.h"
#include "pinford/log.h"

namespace pinford {

bool ForwardPolicy::Load(const std::string& file, std::string* error) {
  std::vector<PolicyFile> files;
  if (!file.empty()) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
      *error = "cannot read the policy " + file + ": " + strerror(errno);
      return false;
    }
    files.push_back({file, {std::istreambuf_iterator<char>(in), {}}});
  }
  Findings findings;
  auto policy = Policy::Load(files, Policy::Options(), &findings);
  if (policy == nullptr) {
    *error = findings.ToString();
    return false;
  }
  policy_ = std::move(policy);
  errors_ = 0;
  return true;
}

RequestClass ForwardPolicy::Classify(const RequestFacts& facts) {
  RequestFacts seen = facts;
  seen.hour = HourOfDay(utc_offset_minutes_);
  RequestClass request_class = policy_->Classify(seen);
  if (policy_->errors() == errors_) return request_class;
  errors_ = policy_->errors();
  metrics_->Count("policy_errors_total");
  LogEvent(LogPart::kConfig, LogLevel::kWarn, "policy_call_failed",
           LogFields().Add("why", policy_->last_error()));
  return request_class;
}

void ForwardPolicy::UpdateHallWeights(Time now, const EndpointTable& table) {
  weights_.clear();
  for (const std::string& service : table.Models()) {
    weights_[service] = policy_->Share(service, table.Halls(now, service),
                                       HourOfDay(utc_offset_minutes_));
  }
}

double ForwardPolicy::HallWeight(const std::string& service,
                                 const std::string& hall) const {
  auto of_service = weights_.find(service);
  if (of_service == weights_.end()) return 1;
  auto it = of_service->second.find(hall);
  return it == of_service->second.end() ? 1 : it->second;
}

}  // namespace pinford
