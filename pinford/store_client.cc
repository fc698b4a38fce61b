#include "pinford/store_client.h"

#include "util/json.h"
#include "util/uri.h"

namespace pinford {

StoreClient::StoreClient(EventLoop* loop, HttpClient* http, Address address,
                         const Options& options)
    : loop_(loop),
      http_(http),
      address_(std::move(address)),
      options_(options) {}

static StoreStatus StatusOf(const HttpResult& r) {
  if (r.transport == Transport::kNotSent) return StoreStatus::kNotSent;
  if (r.transport != Transport::kOk) return StoreStatus::kUnknown;
  switch (r.status) {
    case 200:
      return StoreStatus::kOk;
    case 204:
      return StoreStatus::kTimeout;
    case 404:
      return StoreStatus::kMissing;
    case 409:
      return StoreStatus::kConflict;
    default:
      return StoreStatus::kUnknown;
  }
}

static StoreResult ResultOf(const HttpResult& r) {
  StoreResult out;
  out.status = StatusOf(r);
  if (out.status != StoreStatus::kOk && out.status != StoreStatus::kConflict) {
    return out;
  }
  const Json v = ParseJson(r.body);
  if (!v.is_object()) {
    // A malformed response does not show whether the operation took effect.
    out.status = StoreStatus::kUnknown;
    return out;
  }
  out.now.value = JsonField<std::string>(v, "value", "");
  out.now.revision =
      StoreRevision::FromPacked(JsonField<uint64_t>(v, "revision", 0));
  if (v.contains("token")) {
    out.now.revision =
        StoreRevision::FromPacked(JsonField<uint64_t>(v, "token", 0));
    out.now.value = JsonField<std::string>(v, "holder", "");
  }
  return out;
}

void StoreClient::SetReachable(bool reachable) {
  if (down_ == !reachable) return;
  down_ = !reachable;
  if (on_change_) on_change_(down_);
}

void StoreClient::Send(HttpCall call, StoreCallback fn) {
  const Time now = loop_->now();
  if (down_ && now < next_probe_) {
    loop_->After(Duration(0), [fn = std::move(fn)] {
      StoreResult result;
      result.status = StoreStatus::kNotSent;
      fn(result);
    });
    return;
  }
  next_probe_ = now + options_.probe_interval;
  calls_++;
  call.to = address_;
  http_->Send(std::move(call), [this, fn = std::move(fn)](HttpResult r) {
    const StoreResult result = ResultOf(r);
    SetReachable(result.status != StoreStatus::kNotSent &&
                 result.status != StoreStatus::kUnknown);
    fn(result);
  });
}

void StoreClient::Get(const std::string& key, StoreCallback fn) {
  HttpCall call;
  call.target = "/v1/kv?key=" + EscapeUri(key);
  call.timeout = options_.call_timeout;
  Send(std::move(call), std::move(fn));
}

void StoreClient::CompareAndSwap(const std::string& key, StoreRevision revision,
                                 const std::string& value, StoreCallback fn) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.target = "/v1/cas";
  call.timeout = options_.call_timeout;
  call.body = DumpJson(
      Json{{"key", key}, {"revision", revision.packed()}, {"value", value}});
  Send(std::move(call), std::move(fn));
}

void StoreClient::Watch(const std::string& key, StoreRevision revision,
                        Duration d, StoreCallback fn) {
  HttpCall call;
  call.target = "/v1/kv?key=" + EscapeUri(key) +
                "&after=" + std::to_string(revision.packed()) +
                "&wait_ms=" + std::to_string(ToMillis(d));
  call.timeout = d + options_.call_timeout;
  Send(std::move(call), std::move(fn));
}

void StoreClient::AcquireLease(const std::string& key,
                               const std::string& holder, Duration ttl,
                               StoreCallback fn) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.target = "/v1/lease";
  call.timeout = options_.call_timeout;
  call.body = DumpJson(
      Json{{"key", key}, {"holder", holder}, {"ttl_ms", ToMillis(ttl)}});
  Send(std::move(call), std::move(fn));
}

}  // namespace pinford
