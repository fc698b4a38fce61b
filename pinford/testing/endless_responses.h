// What a faulty server may send without end, in each state of a response.

#ifndef PINFORD_TESTING_ENDLESS_RESPONSES_H_
#define PINFORD_TESTING_ENDLESS_RESPONSES_H_

#include <string>

namespace pinford {

struct EndlessResponse {
  const char* name;
  const char* begin;
  const char* repeated;

  // At least `size` bytes of it, from its begin.
  std::string Text(size_t size) const { return Repeat(begin, size); }
  // At least `size` bytes of what is repeated.
  std::string More(size_t size) const { return Repeat("", size); }

 private:
  std::string Repeat(std::string text, size_t size) const {
    while (text.size() < size) text += repeated;
    return text;
  }
};

inline constexpr EndlessResponse kEndlessResponses[] = {
    {"no status line", "", "\x01z"},
    {"empty lines", "", "\r\n"},
    {"status line", "HTTP/1.1 200 O", "K"},
    {"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
    {"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"},
    {"zeros of a chunk's length",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=", "y"},
    {"chunk extensions",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3", ";x=y"},
    {"trailer line",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: ", "t"},
    {"trailer lines",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nb\r\n"},
    {"body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "b"},
};

}  // namespace pinford

#endif  // PINFORD_TESTING_ENDLESS_RESPONSES_H_
