// Reads one HTTP/1.1 message after the other off a connection, strictly.
//
// evhtp and evhttp hide what forwarding must see: answers that begin before
// the request was read whole, bodies that end with the connection, bytes that
// follow a whole answer, bytes that are no answer at all. So the forwarding
// path parses with Boost.Beast's parser, over its own connections, and adds
// what keeps one message from being read as two: exactly one length, no
// Transfer-Encoding but "chunked", no folded lines.
//
//   HttpReader reader(HttpReader::Kind::kRequest, limits);
//   reader.Feed(bytes);
//   while (reader.state() == HttpReader::State::kDone) { ...; reader.Next(); }
//
// Bytes of a following message wait until Next().

#ifndef PINFORD_FORWARDING_HTTP_READER_H_
#define PINFORD_FORWARDING_HTTP_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "pinford/http.h"

namespace pinford {

struct HttpHead {
  std::string method;  // of a request
  std::string target;  // of a request: path and query, as sent
  int status = 0;      // of a response
  std::string reason;  // of a response
  HttpHeaders headers;
  bool keep_alive = true;
  // A response whose body ends with the connection.
  bool until_close = false;

  // The first header of that name, in any case; "" without one.
  std::string_view header(std::string_view name) const;
  int CountOf(std::string_view name) const;
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
    size_t head_bytes = 16 << 10;
    size_t body_bytes = 4 << 20;
  };

  HttpReader(Kind kind, const Limits& limits);
  ~HttpReader();

  void Feed(std::string_view bytes);
  // The other side has ended. Completes a body that runs until then.
  void FeedEnd();
  // Goes on to the next message with what is left over.
  void Next();

  State state() const { return state_; }
  HttpReadError error() const { return error_; }
  // Valid from kBody on.
  const HttpHead& head() const;
  // What of the body came since the last call.
  std::string TakeBody();
  // Bytes were fed that belong to no finished message.
  bool has_leftover() const { return !pending_.empty(); }
  // Some bytes of the present message have arrived.
  bool started() const { return state_ != State::kHead || !pending_.empty(); }

  void set_limits(const Limits& limits) { limits_ = limits; }

  // Of the implementation.
  struct Message;

 private:
  template <bool kIsRequest>
  struct Parser;

  void Restart();
  void Parse();
  void Fail(HttpReadError error);

  Kind kind_;
  Limits limits_;
  State state_ = State::kHead;
  HttpReadError error_ = HttpReadError::kNone;
  std::unique_ptr<Message> message_;
  std::unique_ptr<Parser<true>> request_;
  std::unique_ptr<Parser<false>> response_;
  std::string pending_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_HTTP_READER_H_
