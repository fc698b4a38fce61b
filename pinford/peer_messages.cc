// Every message begins with a form number, so that boxes of different
// versions drop what they do not know rather than misread it. Loading goes
// through LoadText and LoadList, which check a length before any memory is
// taken for it; cereal reports short input by an exception, caught in Decode.

#include "pinford/peer_messages.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "util/hash.h"

namespace pinford {

enum class Form : uint8_t {
  kDigest = 1,
  kFetchRequest = 2,
  kFetchReply = 3,
  kDownNote = 4,
  kRetryAsk = 5,
  kRetryLoan = 6,
};

static constexpr size_t kTagSize = 16;
static constexpr uint32_t kMaxItems = 100000;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

// One pair of functions serves both directions: Put for a Writer and a Reader
// alike, so a field cannot be written one way and read another.
template <typename T>
concept Plain = std::is_arithmetic_v<T> || std::is_enum_v<T>;

template <Plain T>
static void Put(Writer& ar, const T& v) {
  ar(v);
}
template <Plain T>
static void Put(Reader& ar, T& v) {
  ar(v);
}

static void Put(Writer& ar, const std::string& v) {
  ar(static_cast<uint32_t>(v.size()));
  ar(cereal::binary_data(v.data(), v.size()));
}
static void Put(Reader& ar, std::string& v) {
  uint32_t n = 0;
  ar(n);
  if (n > kMaxPeerMessageBytes) throw cereal::Exception("text too long");
  // In pieces, so that a false length ends at the end of the input.
  constexpr uint32_t kPiece = 1 << 16;
  v.clear();
  while (n > 0) {
    const uint32_t m = std::min(n, kPiece);
    const size_t at = v.size();
    v.resize(at + m);
    ar(cereal::binary_data(v.data() + at, m));
    n -= m;
  }
}

template <typename Ar, typename T>
static void Fields(Ar& ar, T& m);

template <typename T>
static void PutList(Writer& ar, const std::vector<T>& list) {
  ar(static_cast<uint32_t>(list.size()));
  for (const T& v : list) Fields(ar, v);
}
template <typename T>
static void PutList(Reader& ar, std::vector<T>& list) {
  uint32_t n = 0;
  ar(n);
  if (n > kMaxItems) throw cereal::Exception("list too long");
  list.clear();
  for (uint32_t i = 0; i < n; i++) Fields(ar, list.emplace_back());
}

template <typename Ar, typename T>
static void Fields(Ar& ar, T& m) {
  using M = std::remove_const_t<T>;
  if constexpr (std::is_same_v<M, MemberRow>) {
    Put(ar, m.name);
    Put(ar, m.hall);
    Put(ar, m.address);
    Put(ar, m.incarnation);
    Put(ar, m.heartbeat);
    Put(ar, m.state);
    for (auto& v : m.versions) Put(ar, v);
  } else if constexpr (std::is_same_v<M, MemberHeartbeat>) {
    Put(ar, m.id);
    Put(ar, m.incarnation);
    Put(ar, m.heartbeat);
  } else if constexpr (std::is_same_v<M, EndpointCount>) {
    Put(ar, m.id);
    Put(ar, m.count);
    Put(ar, m.entries);
  } else if constexpr (std::is_same_v<M, LeavingMark>) {
    Put(ar, m.first);
    Put(ar, m.second);
  } else if constexpr (std::is_same_v<M, TimelineEvent>) {
    Put(ar, m.time.millis);
    Put(ar, m.time.counter);
    Put(ar, m.box);
    Put(ar, m.incarnation);
    Put(ar, m.sequence);
    Put(ar, m.kind);
    Put(ar, m.request);
    Put(ar, m.detail);
  } else if constexpr (std::is_same_v<M, Digest>) {
    Put(ar, m.time.millis);
    Put(ar, m.time.counter);
    Fields(ar, m.sender);
    PutList(ar, m.joined);
    PutList(ar, m.heartbeats);
    PutList(ar, m.counts);
    PutList(ar, m.leaving);
    Put(ar, m.running);
    Put(ar, m.waiting);
    Put(ar, m.freshness_age_ms);
  } else if constexpr (std::is_same_v<M, std::string>) {
    Put(ar, m);
  } else if constexpr (std::is_same_v<M, FailureNotice>) {
    PutList(ar, m.endpoints);
  } else if constexpr (std::is_same_v<M, RetryRequest>) {
    Put(ar, m.nonce);
    Put(ar, m.from);
    Put(ar, m.service);
    Put(ar, m.count);
  } else if constexpr (std::is_same_v<M, RetryLoan>) {
    Put(ar, m.nonce);
    Put(ar, m.count);
  } else if constexpr (std::is_same_v<M, FetchRequest>) {
    Put(ar, m.kind);
    Put(ar, m.known_version);
    Put(ar, m.request);
    for (auto& v : m.known_versions) Put(ar, v);
    Fields(ar, m.list);
  } else if constexpr (std::is_same_v<M, DocumentState>) {
    Put(ar, m.version);
    Put(ar, m.freshness_age_ms);
    Put(ar, m.body);
    Put(ar, m.changes);
    Fields(ar, m.list);
  } else if constexpr (std::is_same_v<M, ListCursor>) {
    Put(ar, m.incarnation);
    Put(ar, m.at);
  } else {
    static_assert(std::is_same_v<M, FetchReply>);
    Put(ar, m.kind);
    Put(ar, m.version);
    Put(ar, m.store_unreachable);
    Put(ar, m.body);
    PutList(ar, m.events);
    PutList(ar, m.members);
    for (auto& d : m.documents) Fields(ar, d);
  }
}

template <typename M>
static std::string Write(Form form, const M& m) {
  std::ostringstream out;
  {
    Writer ar(out);
    Put(ar, form);
    Fields(ar, m);
  }
  return out.str();
}

template <typename M>
static std::optional<M> Read(Form form, std::string_view payload) {
  std::istringstream in{std::string(payload)};
  M m;
  try {
    Reader ar(in);
    Form found{};
    Put(ar, found);
    if (found != form) return std::nullopt;
    Fields(ar, m);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (in.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return m;
}

EndpointCount MakeEndpointCount(const std::string& name,
                                const EndpointTable::Row& row) {
  const auto bounded = [](int n) {
    return static_cast<uint16_t>(std::min<int>(n, UINT16_MAX));
  };
  return {NameId(name), bounded(row.own_work), bounded(row.own_entries)};
}

static std::string Tag(const std::string& key, std::string_view payload) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       digest, &n);
  return {reinterpret_cast<const char*>(digest), kTagSize};
}

std::string PeerCodec::Sign(const std::string& payload) const {
  return Tag(key_, payload) + payload;
}

std::optional<std::string_view> PeerCodec::Open(std::string_view bytes) const {
  if (bytes.size() <= kTagSize) return std::nullopt;
  const std::string_view payload = bytes.substr(kTagSize);
  const std::string tag = Tag(key_, payload);
  if (CRYPTO_memcmp(tag.data(), bytes.data(), kTagSize) != 0) {
    return std::nullopt;
  }
  return payload;
}

std::string PeerCodec::Encode(const Digest& m) const {
  return Sign(Write(Form::kDigest, m));
}
std::string PeerCodec::Encode(const FailureNotice& m) const {
  return Sign(Write(Form::kDownNote, m));
}
std::string PeerCodec::Encode(const RetryRequest& m) const {
  return Sign(Write(Form::kRetryAsk, m));
}
std::string PeerCodec::Encode(const RetryLoan& m) const {
  return Sign(Write(Form::kRetryLoan, m));
}
std::string PeerCodec::Encode(const FetchRequest& m) const {
  return Sign(Write(Form::kFetchRequest, m));
}
std::string PeerCodec::Encode(const FetchReply& m) const {
  return Sign(Write(Form::kFetchReply, m));
}

std::optional<Digest> PeerCodec::DecodeDigest(std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  return Read<Digest>(Form::kDigest, *payload);
}
std::optional<FailureNotice> PeerCodec::DecodeFailureNotice(
    std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  return Read<FailureNotice>(Form::kDownNote, *payload);
}
std::optional<RetryRequest> PeerCodec::DecodeRetryRequest(
    std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  std::optional<RetryRequest> ask =
      Read<RetryRequest>(Form::kRetryAsk, *payload);
  if (!ask || ask->from.size() > kMaxRequesterBytes) return std::nullopt;
  if (ask->service.size() > kMaxRequestedServiceBytes) return std::nullopt;
  return ask;
}
std::optional<RetryLoan> PeerCodec::DecodeRetryLoan(
    std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  return Read<RetryLoan>(Form::kRetryLoan, *payload);
}
std::optional<FetchRequest> PeerCodec::DecodeFetchRequest(
    std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  return Read<FetchRequest>(Form::kFetchRequest, *payload);
}
std::optional<FetchReply> PeerCodec::DecodeFetchReply(
    std::string_view bytes) const {
  auto payload = Open(bytes);
  if (!payload) return std::nullopt;
  return Read<FetchReply>(Form::kFetchReply, *payload);
}

}  // namespace pinford
