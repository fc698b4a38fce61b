// URI escaping, over libevent.

#ifndef UTIL_URI_H_
#define UTIL_URI_H_

#include <string>

namespace pinford {

// Escapes `text` for a query string: percent-encodes all but unreserved
// characters.
std::string EscapeUri(const std::string& text);

}  // namespace pinford

#endif  // UTIL_URI_H_
