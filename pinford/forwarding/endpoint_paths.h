// This box's paths to endpoints.
//
// Carries out the checks of PathWatch, says how the next connection to an
// endpoint is to be made, and relays connections of peers that have lost their
// path.

#ifndef PINFORD_FORWARDING_ENDPOINT_PATHS_H_
#define PINFORD_FORWARDING_ENDPOINT_PATHS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/forwarding/endpoint_connection.h"
#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/path_watch.h"
#include "pinford/forwarding/relay_choice.h"
#include "pinford/forwarding/relay_server.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/membership.h"
#include "pinford/metrics.h"

namespace pinford {

class EndpointPaths {
 public:
  // All must outlive the object.
  struct Context {
    EventLoop* loop;
    Membership* membership;
    const EndpointDirectory* directory;
    const EndpointTable* table;
    UpstreamClient* upstream;
    Metrics* metrics;
    // This box's path to these endpoints was lost. What they seemed to be since
    // then may be due to that.
    std::function<void(const std::vector<std::string>& endpoints, Time since)>
        on_lost;
    // Whether this box has descriptors left for so many connections that it
    // relays.
    std::function<bool(size_t connections)> has_room;
  };

  // If it is not enabled, all endpoints are reached directly, and nothing is
  // relayed for others.
  EndpointPaths(const Context& context, const std::string& box,
                const std::string& peer_key, bool enabled);
  ~EndpointPaths();
  EndpointPaths(const EndpointPaths&) = delete;
  EndpointPaths& operator=(const EndpointPaths&) = delete;

  // Call it often.
  void Tick();
  void BeginStop() { relays_.BeginStop(); }

  // Whether connections to the endpoint must be relayed.
  bool IsLost(const std::string& endpoint) const;
  // How to reach the endpoint through a peer. Without a suitable peer the hop
  // has no address, and no connection is made.
  RelayHop HopTo(const std::string& endpoint);
  // Whether it may turn out soon that the path to the service is lost.
  bool InDoubt(const std::string& service) const;
  // Whether a failure of the endpoint was shown to be its own. Assumed if the
  // paths are not watched.
  bool IsAtFault(const std::string& endpoint) const;
  void OnEndpointGone(const std::string& service, const std::string& endpoint) {
    watch_.Forget(service, endpoint);
  }
  // What the peer relays has fallen silent.
  void OnRelaySilent(const Address& peer);
  // The peer takes no new work, or is lost.
  void OnPeerLeaving(const std::string& peer_address);

  // A direct call to the endpoint, listed or not, got no answer.
  void OnUnanswered(const std::string& endpoint) {
    if (enabled_) OnDirect(endpoint, false);
  }
  // Takes over a socket on which a peer asks for a relayed connection.
  void OnRelayOpen(int fd, const RelayOpen& open);

  // Connections that are relayed for peers.
  size_t relayed_for_peers() const { return relays_.connections(); }
  size_t services_lost() const { return watch_.lost(); }

 private:
  UpstreamClient::Events UpstreamEvents();
  RelayServer::Handlers RelayHandlers();
  void OnDirect(const std::string& endpoint, bool established,
                bool for_peer = false);
  void OnRelayFailed(const Address& peer, std::optional<RelayStatus> status);
  void ApplyChanges();
  std::vector<std::string> EndpointsOf(const std::string& service) const;

  // Some endpoints of the service that may be tried, drawn at random: of those
  // that seem to work, if there are any.
  std::vector<std::string> SampleOf(const std::string& service);
  // Addresses of live peers, drawn at random a short while ago.
  const std::vector<std::string>& RandomPeers();
  void RunChecks();
  void CarryOut(const PathWatch::Task& task);
  void AskPeers(const PathWatch::Task& task);
  void CheckDirectly(const std::string& service, const std::string& endpoint);
  void CheckControl(const std::string& service);
  void CheckThrough(const std::string& peer, const std::string& service,
                    const std::string& endpoint);
  // Connects for a check and calls `fn` once with the result.
  using CheckResult = std::function<void(const EndpointConnection&)>;
  void Await(std::shared_ptr<EndpointConnection> connection, Duration timeout,
             CheckResult fn);
  void EndCheck(uint64_t id);

  RelayOpen OpenFor(const std::string& endpoint) const;
  RelayServer::Target ResolveForPeer(const RelayOpen& open) const;
  // See RelayServer::Handlers::at_fault.
  std::optional<bool> IsAtFaultForPeer(const std::string& endpoint) const;

  Context context_;
  std::string box_;
  bool enabled_;
  PeerCodec codec_;
  Random random_;
  PathWatch watch_;
  RelayChoice choice_;
  std::vector<std::string> peers_;
  Time peers_drawn_{};
  RelayServer relays_;
  struct PendingCheck {
    std::shared_ptr<EndpointConnection> connection;
    TimerId timer = 0;
    CheckResult fn;
  };
  std::map<uint64_t, PendingCheck> checks_;
  uint64_t next_check_id_ = 1;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_PATHS_H_
