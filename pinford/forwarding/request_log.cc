#include "pinford/forwarding/request_log.h"

#include "pinford/log.h"

namespace pinford {

static void Write(std::string_view event, const LogFields& fields) {
  LogEvent(LogPart::kCallers, LogLevel::kInfo, event, fields);
}

static std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

static std::string Join(const std::vector<std::string>& items) {
  std::string out;
  for (const std::string& item : items) {
    if (!out.empty()) out += ',';
    out += item;
  }
  return out;
}

void RequestLog::AttemptFailed(const AttemptEnd& a) const {
  context_->metrics->Count("attempts_failed_total",
                           Label("end", UpstreamEndName(a.end)));
  Write("attempt_failed",
        LogFields()
            .Add("id", admitted_->id)
            .Add("attempt", a.attempt)
            .Add("endpoint", a.target->endpoint())
            .Add("stages", a.target->chain().size())
            .Add("relay", a.relay)
            .Add("end", UpstreamEndName(a.end))
            .Add("status", a.status)
            .Add("defect", ResponseDefectName(a.defect))
            .Add("ran", ExecutedName(a.executed))
            .Add("at_fault", a.at_fault)
            .Add("retry_after", a.retry_after)
            .Add("rest_left_ms", ToMillis(a.backoff_left))
            .Add("since_pick_ms", ToMillis(a.since_pick))
            .Add("fingerprint", a.fingerprint)
            .Add("parts", Join(*a.parts))
            .Add("request_finding", FeatureFindingName(a.findings.request))
            .Add("parts_finding", FeatureFindingName(a.findings.parts))
            .Add("neighbors", a.neighbors)
            .Add("events", a.events)
            .Add("ms", ToMillis(a.took)));
}

void RequestLog::BackoffRequested(const ForwardTarget& target,
                                  Duration backoff) const {
  Write("rest_asked", LogFields()
                          .Add("id", admitted_->id)
                          .Add("endpoint", target.endpoint())
                          .Add("rest_ms", ToMillis(backoff)));
}

void RequestLog::CrashTrial(const ForwardTarget& target,
                            const std::vector<std::string>& parts) const {
  context_->metrics->Count("crash_trials_total");
  Write("crash_trial", LogFields()
                           .Add("id", admitted_->id)
                           .Add("endpoint", target.endpoint())
                           .Add("parts", Join(parts)));
}

void RequestLog::Restarted(std::string_view event,
                           const AbandonedAttempt& l) const {
  Write(event, LogFields()
                   .Add("id", admitted_->id)
                   .Add("attempt", l.attempt)
                   .Add("endpoint", l.target->endpoint())
                   .Add("events", l.events)
                   .Add("silent_ms", ToMillis(l.idle))
                   .Add("held_up_ms", ToMillis(l.process_delay))
                   .Add("ms", ToMillis(l.took)));
}

void RequestLog::StagesReplaced(const Replaced& r) const {
  context_->metrics->Count("chains_replaced_total",
                           Label("status", RerouteStatusName(r.status)));
  Write("stages_replaced", LogFields()
                               .Add("id", admitted_->id)
                               .Add("endpoint", r.target->endpoint())
                               .Add("chain", ChainText(r.chain))
                               .Add("more_crossings", r.extra_transfers)
                               .Add("status", RerouteStatusName(r.status))
                               .Add("events", r.events)
                               .Add("since_event_ms", ToMillis(r.since_event)));
}

void RequestLog::RecoveryChosen(const ForwardTarget& target,
                                const RecoveryFacts& f,
                                const Recovery& r) const {
  context_->metrics->Count("recoveries_total",
                           Label("move", RecoveryActionName(r.action)));
  Write("recovery", LogFields()
                        .Add("id", admitted_->id)
                        .Add("endpoint", target.endpoint())
                        .Add("move", RecoveryActionName(r.action))
                        .Add("expected_ms", ToMillis(r.expected))
                        .Add("down", f.down)
                        .Add("begun", f.started)
                        .Add("silent_ms", ToMillis(f.idle))
                        .Add("allowed_ms", ToMillis(f.allowed))
                        .Add("gap_if_kept_ms", ToMillis(f.gap_if_unchanged))
                        .Add("replace_all_ms",
                             f.replace_all ? ToMillis(*f.replace_all) : -1)
                        .Add("more_crossings", f.extra_transfers)
                        .Add("place", f.queue_position)
                        .Add("anew_ms", ToMillis(f.restart_time))
                        .Add("may_begin_anew", f.may_restart));
}

void RequestLog::Ended(const End& e) const {
  context_->metrics->Count("ended_total", Label("outcome", e.outcome));
  if (e.cut) {
    context_->metrics->Count("answers_cut_total", Label("outcome", e.outcome));
  }
  context_->metrics->Observe("answer_seconds", "", ToSeconds(e.took));
  context_->metrics->Observe("first_byte_seconds", "", ToSeconds(e.first));
  LogFields fields;
  fields.Add("id", admitted_->id)
      .Add("route", admitted_->route->name)
      .Add("customer", admitted_->customer)
      .Add("service", admitted_->service)
      .Add("config", admitted_->routes->version())
      .Add("proof_age_ms", ToMillis(context_->freshness_age()))
      .Add("outcome", e.outcome)
      .Add("attempts", e.attempts)
      .Add("target", e.last_target)
      .Add("relay", e.last_relay)
      .Add("fullest", e.target->max_memory_use())
      .Add("busiest", e.target->max_prefill_load())
      .Add("may_have_run", e.may_have_run)
      .Add("events", e.events)
      .Add("first_ms", ToMillis(e.first))
      .Add("first_wait", WaitCauseName(e.first_wait))
      .Add("gap_ms", ToMillis(e.longest_gap))
      .Add("gap_wait", WaitCauseName(e.gap_wait))
      .Add("held_up_ms", ToMillis(e.process_delay))
      .Add("caller_end", e.caller_end ? TcpEndName(*e.caller_end) : "")
      .Add("ms", ToMillis(e.took));
  if (const auto& s = e.target->memory_bottleneck()) {
    fields.Add("short_layer", s->layer)
        .Add("short_holders", s->holders)
        .Add("short_taken", s->memory_used);
  }
  if (e.attempts == 0) {
    const EndpointTable::ServiceState s =
        context_->table->StateOf(context_->loop->now(), admitted_->service);
    fields.Add("listed", s.listed)
        .Add("leaving", s.leaving)
        .Add("down", s.down)
        .Add("backing_off", s.backing_off)
        .Add("withheld", s.withheld)
        .Add("full", s.full)
        .Add("limited", s.limited);
  }
  // Warnings have a rate limit of their own, so that an interrupted response
  // stays in the log however much else is logged.
  const LogLevel level = e.cut ? LogLevel::kWarn : LogLevel::kInfo;
  LogEvent(LogPart::kCallers, level, "request_ended", fields);
}

}  // namespace pinford
