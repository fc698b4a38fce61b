// A peer that relays connections, on the test's own event loop.

#ifndef PINFORD_TESTING_RELAYING_PEER_H_
#define PINFORD_TESTING_RELAYING_PEER_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>

#include "pinford/forwarding/endpoint_connection.h"
#include "pinford/forwarding/relay_server.h"
#include "pinford/peer_link.h"
#include "pinford/testing/free_ports.h"

namespace pinford {

class RelayingPeer {
 public:
  static constexpr int kMaxRelays = 8;

  explicit RelayingPeer(EventLoop* loop) {
    RelayServer::Options options;
    options.max_connections = kMaxRelays;
    RelayServer::Handlers handlers;
    handlers.resolve = [this](const RelayOpen& open) {
      const auto it = targets.find(open.endpoint);
      if (it == targets.end())
        return RelayServer::Target{RelayStatus::kUnknownEndpoint, {}, false};
      return RelayServer::Target{status, it->second, false};
    };
    handlers.on_connect = [](const RelayOpen&, bool) {};
    handlers.at_fault = [this](const RelayOpen&) { return at_fault; };
    server.emplace(loop, codec, options, &metrics, std::move(handlers));
    PeerLink::Handlers calls;
    calls.on_fetch = [](const FetchRequest&) { return FetchReply(); };
    calls.on_relay_open = [this](int fd, const RelayOpen& open) {
      if (relays) {
        server->Open(fd, open);
      } else {
        close(fd);
      }
    };
    link.emplace(loop, codec, std::move(calls));
    EXPECT_TRUE(link->Listen(address));
  }

  static Address Unused() {
    return {"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])};
  }

  RelayHop HopTo(const std::string& endpoint) {
    return {address, {"box", endpoint, 1}, &codec};
  }
  // Ends it like the end of its process.
  void Stop() {
    link.reset();
    server.reset();
  }

  Address address = Unused();
  PeerCodec codec{"key"};  // of its callers
  std::map<std::string, Address> targets;
  RelayStatus status = RelayStatus::kOpened;
  std::optional<bool> at_fault = true;  // endpoints that it cannot reach
  bool relays = true;
  Metrics metrics;
  std::optional<RelayServer> server;
  std::optional<PeerLink> link;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_RELAYING_PEER_H_
