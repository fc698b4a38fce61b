// What both HTTP sides share: headers and the names used between pinford,
// its callers and its endpoints.

#ifndef PINFORD_HTTP_H_
#define PINFORD_HTTP_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pinford {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Names of headers have no case.
bool SameHeaderName(std::string_view a, std::string_view b);
// The first header of that name; "" without one.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

enum class HttpMethod { kGet, kPost, kPut, kDelete, kOther };

// "GET" and so on; kOther has no name of its own.
std::string_view HttpMethodName(HttpMethod m);
HttpMethod HttpMethodNamed(std::string_view name);

inline constexpr std::string_view kJsonType = "application/json";

// The id of a request, given to its caller and kept in the time line.
inline constexpr char kRequestIdHeader[] = "X-Pinford-Request";
// The Outcome of a request by name (outcome.h).
inline constexpr char kOutcomeHeader[] = "X-Pinford-Outcome";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";
inline constexpr char kCustomerHeader[] = "X-Customer";

}  // namespace pinford

#endif  // PINFORD_HTTP_H_
