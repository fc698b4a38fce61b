// The messages between boxes and their binary encoding.
//
// A datagram carries a Digest, a FailureNotice, a RetryRequest, a RetryLoan, a
// CrashNotice, a MissingNotice, a PermitRequest, a PermitGrant or a
// LimitNotice; a connection carries a FetchRequest one way and a FetchReply the
// other, or a RelayOpen and a RelayReply, after which it is relayed
// (relay_server.h). Each message is a cereal portable binary archive
// preceded by an HMAC-SHA256 tag under the fleet's peer key. Messages with a
// wrong tag are dropped before they are decoded. Decoding also checks every
// length, so that a faulty peer cannot make a box run out of memory.

#ifndef PINFORD_PEER_MESSAGES_H_
#define PINFORD_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pinford/endpoint_table.h"
#include "pinford/rate_limits.h"
#include "pinford/rate_permits.h"
#include "pinford/replicated_document.h"
#include "pinford/timeline.h"

namespace pinford {

enum class MemberState : uint8_t { kLive = 0, kLeaving = 1 };

// A member's own description of itself.
struct MemberRow {
  std::string name;
  std::string hall;
  std::string address;       // for peers
  uint64_t incarnation = 0;  // start time, ms since 1970
  uint64_t heartbeat = 0;    // increases while it runs
  MemberState state = MemberState::kLive;
  // Versions of its documents, by DocumentKind.
  uint64_t versions[kDocumentKinds] = {};
};

// A member's heartbeat, as others relay it.
struct MemberHeartbeat {
  uint32_t id = 0;  // NameId of its name
  uint64_t incarnation = 0;
  uint64_t heartbeat = 0;
};

// The sender's own work on an endpoint, as EndpointTable counts it.
struct EndpointCount {
  uint32_t id = 0;  // NameId of the endpoint's name
  uint16_t count = 0;
  uint16_t entries = 0;  // requests that have the endpoint as first stage
};

struct Digest {
  HybridTime time;  // at which it was sent
  MemberRow sender;
  std::vector<MemberRow> joined;  // full rows of members that joined recently
  std::vector<MemberHeartbeat> heartbeats;
  std::vector<EndpointCount> counts;
  std::vector<LeavingMark> leaving;
  // The sender's running and queued streams, over all customers.
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Time since the sender last knew its configuration to be the newest.
  uint32_t freshness_age_ms = UINT32_MAX;
};

// Runners that just failed to answer the sender's own probe, or that reported
// that they are slow. They are named in full: a hash would have to be looked up
// among all runners.
struct FailureNotice {
  std::vector<std::string> endpoints;
};

// Asks for retries for a service, of which the sender has none left.
struct RetryRequest {
  uint64_t nonce = 0;  // random; echoed in the reply
  std::string from;    // address for the reply
  std::string service;
  uint8_t count = 0;
};
// Maximum lengths of a RetryRequest's strings; with longer ones it does not
// decode.
inline constexpr size_t kMaxRequesterBytes = 64;
inline constexpr size_t kMaxRequestedServiceBytes = 256;

// Lends `count` retries to the sender of a RetryRequest, until that expires.
struct RetryLoan {
  uint64_t nonce = 0;  // of the RetryRequest
  uint8_t count = 0;
};

// A run during which its endpoint ended. Ages are at the time of sending.
struct CrashedRun {
  std::string endpoint;
  uint64_t incarnation = 0;
  uint32_t began_ms_ago = 0;
  uint32_t ended_ms_ago = 0;
};
inline constexpr uint32_t kNeverSurvived = UINT32_MAX;
// What is known of a request that may crash endpoints (crash_ledger.h).
struct CrashRecord {
  std::string fingerprint;
  std::vector<CrashedRun> runs;
  // Age of the last run that the endpoint survived.
  uint32_t survived_ms_ago = kNeverSurvived;
};
struct CrashNotice {
  std::vector<CrashRecord> records;
};
// Maximum sizes in a CrashNotice; with larger ones it does not decode.
inline constexpr size_t kMaxCrashRecords = 64;
inline constexpr size_t kMaxCrashedRuns = 32;
inline constexpr size_t kMaxFingerprintBytes = 64;
inline constexpr size_t kMaxCrashedEndpointBytes = 128;

// An entry that is missing from the store's list of that version.
struct MissingEntry {
  std::string endpoint;
  uint64_t incarnation = 0;
  uint64_t list_version = 0;
};
struct MissingNotice {
  std::vector<MissingEntry> entries;
};
// Maximum sizes in a MissingNotice; with larger ones it does not decode.
inline constexpr size_t kMaxMissingEntries = 64;
inline constexpr size_t kMaxMissingEndpointBytes = 128;

// Asks for permits to send requests to an endpoint that named a rate limit.
struct PermitRequest {
  uint64_t nonce = 0;  // random; echoed in the reply
  std::string from;    // address for the reply
  NamedLimit limit;    // what the sender knows of the limit
  PermitClass permit_class = PermitClass::kOrdinary;
  uint8_t count = 0;
  // Whether the boxes that would be asked before the receiver issue none.
  bool sole = false;
};
// Issues `count` permits to the sender of a PermitRequest.
struct PermitGrant {
  uint64_t nonce = 0;  // of the PermitRequest
  NamedLimit limit;    // what the sender knows of the limit
  uint8_t count = 0;
  uint32_t wait_ms = 0;  // until the receiver may ask again
  bool issues = false;   // whether the sender issues permits
};
// Limits that endpoints began or ceased to name.
struct LimitNotice {
  std::vector<NamedLimit> limits;
};
// Maximum sizes in these messages; with larger ones they do not decode.
inline constexpr size_t kMaxNoticeLimits = 32;
inline constexpr size_t kMaxLimitedEndpointBytes = 128;

// The sender's count for an endpoint, from its row in the sender's table.
// Messages carry names as 32-bit hashes where receivers know the full name.
EndpointCount MakeEndpointCount(const std::string& name,
                                const EndpointTable::Row& row);

enum class FetchKind : uint8_t {
  kConfiguration = 0,  // the first two as in DocumentKind
  kEndpoints = 1,
  kTimeline = 2,
  kMembers = 3,
  kShared = 4,  // both documents, which boxes of a hall share
};

// A position in one box's sequence of changes to the list of endpoints.
struct ListCursor {
  uint64_t incarnation = 0;  // incarnation of the box; 0 if there is none
  uint64_t position = 0;     // number of the change on that box

  bool operator==(const ListCursor&) const = default;
};

// Asks for the rows that the sender lacks. It travels in FetchRequest::request,
// which boxes that do not know it ignore for kMembers: they send all rows.
struct MembersQuery {
  std::string hall;             // of the sender; its rows come first
  std::vector<uint32_t> known;  // RowId of the rows that it has
};
std::string EncodeMembersQuery(const MembersQuery& query);
// nullopt if `text` is none, as in requests that ask for all rows.
std::optional<MembersQuery> DecodeMembersQuery(std::string_view text);

// Identifies one incarnation of a member.
uint32_t RowId(const MemberRow& row);

struct FetchRequest {
  FetchKind kind = FetchKind::kConfiguration;
  uint64_t known_version = 0;  // for documents: the client's version
  // For kTimeline: a request's id, or "" for all events. For kMembers: a
  // MembersQuery.
  std::string request;
  // For kShared: the client's versions, by DocumentKind.
  uint64_t known_versions[kDocumentKinds] = {};
  // For kShared: the position up to which the client has the server's list.
  ListCursor list;
};

// The sender's copy of a document.
struct DocumentState {
  uint64_t version = 0;
  // Time since the sender last knew its copy to be the newest.
  uint64_t freshness_age_ms = 0;
  // Set if the version is above the client's, or if some entry of the list
  // changed since the client's position.
  std::string body;
  bool changes = false;  // the body has only the changes since that position
  ListCursor list;       // for the list: the sender's current position
};

struct FetchReply {
  FetchKind kind = FetchKind::kConfiguration;
  uint64_t version = 0;
  // The sender mirrors the store, but cannot reach it.
  bool store_unreachable = false;
  std::string body;
  std::vector<TimelineEvent> events;
  std::vector<MemberRow> members;
  DocumentState documents[kDocumentKinds];  // for kShared
};

// Asks for a connection to an endpoint, whose bytes are relayed on the
// connection that carries this message.
struct RelayOpen {
  std::string from;  // name of the sender
  std::string endpoint;
  uint64_t incarnation = 0;
};
// Maximum length of its strings; with longer ones it does not decode.
inline constexpr size_t kMaxRelayNameBytes = 256;

enum class RelayStatus : uint8_t {
  kOpened = 0,
  kNoAnswer = 1,         // the endpoint did not answer the receiver
  kRefused = 2,          // the endpoint refused the receiver
  kUnknownEndpoint = 3,  // not listed in that incarnation, or leaving
  kNoPath = 4,           // the receiver's own path to the service is lost
  kBusy = 5,             // the receiver relays too many connections
  kStopping = 6,
};
std::string_view RelayStatusName(RelayStatus status);

struct RelayReply {
  RelayStatus status = RelayStatus::kOpened;
};

// Encodes messages with their tag, and decodes them. Decode* return nothing for
// a wrong tag, another or unknown message type, or lengths out of bounds.
class PeerCodec {
 public:
  explicit PeerCodec(std::string key) : key_(std::move(key)) {}

  std::string Encode(const Digest& m) const;
  std::string Encode(const FailureNotice& m) const;
  std::string Encode(const RetryRequest& m) const;
  std::string Encode(const RetryLoan& m) const;
  std::string Encode(const CrashNotice& m) const;
  std::string Encode(const MissingNotice& m) const;
  std::string Encode(const PermitRequest& m) const;
  std::string Encode(const PermitGrant& m) const;
  std::string Encode(const LimitNotice& m) const;
  std::string Encode(const FetchRequest& m) const;
  std::string Encode(const FetchReply& m) const;
  std::string Encode(const RelayOpen& m) const;
  std::string Encode(const RelayReply& m) const;
  std::optional<Digest> DecodeDigest(std::string_view bytes) const;
  std::optional<FailureNotice> DecodeFailureNotice(
      std::string_view bytes) const;
  std::optional<RetryRequest> DecodeRetryRequest(std::string_view bytes) const;
  std::optional<RetryLoan> DecodeRetryLoan(std::string_view bytes) const;
  std::optional<CrashNotice> DecodeCrashNotice(std::string_view bytes) const;
  std::optional<MissingNotice> DecodeMissingNotice(
      std::string_view bytes) const;
  std::optional<PermitRequest> DecodePermitRequest(
      std::string_view bytes) const;
  std::optional<PermitGrant> DecodePermitGrant(std::string_view bytes) const;
  std::optional<LimitNotice> DecodeLimitNotice(std::string_view bytes) const;
  std::optional<FetchRequest> DecodeFetchRequest(std::string_view bytes) const;
  std::optional<FetchReply> DecodeFetchReply(std::string_view bytes) const;
  std::optional<RelayOpen> DecodeRelayOpen(std::string_view bytes) const;
  std::optional<RelayReply> DecodeRelayReply(std::string_view bytes) const;

  // Returns the payload preceded by its tag.
  std::string Sign(const std::string& payload) const;

 private:
  // Checks and strips the tag. Returns nothing if it is wrong.
  std::optional<std::string_view> Verify(std::string_view bytes) const;

  std::string key_;
};

// On connections, each message is preceded by its length in this many bytes.
inline constexpr size_t kLengthBytes = 4;
std::string LengthPrefix(size_t size);
// Reads a length from the first kLengthBytes of `bytes`.
size_t ParseLength(std::string_view bytes);

// Largest datagram that is sent or accepted.
inline constexpr size_t kMaxDatagramBytes = 60000;
// Largest message on a connection.
inline constexpr size_t kMaxPeerMessageBytes = 8 << 20;

}  // namespace pinford

#endif  // PINFORD_PEER_MESSAGES_H_
