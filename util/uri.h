// Text in the parts of a URI, over libevent.

#ifndef UTIL_URI_H_
#define UTIL_URI_H_

#include <string>

namespace pinford {

// `text` as it stands in a query: everything but unreserved characters is
// percent-encoded.
std::string EscapeUri(const std::string& text);

}  // namespace pinford

#endif  // UTIL_URI_H_
