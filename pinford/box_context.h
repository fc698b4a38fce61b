// What the parts of one box share.
//
// Box owns everything here and outlives every user of it.

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
  PlainClient services;
  RetryBudget retries;
  Membership membership;
  std::unique_ptr<Policy> policy;  // never null
  bool stopping = false;

  // Tells the peers at once that the endpoint is leaving.
  std::function<void(const std::string& endpoint)> spread_leaving;

  // The hour of the day where this box stands, 0 to 24.
  double Hour() const;
  // Counts a policy call that failed since the last look, and tells of it.
  void NotePolicyErrors();

 private:
  int64_t seen_policy_errors_ = 0;
  const Policy* seen_policy_ = nullptr;
};

uint64_t WallMillis();
// The hour of the day, 0 to 24, at that distance from UTC.
double HourOfDay(int utc_offset_minutes);
// Gives `listening`; if that is false, `error` says what could not be listened
// for and why (errno).
bool CheckListening(bool listening, const char* what, const Address& address,
                    std::string* error);
// How a box describes itself to its peers, and how much it tells them.
MemberRow SelfRow(const Settings& settings, uint64_t incarnation);
Membership::Options GossipOptions(const Settings& settings);

}  // namespace pinford

#endif  // PINFORD_BOX_CONTEXT_H_
