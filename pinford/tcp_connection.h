// Non-blocking TCP connection on the event loop.
//
// Write() passes bytes to the kernel immediately, as far as it accepts them,
// rather than in the next loop iteration. It is therefore always known whether
// a byte of a request has left this process, and a check made before Write()
// still holds when the bytes are sent. Reading can be paused, which propagates
// backpressure.
//
// A peer that lost power or is behind a network partition sends nothing. Data
// that stays unacknowledged therefore ends the connection after a timeout
// (TCP_USER_TIMEOUT). The kernel applies the timeout also to a live peer that
// does not read.
//
// A connection on which anything failed never ends as kClosed: a response
// without a length is complete only if its sender closed it in order.
//
// Connections are held by shared pointers; handlers may drop the last one.

#ifndef PINFORD_TCP_CONNECTION_H_
#define PINFORD_TCP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "pinford/event_loop.h"
#include "pinford/send_queue.h"
#include "util/address.h"

struct event;

namespace pinford {

// How a connection ended.
enum class TcpEnd {
  kRefused,   // could not be established
  kClosed,    // the peer closed it in order
  kReset,     // the peer or the network broke it
  kTimedOut,  // the peer acknowledged nothing for too long
};

std::string_view TcpEndName(TcpEnd end);

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_bytes;
    // Called once, after the last byte; never after Close().
    std::function<void(TcpEnd)> on_end;
    // All written bytes have been passed to the kernel.
    std::function<void()> on_drained;
    // The connection was closed, by either side, with this many written bytes
    // not passed to the kernel. Stays installed through CloseGracefully().
    std::function<void(size_t)> on_undelivered;
  };

  // Starts connecting. `on_end` is called with kRefused if that fails.
  static std::shared_ptr<TcpConnection> Connect(EventLoop* loop,
                                                const Address& to);
  // Takes ownership of an accepted socket. The connection ends if the peer
  // accepts no bytes for `write_stall_timeout`.
  static std::shared_ptr<TcpConnection> Accept(EventLoop* loop, int fd,
                                               Duration write_stall_timeout);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  // May be called from within a handler.
  void set_handlers(Handlers handlers) {
    handlers_ = std::make_shared<Handlers>(std::move(handlers));
  }

  // Bytes written before the connection is established are buffered.
  void Write(std::string_view bytes);
  // The same, without a copy: holds a reference until the last byte is sent.
  void WriteShared(std::shared_ptr<const std::string> bytes);
  void PauseReading(bool paused);
  // Closes immediately. Bytes not yet passed to the kernel are lost.
  void Close();
  // Sends all buffered bytes and then a FIN, however slowly the peer reads, and
  // waits for the peer's FIN for a short time so that unread bytes from the
  // peer do not cause a reset that destroys data in flight to it. `on_sent` is
  // called once, when nothing is left to send or nothing more can be sent; it
  // may be called immediately.
  void CloseGracefully(std::function<void()> on_sent = {});
  // Closes the connection with a reset.
  void Reset();

  bool open() const { return fd_ >= 0; }
  bool connected() const { return connected_; }
  // Whether CloseGracefully() was called.
  bool closing() const { return closing_; }
  // Bytes not yet passed to the kernel.
  size_t unsent() const { return unsent_.size(); }
  // Whether any byte has been passed to the kernel.
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
  // What ended the connection, if a write noticed it: that takes the error off
  // the socket, so a later read would find an orderly end.
  std::optional<TcpEnd> failure_;
  // Set while all bytes are sent and the peer's FIN is awaited.
  TimerId linger_timer_ = 0;
  std::shared_ptr<TcpConnection> self_reference_;  // set while closing
  std::function<void()> on_sent_;
  event* read_ = nullptr;
  event* write_ = nullptr;
  SendQueue unsent_;
  // Shared, so that a handler that replaces the handlers can return safely.
  std::shared_ptr<Handlers> handlers_ = std::make_shared<Handlers>();
};

}  // namespace pinford

#endif  // PINFORD_TCP_CONNECTION_H_
