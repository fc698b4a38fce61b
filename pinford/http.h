// Types and header names shared by the HTTP client and servers.

#ifndef PINFORD_HTTP_H_
#define PINFORD_HTTP_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pinford {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Compares header names, ignoring case.
bool SameHeaderName(std::string_view a, std::string_view b);
// Returns the value of the first header with that name, or "" if there is none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

enum class HttpMethod { kGet, kPost, kPut, kDelete, kOther };

// "GET" etc.; "?" for kOther.
std::string_view HttpMethodName(HttpMethod m);
HttpMethod HttpMethodNamed(std::string_view name);

inline constexpr bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

inline constexpr int kFirstServerError = 500;

// How a response is read by its status.
enum class StatusKind {
  kInterim,  // another response follows
  kFinal,
  kInvalid,  // the response is malformed
};

// 101 hands the connection to another protocol, which nothing here requests.
inline constexpr StatusKind StatusKindOf(int status) {
  constexpr int kSwitchingProtocols = 101;
  if (status == kSwitchingProtocols) return StatusKind::kInvalid;
  if (status >= 100 && status < 200) return StatusKind::kInterim;
  if (status >= 200 && status < 600) return StatusKind::kFinal;
  return StatusKind::kInvalid;
}

// The request reached another server than the one it names, which refused it.
inline constexpr int kMisdirectedRequest = 421;

inline constexpr std::string_view kJsonType = "application/json";

// The request id, returned to the caller and recorded in the timeline.
inline constexpr char kRequestIdHeader[] = "X-Pinford-Request";
// The name of the request's Outcome (outcome.h).
inline constexpr char kOutcomeHeader[] = "X-Pinford-Outcome";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";
inline constexpr char kCustomerHeader[] = "X-Customer";

}  // namespace pinford

#endif  // PINFORD_HTTP_H_
