#include "pinford/forwarding/event_stream.h"

#include <algorithm>
#include <charconv>

namespace pinford {

static constexpr std::string_view kLongestEnd = "\r\n\r\n";

// Returns the position after the empty line that ends the first event of
// `text`, or npos. `from`: no event ends before.
static size_t EndOfEvent(std::string_view text, size_t from) {
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find(kLongestEnd, from);
  const size_t after_lf = lf == std::string_view::npos ? lf : lf + 2;
  const size_t after_crlf =
      crlf == std::string_view::npos ? crlf : crlf + kLongestEnd.size();
  return std::min(after_lf, after_crlf);
}

// Returns the number in the event's "id:" line.
static std::optional<uint64_t> ParseId(std::string_view event) {
  constexpr std::string_view kId = "id:";
  size_t at = 0;
  while (at < event.size()) {
    const size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, kId.size()) != kId) continue;
    line.remove_prefix(kId.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    uint64_t id = 0;
    const auto [p, ec] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc()) return id;
  }
  return std::nullopt;
}

std::string EventStream::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::string out;
  std::string_view rest = partial_;
  for (;;) {
    // The end of an event may have arrived in part.
    const size_t from = searched_ - std::min(searched_, kLongestEnd.size() - 1);
    const size_t end = EndOfEvent(rest, from);
    searched_ = end == std::string_view::npos ? rest.size() : 0;
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    rest.remove_prefix(end);
    const std::optional<uint64_t> id = ParseId(event);
    if (id && last_id_ && *id <= *last_id_) continue;
    if (id) last_id_ = id;
    events_++;
    out.append(event);
  }
  partial_.erase(0, partial_.size() - rest.size());
  return out;
}

}  // namespace pinford
