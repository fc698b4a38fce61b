#include "pinford/http.h"

#include <strings.h>

#include "util/enum_names.h"

namespace pinford {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (SameHeaderName(key, name)) return value;
  }
  return "";
}

static constexpr EnumName<HttpMethod> kHttpMethodNames[] = {
    {HttpMethod::kGet, "GET"},
    {HttpMethod::kPost, "POST"},
    {HttpMethod::kPut, "PUT"},
    {HttpMethod::kDelete, "DELETE"},
};

std::string_view HttpMethodName(HttpMethod m) {
  return NameIn(kHttpMethodNames, m);
}

HttpMethod HttpMethodNamed(std::string_view name) {
  return ValueIn(kHttpMethodNames, name).value_or(HttpMethod::kOther);
}

}  // namespace pinford
