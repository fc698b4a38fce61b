// Every message begins with its type, so that boxes of different versions drop
// messages that they do not know instead of misreading them. Strings and lists
// check a length before they allocate memory for it. cereal reports truncated
// input by an exception, which DecodePayload catches.

#include "pinford/peer_messages.h"

#include <arpa/inet.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <cstring>
#include <sstream>

#include "util/enum_names.h"
#include "util/hash.h"
#include "util/keyed_hash.h"

namespace pinford {

enum class MessageType : uint8_t {
  kDigest = 1,
  kFetchRequest = 2,
  kFetchReply = 3,
  kFailureNotice = 4,
  kRetryRequest = 5,
  kRetryLoan = 6,
  kCrashNotice = 7,
  kRelayOpen = 8,
  kRelayReply = 9,
  kMissingNotice = 10,
  kPermitRequest = 11,
  kPermitGrant = 12,
  kLimitNotice = 13,
};

static constexpr EnumName<RelayStatus> kRelayStatusNames[] = {
    {RelayStatus::kOpened, "opened"},
    {RelayStatus::kNoAnswer, "no answer"},
    {RelayStatus::kRefused, "refused"},
    {RelayStatus::kUnknownEndpoint, "unknown endpoint"},
    {RelayStatus::kNoPath, "no path"},
    {RelayStatus::kBusy, "busy"},
    {RelayStatus::kStopping, "stopping"},
};

std::string_view RelayStatusName(RelayStatus status) {
  return NameIn(kRelayStatusNames, status);
}

static constexpr size_t kTagBytes = kKeyedHashBytes;
static constexpr uint32_t kMaxItems = 100000;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

// SerializeFields lists the fields of each message once, for Writer and Reader
// alike, so that encoding and decoding cannot differ.
template <typename T>
concept Scalar = std::is_arithmetic_v<T> || std::is_enum_v<T>;

template <Scalar T>
static void Serialize(Writer& ar, const T& v) {
  ar(v);
}
template <Scalar T>
static void Serialize(Reader& ar, T& v) {
  ar(v);
}

static void Serialize(Writer& ar, const std::string& v) {
  ar(static_cast<uint32_t>(v.size()));
  ar(cereal::binary_data(v.data(), v.size()));
}
static void Serialize(Reader& ar, std::string& v) {
  uint32_t n = 0;
  ar(n);
  if (n > kMaxPeerMessageBytes) throw cereal::Exception("string too long");
  // Read in chunks, so that a false length allocates at most one chunk more
  // than the input has.
  constexpr uint32_t kChunkBytes = 1 << 16;
  v.clear();
  while (n > 0) {
    const uint32_t m = std::min(n, kChunkBytes);
    const size_t at = v.size();
    v.resize(at + m);
    ar(cereal::binary_data(v.data() + at, m));
    n -= m;
  }
}

template <typename Ar, typename T>
static void SerializeFields(Ar& ar, T& m);

template <typename T>
static void SerializeList(Writer& ar, const std::vector<T>& list) {
  ar(static_cast<uint32_t>(list.size()));
  for (const T& v : list) SerializeFields(ar, v);
}
template <typename T>
static void SerializeList(Reader& ar, std::vector<T>& list) {
  uint32_t n = 0;
  ar(n);
  if (n > kMaxItems) throw cereal::Exception("list too long");
  list.clear();
  for (uint32_t i = 0; i < n; i++) SerializeFields(ar, list.emplace_back());
}

template <typename Ar, typename T>
static void SerializeFields(Ar& ar, T& m) {
  using M = std::remove_const_t<T>;
  if constexpr (std::is_same_v<M, MemberRow>) {
    Serialize(ar, m.name);
    Serialize(ar, m.hall);
    Serialize(ar, m.address);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.heartbeat);
    Serialize(ar, m.state);
    for (auto& v : m.versions) Serialize(ar, v);
  } else if constexpr (std::is_same_v<M, MemberHeartbeat>) {
    Serialize(ar, m.id);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.heartbeat);
  } else if constexpr (std::is_same_v<M, EndpointCount>) {
    Serialize(ar, m.id);
    Serialize(ar, m.count);
    Serialize(ar, m.entries);
  } else if constexpr (std::is_same_v<M, LeavingMark>) {
    Serialize(ar, m.first);
    Serialize(ar, m.second);
  } else if constexpr (std::is_same_v<M, TimelineEvent>) {
    Serialize(ar, m.time.millis);
    Serialize(ar, m.time.counter);
    Serialize(ar, m.box);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.sequence);
    Serialize(ar, m.kind);
    Serialize(ar, m.request);
    Serialize(ar, m.detail);
  } else if constexpr (std::is_same_v<M, Digest>) {
    Serialize(ar, m.time.millis);
    Serialize(ar, m.time.counter);
    SerializeFields(ar, m.sender);
    SerializeList(ar, m.joined);
    SerializeList(ar, m.heartbeats);
    SerializeList(ar, m.counts);
    SerializeList(ar, m.leaving);
    Serialize(ar, m.running);
    Serialize(ar, m.waiting);
    Serialize(ar, m.freshness_age_ms);
  } else if constexpr (std::is_same_v<M, std::string> ||
                       std::is_same_v<M, uint32_t>) {
    Serialize(ar, m);
  } else if constexpr (std::is_same_v<M, FailureNotice>) {
    SerializeList(ar, m.endpoints);
  } else if constexpr (std::is_same_v<M, RetryRequest>) {
    Serialize(ar, m.nonce);
    Serialize(ar, m.from);
    Serialize(ar, m.service);
    Serialize(ar, m.count);
  } else if constexpr (std::is_same_v<M, RetryLoan>) {
    Serialize(ar, m.nonce);
    Serialize(ar, m.count);
  } else if constexpr (std::is_same_v<M, CrashedRun>) {
    Serialize(ar, m.endpoint);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.began_ms_ago);
    Serialize(ar, m.ended_ms_ago);
  } else if constexpr (std::is_same_v<M, CrashRecord>) {
    Serialize(ar, m.fingerprint);
    SerializeList(ar, m.runs);
    Serialize(ar, m.survived_ms_ago);
  } else if constexpr (std::is_same_v<M, CrashNotice>) {
    SerializeList(ar, m.records);
  } else if constexpr (std::is_same_v<M, MissingEntry>) {
    Serialize(ar, m.endpoint);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.list_version);
  } else if constexpr (std::is_same_v<M, MissingNotice>) {
    SerializeList(ar, m.entries);
  } else if constexpr (std::is_same_v<M, NamedLimit>) {
    Serialize(ar, m.endpoint);
    Serialize(ar, m.incarnation);
    Serialize(ar, m.per_second);
    Serialize(ar, m.named_ms_ago);
    Serialize(ar, m.unnamed_ms_ago);
  } else if constexpr (std::is_same_v<M, PermitRequest>) {
    Serialize(ar, m.nonce);
    Serialize(ar, m.from);
    SerializeFields(ar, m.limit);
    Serialize(ar, m.permit_class);
    Serialize(ar, m.count);
    Serialize(ar, m.sole);
  } else if constexpr (std::is_same_v<M, PermitGrant>) {
    Serialize(ar, m.nonce);
    SerializeFields(ar, m.limit);
    Serialize(ar, m.count);
    Serialize(ar, m.wait_ms);
    Serialize(ar, m.issues);
  } else if constexpr (std::is_same_v<M, LimitNotice>) {
    SerializeList(ar, m.limits);
  } else if constexpr (std::is_same_v<M, FetchRequest>) {
    Serialize(ar, m.kind);
    Serialize(ar, m.known_version);
    Serialize(ar, m.request);
    for (auto& v : m.known_versions) Serialize(ar, v);
    SerializeFields(ar, m.list);
  } else if constexpr (std::is_same_v<M, DocumentState>) {
    Serialize(ar, m.version);
    Serialize(ar, m.freshness_age_ms);
    Serialize(ar, m.body);
    Serialize(ar, m.changes);
    SerializeFields(ar, m.list);
  } else if constexpr (std::is_same_v<M, RelayOpen>) {
    Serialize(ar, m.from);
    Serialize(ar, m.endpoint);
    Serialize(ar, m.incarnation);
  } else if constexpr (std::is_same_v<M, RelayReply>) {
    Serialize(ar, m.status);
  } else if constexpr (std::is_same_v<M, ListCursor>) {
    Serialize(ar, m.incarnation);
    Serialize(ar, m.position);
  } else {
    static_assert(std::is_same_v<M, FetchReply>);
    Serialize(ar, m.kind);
    Serialize(ar, m.version);
    Serialize(ar, m.store_unreachable);
    Serialize(ar, m.body);
    SerializeList(ar, m.events);
    SerializeList(ar, m.members);
    for (auto& d : m.documents) SerializeFields(ar, d);
  }
}

template <typename M>
static std::string EncodePayload(MessageType type, const M& m) {
  std::ostringstream out;
  {
    Writer ar(out);
    Serialize(ar, type);
    SerializeFields(ar, m);
  }
  return out.str();
}

template <typename M>
static std::optional<M> DecodePayload(MessageType type,
                                      std::string_view payload) {
  std::istringstream in{std::string(payload)};
  M m;
  try {
    Reader ar(in);
    MessageType actual_type{};
    Serialize(ar, actual_type);
    if (actual_type != type) return std::nullopt;
    SerializeFields(ar, m);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (in.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return m;
}

static constexpr std::string_view kMembersQueryMark = "members:";

std::string EncodeMembersQuery(const MembersQuery& query) {
  std::ostringstream out;
  out << kMembersQueryMark;
  {
    Writer ar(out);
    Serialize(ar, query.hall);
    SerializeList(ar, query.known);
  }
  return out.str();
}

std::optional<MembersQuery> DecodeMembersQuery(std::string_view text) {
  if (!text.starts_with(kMembersQueryMark)) return std::nullopt;
  text.remove_prefix(kMembersQueryMark.size());
  std::istringstream in{std::string(text)};
  MembersQuery query;
  try {
    Reader ar(in);
    Serialize(ar, query.hall);
    SerializeList(ar, query.known);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return query;
}

uint32_t RowId(const MemberRow& row) {
  return static_cast<uint32_t>(Hash64(row.name, row.incarnation));
}

EndpointCount MakeEndpointCount(const std::string& name,
                                const EndpointTable::Row& row) {
  const auto saturate = [](int n) {
    return static_cast<uint16_t>(std::min<int>(n, UINT16_MAX));
  };
  return {NameId(name), saturate(row.own_work), saturate(row.own_entries)};
}

std::string PeerCodec::Sign(const std::string& payload) const {
  return KeyedHash(key_, payload) + payload;
}

std::optional<std::string_view> PeerCodec::Verify(
    std::string_view bytes) const {
  if (bytes.size() <= kTagBytes) return std::nullopt;
  const std::string_view payload = bytes.substr(kTagBytes);
  const std::string tag = KeyedHash(key_, payload);
  if (CRYPTO_memcmp(tag.data(), bytes.data(), kTagBytes) != 0) {
    return std::nullopt;
  }
  return payload;
}

std::string PeerCodec::Encode(const Digest& m) const {
  return Sign(EncodePayload(MessageType::kDigest, m));
}
std::string PeerCodec::Encode(const FailureNotice& m) const {
  return Sign(EncodePayload(MessageType::kFailureNotice, m));
}
std::string PeerCodec::Encode(const RetryRequest& m) const {
  return Sign(EncodePayload(MessageType::kRetryRequest, m));
}
std::string PeerCodec::Encode(const RetryLoan& m) const {
  return Sign(EncodePayload(MessageType::kRetryLoan, m));
}
std::string PeerCodec::Encode(const CrashNotice& m) const {
  return Sign(EncodePayload(MessageType::kCrashNotice, m));
}
std::string PeerCodec::Encode(const MissingNotice& m) const {
  return Sign(EncodePayload(MessageType::kMissingNotice, m));
}
std::string PeerCodec::Encode(const PermitRequest& m) const {
  return Sign(EncodePayload(MessageType::kPermitRequest, m));
}
std::string PeerCodec::Encode(const PermitGrant& m) const {
  return Sign(EncodePayload(MessageType::kPermitGrant, m));
}
std::string PeerCodec::Encode(const LimitNotice& m) const {
  return Sign(EncodePayload(MessageType::kLimitNotice, m));
}
std::string PeerCodec::Encode(const FetchRequest& m) const {
  return Sign(EncodePayload(MessageType::kFetchRequest, m));
}
std::string PeerCodec::Encode(const FetchReply& m) const {
  return Sign(EncodePayload(MessageType::kFetchReply, m));
}

std::string PeerCodec::Encode(const RelayOpen& m) const {
  return Sign(EncodePayload(MessageType::kRelayOpen, m));
}
std::string PeerCodec::Encode(const RelayReply& m) const {
  return Sign(EncodePayload(MessageType::kRelayReply, m));
}

std::optional<Digest> PeerCodec::DecodeDigest(std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<Digest>(MessageType::kDigest, *payload);
}
std::optional<FailureNotice> PeerCodec::DecodeFailureNotice(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<FailureNotice>(MessageType::kFailureNotice, *payload);
}
std::optional<RetryRequest> PeerCodec::DecodeRetryRequest(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<RetryRequest> request =
      DecodePayload<RetryRequest>(MessageType::kRetryRequest, *payload);
  if (!request || request->from.size() > kMaxRequesterBytes)
    return std::nullopt;
  if (request->service.size() > kMaxRequestedServiceBytes) return std::nullopt;
  return request;
}
std::optional<RetryLoan> PeerCodec::DecodeRetryLoan(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<RetryLoan>(MessageType::kRetryLoan, *payload);
}
static bool IsWithinBounds(const CrashRecord& record) {
  if (record.fingerprint.size() > kMaxFingerprintBytes ||
      record.runs.size() > kMaxCrashedRuns) {
    return false;
  }
  return std::all_of(record.runs.begin(), record.runs.end(),
                     [](const CrashedRun& run) {
                       return run.endpoint.size() <= kMaxCrashedEndpointBytes;
                     });
}

std::optional<CrashNotice> PeerCodec::DecodeCrashNotice(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<CrashNotice> notice =
      DecodePayload<CrashNotice>(MessageType::kCrashNotice, *payload);
  if (!notice || notice->records.size() > kMaxCrashRecords) return std::nullopt;
  const bool valid = std::all_of(notice->records.begin(), notice->records.end(),
                                 IsWithinBounds);
  return valid ? notice : std::nullopt;
}
std::optional<MissingNotice> PeerCodec::DecodeMissingNotice(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<MissingNotice> notice =
      DecodePayload<MissingNotice>(MessageType::kMissingNotice, *payload);
  if (!notice || notice->entries.size() > kMaxMissingEntries)
    return std::nullopt;
  const bool valid =
      std::all_of(notice->entries.begin(), notice->entries.end(),
                  [](const MissingEntry& entry) {
                    return entry.endpoint.size() <= kMaxMissingEndpointBytes;
                  });
  return valid ? notice : std::nullopt;
}
static bool IsWithinBounds(const NamedLimit& limit) {
  return limit.endpoint.size() <= kMaxLimitedEndpointBytes &&
         std::isfinite(limit.per_second) && limit.per_second >= 0;
}

std::optional<PermitRequest> PeerCodec::DecodePermitRequest(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<PermitRequest> request =
      DecodePayload<PermitRequest>(MessageType::kPermitRequest, *payload);
  const bool valid =
      request && IsWithinBounds(request->limit) &&
      request->from.size() <= kMaxRequesterBytes &&
      static_cast<size_t>(request->permit_class) < kPermitClasses;
  return valid ? request : std::nullopt;
}
std::optional<PermitGrant> PeerCodec::DecodePermitGrant(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<PermitGrant> grant =
      DecodePayload<PermitGrant>(MessageType::kPermitGrant, *payload);
  return grant && IsWithinBounds(grant->limit) ? grant : std::nullopt;
}
std::optional<LimitNotice> PeerCodec::DecodeLimitNotice(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<LimitNotice> notice =
      DecodePayload<LimitNotice>(MessageType::kLimitNotice, *payload);
  if (!notice || notice->limits.size() > kMaxNoticeLimits) return std::nullopt;
  const bool valid = std::all_of(
      notice->limits.begin(), notice->limits.end(),
      [](const NamedLimit& limit) { return IsWithinBounds(limit); });
  return valid ? notice : std::nullopt;
}
std::optional<FetchRequest> PeerCodec::DecodeFetchRequest(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<FetchRequest>(MessageType::kFetchRequest, *payload);
}
std::optional<FetchReply> PeerCodec::DecodeFetchReply(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<FetchReply>(MessageType::kFetchReply, *payload);
}

std::optional<RelayOpen> PeerCodec::DecodeRelayOpen(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  std::optional<RelayOpen> open =
      DecodePayload<RelayOpen>(MessageType::kRelayOpen, *payload);
  const bool valid = open && open->from.size() <= kMaxRelayNameBytes &&
                     open->endpoint.size() <= kMaxRelayNameBytes;
  return valid ? open : std::nullopt;
}
std::optional<RelayReply> PeerCodec::DecodeRelayReply(
    std::string_view bytes) const {
  auto payload = Verify(bytes);
  if (!payload) return std::nullopt;
  return DecodePayload<RelayReply>(MessageType::kRelayReply, *payload);
}

std::string LengthPrefix(size_t size) {
  const uint32_t n = htonl(static_cast<uint32_t>(size));
  return {reinterpret_cast<const char*>(&n), sizeof(n)};
}

size_t ParseLength(std::string_view bytes) {
  uint32_t n = 0;
  memcpy(&n, bytes.data(), sizeof(n));
  return ntohl(n);
}

}  // namespace pinford
