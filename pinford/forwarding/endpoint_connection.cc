#include "pinford/forwarding/endpoint_connection.h"

#include <utility>

namespace pinford {

// A RelayReply is some tens of bytes long.
static constexpr size_t kMaxReplyBytes = 1024;

std::shared_ptr<EndpointConnection> EndpointConnection::Connect(
    EventLoop* loop, const Address& to) {
  std::shared_ptr<EndpointConnection> c(
      new EndpointConnection(TcpConnection::Connect(loop, to)));
  c->InstallHandlers();
  return c;
}

std::shared_ptr<EndpointConnection> EndpointConnection::ConnectThrough(
    EventLoop* loop, const RelayHop& hop) {
  std::shared_ptr<EndpointConnection> c(
      new EndpointConnection(TcpConnection::Connect(loop, hop.peer)));
  c->relay_ = std::make_unique<Relay>();
  c->relay_->codec = hop.codec;
  c->InstallHandlers();
  const std::string message = hop.codec->Encode(hop.open);
  c->tcp_->Write(LengthPrefix(message.size()) + message);
  return c;
}

void EndpointConnection::InstallHandlers() {
  // The handlers must not keep the connection alive.
  const std::weak_ptr<EndpointConnection> weak = weak_from_this();
  TcpConnection::Handlers handlers;
  handlers.on_connected = [weak] {
    if (auto c = weak.lock()) c->OnTcpConnected();
  };
  handlers.on_bytes = [weak](std::string_view bytes) {
    if (auto c = weak.lock()) c->OnTcpBytes(bytes);
  };
  handlers.on_end = [weak](TcpEnd end) {
    if (auto c = weak.lock()) c->OnTcpEnd(end);
  };
  tcp_->set_handlers(std::move(handlers));
}

bool EndpointConnection::connected() const {
  if (!relayed()) return tcp_->connected();
  return relay_->status == RelayStatus::kOpened;
}

std::optional<RelayStatus> EndpointConnection::relay_status() const {
  return relayed() ? relay_->status : std::nullopt;
}

void EndpointConnection::OnTcpConnected() {
  if (relayed()) return;
  auto handlers = handlers_;
  if (handlers->on_connected) handlers->on_connected();
}

std::optional<std::string_view> EndpointConnection::ReadReply(
    std::string_view bytes) {
  std::string& reply = relay_->reply;
  reply += bytes;
  if (reply.size() < kLengthBytes) return std::nullopt;
  const size_t size = ParseLength(reply);
  if (size <= kMaxReplyBytes && reply.size() < kLengthBytes + size)
    return std::nullopt;
  std::optional<RelayReply> message;
  if (size <= kMaxReplyBytes) {
    message = relay_->codec->DecodeRelayReply(
        std::string_view(reply).substr(kLengthBytes, size));
  }
  if (message) relay_->status = message->status;
  if (!connected()) {
    End(TcpEnd::kRefused);
    return std::nullopt;
  }
  auto handlers = handlers_;
  if (handlers->on_connected) handlers->on_connected();
  const size_t rest = reply.size() - (kLengthBytes + size);
  return bytes.substr(bytes.size() - rest);
}

void EndpointConnection::OnTcpBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (relayed() && !connected()) {
    const std::optional<std::string_view> rest = ReadReply(bytes);
    if (!rest) return;
    bytes = *rest;
  }
  const auto deliver = [this](std::string_view content) {
    auto handlers = handlers_;
    if (open() && handlers->on_bytes) handlers->on_bytes(content);
  };
  if (!relayed()) {
    deliver(bytes);
    return;
  }
  const bool valid = relay_->frames.Feed(bytes, deliver);
  if (!open()) return;
  if (!valid) {
    EndWithRelay();
    return;
  }
  const std::optional<RelayedEnd> end = relay_->frames.end();
  if (end) End(*end == RelayedEnd::kClosed ? TcpEnd::kClosed : TcpEnd::kReset);
}

void EndpointConnection::OnTcpEnd(TcpEnd end) {
  if (relayed() && connected()) {
    EndWithRelay();
    return;
  }
  End(relayed() ? TcpEnd::kRefused : end);
}

void EndpointConnection::EndWithRelay() {
  relay_->lost = true;
  End(TcpEnd::kReset);
}

void EndpointConnection::End(TcpEnd end) {
  Close();
  auto handlers = std::move(handlers_);
  handlers_ = std::make_shared<Handlers>();
  if (handlers->on_end) handlers->on_end(end);
}

}  // namespace pinford
