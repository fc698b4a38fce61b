// A document that every box holds a copy of: the configuration, or the
// platform's list of endpoints.
//
// A copy has a version. A box adopts only higher versions than its own, from
// any source: the store, a peer, or a submission accepted on this box. The
// version on a box therefore never decreases, even if updates arrive late,
// twice or out of order.

#ifndef PINFORD_REPLICATED_DOCUMENT_H_
#define PINFORD_REPLICATED_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pinford {

enum class DocumentKind : uint8_t { kConfiguration = 0, kEndpoints = 1 };
inline constexpr int kDocumentKinds = 2;

// Index of `kind` in an array of kDocumentKinds elements.
inline constexpr int IndexOf(DocumentKind kind) {
  return static_cast<int>(kind);
}

class ReplicatedDocument {
 public:
  // Applies a new version. Returns false to reject a body that cannot be used;
  // the previous copy then stays in force.
  using AdoptCallback =
      std::function<bool(uint64_t version, const std::string& body)>;

  explicit ReplicatedDocument(AdoptCallback adopt) : adopt_(std::move(adopt)) {}

  // Adopts `body` if `version` is higher than the current one and the callback
  // accepts it. Returns whether it was adopted.
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
