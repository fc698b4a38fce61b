// HttpReader: a table of messages that are refused, and every message split at
// each byte compared with the same message read at once.

#include "pinford/http_reader.h"

#include <gtest/gtest.h>

#include "pinford/testing/endless_responses.h"
#include "util/hash.h"

namespace pinford {
namespace {

using State = HttpReader::State;

HttpReader Reader(HttpReader::Kind kind) {
  return HttpReader(kind, HttpReader::Limits{512, 64});
}

TEST(HttpReader, RefusesWhatCanBeReadTwoWays) {
  const struct {
    const char* name;
    std::string text;
    HttpReadError error;
  } cases[] = {
      {"plain", "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", HttpReadError::kNone},
      {"a length", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
       HttpReadError::kNone},
      {"chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
       "\r\n",
       HttpReadError::kNone},
      {"two equal lengths",
       "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
       HttpReadError::kMalformed},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
       HttpReadError::kMalformed},
      {"a list of lengths", "POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\nab",
       HttpReadError::kMalformed},
      {"a length with a sign",
       "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab",
       HttpReadError::kMalformed},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
       "\r\n0\r\n\r\n",
       HttpReadError::kMalformed},
      {"chunks and length",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n"
       "\r\n0\r\n\r\n",
       HttpReadError::kMalformed},
      {"another encoding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
       HttpReadError::kMalformed},
      {"chunked twice",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n"
       "\r\n",
       HttpReadError::kMalformed},
      {"an encoding around chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       HttpReadError::kMalformed},
      {"a misspelt encoding",
       "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
       HttpReadError::kMalformed},
      {"a space before the colon",
       "POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab",
       HttpReadError::kMalformed},
      {"a folded line", "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
       HttpReadError::kMalformed},
      {"a line folded by a tab", "GET / HTTP/1.1\r\nA: b\r\n\tc\r\n\r\n",
       HttpReadError::kMalformed},
      {"a bare line end", "GET / HTTP/1.1\nHost: h\r\n\r\n",
       HttpReadError::kMalformed},
      {"no version", "GET /\r\n\r\n", HttpReadError::kMalformed},
      {"not HTTP", "hello there\r\n\r\n", HttpReadError::kMalformed},
      {"not HTTP, and short", "\x02\r\n\r\n", HttpReadError::kMalformed},
      {"an invalid chunk length",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
       HttpReadError::kMalformed},
      {"a large head",
       "GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n",
       HttpReadError::kHeadTooLarge},
      {"an unterminated head", "GET / HTTP/1.1\r\nA: " + std::string(600, 'a'),
       HttpReadError::kHeadTooLarge},
      {"a large body",
       "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'b'),
       HttpReadError::kBodyTooLarge},
      {"a large body in chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
           std::string(65, 'b') + "\r\n0\r\n\r\n",
       HttpReadError::kBodyTooLarge},
  };
  for (const auto& c : cases) {
    HttpReader reader = Reader(HttpReader::Kind::kRequest);
    reader.Feed(c.text);
    EXPECT_EQ(reader.error(), c.error) << c.name;
    const bool good = c.error == HttpReadError::kNone;
    EXPECT_EQ(reader.state(), good ? State::kDone : State::kFailed) << c.name;
  }
}

TEST(HttpReader, AnswersEndWhereTheySayOrWithTheConnection) {
  const struct {
    const char* name;
    std::string text;
    State before, after;  // the end of the connection
    std::string body;
  } cases[] = {
      {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
       State::kDone, State::kDone, "ab"},
      {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", State::kBody,
       State::kFailed, "ab"},
      {"until close", "HTTP/1.1 200 OK\r\n\r\nab", State::kBody, State::kDone,
       "ab"},
      {"truncated chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       State::kBody, State::kFailed, "ab"},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", State::kDone, State::kDone,
       ""},
      {"truncated head", "HTTP/1.1 200 OK\r\nConte", State::kHead,
       State::kFailed, ""},
      {"nothing", "", State::kHead, State::kHead, ""},
  };
  for (const auto& c : cases) {
    HttpReader reader = Reader(HttpReader::Kind::kResponse);
    reader.Feed(c.text);
    EXPECT_EQ(reader.state(), c.before) << c.name;
    EXPECT_EQ(reader.TakeBody(), c.body) << c.name;
    reader.FeedEof();
    EXPECT_EQ(reader.state(), c.after) << c.name;
  }
}

// Guards against bytes that are no message and never end: a reader must fail
// after a bounded number of them, in each state.
TEST(HttpReader, BytesWithoutEndFailInEveryState) {
  const HttpReader::Limits limits = {512, 64};
  constexpr size_t kPiece = 100;
  for (const EndlessResponse& c : kEndlessResponses) {
    HttpReader reader(HttpReader::Kind::kResponse, limits);
    reader.Feed(c.begin);
    const std::string piece = c.More(kPiece);
    size_t fed = 0;
    while (reader.state() != State::kFailed && fed < 100 * limits.head_bytes) {
      reader.Feed(piece);
      fed += piece.size();
      EXPECT_LE(reader.pending_bytes(), limits.head_bytes) << c.name;
    }
    EXPECT_EQ(reader.state(), State::kFailed) << c.name;
    EXPECT_EQ(reader.pending_bytes(), 0u) << c.name;
  }
}

TEST(HttpReader, InterimResponsesAreSkipped) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
  std::string text;
  for (int i = 0; i < HttpReader::kMaxInterimHeads; i++) text += interim;
  const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  HttpReader reader(HttpReader::Kind::kResponse, HttpReader::Limits());
  reader.Feed(text + final);
  ASSERT_EQ(reader.state(), State::kDone);
  EXPECT_EQ(reader.head().status, 200);
  EXPECT_EQ(reader.TakeBody(), "ab");
  reader.Next();
  reader.Feed(text + interim + final);
  EXPECT_EQ(reader.error(), HttpReadError::kMalformed);
}

// Feeds `text` whole, or byte by byte.
void Feed(HttpReader* reader, std::string_view text, bool bytewise) {
  const size_t piece = bytewise ? 1 : text.size();
  for (size_t at = 0; at < text.size(); at += piece) {
    reader->Feed(text.substr(at, piece));
  }
}

// Guards against a status that no response has being skipped like that of an
// interim response, or taken for a success because it is below 300.
TEST(HttpReader, AStatusIsInterimFinalOrInvalid) {
  const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  for (const bool bytewise : {false, true}) {
    for (int status = 0; status < 1000; status++) {
      char number[4];
      snprintf(number, sizeof(number), "%03d", status);
      const std::string head = "HTTP/1.1 " + std::string(number) + " X\r\n";
      HttpReader reader = Reader(HttpReader::Kind::kResponse);
      Feed(&reader, head + "Content-Length: 0\r\n\r\n" + final, bytewise);
      const bool interim = status / 100 == 1 && status != 101;
      const bool valid = interim || (status >= 200 && status <= 599);
      ASSERT_EQ(reader.state(), valid ? State::kDone : State::kFailed)
          << status;
      if (valid) {
        ASSERT_EQ(reader.head().status, interim ? 200 : status);
      }
      HttpReader until_close = Reader(HttpReader::Kind::kResponse);
      Feed(&until_close, head + "\r\nab", bytewise);
      until_close.FeedEof();
      ASSERT_EQ(until_close.state() == State::kFailed, !valid || interim)
          << status;
    }
  }
}

TEST(HttpReader, AFieldNameIsAToken) {
  const std::string names[] = {
      "X Y",  " X",   "X ",     "X\tY",   "X\x01Y", std::string("X\0Y", 3),
      "X\nY", "X\rY", "X\x7fY", "X\xe9Y", "X(Y",    "X\"Y",
      ""};
  for (const bool bytewise : {false, true}) {
    for (const std::string& name : names) {
      const std::string field = name + ": v\r\n";
      for (const std::string& text :
           {"HTTP/1.1 200 OK\r\n" + field + "Content-Length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + field + "\r\nab",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
            "0\r\n" +
                field + "\r\n"}) {
        HttpReader reader = Reader(HttpReader::Kind::kResponse);
        Feed(&reader, text, bytewise);
        EXPECT_EQ(reader.error(), HttpReadError::kMalformed) << text;
      }
    }
  }
}

// One message as parsed.
struct ParsedMessage {
  std::string method, target, body;
  HttpHeaders headers;
  bool operator==(const ParsedMessage&) const = default;
};

// Feeds `text` in pieces that end at `cuts`.
std::vector<ParsedMessage> ReadInPieces(const std::string& text,
                                        const std::vector<size_t>& cuts) {
  HttpReader reader = Reader(HttpReader::Kind::kRequest);
  std::vector<ParsedMessage> all;
  std::string body;
  size_t at = 0;
  for (size_t cut : cuts) {
    reader.Feed(std::string_view(text).substr(at, cut - at));
    at = cut;
    body += reader.TakeBody();
    while (reader.state() == State::kDone) {
      all.push_back({reader.head().method, reader.head().target, body,
                     reader.head().headers});
      reader.Next();
      body = reader.TakeBody();
    }
  }
  return all;
}

TEST(HttpReader, PiecesDoNotMatter) {
  const std::string text =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "GET /d/ HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
      "GET /f HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<ParsedMessage> whole = ReadInPieces(text, {text.size()});
  ASSERT_EQ(whole.size(), 4u);
  EXPECT_EQ(whole[0].body, "hello");
  EXPECT_EQ(whole[2].body, "abcde");
  EXPECT_EQ(whole[2].headers.size(), 1u) << "a trailer is not a header";
  for (size_t cut = 1; cut < text.size(); cut++) {
    EXPECT_EQ(ReadInPieces(text, {cut, text.size()}), whole) << cut;
  }
  for (int seed = 0; seed < 200; seed++) {
    Random random(seed);
    std::vector<size_t> cuts;
    size_t at = 0;
    while (at < text.size()) {
      at = std::min(text.size(), at + 1 + random() % 20);
      cuts.push_back(at);
    }
    EXPECT_EQ(ReadInPieces(text, cuts), whole) << seed;
  }
}

TEST(HttpReader, RandomBytesNeverPassForAMessage) {
  for (int seed = 0; seed < 2000; seed++) {
    Random random(seed);
    std::string text =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        "abc";
    for (int i = 0; i < 3; i++) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    HttpReader reader = Reader(HttpReader::Kind::kRequest);
    reader.Feed(text);
    reader.FeedEof();
    if (reader.state() != State::kDone) continue;
    // Whatever is accepted has one length, which the body matches.
    EXPECT_LE(reader.head().CountOf("Content-Length"), 1) << seed;
    const std::string_view length = reader.head().header("Content-Length");
    if (!length.empty()) {
      EXPECT_EQ(reader.TakeBody().size(), std::stoul(std::string(length)));
    }
  }
}

}  // namespace
}  // namespace pinford
