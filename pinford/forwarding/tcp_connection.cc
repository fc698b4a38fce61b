#include "pinford/forwarding/tcp_connection.h"

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
    {TcpEnd::kSilent, "silent"},
};

std::string_view TcpEndName(TcpEnd end) { return NameIn(kTcpEndNames, end); }

// Of connections that this process makes. Longer than a few retransmissions of
// a lossy link (200, 400, 800 ms), shorter than the time after which a silent
// peer would count as lost anyway.
static constexpr milliseconds kSilentPeer{4000};
// How long a closed connection waits for the peer's end once all is sent.
static constexpr milliseconds kLinger{1000};
static constexpr size_t kReadBytes = 64 << 10;

static void SetOption(int fd, int level, int name, int value) {
  // An option that cannot be set leaves the kernel's default in force.
  (void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void SetOptions(int fd, Duration silent_limit) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMillis(silent_limit)));
}

TcpConnection::TcpConnection(EventLoop* loop, int fd, bool connected)
    : loop_(loop), fd_(fd), connected_(connected) {}

TcpConnection::~TcpConnection() { Close(); }

std::shared_ptr<TcpConnection> TcpConnection::Connect(EventLoop* loop,
                                                      const Address& to) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(to.port);
  const bool numeric = inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr) == 1;
  const int fd =
      numeric ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
              : -1;
  std::shared_ptr<TcpConnection> c(new TcpConnection(loop, fd, false));
  if (fd >= 0) {
    SetOptions(fd, kSilentPeer);
    const auto* address = reinterpret_cast<const sockaddr*>(&at);
    if (connect(fd, address, sizeof(at)) == 0 || errno == EINPROGRESS) {
      c->StartEvents();
      c->WantWrite(true);
      return c;
    }
    close(fd);
    c->fd_ = -1;
  }
  std::weak_ptr<TcpConnection> weak = c;
  loop->After(Duration(0), [weak] {
    if (auto self = weak.lock()) self->End(TcpEnd::kRefused);
  });
  return c;
}

std::shared_ptr<TcpConnection> TcpConnection::Accept(EventLoop* loop, int fd,
                                                     Duration silent_limit) {
  SetOptions(fd, silent_limit);
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
  static_cast<TcpConnection*>(arg)->Readable();
}

void TcpConnection::OnWritable(int, short, void* arg) {
  static_cast<TcpConnection*>(arg)->Writable();
}

void TcpConnection::Readable() {
  if (!connected_) return;
  auto self = shared_from_this();
  static char buffer[kReadBytes];
  const ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
  if (n > 0) {
    auto handlers = handlers_;
    if (!closing_ && handlers->on_bytes) {
      handlers->on_bytes({buffer, static_cast<size_t>(n)});
    }
    return;
  }
  if (n == 0) {
    End(TcpEnd::kClosed);
    return;
  }
  if (errno == EAGAIN || errno == EINTR) return;
  End(errno == ETIMEDOUT ? TcpEnd::kSilent : TcpEnd::kReset);
}

void TcpConnection::Writable() {
  auto self = shared_from_this();
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      End(TcpEnd::kRefused);
      return;
    }
    connected_ = true;
    WantWrite(false);
    auto handlers = handlers_;
    if (handlers->on_connected) handlers->on_connected();
    if (!open()) return;
  }
  SendSome();
  if (!open() || !unsent_.empty()) return;
  if (closing_) {
    SendEnd();
    return;
  }
  auto handlers = handlers_;
  if (handlers->on_drained) handlers->on_drained();
}

void TcpConnection::SendSome() {
  while (!unsent_.empty()) {
    const ssize_t n = send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_any_ = true;
      unsent_.erase(0, static_cast<size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    // The end is told by the read side, which first gives what had come.
    if (n < 0 && errno != EAGAIN) failed_ = true;
    break;
  }
  WantWrite(!unsent_.empty() && !failed_);
}

void TcpConnection::Write(std::string_view bytes) {
  if (!open() || closing_) return;
  const bool waiting = !unsent_.empty();
  if (!failed_) unsent_.append(bytes);
  if (connected_ && !waiting) SendSome();
}

void TcpConnection::CloseGracefully(std::function<void()> on_sent) {
  if (!open() || closing_) {
    if (on_sent) on_sent();
    return;
  }
  closing_ = true;
  held_ = shared_from_this();
  on_sent_ = std::move(on_sent);
  Handlers handlers;
  handlers.on_lost = handlers_->on_lost;
  set_handlers(std::move(handlers));
  PauseReading(false);
  if (connected_ && unsent_.empty()) SendEnd();
}

void TcpConnection::SendEnd() {
  if (linger_ != 0) return;
  shutdown(fd_, SHUT_WR);
  linger_ = loop_->After(kLinger, [this] {
    linger_ = 0;
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
  if (linger_ != 0) loop_->Cancel(std::exchange(linger_, 0));
  const size_t lost = std::exchange(unsent_, "").size();
  if (lost > 0 && handlers_->on_lost) handlers_->on_lost(lost);
  if (auto fn = std::exchange(on_sent_, nullptr)) fn();
  // Last: it may be the last that holds this.
  const std::shared_ptr<TcpConnection> self = std::move(held_);
}

void TcpConnection::End(TcpEnd how) {
  auto self = shared_from_this();
  std::function<void(TcpEnd)> fn = std::move(handlers_->on_end);
  Close();
  if (fn) fn(how);
}

}  // namespace pinford
