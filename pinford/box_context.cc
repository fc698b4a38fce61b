#include "pinford/box_context.h"

#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>

#include "pinford/log.h"

namespace pinford {

uint64_t WallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool CheckListening(bool listening, const char* what, const Address& address,
                    std::string* error) {
  if (listening) return true;
  *error = std::string("cannot listen for ") + what + " on " +
           address.ToString() + ": " + strerror(errno);
  return false;
}

MemberRow SelfRow(const Settings& settings, uint64_t incarnation) {
  MemberRow row;
  row.name = settings.box;
  row.hall = settings.hall;
  row.address = settings.peers.ToString();
  row.incarnation = incarnation;
  return row;
}

Membership::Options GossipOptions(const Settings& settings) {
  Membership::Options options;
  options.bytes_per_second = settings.gossip_bytes_per_second;
  return options;
}

static std::unique_ptr<Policy> EmptyPolicy() {
  Findings findings;
  return Policy::Load({}, Policy::Options(), &findings);
}

BoxContext::BoxContext(const Settings& s, EventLoop* l, uint64_t incarnation)
    : settings(s),
      loop(l),
      random(SeededRandom()),
      timeline(s.box, incarnation, s.timeline_events, WallMillis),
      http(l, HttpClient::Options()),
      store(l, &http, s.store, StoreClient::Options()),
      table(s.hall, EndpointTable::Options(), SeededRandom()),
      engines(&http, &table),
      services(&http, &table),
      membership(SelfRow(s, incarnation), s.seeds, GossipOptions(s),
                 SeededRandom()),
      policy(EmptyPolicy()) {}

double HourOfDay(int utc_offset_minutes) {
  constexpr double kMillisPerHour = 3600.0 * 1000;
  const double hours = static_cast<double>(WallMillis()) / kMillisPerHour +
                       utc_offset_minutes / 60.0;
  return std::fmod(hours, 24);
}

double BoxContext::Hour() const {
  return HourOfDay(settings.utc_offset_minutes);
}

void BoxContext::NotePolicyErrors() {
  if (policy.get() != seen_policy_) {
    seen_policy_ = policy.get();
    seen_policy_errors_ = 0;
  }
  const int64_t fresh = policy->errors() - seen_policy_errors_;
  if (fresh <= 0) return;
  seen_policy_errors_ = policy->errors();
  metrics.Count("policy_errors_total", "", fresh);
  timeline.Add(EventKind::kPolicyError, "", policy->last_error());
  Log(LogPart::kConfig, LogLevel::kWarn,
      "A policy call failed: " + policy->last_error());
}

}  // namespace pinford
