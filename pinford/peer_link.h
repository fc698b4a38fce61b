// The transport between boxes: UDP datagrams and short TCP connections.
//
// Digests, notices, and messages on retries and permits go by UDP and may be
// lost. Documents, timelines and member rows are fetched by TCP: one
// FetchRequest and one FetchReply per connection, each preceded by its length
// in four bytes. A connection whose first message is a RelayOpen is handed over
// to whoever relays. Messages that do not decode are dropped and counted.

#ifndef PINFORD_PEER_LINK_H_
#define PINFORD_PEER_LINK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pinford/busy_times.h"
#include "pinford/event_loop.h"
#include "pinford/peer_messages.h"
#include "util/address.h"
#include "util/enum_names.h"

struct bufferevent;
struct evconnlistener;

namespace pinford {

enum class PeerMessageKind {
  kDigest,
  kFailureNotice,
  kRetryRequest,
  kRetryLoan,
  kCrashNotice,
  kMissingNotice,
  kPermitRequest,
  kPermitGrant,
  kLimitNotice,
  kFetchRequest,
  kFetchReply,
};
inline constexpr EnumName<PeerMessageKind> kPeerMessageKindNames[] = {
    {PeerMessageKind::kDigest, "digest"},
    {PeerMessageKind::kFailureNotice, "failure_notice"},
    {PeerMessageKind::kRetryRequest, "retry_request"},
    {PeerMessageKind::kRetryLoan, "retry_loan"},
    {PeerMessageKind::kCrashNotice, "crash_notice"},
    {PeerMessageKind::kMissingNotice, "missing_notice"},
    {PeerMessageKind::kPermitRequest, "permit_request"},
    {PeerMessageKind::kPermitGrant, "permit_grant"},
    {PeerMessageKind::kLimitNotice, "limit_notice"},
    {PeerMessageKind::kFetchRequest, "fetch_request"},
    {PeerMessageKind::kFetchReply, "fetch_reply"},
};
inline constexpr size_t kPeerMessageKinds = std::size(kPeerMessageKindNames);

// Messages of each kind, without the headers of UDP and TCP.
class PeerTraffic {
 public:
  struct Count {
    int64_t messages = 0;
    int64_t bytes = 0;
  };
  void Add(PeerMessageKind kind, size_t bytes) {
    Count& count = counts_[static_cast<size_t>(kind)];
    count.messages++;
    count.bytes += static_cast<int64_t>(bytes);
  }
  const Count& of(PeerMessageKind kind) const {
    return counts_[static_cast<size_t>(kind)];
  }

 private:
  std::array<Count, kPeerMessageKinds> counts_{};
};

class PeerLink {
 public:
  struct Handlers {
    std::function<void(const Digest&)> on_digest;
    std::function<void(const FailureNotice&)> on_failure_notice;
    std::function<FetchReply(const FetchRequest&)> on_fetch;
    std::function<void(const RetryRequest&)> on_retry_request = {};
    std::function<void(const RetryLoan&)> on_retry_loan = {};
    std::function<void(const CrashNotice&)> on_crash_notice = {};
    std::function<void(const MissingNotice&)> on_missing_notice = {};
    std::function<void(const PermitRequest&)> on_permit_request = {};
    std::function<void(const PermitGrant&)> on_permit_grant = {};
    std::function<void(const LimitNotice&)> on_limit_notice = {};
    // Takes over the socket that received the message.
    std::function<void(int fd, const RelayOpen&)> on_relay_open = {};
  };

  PeerLink(EventLoop* loop, PeerCodec codec, Handlers handlers);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Listens on UDP and TCP. Returns false and sets errno if it cannot.
  bool Listen(const Address& address);

  // The size in bytes of the digest's datagram.
  size_t SizeOf(const Digest& digest) const;
  void Send(const std::string& to, const Digest& digest);
  void Send(const std::string& to, const FailureNotice& notice);
  void Send(const std::string& to, const RetryRequest& request);
  void Send(const std::string& to, const RetryLoan& loan);
  void Send(const std::string& to, const CrashNotice& notice);
  void Send(const std::string& to, const MissingNotice& notice);
  void Send(const std::string& to, const PermitRequest& request);
  void Send(const std::string& to, const PermitGrant& grant);
  void Send(const std::string& to, const LimitNotice& notice);
  // Calls `fn` with the reply, or with nothing if no valid reply came in time.
  void Fetch(const std::string& from, const FetchRequest& request,
             std::function<void(std::optional<FetchReply>)> fn);

  int64_t dropped() const { return dropped_; }
  int64_t bytes_sent() const { return bytes_sent_; }
  int64_t bytes_received() const { return bytes_received_; }
  const PeerTraffic& sent() const { return sent_; }
  const PeerTraffic& received() const { return received_; }
  const BusyTimes& busy_times() const { return busy_times_; }

 private:
  struct Connection;

  void SendBytes(const std::string& to, PeerMessageKind kind,
                 const std::string& bytes);
  void ReceiveAll();
  void Receive(std::string_view bytes);
  bool ReceiveRetries(std::string_view bytes);
  bool ReceivePermits(std::string_view bytes);
  // Passes the message, if it is one of that kind, to its handler.
  template <typename Message>
  bool Deliver(PeerMessageKind kind, const std::optional<Message>& message,
               const std::function<void(const Message&)>& handler,
               size_t bytes);
  void Accept(int fd);
  Connection* NewConnection(int fd);
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);
  static void OnWritten(bufferevent* bev, void* arg);
  void OnMessage(Connection* connection, const std::string& message);
  // Passes the socket to on_relay_open if the message is a RelayOpen.
  bool HandOver(Connection* connection, const std::string& message);
  void Close(Connection* connection);

  EventLoop* loop_;
  PeerCodec codec_;
  Handlers handlers_;
  int socket_ = -1;
  evconnlistener* listener_ = nullptr;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  int64_t dropped_ = 0;
  int64_t bytes_sent_ = 0;
  int64_t bytes_received_ = 0;
  PeerTraffic sent_;
  PeerTraffic received_;
  BusyTimes busy_times_;
};

}  // namespace pinford

#endif  // PINFORD_PEER_LINK_H_
