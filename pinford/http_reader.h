// Strict incremental reader of the HTTP/1.1 messages on a connection.
//
// evhtp and evhttp hide what forwarding must see: responses that begin before
// the request was read completely, bodies delimited by the end of the
// connection, bytes after a complete response, and bytes that are not a
// response. Connections of which that matters use Boost.Beast's parser, which
// this class bounds, and to which it adds checks against request smuggling:
// exactly one length, no Transfer-Encoding but "chunked", no folded header
// lines.
//
//   HttpReader reader(HttpReader::Kind::kRequest, limits);
//   reader.Feed(bytes);
//   while (reader.state() == HttpReader::State::kDone) { ...; reader.Next(); }
//
// Bytes of the following message are buffered until Next(). All else that is
// buffered is bounded by the limits, in every state: a faulty peer may send
// bytes without end in a head, in the length or extension of a chunk, or in
// trailers. Interim responses (1xx) are skipped, up to a number. A status that
// no response has (StatusKindOf) is malformed: its sender is in trouble.

#ifndef PINFORD_HTTP_READER_H_
#define PINFORD_HTTP_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "pinford/http.h"

namespace pinford {

struct HttpHead {
  std::string method;  // of a request
  std::string target;  // of a request: path and query as sent
  int status = 0;      // of a response
  std::string reason;  // of a response
  HttpHeaders headers;
  bool keep_alive = true;
  // A response whose body is delimited by the end of the connection.
  bool until_close = false;

  // Value of the first header with that name, ignoring case; "" if absent.
  std::string_view header(std::string_view name) const;
  int CountOf(std::string_view name) const;
  // The memory that it takes, which is many times its text if that consists of
  // short fields.
  size_t memory_bytes() const;
};

enum class HttpReadError {
  kNone,
  kMalformed,     // 400
  kHeadTooLarge,  // 431
  kBodyTooLarge,  // 413
};

class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kFailed };
  struct Limits {
    // Also of a chunk's length and extension, and of the trailers.
    size_t head_bytes = 16 << 10;
    size_t body_bytes = 4 << 20;
  };
  // Endpoints send one or two before a response, if any.
  static constexpr int kMaxInterimHeads = 16;

  HttpReader(Kind kind, const Limits& limits);
  ~HttpReader();

  void Feed(std::string_view bytes);
  // The peer has closed its side. Completes a body delimited by that.
  void FeedEof();
  // Continues with the next message, starting with the buffered bytes.
  void Next();

  State state() const { return state_; }
  HttpReadError error() const { return error_; }
  // Complete from State::kBody on.
  const HttpHead& head() const;
  // Moves the head out. It stays empty until the next message.
  HttpHead TakeHead();
  // Returns the part of the body that arrived since the last call.
  std::string TakeBody();
  // Drops the bytes that are not parsed yet.
  void DropPending();
  // Whether bytes were fed that do not belong to a finished message.
  bool has_leftover() const { return !pending_.empty(); }
  // Bytes that were fed and are not parsed yet.
  size_t pending_bytes() const { return pending_.size(); }
  // The memory that the reader holds.
  size_t held_bytes() const;
  // Whether some bytes of the current message have arrived.
  bool started() const { return state_ != State::kHead || !pending_.empty(); }

  void set_limits(const Limits& limits) { limits_ = limits; }

  // Implementation detail.
  struct Message;

 private:
  template <bool kIsRequest>
  struct Parser;

  void Restart();
  void Parse();
  void ParseMessage();
  // Whether an interim response has just been read.
  bool SkipsMessage() const;
  bool HasValidStatus() const;
  // Whether the message announces a body that is longer than the limit.
  bool AnnouncesTooMuch() const;
  void ReleasePending();
  void Fail(HttpReadError error);

  Kind kind_;
  Limits limits_;
  State state_ = State::kHead;
  HttpReadError error_ = HttpReadError::kNone;
  std::unique_ptr<Message> message_;
  std::unique_ptr<Parser<true>> request_;
  std::unique_ptr<Parser<false>> response_;
  std::string pending_;
  int interim_heads_ = 0;  // before the current message
};

}  // namespace pinford

#endif  // PINFORD_HTTP_READER_H_
