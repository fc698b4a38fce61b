#include "pinford/forwarding/endpoint_calls.h"

#include <utility>

namespace pinford {

// Peers tried for one call.
static constexpr int kPeersTried = 3;
// Of an answer's body. A report lists the requests of one endpoint, some tens
// of kilobytes; many endpoints may answer without end at once.
static constexpr size_t kMaxAnswerBytes = 256 << 10;

void EndpointCalls::Send(const std::string& endpoint, HttpCall call,
                         HttpClient::Callback fn) {
  call.max_body_bytes = kMaxAnswerBytes;
  // Reports keep their connections: a late copy of one is only somewhat older.
  call.fresh_connection = call.method != HttpMethod::kGet;
  if (paths_->IsLost(endpoint)) {
    SendRelayed(endpoint, std::move(call), std::move(fn));
  } else {
    SendDirectly(endpoint, std::move(call), std::move(fn));
  }
}

void EndpointCalls::SendDirectly(const std::string& endpoint, HttpCall call,
                                 HttpClient::Callback fn) {
  auto done = [this, endpoint, fn = std::move(fn)](HttpResult result) {
    const bool unanswered = result.transport == Transport::kNotSent ||
                            result.transport == Transport::kTimeout;
    if (unanswered) paths_->OnUnanswered(endpoint);
    fn(std::move(result));
  };
  http_->Send(std::move(call), std::move(done));
}

struct EndpointCalls::RelayedCall {
  std::string endpoint;
  HttpCall call;
  HttpClient::Callback fn;
  int peers_left = kPeersTried;
  UpstreamId id = 0;
  TimerId timer = 0;
  bool sent = false;
  HttpResult result;
};

static Transport TransportOf(UpstreamEnd end, bool sent) {
  if (end == UpstreamEnd::kComplete) return Transport::kOk;
  if (end == UpstreamEnd::kNoRelay) return Transport::kNoPath;
  return sent ? Transport::kLost : Transport::kNotSent;
}

void EndpointCalls::SendRelayed(const std::string& endpoint, HttpCall call,
                                HttpClient::Callback fn) {
  auto relayed = std::make_shared<RelayedCall>();
  relayed->endpoint = endpoint;
  relayed->call = std::move(call);
  relayed->fn = std::move(fn);
  relayed->timer = loop_->After(relayed->call.timeout, [this, relayed] {
    upstream_->Cancel(relayed->id);
    HttpResult result;
    result.transport = Transport::kTimeout;
    relayed->fn(std::move(result));
  });
  TryNextPeer(relayed);
}

void EndpointCalls::TryNextPeer(const std::shared_ptr<RelayedCall>& relayed) {
  relayed->peers_left--;
  UpstreamRequest request;
  request.endpoint = relayed->endpoint;
  request.to = relayed->call.to;
  request.relay = paths_->HopTo(relayed->endpoint);
  request.bytes = WriteHttpCall(relayed->call);
  request.max_body_bytes = relayed->call.max_body_bytes;
  UpstreamHandlers handlers;
  handlers.before_send = [relayed] { return relayed->sent = true; };
  handlers.on_head = [relayed](const HttpHead& head) {
    relayed->result.status = head.status;
    relayed->result.headers = head.headers;
  };
  handlers.on_body = [relayed](std::string bytes) {
    relayed->result.body += bytes;
  };
  handlers.on_end = [this, relayed](UpstreamEnd end) {
    if (end == UpstreamEnd::kNoRelay && relayed->peers_left > 0) {
      TryNextPeer(relayed);
      return;
    }
    loop_->Cancel(relayed->timer);
    relayed->result.transport = TransportOf(end, relayed->sent);
    relayed->fn(std::move(relayed->result));
  };
  relayed->id = upstream_->Send(std::move(request), std::move(handlers));
}

}  // namespace pinford
