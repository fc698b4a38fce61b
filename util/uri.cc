#include "util/uri.h"

#include <event2/http.h>

#include <cstdlib>

namespace pinford {

std::string EscapeUri(const std::string& text) {
  char* escaped = evhttp_uriencode(text.data(),
                                   static_cast<ev_ssize_t>(text.size()), false);
  std::string out = escaped;
  free(escaped);
  return out;
}

}  // namespace pinford
