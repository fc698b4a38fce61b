// What boxes tell each other, and how it is put into bytes.
//
// Datagrams carry a Digest, a FailureNotice, a RetryRequest or a RetryLoan;
// connections carry a FetchRequest one way and a FetchReply the other. All are
// cereal portable binary behind an HMAC-SHA256 tag under the fleet's peer key:
// bytes that were not made with the key are dropped before they are decoded.
// Decoding bounds every length by itself too, so that a faulty peer cannot make
// a box run out of memory.

#ifndef PINFORD_PEER_MESSAGES_H_
#define PINFORD_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/replicated_document.h"
#include "pinford/timeline.h"

namespace pinford {

enum class MemberState : uint8_t { kLive = 0, kLeaving = 1 };

// A member as it describes itself.
struct MemberRow {
  std::string name;
  std::string hall;
  std::string address;       // of its peers' interface
  uint64_t incarnation = 0;  // when it started, ms since 1970
  uint64_t heartbeat = 0;    // grows while it runs
  MemberState state = MemberState::kLive;
  // Versions of the documents that it has, by DocumentKind.
  uint64_t versions[kDocumentKinds] = {};
};

// A member as others pass it on.
struct MemberHeartbeat {
  uint32_t id = 0;  // of its name
  uint64_t incarnation = 0;
  uint64_t heartbeat = 0;
};

// How much work the sender has on an endpoint, as EndpointTable counts it.
struct EndpointCount {
  uint32_t id = 0;  // of the endpoint's name
  uint16_t count = 0;
  uint16_t entries = 0;  // requests that it has there as their first stage
};

struct Digest {
  HybridTime time;  // when it was sent
  MemberRow sender;
  std::vector<MemberRow> joined;  // members that came of late, in full
  std::vector<MemberHeartbeat> heartbeats;
  std::vector<EndpointCount> counts;
  std::vector<LeavingMark> leaving;
  // Streams the sender has running and waiting, for all its customers.
  uint32_t running = 0;
  uint32_t waiting = 0;
  // How long ago the sender knew its configuration to be the newest.
  uint32_t freshness_age_ms = UINT32_MAX;
};

// Runners that did not answer the sender's own question a moment ago, or said
// that they are slow. Names in
// full: a hash would have to be looked up among all runners.
struct FailureNotice {
  std::vector<std::string> endpoints;
};

// The sender lacks retries for a service.
struct RetryRequest {
  uint64_t nonce = 0;  // random; the answer carries it back
  std::string from;    // the address that takes the answer
  std::string service;
  uint8_t count = 0;
};
// Longest texts of a RetryRequest; one with longer ones does not decode.
inline constexpr size_t kMaxRequesterBytes = 64;
inline constexpr size_t kMaxRequestedServiceBytes = 256;

// So many retries are the asker's, until the end of its ask.
struct RetryLoan {
  uint64_t nonce = 0;  // of the ask
  uint8_t count = 0;
};

// What the sender has on an endpoint, by its table.
EndpointCount MakeEndpointCount(const std::string& name,
                                const EndpointTable::Row& row);

// Names are passed as 32-bit hashes where the full name is already known.

enum class FetchKind : uint8_t {
  kConfiguration = 0,  // as DocumentKind
  kEndpoints = 1,
  kTimeline = 2,
  kMembers = 3,
  kShared = 4,  // all that boxes of a hall share: both documents
};

// A moment of the list of endpoints on one box, by that box's own count.
struct ListCursor {
  uint64_t incarnation = 0;  // the box's incarnation; 0 is none
  uint64_t at = 0;

  bool operator==(const ListCursor&) const = default;
};

struct FetchRequest {
  FetchKind kind = FetchKind::kConfiguration;
  uint64_t known_version = 0;  // of a document
  std::string request;         // of the time line: one request's id, or ""
  // Of kShared: the versions that the asker has, by DocumentKind.
  uint64_t known_versions[kDocumentKinds] = {};
  // ... and the moment at which it last had the list from who is asked.
  ListCursor list;
};

// What the sender has of a document.
struct DocumentState {
  uint64_t version = 0;
  // How long ago the sender knew it to be the newest.
  uint64_t freshness_age_ms = 0;
  // If the version is above the asker's, or some entry changed since the
  // asker's moment.
  std::string body;
  bool changes = false;  // the body has what changed since, not the whole
  ListCursor list;       // the sender's present moment, of the list
};

struct FetchReply {
  FetchKind kind = FetchKind::kConfiguration;
  uint64_t version = 0;
  // The store does not answer the sender, which mirrors it.
  bool store_unreachable = false;
  std::string body;
  std::vector<TimelineEvent> events;
  std::vector<MemberRow> members;
  DocumentState documents[kDocumentKinds];  // of kShared
};

// Bytes with the tag in front, and back. Decode* give nothing for bytes with
// a wrong tag, an unknown form or lengths out of bounds.
class PeerCodec {
 public:
  explicit PeerCodec(std::string key) : key_(std::move(key)) {}

  std::string Encode(const Digest& m) const;
  std::string Encode(const FailureNotice& m) const;
  std::string Encode(const RetryRequest& m) const;
  std::string Encode(const RetryLoan& m) const;
  std::string Encode(const FetchRequest& m) const;
  std::string Encode(const FetchReply& m) const;
  std::optional<Digest> DecodeDigest(std::string_view bytes) const;
  std::optional<FailureNotice> DecodeFailureNotice(
      std::string_view bytes) const;
  std::optional<RetryRequest> DecodeRetryRequest(std::string_view bytes) const;
  std::optional<RetryLoan> DecodeRetryLoan(std::string_view bytes) const;
  std::optional<FetchRequest> DecodeFetchRequest(std::string_view bytes) const;
  std::optional<FetchReply> DecodeFetchReply(std::string_view bytes) const;

  // Any payload with the tag that belongs to it.
  std::string Sign(const std::string& payload) const;

 private:
  std::optional<std::string_view> Open(std::string_view bytes) const;

  std::string key_;
};

// Largest datagram that is sent or taken.
inline constexpr size_t kMaxDatagram = 60000;
// Largest message on a connection.
inline constexpr size_t kMaxPeerMessageBytes = 8 << 20;

}  // namespace pinford

#endif  // PINFORD_PEER_MESSAGES_H_
