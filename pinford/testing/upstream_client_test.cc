// How exchanges with endpoints end, over real sockets: a table of what an
// endpoint may do, and whether its connection is used again.

#include "pinford/forwarding/upstream_client.h"

#include <gtest/gtest.h>

#include "pinford/testing/free_ports.h"
#include "pinford/testing/raw_endpoint.h"

namespace pinford {
namespace {

using Then = RawEndpoint::Step::Then;

std::string Answer(const std::string& id, const std::string& body,
                   const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Result {
  bool over = false;
  UpstreamEnd end = UpstreamEnd::kRefused;
  int status = 0;
  std::string body;
};

class Fixture {
 public:
  Fixture() : endpoint(&loop), client(&loop, Options()) {}

  static UpstreamClient::Options Options() {
    UpstreamClient::Options options;
    options.id_header = "Id";
    return options;
  }

  UpstreamId Send(const std::string& id, Result* result, Address to,
                  std::function<bool()> before = nullptr) {
    UpstreamRequest request;
    request.endpoint = "e";
    request.to = to;
    request.id = id;
    request.bytes = "GET / HTTP/1.1\r\nId: " + id + "\r\n\r\n";
    UpstreamHandlers handlers;
    handlers.before_send = before;
    handlers.on_head = [result](const HttpHead& h) {
      result->status = h.status;
    };
    handlers.on_body = [result](std::string b) { result->body += b; };
    handlers.on_end = [this, result](UpstreamEnd end) {
      result->end = end;
      result->over = true;
      loop.Stop();
    };
    return client.Send(std::move(request), std::move(handlers));
  }

  Result Get(const std::string& id) {
    Result result;
    Send(id, &result, endpoint.address());
    RunFor(seconds(2));
    return result;
  }

  void RunFor(Duration d) {
    const TimerId timer = loop.After(d, [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(timer);
  }

  EventLoop loop;
  RawEndpoint endpoint;
  UpstreamClient client;
};

TEST(UpstreamClient, TellsHowAnExchangeEndedAndWhatIsUsedAgain) {
  const struct {
    const char* name;
    RawEndpoint::Step step;
    UpstreamEnd end;
    std::string body;
    bool again;  // the connection serves the next request too
  } cases[] = {
      {"whole", {Answer("1", "ab")}, UpstreamEnd::kComplete, "ab", true},
      {"says close",
       {Answer("1", "ab", "Connection: close\r\n")},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"interim first",
       {"HTTP/1.1 100 Continue\r\n\r\n" + Answer("1", "ab")},
       UpstreamEnd::kComplete,
       "ab",
       true},
      {"an old answer first",
       {Answer("0", "old") + Answer("1", "ab")},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"a second answer",
       {Answer("1", "ab") + Answer("1", "cd")},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"no length",
       {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab", Then::kClose},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"no length, reset",
       {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab", Then::kReset},
       UpstreamEnd::kTruncated,
       "ab",
       false},
      {"cut short",
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nab",
        Then::kClose},
       UpstreamEnd::kTruncated,
       "ab",
       false},
      {"closed without a word",
       {"", Then::kClose},
       UpstreamEnd::kBroken,
       "",
       false},
      {"reset without a word",
       {"", Then::kReset},
       UpstreamEnd::kBroken,
       "",
       false},
      {"no HTTP",
       {"\x01\x02 hello\r\n\r\n"},
       UpstreamEnd::kMalformed,
       "",
       false},
      {"garbage in the chunks",
       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n"},
       UpstreamEnd::kMalformed,
       "",
       false},
  };
  for (const auto& c : cases) {
    Fixture f;
    f.endpoint.steps = {c.step, {Answer("2", "ef")}};
    const Result first = f.Get("1");
    EXPECT_TRUE(first.over) << c.name;
    EXPECT_EQ(first.end, c.end) << c.name;
    EXPECT_EQ(first.body, c.body) << c.name;
    // Surplus bytes have time to come.
    f.RunFor(milliseconds(30));
    const Result second = f.Get("2");
    EXPECT_EQ(second.end, UpstreamEnd::kComplete) << c.name;
    EXPECT_EQ(second.body, "ef") << c.name;
    EXPECT_EQ(f.endpoint.connections, c.again ? 1 : 2) << c.name;
  }
}

// A whole answer cut after each of its bytes is never taken for whole, and is
// never said not to have been sent.
TEST(UpstreamClient, CutAfterEachByte) {
  const std::string whole = Answer("1", "hello");
  for (size_t n = 0; n < whole.size(); n++) {
    Fixture f;
    f.endpoint.steps = {{whole.substr(0, n), Then::kClose}};
    const Result r = f.Get("1");
    ASSERT_TRUE(r.over) << n;
    EXPECT_TRUE(r.end == UpstreamEnd::kBroken ||
                r.end == UpstreamEnd::kTruncated)
        << n;
  }
}

TEST(UpstreamClient, WhatIsNotSentIsSaidNotToBe) {
  Fixture f;
  Result refused;
  f.Send("1", &refused, {"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])});
  f.RunFor(seconds(2));
  EXPECT_EQ(refused.end, UpstreamEnd::kRefused);
  Result kept_back;
  f.Send("2", &kept_back, f.endpoint.address(), [] { return false; });
  f.RunFor(seconds(2));
  EXPECT_EQ(kept_back.end, UpstreamEnd::kWithdrawn);
  f.RunFor(milliseconds(50));
  EXPECT_TRUE(f.endpoint.requests.empty());
}

TEST(UpstreamClient, CancelClosesTheConnectionAtOnce) {
  Fixture f;
  f.endpoint.steps = {{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab"}};
  Result result;
  const UpstreamId id = f.Send("1", &result, f.endpoint.address());
  f.RunFor(milliseconds(50));
  EXPECT_EQ(result.body, "ab");
  f.client.Cancel(id);
  f.RunFor(milliseconds(50));
  EXPECT_EQ(f.endpoint.ended, 1);
  EXPECT_FALSE(result.over);
}

TEST(UpstreamClient, AnIdleConnectionThatSpeaksOrEndsIsDropped) {
  for (Then then : {Then::kClose, Then::kReset}) {
    Fixture f;
    f.endpoint.steps = {{Answer("1", "ab"), then}, {Answer("2", "cd")}};
    EXPECT_EQ(f.Get("1").end, UpstreamEnd::kComplete);
    f.RunFor(milliseconds(60));
    EXPECT_EQ(f.Get("2").body, "cd");
    EXPECT_EQ(f.endpoint.connections, 2);
  }
}

// An endpoint that started anew, or is gone, while an answer was under way.
TEST(UpstreamClient, AForgottenEndpointsConnectionsAreNotUsedAgain) {
  for (const bool in_use : {false, true}) {
    Fixture f;
    f.endpoint.steps = {{Answer("1", "ab")}, {Answer("2", "cd")}};
    Result first;
    f.Send("1", &first, f.endpoint.address());
    if (!in_use) f.RunFor(milliseconds(60));
    f.client.DropConnections("e");
    f.RunFor(milliseconds(60));
    EXPECT_EQ(first.body, "ab");
    EXPECT_EQ(f.Get("2").body, "cd");
    EXPECT_EQ(f.endpoint.connections, 2) << in_use;
  }
}

}  // namespace
}  // namespace pinford
