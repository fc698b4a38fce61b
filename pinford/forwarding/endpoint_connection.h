// A connection to an endpoint: direct, or relayed by a peer.
//
// A relayed connection is a TCP connection to the peer, which carries a
// RelayOpen and its reply, then the request's bytes as they are, and the
// endpoint's bytes in frames (relay_frames.h). It counts as connected once the
// peer has replied that the endpoint's connection is established, so that
// whether a byte may have reached the endpoint is known as for a direct one.
// Its end is kClosed only if the endpoint closed it in order. The loss of the
// peer is a reset, too, and is told apart by relay_lost().

#ifndef PINFORD_FORWARDING_ENDPOINT_CONNECTION_H_
#define PINFORD_FORWARDING_ENDPOINT_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "pinford/event_loop.h"
#include "pinford/forwarding/relay_frames.h"
#include "pinford/peer_messages.h"
#include "pinford/tcp_connection.h"
#include "util/address.h"

namespace pinford {

// How to reach an endpoint through a peer.
struct RelayHop {
  Address peer;
  RelayOpen open;
  const PeerCodec* codec = nullptr;  // must outlive the connection
};

class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_bytes;
    // Called once, after the last byte; never after Close().
    std::function<void(TcpEnd)> on_end;
  };

  // Starts connecting. `on_end` is called with kRefused if that fails.
  static std::shared_ptr<EndpointConnection> Connect(EventLoop* loop,
                                                     const Address& to);
  static std::shared_ptr<EndpointConnection> ConnectThrough(
      EventLoop* loop, const RelayHop& hop);
  ~EndpointConnection() { Close(); }
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  // May be called from within a handler.
  void set_handlers(Handlers handlers) {
    handlers_ = std::make_shared<Handlers>(std::move(handlers));
  }
  // Requires that it is connected.
  void Write(std::string_view bytes) { tcp_->Write(bytes); }
  void WriteShared(std::shared_ptr<const std::string> bytes) {
    tcp_->WriteShared(std::move(bytes));
  }
  void PauseReading(bool paused) { tcp_->PauseReading(paused); }
  void Close() { tcp_->Close(); }

  bool open() const { return tcp_->open(); }
  bool connected() const;
  size_t unsent() const { return tcp_->unsent(); }
  // What the peer replied; nullopt for a direct connection, and while there is
  // no reply.
  std::optional<RelayStatus> relay_status() const;
  bool relayed() const { return relay_ != nullptr; }
  // Whether it has ended because the peer was lost or sent invalid frames,
  // after it was connected. That says nothing about the endpoint.
  bool relay_lost() const { return relayed() && relay_->lost; }

 private:
  struct Relay {
    const PeerCodec* codec;
    std::string reply;  // what has arrived of it
    std::optional<RelayStatus> status;
    RelayFrameReader frames;
    bool lost = false;
  };

  explicit EndpointConnection(std::shared_ptr<TcpConnection> tcp)
      : tcp_(std::move(tcp)) {}
  void InstallHandlers();
  void OnTcpConnected();
  void OnTcpBytes(std::string_view bytes);
  void OnTcpEnd(TcpEnd end);
  // Returns what follows the reply; nullopt while it is incomplete, and if it
  // has ended the connection.
  std::optional<std::string_view> ReadReply(std::string_view bytes);
  void End(TcpEnd end);
  void EndWithRelay();

  std::shared_ptr<TcpConnection> tcp_;
  std::unique_ptr<Relay> relay_;
  // Shared, so that a handler that replaces the handlers can return safely.
  std::shared_ptr<Handlers> handlers_ = std::make_shared<Handlers>();
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_CONNECTION_H_
