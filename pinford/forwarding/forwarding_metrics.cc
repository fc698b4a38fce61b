// ForwardingCore's gauges, brought up to date when the metrics are rendered.

#include <string>

#include "pinford/forwarding/forwarding_core.h"

namespace pinford {

void ForwardingCore::RefreshMetrics() {
  const Time now = loop_->now();
  metrics_.Set("active_requests", "", static_cast<double>(forwarder_.active()));
  metrics_.Set("caller_connections", "",
               static_cast<double>(callers_.connections()));
  metrics_.Set("endpoint_connects", "",
               static_cast<double>(upstream_.connects()));
  metrics_.Set("refused_unread", "", static_cast<double>(callers_.refused()));
  metrics_.Set("refused_for_memory", "",
               static_cast<double>(callers_.refused_for_memory()));
  metrics_.Set("callers_evicted", "", static_cast<double>(callers_.evicted()));
  metrics_.Set("callers_turned_away", "",
               static_cast<double>(callers_.turned_away()));
  metrics_.Set("caller_bytes_held", "",
               static_cast<double>(callers_.held_bytes()));
  metrics_.Set("retries_refused", "", static_cast<double>(retries_.refused()));
  for (const RetryClass retry_class : kRetryClasses) {
    metrics_.Set("retries_refused_by_need",
                 "need=\"" + std::string(RetryClassName(retry_class)) + "\"",
                 static_cast<double>(retries_.refused(retry_class)));
  }
  metrics_.Set("lost_paths", "", static_cast<double>(paths_.services_lost()));
  metrics_.Set("relayed_for_peers", "",
               static_cast<double>(paths_.relayed_for_peers()));
  metrics_.Set("quarantined_requests", "",
               static_cast<double>(crashes_.quarantined()));
  metrics_.Set("crash_evidence_unsent", "",
               static_cast<double>(crashes_.BacklogAt(now).runs));
  metrics_.Set("retry_asks", "", static_cast<double>(loans_.asks()));
  metrics_.Set("retries_lent", "", static_cast<double>(loans_.lent()));
  metrics_.Set("retries_borrowed", "", static_cast<double>(loans_.borrowed()));
  metrics_.Set(
      "configuration_version", "",
      configuration_ ? static_cast<double>(configuration_->version) : 0);
  metrics_.Set("proof_age_seconds", "", ToSeconds(FreshnessAge()));
  metrics_.Set("store_era", "", static_cast<double>(era_.now()));
  metrics_.Set("mirrors_store", "", Mirrors(task_) ? 1 : 0);
  metrics_.Set("live_boxes", "", membership_.live_boxes(now));
  metrics_.Set("peer_bytes_sent", "",
               static_cast<double>(gossip_.link()->bytes_sent()));
  int usable = 0;
  for (const auto& [name, row] : table_.rows()) {
    if (table_.TakesNewWork(now, name)) usable++;
  }
  metrics_.Set("usable_endpoints", "", usable);
  metrics_.Set("resting_endpoints", "",
               static_cast<double>(table_.BackingOff(now)));
  const RatePermits& permits = table_.permits();
  metrics_.Set("rate_limited_endpoints", "",
               static_cast<double>(permits.limits().CountInForce()));
  metrics_.Set("permit_asks", "", static_cast<double>(permits_.asks()));
  metrics_.Set("permits_issued", "", static_cast<double>(permits_.issued()));
  metrics_.Set("permits_received", "",
               static_cast<double>(permits_.received()));
  metrics_.Set("permits_unused", "", static_cast<double>(permits.unused()));
  RefreshCapacity(now);
  RefreshPeerTraffic();
  metrics_.Set("missing_entries", "",
               static_cast<double>(directory_.missing()));
  metrics_.Set("unusable_entries", "",
               static_cast<double>(directory_.unusable()));
  refresh_metrics_();
}

void ForwardingCore::RefreshPeerTraffic() {
  const PeerLink& link = *gossip_.link();
  SetPeerTraffic("sent", link.sent());
  SetPeerTraffic("received", link.received());
  for (const EnumName<Duty>& duty : kDutyNames) {
    const Duration busy =
        link.busy_times().of(duty.value) + busy_times_.of(duty.value);
    metrics_.Set("busy_seconds", "duty=\"" + std::string(duty.name) + "\"",
                 ToSeconds(busy));
  }
}

void ForwardingCore::SetPeerTraffic(const std::string& way,
                                    const PeerTraffic& traffic) {
  for (const EnumName<PeerMessageKind>& kind : kPeerMessageKindNames) {
    const std::string labels =
        "way=\"" + way + "\",kind=\"" + std::string(kind.name) + "\"";
    const PeerTraffic::Count& count = traffic.of(kind.value);
    metrics_.Set("peer_messages", labels, static_cast<double>(count.messages));
    metrics_.Set("peer_message_bytes", labels,
                 static_cast<double>(count.bytes));
  }
}

// Remaining prefill rate and memory of each hall for each pool, at its
// bottleneck layer.
void ForwardingCore::RefreshCapacity(Time now) {
  constexpr double kTokensPerUnit = 1000;  // memory is in thousands
  for (const std::string& model : table_.Models()) {
    const auto version = table_.VersionFor(now, model, "");
    if (!version) continue;
    const PoolCapacity& capacity = forwarder_.CapacityOf(model, *version);
    for (const std::string& hall : capacity.halls()) {
      const PoolCapacity::Layer minimum = capacity.MinOverLayers(hall);
      const std::string labels =
          "service=\"" + model + "\",hall=\"" + hall + "\"";
      metrics_.Set("hall_read_tokens_per_second", labels,
                   minimum.prefill_per_s);
      metrics_.Set("hall_free_tokens", labels,
                   minimum.free_memory * kTokensPerUnit);
      metrics_.Set("hall_least_holders", labels, minimum.holders);
      metrics_.Set("hall_shortest_layer", labels,
                   capacity.BottleneckLayer(hall));
    }
  }
}

}  // namespace pinford
