// Recognizes a request that a caller sends again, and a part of a prompt that
// several requests have.
//
// Each attempt of a caller has an id of its own, and may reach another box. Two
// requests are repeats of one another if they have the same method, host,
// target, customer and body. Headers that differ between attempts (id, time
// limit, last event) do not count. On routes without keys the customer is empty
// and all callers count as one.
//
// A fingerprint is a keyed hash, because callers choose what is hashed: without
// the key they could neither predict it nor make two requests collide. All
// boxes of a fleet share the key.

#ifndef PINFORD_FORWARDING_REQUEST_FINGERPRINT_H_
#define PINFORD_FORWARDING_REQUEST_FINGERPRINT_H_

#include <string>
#include <string_view>

namespace pinford {

struct FingerprintInput {
  std::string_view method;
  std::string_view host;    // of its route: without the port of a box
  std::string_view target;  // path and query
  std::string_view customer;
  std::string_view body;
};

// 32 hexadecimal digits.
std::string RequestFingerprint(std::string_view key,
                               const FingerprintInput& input);

// The fingerprint of a part of a prompt that the service's engines read:
// kPromptPartPrefix and 16 hexadecimal digits.
std::string PromptPartFingerprint(std::string_view key,
                                  std::string_view service,
                                  std::string_view part);
inline constexpr std::string_view kPromptPartPrefix = "part:";
// Whether it is the fingerprint of a part, not of a whole request.
bool IsPromptPart(std::string_view fingerprint);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_REQUEST_FINGERPRINT_H_
