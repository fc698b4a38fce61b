#include "pinford/http_service_client.h"

#include "pinford/retry_after.h"
#include "util/json.h"

namespace pinford {

static CallStatus StatusOf(const HttpResult& r) {
  if (r.transport == Transport::kNotSent) return CallStatus::kNotSent;
  if (r.transport != Transport::kOk) return CallStatus::kLost;
  if (r.status != 503 && r.status != 429) return CallStatus::kAnswered;
  const Json v = ParseJson(r.body);
  if (JsonField(v, "started", true)) return CallStatus::kAnswered;
  const Json error = v.value("error", Json());
  const bool leaving = JsonField<std::string>(error, "code", "") == "leaving";
  return leaving ? CallStatus::kRefusedLeaving : CallStatus::kRefusedBusy;
}

uint64_t PlainClient::SendCall(const std::string& endpoint,
                               const ServiceCall& call, bool once,
                               std::function<void(CallResult)> fn) {
  HttpCall out;
  out.method = HttpMethodNamed(call.method);
  out.to = table_->AddressOf(endpoint).value_or(Address{"127.0.0.1", 0});
  out.target = call.target;
  out.body = call.body;
  out.timeout = call.timeout;
  out.fresh_connection = once;
  out.headers.emplace_back(kRequestIdHeader, call.request);
  if (!call.customer.empty()) {
    out.headers.emplace_back(kCustomerHeader, call.customer);
  }
  if (!call.type.empty()) out.headers.emplace_back("Content-Type", call.type);
  if (!call.key.empty()) out.headers.emplace_back(kIdempotencyHeader, call.key);
  return http_->Send(std::move(out), [fn = std::move(fn)](HttpResult r) {
    CallResult result;
    result.status = StatusOf(r);
    result.backoff = RequestedBackoff(r.status, r.header("Retry-After"));
    result.http_status = r.status;
    result.type = r.type();
    result.body = std::move(r.body);
    fn(std::move(result));
  });
}

}  // namespace pinford
