// The state that all components of a box share.
//
// Box owns it and outlives every component that uses it.

#ifndef PINFORD_BOX_CONTEXT_H_
#define PINFORD_BOX_CONTEXT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/engine_client.h"
#include "pinford/event_loop.h"
#include "pinford/http_client.h"
#include "pinford/http_service_client.h"
#include "pinford/membership.h"
#include "pinford/metrics.h"
#include "pinford/policy.h"
#include "pinford/retry_budget.h"
#include "pinford/settings.h"
#include "pinford/store_client.h"
#include "pinford/timeline.h"
#include "util/hash.h"

namespace pinford {

struct BoxContext {
  BoxContext(const Settings& settings, EventLoop* loop, uint64_t incarnation);

  Settings settings;
  EventLoop* loop;
  Random random;
  Metrics metrics;
  Timeline timeline;
  HttpClient http;
  StoreClient store;
  EndpointTable table;
  EngineClient engines;
  HttpServiceClient services;
  RetryBudget retries;
  Membership membership;
  std::unique_ptr<Policy> policy;  // never null
  bool stopping = false;

  // Announces to the peers at once that the endpoint is leaving.
  std::function<void(const std::string& endpoint)> announce_leaving;

  // The local hour of the day, 0 to 24.
  double Hour() const;
  // Counts, records and logs policy errors since the previous call.
  void ReportPolicyErrors();

 private:
  int64_t reported_policy_errors_ = 0;
  const Policy* reported_policy_ = nullptr;
};

// Wall clock, in milliseconds since 1970.
uint64_t WallMillis();
// The hour of the day, 0 to 24, at that offset from UTC.
double HourOfDay(int utc_offset_minutes);
// Returns `listening`. If it is false, sets `error` to a message that names the
// interface, the address and the reason (errno).
bool CheckListening(bool listening, const char* what, const Address& address,
                    std::string* error);
// The box's own row, as gossip spreads it.
MemberRow SelfRow(const Settings& settings, uint64_t incarnation);
Membership::Options GossipOptions(const Settings& settings);

}  // namespace pinford

#endif  // PINFORD_BOX_CONTEXT_H_
