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

static constexpr Duration kFetchLimit = seconds(2);
static constexpr size_t kLengthSize = 4;

// An address in the form that the socket calls take.
struct SocketAddress {
  sockaddr_storage storage{};
  int size = sizeof(sockaddr_storage);
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

static bool Resolve(const std::string& text, SocketAddress* out) {
  return evutil_parse_sockaddr_port(text.c_str(), out->get(), &out->size) == 0;
}

// One connection, on either side.
struct PeerLink::Exchange {
  PeerLink* link;
  bufferevent* bev;
  bool asking = false;
  std::function<void(std::optional<FetchReply>)> fn;  // of the asking side
  TimerId timer = 0;
};

PeerLink::PeerLink(EventLoop* loop, PeerCodec codec, Handlers handlers)
    : loop_(loop), codec_(std::move(codec)), handlers_(std::move(handlers)) {}

PeerLink::~PeerLink() {
  for (auto& [p, exchange] : exchanges_) {
    exchange->fn = nullptr;
    if (exchange->timer != 0) loop_->Cancel(exchange->timer);
    bufferevent_free(exchange->bev);
  }
  if (listener_ != nullptr) evconnlistener_free(listener_);
  if (socket_ >= 0) close(socket_);
}

bool PeerLink::Listen(const Address& address) {
  SocketAddress at;
  if (!Resolve(address.ToString(), &at)) return false;
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
  SendBytes(to, codec_.Encode(digest));
}

void PeerLink::Send(const std::string& to, const FailureNotice& note) {
  SendBytes(to, codec_.Encode(note));
}

void PeerLink::Send(const std::string& to, const RetryRequest& ask) {
  SendBytes(to, codec_.Encode(ask));
}

void PeerLink::Send(const std::string& to, const RetryLoan& loan) {
  SendBytes(to, codec_.Encode(loan));
}

void PeerLink::SendBytes(const std::string& to, const std::string& bytes) {
  SocketAddress at;
  if (!Resolve(to, &at)) return;
  if (bytes.size() > kMaxDatagram) {
    dropped_++;
    return;
  }
  // A datagram that the kernel does not take is as lost as one on the way.
  const ssize_t n = sendto(socket_, bytes.data(), bytes.size(), 0, at.get(),
                           static_cast<socklen_t>(at.size));
  if (n > 0) bytes_sent_ += n;
}

void PeerLink::ReceiveAll() {
  // Bounded, so that a flood of datagrams cannot hold up the loop.
  constexpr int kMostAtOnce = 64;
  std::string bytes(kMaxDatagram + 1, '\0');
  for (int i = 0; i < kMostAtOnce; i++) {
    const ssize_t n = recv(socket_, bytes.data(), bytes.size(), 0);
    if (n <= 0) return;
    bytes_received_ += n;
    Receive({bytes.data(), static_cast<size_t>(n)});
  }
}

void PeerLink::Receive(std::string_view bytes) {
  if (const std::optional<Digest> digest = codec_.DecodeDigest(bytes)) {
    handlers_.on_digest(*digest);
    return;
  }
  const std::optional<FailureNotice> note = codec_.DecodeFailureNotice(bytes);
  if (note && handlers_.on_failure_notice) {
    handlers_.on_failure_notice(*note);
    return;
  }
  if (!ReceiveRetries(bytes)) dropped_++;
}

bool PeerLink::ReceiveRetries(std::string_view bytes) {
  const std::optional<RetryRequest> ask = codec_.DecodeRetryRequest(bytes);
  if (ask && handlers_.on_retry_request) {
    handlers_.on_retry_request(*ask);
    return true;
  }
  const std::optional<RetryLoan> loan = codec_.DecodeRetryLoan(bytes);
  if (!loan || !handlers_.on_retry_loan) return false;
  handlers_.on_retry_loan(*loan);
  return true;
}

PeerLink::Exchange* PeerLink::NewExchange(int fd) {
  auto owned = std::make_unique<Exchange>();
  Exchange* exchange = owned.get();
  exchange->link = this;
  exchange->bev =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(exchange->bev, OnRead, nullptr, OnEvent, exchange);
  bufferevent_setwatermark(exchange->bev, EV_READ, 0,
                           kMaxPeerMessageBytes + kLengthSize);
  bufferevent_enable(exchange->bev, EV_READ | EV_WRITE);
  exchange->timer = loop_->After(kFetchLimit, [this, exchange] {
    exchange->timer = 0;
    Close(exchange);
  });
  exchanges_[exchange] = std::move(owned);
  return exchange;
}

void PeerLink::Close(Exchange* exchange) {
  auto it = exchanges_.find(exchange);
  if (it == exchanges_.end()) return;
  std::unique_ptr<Exchange> owned = std::move(it->second);
  exchanges_.erase(it);
  if (owned->timer != 0) loop_->Cancel(owned->timer);
  bufferevent_free(owned->bev);
  if (owned->fn) owned->fn(std::nullopt);
}

static void WriteFrame(bufferevent* bev, const std::string& message) {
  const uint32_t n = htonl(static_cast<uint32_t>(message.size()));
  bufferevent_write(bev, &n, sizeof(n));
  bufferevent_write(bev, message.data(), message.size());
}

void PeerLink::Fetch(const std::string& from, const FetchRequest& request,
                     std::function<void(std::optional<FetchReply>)> fn) {
  SocketAddress at;
  if (!Resolve(from, &at)) {
    loop_->After(Duration(0), [fn = std::move(fn)] { fn(std::nullopt); });
    return;
  }
  Exchange* exchange = NewExchange(-1);
  exchange->asking = true;
  exchange->fn = std::move(fn);
  const std::string message = codec_.Encode(request);
  WriteFrame(exchange->bev, message);
  bytes_sent_ += static_cast<int64_t>(message.size());
  if (bufferevent_socket_connect(exchange->bev, at.get(), at.size) != 0) {
    loop_->After(Duration(0), [this, exchange] { Close(exchange); });
  }
}

void PeerLink::Accept(int fd) { NewExchange(fd); }

void PeerLink::OnRead(bufferevent* bev, void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  evbuffer* in = bufferevent_get_input(bev);
  uint32_t n = 0;
  if (evbuffer_copyout(in, &n, sizeof(n)) < static_cast<ssize_t>(sizeof(n))) {
    return;
  }
  n = ntohl(n);
  if (n > kMaxPeerMessageBytes) {
    exchange->link->dropped_++;
    exchange->link->Close(exchange);
    return;
  }
  if (evbuffer_get_length(in) < kLengthSize + n) return;
  evbuffer_drain(in, kLengthSize);
  std::string message(n, '\0');
  evbuffer_remove(in, message.data(), n);
  exchange->link->bytes_received_ += n;
  exchange->link->Received(exchange, message);
}

void PeerLink::Received(Exchange* exchange, const std::string& message) {
  if (exchange->asking) {
    std::optional<FetchReply> reply = codec_.DecodeFetchReply(message);
    if (!reply) dropped_++;
    auto fn = std::move(exchange->fn);
    exchange->fn = nullptr;
    Close(exchange);
    fn(std::move(reply));
    return;
  }
  std::optional<FetchRequest> request = codec_.DecodeFetchRequest(message);
  if (!request) {
    dropped_++;
    Close(exchange);
    return;
  }
  const std::string reply = codec_.Encode(handlers_.on_fetch(*request));
  bytes_sent_ += static_cast<int64_t>(reply.size());
  bufferevent_setcb(exchange->bev, nullptr, OnWritten, OnEvent, exchange);
  WriteFrame(exchange->bev, reply);
}

void PeerLink::OnWritten(bufferevent* bev, void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  if (evbuffer_get_length(bufferevent_get_output(bev)) > 0) return;
  // The asking side closes once it has read; the timer is the last bound.
  bufferevent_setcb(bev, nullptr, nullptr, OnEvent, exchange);
}

void PeerLink::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) == 0) return;
  auto* exchange = static_cast<Exchange*>(arg);
  exchange->link->Close(exchange);
}

}  // namespace pinford
