#include "util/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace pinford {

static Bytef* BytesOf(std::string_view s) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(s.data()));
}

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string out(size, '\0');
  const int rc =
      compress2(BytesOf(out), &size, BytesOf(text), text.size(), Z_BEST_SPEED);
  // With a buffer of compressBound bytes, compress2 only fails if out of
  // memory.
  assert(rc == Z_OK);
  static_cast<void>(rc);
  out.resize(size);
  return out;
}

std::optional<std::string> Inflate(std::string_view bytes, size_t max_size) {
  constexpr size_t kStep = 64 << 10;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  stream.next_in = BytesOf(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int rc = Z_OK;
  while (rc == Z_OK && out.size() < max_size) {
    const size_t done = out.size();
    out.resize(std::min(max_size, done + kStep));
    stream.next_out = BytesOf(out) + done;
    stream.avail_out = static_cast<uInt>(out.size() - done);
    rc = inflate(&stream, Z_NO_FLUSH);
    out.resize(out.size() - stream.avail_out);
    // The input is truncated: all of it is consumed and no output is pending.
    if (rc == Z_OK && stream.avail_in == 0 && stream.avail_out > 0) break;
  }
  const bool whole = rc == Z_STREAM_END && stream.avail_in == 0;
  inflateEnd(&stream);
  if (!whole) return std::nullopt;
  return out;
}

}  // namespace pinford
