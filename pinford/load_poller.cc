#include "pinford/load_poller.h"

#include "pinford/log.h"

namespace pinford {

static constexpr Duration kPollTimeout = milliseconds(800);

void LoadPoller::Poll() {
  for (const auto& [name, row] : context_->table.rows()) {
    if (!in_flight_.insert(name).second) continue;
    HttpCall call;
    call.to = row.listed.address;
    call.target = "/v1/load";
    call.timeout = kPollTimeout;
    const Time sent_at = context_->loop->now();
    context_->http.Send(std::move(call),
                        [this, sent_at, name = name](HttpResult r) {
                          in_flight_.erase(name);
                          polled_.insert(name);
                          OnResponse(name, sent_at, r);
                        });
  }
}

bool LoadPoller::polled_all() const {
  for (const auto& [name, row] : context_->table.rows()) {
    if (!polled_.contains(name)) return false;
  }
  return true;
}

void LoadPoller::OnResponse(const std::string& name, Time sent_at,
                            const HttpResult& r) {
  const Time now = context_->loop->now();
  if (r.transport != Transport::kOk) {
    context_->table.OnFailure(now, name, sent_at);
    context_->metrics.Count("report_failures_total");
    return;
  }
  std::optional<LoadReport> report;
  if (r.status == 200) report = ParseLoadReport(r.body);
  if (!report) {
    context_->metrics.Count("bad_reports_total");
    Log(LogPart::kEndpoints, LogLevel::kWarn,
        "Endpoint " + name + " sent an invalid load report.");
    return;
  }
  const bool was_leaving = context_->table.IsLeaving(name);
  context_->table.OnReport(now, name, *report);
  if (report->leaving && !was_leaving) context_->announce_leaving(name);
}

}  // namespace pinford
