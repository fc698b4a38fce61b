#include "pinford/http_reader.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <utility>

namespace pinford {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;

std::string_view HttpHead::header(std::string_view name) const {
  return FindHeader(headers, name);
}

int HttpHead::CountOf(std::string_view name) const {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [name](const auto& h) { return SameHeaderName(h.first, name); }));
}

// What a text takes besides the string itself.
static size_t AllocatedBytes(const std::string& text) {
  static const size_t kInside = std::string().capacity();
  return text.capacity() > kInside ? text.capacity() : 0;
}

size_t HttpHead::memory_bytes() const {
  size_t bytes = headers.capacity() * sizeof(headers[0]);
  for (const auto& [name, value] : headers) {
    bytes += AllocatedBytes(name) + AllocatedBytes(value);
  }
  return bytes + AllocatedBytes(target);
}

// What has been parsed of the current message.
struct HttpReader::Message {
  HttpHead head;
  std::string body;
  size_t body_bytes = 0;
  size_t head_memory = 0;  // of `head`, once it is done
  bool head_done = false;
  bool done = false;
};

template <bool kIsRequest>
struct HttpReader::Parser : http::basic_parser<kIsRequest> {
  Message* message = nullptr;

  static std::string Text(BeastView v) { return std::string(v); }

  void on_request_impl(http::verb, BeastView method, BeastView target, int,
                       beast::error_code&) override {
    message->head.method = Text(method);
    message->head.target = Text(target);
  }
  void on_response_impl(int status, BeastView reason, int,
                        beast::error_code&) override {
    message->head.status = status;
    message->head.reason = Text(reason);
  }
  void on_field_impl(http::field, BeastView name, BeastView value,
                     beast::error_code&) override {
    // Trailers are not forwarded.
    if (message->head_done) return;
    message->head.headers.emplace_back(Text(name), Text(value));
  }
  void on_header_impl(beast::error_code&) override {
    message->head_done = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         beast::error_code&) override {}
  std::size_t on_body_impl(BeastView v, beast::error_code&) override {
    return Append(v);
  }
  void on_chunk_header_impl(std::uint64_t, BeastView,
                            beast::error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView v,
                                 beast::error_code&) override {
    return Append(v);
  }
  void on_finish_impl(beast::error_code&) override { message->done = true; }

  std::size_t Append(BeastView v) {
    message->body.append(v.data(), v.size());
    message->body_bytes += v.size();
    return v.size();
  }
};

HttpReader::HttpReader(Kind kind, const Limits& limits)
    : kind_(kind), limits_(limits) {
  Restart();
}

HttpReader::~HttpReader() = default;

template <typename P>
static std::unique_ptr<P> MakeParser(HttpReader::Message* message) {
  auto parser = std::make_unique<P>();
  parser->message = message;
  parser->eager(true);
  // The reader checks its own limits first and reports them as such.
  parser->body_limit(boost::none);
  parser->header_limit(std::numeric_limits<std::uint32_t>::max());
  return parser;
}

void HttpReader::Restart() {
  state_ = State::kHead;
  message_ = std::make_unique<Message>();
  if (kind_ == Kind::kRequest) {
    request_ = MakeParser<Parser<true>>(message_.get());
  } else {
    response_ = MakeParser<Parser<false>>(message_.get());
  }
}

const HttpHead& HttpReader::head() const { return message_->head; }

HttpHead HttpReader::TakeHead() {
  message_->head_memory = 0;
  return std::exchange(message_->head, HttpHead());
}

std::string HttpReader::TakeBody() {
  std::string out;
  out.swap(message_->body);
  return out;
}

void HttpReader::DropPending() { std::string().swap(pending_); }

size_t HttpReader::held_bytes() const {
  return AllocatedBytes(pending_) + AllocatedBytes(message_->body) +
         message_->head_memory;
}

// Gives back memory that one long read has left.
void HttpReader::ReleasePending() {
  constexpr size_t kKeptBytes = 1024;
  if (pending_.capacity() > kKeptBytes &&
      pending_.capacity() / 2 > pending_.size()) {
    pending_.shrink_to_fit();
  }
}

void HttpReader::Fail(HttpReadError error) {
  state_ = State::kFailed;
  error_ = error;
  DropPending();
}

void HttpReader::Feed(std::string_view bytes) {
  if (state_ == State::kFailed) return;
  pending_.append(bytes);
  if (state_ != State::kDone) Parse();
  ReleasePending();
}

void HttpReader::Next() {
  if (state_ != State::kDone) return;
  interim_heads_ = 0;
  Restart();
  if (!pending_.empty()) Parse();
  ReleasePending();
}

// Whether a header line is folded, that is, continued on the next line. Parsers
// disagree on whether to join such lines, so they are refused.
static bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

// A message must have exactly one length, which no parser reads differently.
static bool HasUnambiguousLength(const HttpHead& head) {
  if (head.CountOf("Content-Length") > 1) return false;
  const std::string_view length = head.header("Content-Length");
  if (length.find(',') != std::string_view::npos) return false;
  if (head.CountOf("Transfer-Encoding") > 1) return false;
  const std::string_view encoding = head.header("Transfer-Encoding");
  if (encoding.empty()) return head.CountOf("Transfer-Encoding") == 0;
  return SameHeaderName(encoding, "chunked");
}

bool HttpReader::SkipsMessage() const {
  return state_ == State::kDone && kind_ == Kind::kResponse &&
         StatusKindOf(message_->head.status) == StatusKind::kInterim;
}

bool HttpReader::AnnouncesTooMuch() const {
  const auto length = kind_ == Kind::kRequest ? request_->content_length()
                                              : response_->content_length();
  return length && *length > limits_.body_bytes;
}

bool HttpReader::HasValidStatus() const {
  return kind_ == Kind::kRequest ||
         StatusKindOf(message_->head.status) != StatusKind::kInvalid;
}

void HttpReader::Parse() {
  ParseMessage();
  while (SkipsMessage()) {
    if (++interim_heads_ > kMaxInterimHeads) {
      Fail(HttpReadError::kMalformed);
      return;
    }
    Restart();
    if (!pending_.empty()) ParseMessage();
  }
}

void HttpReader::ParseMessage() {
  if (state_ == State::kHead) {
    const size_t end = pending_.find("\r\n\r\n");
    const size_t head_bytes =
        end == std::string::npos ? pending_.size() : end + 4;
    if (head_bytes > limits_.head_bytes) {
      Fail(HttpReadError::kHeadTooLarge);
      return;
    }
    if (end != std::string::npos &&
        HasFoldedLine(std::string_view(pending_).substr(0, end))) {
      Fail(HttpReadError::kMalformed);
      return;
    }
  }
  beast::error_code ec;
  const boost::asio::const_buffer in(pending_.data(), pending_.size());
  const size_t consumed =
      kind_ == Kind::kRequest ? request_->put(in, ec) : response_->put(in, ec);
  pending_.erase(0, consumed);
  if (ec && ec != http::error::need_more) {
    Fail(HttpReadError::kMalformed);
    return;
  }
  if (!message_->head_done) {
    // The parser waits for more of a line that has already ended.
    if (pending_.find("\r\n\r\n") != std::string::npos) {
      Fail(HttpReadError::kMalformed);
    }
    return;
  }
  if (state_ == State::kHead) {
    HttpHead& head = message_->head;
    if (!HasUnambiguousLength(head) || !HasValidStatus()) {
      Fail(HttpReadError::kMalformed);
      return;
    }
    head.keep_alive = kind_ == Kind::kRequest ? request_->keep_alive()
                                              : response_->keep_alive();
    head.until_close = kind_ == Kind::kResponse && response_->need_eof();
    state_ = State::kBody;
    message_->head_memory = head.memory_bytes();
    if (AnnouncesTooMuch()) {
      Fail(HttpReadError::kBodyTooLarge);
      return;
    }
  }
  if (message_->body_bytes > limits_.body_bytes) {
    Fail(HttpReadError::kBodyTooLarge);
    return;
  }
  if (message_->done) {
    state_ = State::kDone;
  } else if (pending_.size() > limits_.head_bytes) {
    // The parser waits for the end of a chunk's head or of the trailers.
    Fail(HttpReadError::kHeadTooLarge);
  }
}

void HttpReader::FeedEof() {
  if (state_ == State::kDone || state_ == State::kFailed) return;
  const bool complete =
      state_ == State::kBody && message_->head.until_close && pending_.empty();
  if (complete) {
    state_ = State::kDone;
  } else if (started()) {
    Fail(HttpReadError::kMalformed);
  }
}

}  // namespace pinford
