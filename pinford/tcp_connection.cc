#include "pinford/tcp_connection.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<TcpEnd> kTcpEndNames[] = {
    {TcpEnd::kRefused, "refused"},
    {TcpEnd::kClosed, "closed"},
    {TcpEnd::kReset, "reset"},
    {TcpEnd::kTimedOut, "silent"},
};

std::string_view TcpEndName(TcpEnd end) { return NameIn(kTcpEndNames, end); }

// For outgoing connections. Longer than a few retransmissions on a lossy link
// (200, 400, 800 ms), and shorter than the time after which an unresponsive
// peer counts as lost anyway.
static constexpr milliseconds kOutgoingWriteStallTimeout{4000};
// How long a closed connection waits for the peer's FIN once all is sent.
static constexpr milliseconds kLingerTimeout{1000};
static constexpr size_t kReadBufferBytes = 64 << 10;

static void SetOption(int fd, int level, int name, int value) {
  // If an option cannot be set, the kernel's default stays in force.
  (void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void SetOptions(int fd, Duration write_stall_timeout) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMillis(write_stall_timeout)));
}

TcpConnection::TcpConnection(EventLoop* loop, int fd, bool connected)
    : loop_(loop), fd_(fd), connected_(connected) {}

TcpConnection::~TcpConnection() { Close(); }

// Starts connecting the socket. Returns false if that fails at once.
template <typename SocketAddress>
static bool StartConnecting(int fd, const SocketAddress& at) {
  const auto* address = reinterpret_cast<const sockaddr*>(&at);
  return connect(fd, address, sizeof(at)) == 0 || errno == EINPROGRESS;
}

static bool StartConnecting(int fd, const Address& to) {
  sockaddr_in v4{};
  if (inet_pton(AF_INET, to.ip.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(to.port);
    return StartConnecting(fd, v4);
  }
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, to.ip.c_str(), &v6.sin6_addr) != 1) return false;
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(to.port);
  return StartConnecting(fd, v6);
}

static bool IsIpv6(const Address& a) {
  return a.ip.find(':') != std::string::npos;
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(EventLoop* loop,
                                                      const Address& to) {
  const int family = IsIpv6(to) ? AF_INET6 : AF_INET;
  const int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<TcpConnection> c(new TcpConnection(loop, fd, false));
  if (fd >= 0) {
    SetOptions(fd, kOutgoingWriteStallTimeout);
    if (StartConnecting(fd, to)) {
      c->StartEvents();
      c->WantWrite(true);
      return c;
    }
    close(fd);
    c->fd_ = -1;
  }
  std::weak_ptr<TcpConnection> weak = c;
  loop->After(Duration(0), [weak] {
    if (auto self = weak.lock()) self->CloseAndNotify(TcpEnd::kRefused);
  });
  return c;
}

std::shared_ptr<TcpConnection> TcpConnection::Accept(
    EventLoop* loop, int fd, Duration write_stall_timeout) {
  SetOptions(fd, write_stall_timeout);
  std::shared_ptr<TcpConnection> c(new TcpConnection(loop, fd, true));
  c->StartEvents();
  return c;
}

void TcpConnection::StartEvents() {
  read_ =
      event_new(loop_->base(), fd_, EV_READ | EV_PERSIST, &OnReadable, this);
  write_ =
      event_new(loop_->base(), fd_, EV_WRITE | EV_PERSIST, &OnWritable, this);
  event_add(read_, nullptr);
}

void TcpConnection::WantWrite(bool want) {
  if (want == want_write_) return;
  want_write_ = want;
  if (want) {
    event_add(write_, nullptr);
  } else {
    event_del(write_);
  }
}

void TcpConnection::PauseReading(bool paused) {
  if (paused == paused_ || !open()) return;
  paused_ = paused;
  if (paused) {
    event_del(read_);
  } else {
    event_add(read_, nullptr);
  }
}

void TcpConnection::OnReadable(int, short, void* arg) {
  static_cast<TcpConnection*>(arg)->HandleReadable();
}

void TcpConnection::OnWritable(int, short, void* arg) {
  static_cast<TcpConnection*>(arg)->HandleWritable();
}

static TcpEnd EndOf(int error) {
  return error == ETIMEDOUT ? TcpEnd::kTimedOut : TcpEnd::kReset;
}

void TcpConnection::HandleReadable() {
  if (!connected_) return;
  auto self = shared_from_this();
  // An event loop runs on one thread; several threads may each have one.
  static thread_local char buffer[kReadBufferBytes];
  const ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
  if (n > 0) {
    auto handlers = handlers_;
    if (!closing_ && handlers->on_bytes) {
      handlers->on_bytes({buffer, static_cast<size_t>(n)});
    }
    return;
  }
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const TcpEnd end = n == 0 ? TcpEnd::kClosed : EndOf(errno);
  CloseAndNotify(failure_.value_or(end));
}

void TcpConnection::HandleWritable() {
  auto self = shared_from_this();
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      CloseAndNotify(TcpEnd::kRefused);
      return;
    }
    connected_ = true;
    WantWrite(false);
    auto handlers = handlers_;
    if (handlers->on_connected) handlers->on_connected();
    if (!open()) return;
  }
  FlushUnsent();
  if (!open() || !unsent_.empty()) return;
  if (closing_) {
    ShutdownWrite();
    return;
  }
  auto handlers = handlers_;
  if (handlers->on_drained) handlers->on_drained();
}

void TcpConnection::FlushUnsent() {
  while (!unsent_.empty()) {
    const std::string_view next = unsent_.Next();
    const ssize_t n = send(fd_, next.data(), next.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_any_ = true;
      unsent_.Skip(static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    // The read side reports the end, after delivering what was received.
    if (n < 0 && errno != EAGAIN) failure_ = EndOf(errno);
    break;
  }
  WantWrite(!unsent_.empty() && !failure_);
}

void TcpConnection::Write(std::string_view bytes) {
  if (!open() || closing_) return;
  const bool waiting = !unsent_.empty();
  if (!failure_) unsent_.Append(bytes);
  if (connected_ && !waiting) FlushUnsent();
}

void TcpConnection::WriteShared(std::shared_ptr<const std::string> bytes) {
  if (!open() || closing_) return;
  const bool waiting = !unsent_.empty();
  if (!failure_) unsent_.AppendShared(std::move(bytes));
  if (connected_ && !waiting) FlushUnsent();
}

void TcpConnection::CloseGracefully(std::function<void()> on_sent) {
  if (!open() || closing_) {
    if (on_sent) on_sent();
    return;
  }
  closing_ = true;
  self_reference_ = shared_from_this();
  on_sent_ = std::move(on_sent);
  Handlers handlers;
  handlers.on_undelivered = handlers_->on_undelivered;
  set_handlers(std::move(handlers));
  PauseReading(false);
  if (connected_ && unsent_.empty()) ShutdownWrite();
}

void TcpConnection::ShutdownWrite() {
  if (linger_timer_ != 0) return;
  shutdown(fd_, SHUT_WR);
  linger_timer_ = loop_->After(kLingerTimeout, [this] {
    linger_timer_ = 0;
    Close();
  });
  if (auto fn = std::exchange(on_sent_, nullptr)) fn();
}

void TcpConnection::Reset() {
  if (!open()) return;
  const linger now{1, 0};
  (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

void TcpConnection::Close() {
  if (read_ != nullptr) event_free(read_);
  if (write_ != nullptr) event_free(write_);
  read_ = write_ = nullptr;
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  if (linger_timer_ != 0) loop_->Cancel(std::exchange(linger_timer_, 0));
  const size_t bytes = unsent_.size();
  unsent_.Clear();
  if (bytes > 0 && handlers_->on_undelivered) handlers_->on_undelivered(bytes);
  if (auto fn = std::exchange(on_sent_, nullptr)) fn();
  // Must come last: this may be the last reference.
  const std::shared_ptr<TcpConnection> self = std::move(self_reference_);
}

void TcpConnection::CloseAndNotify(TcpEnd how) {
  auto self = shared_from_this();
  std::function<void(TcpEnd)> fn = std::move(handlers_->on_end);
  Close();
  if (fn) fn(how);
}

}  // namespace pinford
