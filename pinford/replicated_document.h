// A document that all boxes hold a copy of: the configuration, and the
// platform's list of endpoints.
//
// A copy has a version. A box adopts only a higher version than it has, from
// whoever offers it: the store, a peer, or its own accepted submission. So
// versions on one box only grow, whatever arrives late, twice or out of
// order.

#ifndef PINFORD_REPLICATED_DOCUMENT_H_
#define PINFORD_REPLICATED_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pinford {

enum class DocumentKind : uint8_t { kConfiguration = 0, kEndpoints = 1 };
inline constexpr int kDocumentKinds = 2;

// The place of a kind in an array of kDocumentKinds.
inline constexpr int IndexOf(DocumentKind kind) {
  return static_cast<int>(kind);
}

class ReplicatedDocument {
 public:
  // Called after each adoption. Returns false to refuse a body it cannot use;
  // the old copy then stays in force.
  using AdoptCallback =
      std::function<bool(uint64_t version, const std::string& body)>;

  explicit ReplicatedDocument(AdoptCallback adopt) : adopt_(std::move(adopt)) {}

  // Adopts `body` if `version` is higher than the present one. True if so.
  bool Offer(uint64_t version, const std::string& body) {
    if (version <= version_) return false;
    if (!adopt_(version, body)) {
      refused_++;
      return false;
    }
    version_ = version;
    body_ = body;
    return true;
  }

  uint64_t version() const { return version_; }
  const std::string& body() const { return body_; }
  int64_t refused() const { return refused_; }

 private:
  AdoptCallback adopt_;
  uint64_t version_ = 0;
  std::string body_;
  int64_t refused_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_REPLICATED_DOCUMENT_H_
