// Sends forwarded requests to endpoints and streams their responses back.
//
// HttpClient, built on evhttp, makes pinford's own calls. This client
// additionally distinguishes how an exchange ended: whether any byte left this
// process, and whether the response was complete, truncated or not HTTP. That
// decides what may be reported to the caller and whether the request may be
// sent again (attempt_result.h). The client sends each request once.
//
// A connection carries one request at a time. It is reused only if the response
// was complete, delimited by its own framing, expected, and arrived after the
// whole request had been written: a faulty endpoint may respond early, send
// more than one response, or send an old response in place of the current one.
// Responses repeat the request's id, which distinguishes these cases as long as
// an id is sent once on a connection. A request that is sent again, by this or
// another caller, therefore uses a connection that has not carried its id: a
// late copy of a rejection was taken for the response to the next attempt, so
// requests that must not be repeated ran twice. A response without an id is
// taken only on a connection that has carried nothing else, and that connection
// is not reused; a request without an id uses a new one.
//
// A request goes on a direct or on a relayed connection, as its sender says.

#ifndef PINFORD_FORWARDING_UPSTREAM_CLIENT_H_
#define PINFORD_FORWARDING_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/forwarding/endpoint_connection.h"
#include "pinford/http_reader.h"
#include "util/address.h"

namespace pinford {

enum class UpstreamEnd {
  kComplete,   // the complete response was received
  kRefused,    // no connection could be made: nothing was sent
  kNoRelay,    // ... because no peer relays it; the endpoint is not at fault
  kWithdrawn,  // before_send returned false: nothing was sent
  kRelayLost,  // the peer that relayed it was lost after sending
  kBroken,     // the connection ended after sending, without a response
  kTruncated,  // the connection ended within the response
  kMalformed,  // the response is not HTTP, or too large
  // A response without an id, which may answer an earlier request.
  kUnidentified,
};

std::string_view UpstreamEndName(UpstreamEnd e);

struct UpstreamRequest {
  std::string endpoint;  // whose idle connections may be reused
  Address to;
  std::string bytes;  // the request in wire format, but for `body`
  // What follows it; shared, so that a large body is held once.
  std::shared_ptr<const std::string> body;
  std::string id;          // expected value of the response's id header
  bool head_only = false;  // a HEAD request: its response has no body
  // A longer body makes the response kMalformed.
  size_t max_body_bytes = 64 << 20;
  // If set, the request goes on a relayed connection: one that is idle, or a
  // new one through this peer.
  std::optional<RelayHop> relay;
  // Connections that were idle for longer are not reused for this request.
  Duration max_idle_time = seconds(60);
  Duration connect_timeout = milliseconds(400);
};

struct UpstreamHandlers {
  // Called right before the first byte is written; false withdraws the request.
  std::function<bool()> before_send;
  std::function<void(const HttpHead&)> on_head;
  std::function<void(std::string)> on_body;
  // Called once, last.
  std::function<void(UpstreamEnd)> on_end;
};

// Identifies an exchange in progress. 0 is never used.
using UpstreamId = uint64_t;

class UpstreamClient {
 public:
  struct Options {
    std::string id_header;  // name of the header with the request's id
    size_t head_bytes = 64 << 10;
    size_t max_idle = 64;  // idle connections kept per endpoint
    // How long a connection is kept if the endpoint announces no timeout.
    Duration idle_timeout = seconds(4);
    // The same for relayed ones, which take room at the peer.
    Duration relayed_idle_timeout = seconds(1);
  };

  // What becomes of new connections.
  struct Events {
    // A direct connection was established, or is not after kSlowConnect, or
    // could not be made.
    std::function<void(const std::string& endpoint, bool established)>
        on_direct;
    // A relayed connection was opened; has ended; or the peer replied, if at
    // all, that there will be none, or was lost.
    std::function<void(const Address& peer)> on_relay_opened;
    std::function<void(const Address& peer)> on_relay_closed;
    std::function<void(const Address& peer, std::optional<RelayStatus>)>
        on_relay_failed;
  };

  UpstreamClient(EventLoop* loop, const Options& options);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void set_events(Events events) { events_ = std::move(events); }

  // Handlers are called asynchronously, never from within Send.
  UpstreamId Send(UpstreamRequest request, UpstreamHandlers handlers);
  // The peer that relays the exchange's connection, without a port if none is
  // known that would; nullopt for a direct connection.
  std::optional<Address> RelayOf(UpstreamId id) const;
  // Closes the exchange's connection. Its handlers are not called any more.
  void Cancel(UpstreamId id);
  // Pauses or resumes reading the response.
  void Pause(UpstreamId id, bool paused);
  // Closes the idle connections of an endpoint that was removed or restarted,
  // and prevents reuse of those that are in use now.
  void DropConnections(const std::string& endpoint);
  // Closes the idle connections that are relayed by `peer`, and prevents reuse
  // of those that are in use now.
  void DropRelayedBy(const Address& peer);
  // Ends the exchanges that wait for a direct connection to these endpoints as
  // if it had been refused.
  void AbandonConnects(
      const std::function<bool(const std::string& endpoint)>& concerned);

  // A direct connection within a region is established long before, unless a
  // packet is lost.
  static constexpr Duration kSlowConnect = milliseconds(60);
  // Bounds the ids that are kept of a connection, and so their memory.
  static constexpr int kMaxRequestsPerConnection = 256;
  // A peer replies within a few connection times, unless it stands still.
  static constexpr Duration kRelayTimeout = milliseconds(250);

  int64_t connects() const { return connects_; }
  size_t in_progress() const { return exchanges_.size(); }

 private:
  struct Exchange;
  // Hashes of request ids. A collision costs one new connection.
  using IdHashes = std::vector<size_t>;
  struct IdleConnection {
    std::shared_ptr<EndpointConnection> connection;
    std::optional<Address> relay;
    IdHashes carried;  // the requests that were sent on it
    Time idle_since;
    Time expires_at;
  };
  // The endpoint, and whether the connections are relayed.
  using PoolKey = std::pair<std::string, bool>;

  static PoolKey PoolOf(const UpstreamRequest& request) {
    return {request.endpoint, request.relay.has_value()};
  }
  // Puts an idle connection that has not carried the request's id into the
  // exchange, if there is one.
  bool TakeIdle(Exchange* x);
  void Connect(const std::shared_ptr<Exchange>& x);
  void WaitForConnection(const std::shared_ptr<Exchange>& x, Duration wait,
                         bool reported_slow);
  // The connection of an exchange that was not sent has failed.
  UpstreamEnd ReportFailedConnect(const Exchange& x);
  void InstallHandlers(const std::shared_ptr<Exchange>& x);
  void OnConnected(const std::shared_ptr<Exchange>& x);
  void OnBytes(const std::shared_ptr<Exchange>& x, std::string_view bytes);
  void Deliver(const std::shared_ptr<Exchange>& x);
  void OnTcpEnd(const std::shared_ptr<Exchange>& x, TcpEnd how);
  void Finish(const std::shared_ptr<Exchange>& x, UpstreamEnd end);
  void ReturnToPool(const std::shared_ptr<Exchange>& x);
  void DropIdle(const PoolKey& key, const EndpointConnection* connection);
  void CloseIdle(const IdleConnection& idle);
  void DropIdleIf(
      const std::function<bool(const PoolKey&, const IdleConnection&)>& drop);
  void CloseConnection(Exchange* x);
  void Sweep();

  EventLoop* loop_;
  Options options_;
  UpstreamId next_id_ = 1;
  int64_t connects_ = 0;
  std::unordered_map<UpstreamId, std::shared_ptr<Exchange>> exchanges_;
  std::map<PoolKey, std::deque<IdleConnection>> idle_;
  Events events_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_UPSTREAM_CLIENT_H_
