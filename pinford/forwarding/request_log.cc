#include "pinford/forwarding/request_log.h"

#include "pinford/log.h"

namespace pinford {

static void Write(std::string_view event, const LogFields& fields) {
  LogEvent(LogPart::kCallers, LogLevel::kInfo, event, fields);
}

static std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

void RequestLog::AttemptFailed(const AttemptEnd& a) const {
  parts_->metrics->Count("attempts_failed_total",
                         Label("end", UpstreamEndName(a.end)));
  Write("attempt_failed", LogFields()
                              .Add("id", order_->id)
                              .Add("attempt", a.attempt)
                              .Add("endpoint", a.target->endpoint())
                              .Add("stages", a.target->chain().size())
                              .Add("end", UpstreamEndName(a.end))
                              .Add("status", a.status)
                              .Add("ran", RanName(a.ran))
                              .Add("at_fault", a.at_fault)
                              .Add("retry_after", a.retry_after)
                              .Add("rest_left_ms", ToMillis(a.rest_left))
                              .Add("since_pick_ms", ToMillis(a.since_pick))
                              .Add("ms", ToMillis(a.took)));
}

void RequestLog::RestAsked(const ForwardTarget& target, Duration rest) const {
  Write("rest_asked", LogFields()
                          .Add("id", order_->id)
                          .Add("endpoint", target.endpoint())
                          .Add("rest_ms", ToMillis(rest)));
}

void RequestLog::BegunAnew(std::string_view event, const Left& l) const {
  Write(event, LogFields()
                   .Add("id", order_->id)
                   .Add("attempt", l.attempt)
                   .Add("endpoint", l.target->endpoint())
                   .Add("events", l.events)
                   .Add("silent_ms", ToMillis(l.silent))
                   .Add("held_up_ms", ToMillis(l.held_up))
                   .Add("ms", ToMillis(l.took)));
}

void RequestLog::StagesReplaced(const Replaced& r) const {
  parts_->metrics->Count("chains_replaced_total",
                         Label("status", RerouteStatusName(r.status)));
  Write("stages_replaced", LogFields()
                               .Add("id", order_->id)
                               .Add("endpoint", r.target->endpoint())
                               .Add("chain", ChainText(r.chain))
                               .Add("more_crossings", r.more_crossings)
                               .Add("status", RerouteStatusName(r.status))
                               .Add("events", r.events)
                               .Add("since_event_ms", ToMillis(r.since_event)));
}

void RequestLog::Recovered(const ForwardTarget& target, const RecoveryFacts& f,
                           const Recovery& r) const {
  parts_->metrics->Count("recoveries_total",
                         Label("move", RecoveryMoveName(r.move)));
  Write("recovery", LogFields()
                        .Add("id", order_->id)
                        .Add("endpoint", target.endpoint())
                        .Add("move", RecoveryMoveName(r.move))
                        .Add("expected_ms", ToMillis(r.expected))
                        .Add("down", f.down)
                        .Add("begun", f.started)
                        .Add("silent_ms", ToMillis(f.silent))
                        .Add("allowed_ms", ToMillis(f.allowed))
                        .Add("gap_if_kept_ms", ToMillis(f.gap_if_kept))
                        .Add("replace_all_ms",
                             f.replace_all ? ToMillis(*f.replace_all) : -1)
                        .Add("more_crossings", f.more_crossings)
                        .Add("place", f.place)
                        .Add("anew_ms", ToMillis(f.anew))
                        .Add("may_begin_anew", f.may_begin_anew));
}

void RequestLog::Ended(const End& e) const {
  parts_->metrics->Count("ended_total", Label("outcome", e.outcome));
  if (e.cut) {
    parts_->metrics->Count("answers_cut_total", Label("outcome", e.outcome));
  }
  parts_->metrics->Observe("answer_seconds", "", ToSeconds(e.took));
  parts_->metrics->Observe("first_byte_seconds", "", ToSeconds(e.first));
  LogFields fields;
  fields.Add("id", order_->id)
      .Add("route", order_->route->name)
      .Add("customer", order_->customer)
      .Add("service", order_->service)
      .Add("config", order_->routes->version())
      .Add("proof_age_ms", ToMillis(parts_->proof_age()))
      .Add("outcome", e.outcome)
      .Add("attempts", e.attempts)
      .Add("target", e.last_target)
      .Add("fullest", e.target->fullest())
      .Add("busiest", e.target->busiest())
      .Add("may_have_run", e.may_have_run)
      .Add("events", e.events)
      .Add("first_ms", ToMillis(e.first))
      .Add("first_wait", WaitCauseName(e.first_wait))
      .Add("gap_ms", ToMillis(e.longest_gap))
      .Add("gap_wait", WaitCauseName(e.gap_wait))
      .Add("held_up_ms", ToMillis(e.held_up))
      .Add("caller_end", e.caller_end ? TcpEndName(*e.caller_end) : "")
      .Add("ms", ToMillis(e.took));
  if (const auto& s = e.target->shortage()) {
    fields.Add("short_layer", s->layer)
        .Add("short_holders", s->holders)
        .Add("short_taken", s->memory_used);
  }
  // Each cut answer has to be found again, however much else is logged.
  const LogLevel level = e.cut ? LogLevel::kWarn : LogLevel::kInfo;
  LogEvent(LogPart::kCallers, level, "request_ended", fields);
}

}  // namespace pinford
