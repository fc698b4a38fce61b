// The record that makes a non-repeatable call run at most once.
//
// A claim is stored in the platform's key-value service under a hash of
// (customer, service, idempotency key). It names the attempt that created it,
// and only that attempt may send the call. See once_call.h for the protocol.

#ifndef PINFORD_CLAIM_H_
#define PINFORD_CLAIM_H_

#include <optional>
#include <string>
#include <string_view>

#include "pinford/outcome.h"

namespace pinford {

enum class ClaimState {
  kClaimed,    // the attempt may send the call, or has sent it
  kAbandoned,  // the attempt has not sent the call and never will
  kDone,       // the attempt sent the call and knows the result
};

struct Claim {
  std::string attempt;
  ClaimState state = ClaimState::kClaimed;
  // Set for kDone: the result that the caller received.
  Outcome outcome = Outcome::kUnknown;
  int status = 0;  // HTTP status
  std::string type;
  std::string body;  // empty if larger than kMaxClaimBody
};

// Larger bodies are not stored with the claim; a repeated call then gets the
// outcome without a body.
inline constexpr size_t kMaxClaimBody = 4096;

std::string ClaimKey(std::string_view customer, std::string_view service,
                     std::string_view idempotency_key);
std::string WriteClaim(const Claim& claim);
std::optional<Claim> ParseClaim(std::string_view json);

}  // namespace pinford

#endif  // PINFORD_CLAIM_H_
