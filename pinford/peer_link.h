// The boxes' own interface: datagrams and short connections.
//
// Digests, DownNotes, RetryAsks and RetryLoans go by UDP and may be lost.
// Documents and time lines go by TCP: one FetchRequest, one FetchReply, each
// behind a length of four bytes. Whatever does not decode is dropped and
// counted.

#ifndef PINFORD_PEER_LINK_H_
#define PINFORD_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pinford/event_loop.h"
#include "pinford/peer_messages.h"
#include "util/address.h"

struct bufferevent;
struct evconnlistener;

namespace pinford {

class PeerLink {
 public:
  struct Handlers {
    std::function<void(const Digest&)> on_digest;
    std::function<void(const FailureNotice&)> on_failure_notice;
    std::function<FetchReply(const FetchRequest&)> on_fetch;
    std::function<void(const RetryRequest&)> on_retry_request = {};
    std::function<void(const RetryLoan&)> on_retry_loan = {};
  };

  PeerLink(EventLoop* loop, PeerCodec codec, Handlers handlers);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Listens on UDP and TCP. False, with errno set, if it cannot.
  bool Listen(const Address& address);

  size_t SizeOf(const Digest& digest) const;
  void Send(const std::string& to, const Digest& digest);
  void Send(const std::string& to, const FailureNotice& note);
  void Send(const std::string& to, const RetryRequest& ask);
  void Send(const std::string& to, const RetryLoan& loan);
  // `fn` gets nothing if no whole answer came in time.
  void Fetch(const std::string& from, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn);

  int64_t dropped() const { return dropped_; }
  int64_t bytes_sent() const { return bytes_sent_; }
  int64_t bytes_received() const { return bytes_received_; }

 private:
  struct Exchange;

  void SendBytes(const std::string& to, const std::string& bytes);
  void ReceiveAll();
  void Receive(std::string_view bytes);
  bool ReceiveRetries(std::string_view bytes);
  void Accept(int fd);
  Exchange* NewExchange(int fd);
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  static void OnWritten(bufferevent* bev, void* arg);
  void Received(Exchange* exchange, const std::string& message);
  void Close(Exchange* exchange);

  EventLoop* loop_;
  PeerCodec codec_;
  Handlers handlers_;
  int socket_ = -1;
  evconnlistener* listener_ = nullptr;
  std::map<Exchange*, std::unique_ptr<Exchange>> exchanges_;
  int64_t dropped_ = 0;
  int64_t bytes_sent_ = 0;
  int64_t bytes_received_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_PEER_LINK_H_
