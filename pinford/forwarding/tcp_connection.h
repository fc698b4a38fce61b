// A TCP connection on the event loop.
//
// Bytes are written at once, as far as the kernel takes them, rather than
// with the next turn of the loop: so it is known at each moment whether a
// byte of a request has left this process, and what was allowed to be sent
// when it was checked has been sent then. Reading can be paused, which passes
// back pressure on.
//
// A peer that lost power or sits behind a cut says nothing; bytes that it does
// not take therefore end the connection after some time (TCP_USER_TIMEOUT).
// The kernel counts a peer that lives and does not read as silent, too.
//
// Connections are held by shared pointers; handlers may drop the last one.

#ifndef PINFORD_FORWARDING_TCP_CONNECTION_H_
#define PINFORD_FORWARDING_TCP_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pinford/event_loop.h"
#include "util/address.h"

struct event;

namespace pinford {

// How a connection ended.
enum class TcpEnd {
  kRefused,   // it was never established
  kClosed,    // the peer sent its end
  kReset,     // the peer or the network broke it
  kTimedOut,  // the peer acknowledged nothing for too long
};

std::string_view TcpEndName(TcpEnd end);

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_bytes;
    // Once, after the last byte; never after Close().
    std::function<void(TcpEnd)> on_end;
    // All that was written has been handed to the kernel.
    std::function<void()> on_drained;
    // It is closed, by either side, with so many bytes that were written and
    // not handed to the kernel. Stays set through CloseGracefully().
    std::function<void(size_t)> on_undelivered;
  };

  // Begins to connect. `on_end` is called with kRefused if that fails.
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const Address& to);
  // Takes over an accepted socket, whose peer may take no bytes for so long.
  static std::shared_ptr<TcpConnection> Accept(EventLoop* loop, int fd,
                                               Duration write_stall_timeout);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // May be called from within a handler.
  void set_handlers(Handlers handlers) {
    handlers_ = std::make_shared<Handlers>(std::move(handlers));
  }

  // Bytes written before the connection is there wait for it.
  void Write(std::string_view bytes);
  void PauseReading(bool paused);
  // Closes at once. What was not yet handed to the kernel is lost.
  void Close();
  // Sends what is left and the end, however slowly the peer reads, then waits
  // for the peer's end for a short time, so that unread bytes of the peer do
  // not reset what it is to read. `on_sent` is called once, when nothing is
  // left to be sent or nothing more can be; it may be at once.
  void CloseGracefully(std::function<void()> on_sent = {});
  // Breaks the connection so that the peer sees a reset.
  void Reset();

  bool open() const { return fd_ >= 0; }
  bool connected() const { return connected_; }
  // Bytes not yet handed to the kernel.
  size_t unsent() const { return unsent_.size(); }
  // Some byte has been handed to the kernel.
  bool sent_any() const { return sent_any_; }

 private:
  TcpConnection(EventLoop* loop, int fd, bool connected);
  void StartEvents();
  static void OnReadable(int fd, short what, void* arg);
  static void OnWritable(int fd, short what, void* arg);
  void HandleReadable();
  void HandleWritable();
  void WantWrite(bool want);
  void FlushUnsent();
  void ShutdownWrite();
  void CloseAndNotify(TcpEnd how);

  EventLoop* loop_;
  int fd_;
  bool connected_;
  bool paused_ = false;
  bool want_write_ = false;
  bool sent_any_ = false;
  bool closing_ = false;
  bool write_failed_ = false;  // the kernel takes nothing more
  // All is sent, and the peer's end is waited for.
  TimerId linger_timer_ = 0;
  std::shared_ptr<TcpConnection> self_reference_;  // itself, while it closes
  std::function<void()> on_sent_;
  event* read_ = nullptr;
  event* write_ = nullptr;
  std::string unsent_;
  // Shared, so that a handler that replaces them runs to its end.
  std::shared_ptr<Handlers> handlers_ = std::make_shared<Handlers>();
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_TCP_CONNECTION_H_
