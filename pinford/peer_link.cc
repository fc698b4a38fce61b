#include "pinford/peer_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cstring>

namespace pinford {

static constexpr Duration kFetchTimeout = seconds(2);

// An address as the socket calls take it.
struct SocketAddress {
  sockaddr_storage storage{};
  int size = sizeof(sockaddr_storage);
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

static bool ParseSocketAddress(const std::string& text, SocketAddress* out) {
  return evutil_parse_sockaddr_port(text.c_str(), out->get(), &out->size) == 0;
}

// A TCP connection, as client or server.
struct PeerLink::Connection {
  PeerLink* link;
  bufferevent* bev;
  bool is_client = false;
  std::function<void(std::optional<FetchReply>)> fn;  // set if is_client
  TimerId timer = 0;
};

PeerLink::PeerLink(EventLoop* loop, PeerCodec codec, Handlers handlers)
    : loop_(loop), codec_(std::move(codec)), handlers_(std::move(handlers)) {}

PeerLink::~PeerLink() {
  for (auto& [p, connection] : connections_) {
    connection->fn = nullptr;
    if (connection->timer != 0) loop_->Cancel(connection->timer);
    bufferevent_free(connection->bev);
  }
  if (listener_ != nullptr) evconnlistener_free(listener_);
  if (socket_ >= 0) close(socket_);
}

bool PeerLink::Listen(const Address& address) {
  SocketAddress at;
  if (!ParseSocketAddress(address.ToString(), &at)) return false;
  socket_ = socket(at.get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  if (socket_ < 0) return false;
  if (bind(socket_, at.get(), static_cast<socklen_t>(at.size)) != 0) {
    return false;
  }
  constexpr int kBacklog = 128;
  listener_ = evconnlistener_new_bind(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<PeerLink*>(arg)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog, at.get(),
      at.size);
  if (listener_ == nullptr) return false;
  loop_->OnReadable(socket_, [this] { ReceiveAll(); });
  return true;
}

size_t PeerLink::SizeOf(const Digest& digest) const {
  return codec_.Encode(digest).size();
}

void PeerLink::Send(const std::string& to, const Digest& digest) {
  SendBytes(to, PeerMessageKind::kDigest, codec_.Encode(digest));
}

void PeerLink::Send(const std::string& to, const FailureNotice& notice) {
  SendBytes(to, PeerMessageKind::kFailureNotice, codec_.Encode(notice));
}

void PeerLink::Send(const std::string& to, const RetryRequest& request) {
  SendBytes(to, PeerMessageKind::kRetryRequest, codec_.Encode(request));
}

void PeerLink::Send(const std::string& to, const RetryLoan& loan) {
  SendBytes(to, PeerMessageKind::kRetryLoan, codec_.Encode(loan));
}

void PeerLink::Send(const std::string& to, const CrashNotice& notice) {
  SendBytes(to, PeerMessageKind::kCrashNotice, codec_.Encode(notice));
}

void PeerLink::Send(const std::string& to, const MissingNotice& notice) {
  SendBytes(to, PeerMessageKind::kMissingNotice, codec_.Encode(notice));
}

void PeerLink::Send(const std::string& to, const PermitRequest& request) {
  SendBytes(to, PeerMessageKind::kPermitRequest, codec_.Encode(request));
}

void PeerLink::Send(const std::string& to, const PermitGrant& grant) {
  SendBytes(to, PeerMessageKind::kPermitGrant, codec_.Encode(grant));
}

void PeerLink::Send(const std::string& to, const LimitNotice& notice) {
  SendBytes(to, PeerMessageKind::kLimitNotice, codec_.Encode(notice));
}

void PeerLink::SendBytes(const std::string& to, PeerMessageKind kind,
                         const std::string& bytes) {
  SocketAddress at;
  if (!ParseSocketAddress(to, &at)) return;
  if (bytes.size() > kMaxDatagramBytes) {
    dropped_++;
    return;
  }
  // A datagram that the kernel does not accept counts as lost in transit.
  const ssize_t n = sendto(socket_, bytes.data(), bytes.size(), 0, at.get(),
                           static_cast<socklen_t>(at.size));
  if (n <= 0) return;
  bytes_sent_ += n;
  sent_.Add(kind, static_cast<size_t>(n));
}

void PeerLink::ReceiveAll() {
  // Bounded, so that a flood of datagrams cannot block the loop.
  constexpr int kMaxDatagramsPerRead = 64;
  const BusyTimer timer(loop_, &busy_times_, Duty::kGossip);
  std::string bytes(kMaxDatagramBytes + 1, '\0');
  for (int i = 0; i < kMaxDatagramsPerRead; i++) {
    const ssize_t n = recv(socket_, bytes.data(), bytes.size(), 0);
    if (n <= 0) return;
    bytes_received_ += n;
    Receive({bytes.data(), static_cast<size_t>(n)});
  }
}

void PeerLink::Receive(std::string_view bytes) {
  if (const std::optional<Digest> digest = codec_.DecodeDigest(bytes)) {
    received_.Add(PeerMessageKind::kDigest, bytes.size());
    handlers_.on_digest(*digest);
    return;
  }
  const std::optional<FailureNotice> notice = codec_.DecodeFailureNotice(bytes);
  if (notice && handlers_.on_failure_notice) {
    received_.Add(PeerMessageKind::kFailureNotice, bytes.size());
    handlers_.on_failure_notice(*notice);
    return;
  }
  const std::optional<CrashNotice> crashes = codec_.DecodeCrashNotice(bytes);
  if (crashes && handlers_.on_crash_notice) {
    received_.Add(PeerMessageKind::kCrashNotice, bytes.size());
    handlers_.on_crash_notice(*crashes);
    return;
  }
  const std::optional<MissingNotice> missing =
      codec_.DecodeMissingNotice(bytes);
  if (missing && handlers_.on_missing_notice) {
    received_.Add(PeerMessageKind::kMissingNotice, bytes.size());
    handlers_.on_missing_notice(*missing);
    return;
  }
  if (!ReceiveRetries(bytes) && !ReceivePermits(bytes)) dropped_++;
}

template <typename Message>
bool PeerLink::Deliver(PeerMessageKind kind,
                       const std::optional<Message>& message,
                       const std::function<void(const Message&)>& handler,
                       size_t bytes) {
  if (!message || !handler) return false;
  received_.Add(kind, bytes);
  handler(*message);
  return true;
}

bool PeerLink::ReceiveRetries(std::string_view bytes) {
  return Deliver(PeerMessageKind::kRetryRequest,
                 codec_.DecodeRetryRequest(bytes), handlers_.on_retry_request,
                 bytes.size()) ||
         Deliver(PeerMessageKind::kRetryLoan, codec_.DecodeRetryLoan(bytes),
                 handlers_.on_retry_loan, bytes.size());
}

bool PeerLink::ReceivePermits(std::string_view bytes) {
  return Deliver(PeerMessageKind::kPermitRequest,
                 codec_.DecodePermitRequest(bytes), handlers_.on_permit_request,
                 bytes.size()) ||
         Deliver(PeerMessageKind::kPermitGrant, codec_.DecodePermitGrant(bytes),
                 handlers_.on_permit_grant, bytes.size()) ||
         Deliver(PeerMessageKind::kLimitNotice, codec_.DecodeLimitNotice(bytes),
                 handlers_.on_limit_notice, bytes.size());
}

PeerLink::Connection* PeerLink::NewConnection(int fd) {
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->link = this;
  connection->bev =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(connection->bev, OnRead, nullptr, OnEvent, connection);
  bufferevent_setwatermark(connection->bev, EV_READ, 0,
                           kMaxPeerMessageBytes + kLengthBytes);
  bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
  connection->timer = loop_->After(kFetchTimeout, [this, connection] {
    connection->timer = 0;
    Close(connection);
  });
  connections_[connection] = std::move(owned);
  return connection;
}

void PeerLink::Close(Connection* connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  std::unique_ptr<Connection> owned = std::move(it->second);
  connections_.erase(it);
  if (owned->timer != 0) loop_->Cancel(owned->timer);
  bufferevent_free(owned->bev);
  if (owned->fn) owned->fn(std::nullopt);
}

static void WriteFrame(bufferevent* bev, const std::string& message) {
  const std::string prefix = LengthPrefix(message.size());
  bufferevent_write(bev, prefix.data(), prefix.size());
  bufferevent_write(bev, message.data(), message.size());
}

void PeerLink::Fetch(const std::string& from, const FetchRequest& request,
                     std::function<void(std::optional<FetchReply>)> fn) {
  SocketAddress at;
  if (!ParseSocketAddress(from, &at)) {
    loop_->After(Duration(0), [fn = std::move(fn)] { fn(std::nullopt); });
    return;
  }
  Connection* connection = NewConnection(-1);
  connection->is_client = true;
  connection->fn = std::move(fn);
  const std::string message = codec_.Encode(request);
  WriteFrame(connection->bev, message);
  bytes_sent_ += static_cast<int64_t>(message.size());
  sent_.Add(PeerMessageKind::kFetchRequest, message.size());
  if (bufferevent_socket_connect(connection->bev, at.get(), at.size) != 0) {
    loop_->After(Duration(0), [this, connection] { Close(connection); });
  }
}

void PeerLink::Accept(int fd) { NewConnection(fd); }

void PeerLink::OnRead(bufferevent* bev, void* arg) {
  auto* connection = static_cast<Connection*>(arg);
  evbuffer* in = bufferevent_get_input(bev);
  char prefix[kLengthBytes];
  if (evbuffer_copyout(in, prefix, kLengthBytes) <
      static_cast<ssize_t>(kLengthBytes)) {
    return;
  }
  const size_t n = ParseLength({prefix, kLengthBytes});
  if (n > kMaxPeerMessageBytes) {
    connection->link->dropped_++;
    connection->link->Close(connection);
    return;
  }
  if (evbuffer_get_length(in) < kLengthBytes + n) return;
  evbuffer_drain(in, kLengthBytes);
  std::string message(n, '\0');
  evbuffer_remove(in, message.data(), n);
  connection->link->bytes_received_ += static_cast<int64_t>(n);
  connection->link->OnMessage(connection, message);
}

void PeerLink::OnMessage(Connection* connection, const std::string& message) {
  if (connection->is_client) {
    const BusyTimer timer(loop_, &busy_times_, Duty::kPeerData);
    received_.Add(PeerMessageKind::kFetchReply, message.size());
    std::optional<FetchReply> reply = codec_.DecodeFetchReply(message);
    if (!reply) dropped_++;
    auto fn = std::move(connection->fn);
    connection->fn = nullptr;
    Close(connection);
    fn(std::move(reply));
    return;
  }
  const BusyTimer timer(loop_, &busy_times_, Duty::kPeerReplies);
  received_.Add(PeerMessageKind::kFetchRequest, message.size());
  std::optional<FetchRequest> request = codec_.DecodeFetchRequest(message);
  if (!request) {
    if (HandOver(connection, message)) return;
    dropped_++;
    Close(connection);
    return;
  }
  const std::string reply = codec_.Encode(handlers_.on_fetch(*request));
  bytes_sent_ += static_cast<int64_t>(reply.size());
  sent_.Add(PeerMessageKind::kFetchReply, reply.size());
  bufferevent_setcb(connection->bev, nullptr, OnWritten, OnEvent, connection);
  WriteFrame(connection->bev, reply);
}

bool PeerLink::HandOver(Connection* connection, const std::string& message) {
  const std::optional<RelayOpen> open = codec_.DecodeRelayOpen(message);
  const bool pipelined =
      evbuffer_get_length(bufferevent_get_input(connection->bev)) > 0;
  if (!open || !handlers_.on_relay_open || pipelined) return false;
  const int fd = bufferevent_getfd(connection->bev);
  // Otherwise closing the connection would close the socket.
  bufferevent_setfd(connection->bev, -1);
  Close(connection);
  handlers_.on_relay_open(fd, *open);
  return true;
}

void PeerLink::OnWritten(bufferevent* bev, void* arg) {
  auto* connection = static_cast<Connection*>(arg);
  if (evbuffer_get_length(bufferevent_get_output(bev)) > 0) return;
  // The client closes the connection once it has the reply; otherwise the timer
  // does.
  bufferevent_setcb(bev, nullptr, nullptr, OnEvent, connection);
}

void PeerLink::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) == 0) return;
  auto* connection = static_cast<Connection*>(arg);
  connection->link->Close(connection);
}

}  // namespace pinford
