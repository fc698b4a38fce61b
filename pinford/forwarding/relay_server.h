// Relays connections between peers that have lost their path to an endpoint and
// that endpoint.
//
// A peer names an endpoint and its incarnation; the address is that of this
// box's own list. The reply says whether the connection to the endpoint is
// established, before a byte of the peer's has been read. From then on, bytes
// are passed on as they arrive, and the end of either side ends the other. Each
// connection is used for one pair only.
//
// A box relays only while its own path to the service works, so that a request
// takes at most one hop, and not to endpoints to which it would send no new
// work because they are leaving. It blames an endpoint that it cannot reach
// only once it knows that its own path is not the cause.

#ifndef PINFORD_FORWARDING_RELAY_SERVER_H_
#define PINFORD_FORWARDING_RELAY_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "pinford/event_loop.h"
#include "pinford/metrics.h"
#include "pinford/peer_messages.h"
#include "pinford/tcp_connection.h"

namespace pinford {

class RelayServer {
 public:
  struct Options {
    // Each takes two sockets and up to twice max_unsent_bytes and a read.
    size_t max_connections = 512;
    // Longer than a connection within a hall or between halls takes, shorter
    // than what a caller notices.
    Duration connect_timeout = milliseconds(200);
    // How long the reply may take after a failure, until it is known whose it
    // is, and how often that is asked.
    Duration max_doubt = milliseconds(150);
    Duration doubt_interval = milliseconds(5);
    // A side that does not read this much is not read for.
    size_t max_unsent_bytes = 32 << 10;
    // Longer than any pause within a request. A peer that lost power closes
    // nothing.
    Duration idle_timeout = seconds(60);
    // A peer that accepts no bytes for this long counts as lost.
    Duration write_stall_timeout = seconds(4);
  };
  struct Target {
    RelayStatus status = RelayStatus::kUnknownEndpoint;  // kOpened: permitted
    Address address;
    // Whether this box's path to it may turn out to be lost.
    bool in_doubt = false;
  };
  struct Handlers {
    // Returns where the endpoint is, or why nothing is relayed to it.
    std::function<Target(const RelayOpen&)> resolve;
    // The connection to the endpoint was established, or could not be.
    std::function<void(const RelayOpen&, bool established)> on_connect;
    // After a failure: whether the endpoint is at fault; nullopt if that is not
    // known yet.
    std::function<std::optional<bool>(const RelayOpen&)> at_fault;
  };

  RelayServer(EventLoop* loop, PeerCodec codec, const Options& options,
              Metrics* metrics, Handlers handlers);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Takes over the socket on which `open` was received.
  void Open(int fd, const RelayOpen& open);
  // The box stops: refuses new connections and keeps the others.
  void BeginStop() { stopping_ = true; }

  size_t connections() const { return relays_.size(); }

 private:
  struct Relay;
  using RelayPtr = std::shared_ptr<Relay>;

  Target Resolve(const RelayOpen& open) const;
  void InstallPeerHandlers(const RelayPtr& relay);
  void InstallEndpointHandlers(const RelayPtr& relay);
  void Reply(const RelayPtr& relay, RelayStatus status);
  void OnConnected(const RelayPtr& relay);
  // Replies with `status` if the endpoint is at fault.
  void OnConnectFailed(const RelayPtr& relay, RelayStatus status);
  void AwaitVerdict(const RelayPtr& relay, RelayStatus status, Time until);
  void OnPeerBytes(const RelayPtr& relay, std::string_view bytes);
  void OnEndpointBytes(const RelayPtr& relay, std::string_view bytes);
  void OnEndpointEnd(const RelayPtr& relay, TcpEnd end);
  // By value, since the caller's may be the one in `relays_`.
  void Close(RelayPtr relay);
  // Closes connections that have been idle for too long.
  void Sweep();

  EventLoop* loop_;
  PeerCodec codec_;
  Options options_;
  Metrics* metrics_;
  Handlers handlers_;
  bool stopping_ = false;
  std::set<RelayPtr> relays_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_RELAY_SERVER_H_
