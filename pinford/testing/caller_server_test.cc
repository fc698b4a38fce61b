// Callers that misbehave, over real sockets: requests in pieces, in a row, too
// large, too slow, smuggled, and callers that leave.

#include "pinford/forwarding/caller_server.h"

#include <gtest/gtest.h>

#include "pinford/testing/free_ports.h"

namespace pinford {
namespace {

class Fixture {
 public:
  Fixture()
      : server(&loop, Limits(), [this](CallerExchangePtr e) { Handle(e); }) {
    address = {"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])};
    EXPECT_TRUE(server.Listen(address));
  }

  static CallerServer::Limits Limits() {
    CallerServer::Limits limits;
    limits.head_bytes = 300;
    limits.body_bytes = 20;
    limits.head_timeout = milliseconds(300);
    limits.idle_timeout = milliseconds(600);
    return limits;
  }

  void Handle(const CallerExchangePtr& e) {
    seen.push_back(e->head().method + " " + e->head().target + " " + e->body());
    if (hold) {
      e->set_on_disconnect([this] { hang_ups++; });
      held.push_back(e);
    } else {
      e->Reply(200, "OK", {{"A", "b"}}, "<" + e->head().target + ">");
    }
  }

  // Connects, writes `text`, and gives what came back within `d`.
  std::string Say(const std::string& text, Duration d = milliseconds(200)) {
    said = Open();
    said->Write(text);
    RunFor(d);
    return got;
  }

  std::shared_ptr<TcpConnection> Open() {
    got.clear();
    ended = false;
    std::shared_ptr<TcpConnection> tcp = TcpConnection::Connect(&loop, address);
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [this](std::string_view b) { got += b; };
    handlers.on_end = [this](TcpEnd) { ended = true; };
    tcp->set_handlers(std::move(handlers));
    return tcp;
  }

  void RunFor(Duration d) {
    loop.After(d, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  Address address;
  CallerServer server;
  std::vector<std::string> seen;
  std::vector<CallerExchangePtr> held;
  std::shared_ptr<TcpConnection> said;  // the connection of the last Say
  int hang_ups = 0;
  bool hold = false;
  std::string got;
  bool ended = false;
};

std::string StatusOf(const std::string& answer) {
  return answer.size() < 12 ? answer : answer.substr(9, 3);
}

TEST(CallerServer, RefusesWhatItMayNotTake) {
  const struct {
    const char* name;
    std::string text;
    std::string status;
  } cases[] = {
      {"good", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "200"},
      {"chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
       "\r\n",
       "200"},
      {"a large head",
       "GET / HTTP/1.1\r\nA: " + std::string(300, 'a') + "\r\n\r\n", "431"},
      {"a large body",
       "POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n" + std::string(21, 'b'),
       "413"},
      {"no HTTP", "nonsense\r\n\r\n", "400"},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
       "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
       "400"},
      {"a head that does not end", "GET / HTTP/1.1\r\nHost: h", "408"},
  };
  for (const auto& c : cases) {
    Fixture f;
    EXPECT_EQ(StatusOf(f.Say(c.text, milliseconds(700))), c.status) << c.name;
    const bool good = c.status == "200";
    EXPECT_EQ(f.seen.size(), good ? 1u : 0u) << c.name;
    if (!good) {
      EXPECT_NE(f.got.find("Connection: close"), std::string::npos) << c.name;
      EXPECT_TRUE(f.ended) << c.name;
    }
  }
}

TEST(CallerServer, AnswersInOrderWhatComesInARow) {
  Fixture f;
  const std::string got = f.Say(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
      "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(f.seen,
            (std::vector<std::string>{"GET /1 ", "POST /2 abc", "GET /3 "}));
  const size_t one = got.find("</1>");
  const size_t two = got.find("</2>");
  const size_t three = got.find("</3>");
  EXPECT_LT(one, two);
  EXPECT_LT(two, three);
  EXPECT_NE(three, std::string::npos);
  EXPECT_EQ(f.server.connections(), 1u) << "the connection is kept";
}

TEST(CallerServer, ACallerThatLeavesIsNoticedAtOnce) {
  Fixture f;
  f.hold = true;
  auto tcp = f.Open();
  tcp->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  f.RunFor(milliseconds(50));
  ASSERT_EQ(f.held.size(), 1u);
  tcp->Close();
  f.RunFor(milliseconds(50));
  EXPECT_EQ(f.hang_ups, 1);
  EXPECT_FALSE(f.held[0]->open());
  f.held[0]->Reply(200, "", {}, "nobody hears this");
}

TEST(CallerServer, AnAnswerThatBreaksOffDoesNotLookComplete) {
  Fixture f;
  f.hold = true;
  auto tcp = f.Open();
  tcp->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  f.RunFor(milliseconds(50));
  f.held[0]->StartStream(200, "OK", {});
  f.held[0]->Write("part");
  f.RunFor(milliseconds(50));
  f.held[0]->Abort();
  f.RunFor(milliseconds(50));
  EXPECT_TRUE(f.ended);
  EXPECT_NE(f.got.find("part"), std::string::npos);
  EXPECT_EQ(f.got.find("0\r\n\r\n"), std::string::npos);
}

TEST(CallerServer, ConnectionsAtRestEndAfterTheirTimeOrOnCloseIdle) {
  Fixture f;
  f.Say("GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(300));
  EXPECT_FALSE(f.ended);
  f.RunFor(milliseconds(900));
  EXPECT_TRUE(f.ended);

  Fixture g;
  g.hold = true;
  auto busy = g.Open();
  busy->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  g.RunFor(milliseconds(50));
  auto idle = g.Open();
  g.RunFor(milliseconds(50));
  EXPECT_EQ(g.server.connections(), 2u);
  g.server.set_close_after_reply(true);
  g.server.CloseIdle();
  g.RunFor(milliseconds(50));
  EXPECT_EQ(g.server.connections(), 1u) << "the busy one stays";
  g.held[0]->Reply(200, "OK", {}, "done");
  g.RunFor(milliseconds(50));
  EXPECT_EQ(g.server.connections(), 0u);
}

TEST(CallerServer, CloseIdleLeavesTimeForAFirstRequest) {
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  Fixture kept;
  kept.Say(request, milliseconds(50));
  kept.server.CloseIdle(milliseconds(500));
  kept.RunFor(milliseconds(50));
  EXPECT_TRUE(kept.ended) << "it has brought a request";

  Fixture fresh;
  auto tcp = fresh.Open();
  fresh.RunFor(milliseconds(50));
  fresh.server.set_close_after_reply(true);
  fresh.server.CloseIdle(milliseconds(500));
  fresh.RunFor(milliseconds(50));
  ASSERT_FALSE(fresh.ended);
  tcp->Write(request);
  fresh.RunFor(milliseconds(50));
  EXPECT_NE(fresh.got.find("200"), std::string::npos);
  EXPECT_TRUE(fresh.ended);

  Fixture silent;
  auto other = silent.Open();
  silent.RunFor(milliseconds(150));
  silent.server.CloseIdle(milliseconds(100));
  silent.RunFor(milliseconds(50));
  EXPECT_TRUE(silent.ended) << "its time is over";
}

TEST(CallerServer, KeepsToItsBoundOfConnections) {
  Fixture f;
  CallerServer::Limits limits = Fixture::Limits();
  limits.connections = 2;
  f.server.set_limits(limits);
  std::vector<std::shared_ptr<TcpConnection>> all;
  all.reserve(5);
  for (int i = 0; i < 5; i++) all.push_back(f.Open());
  f.RunFor(milliseconds(100));
  EXPECT_EQ(f.server.connections(), 2u);
}

// An answer was cut one second after it had been written, with most of it
// unsent, where the caller's link or the caller was slow.
TEST(CallerServer, AnAnswerIsDeliveredHoweverSlowlyItIsRead) {
  Fixture f;
  f.hold = true;
  f.Say("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  ASSERT_EQ(f.held.size(), 1);
  const std::string body(16 << 20, 'x');  // more than kernels buffer
  f.said->PauseReading(true);
  f.held[0]->Reply(200, "OK", {}, body);
  f.held.clear();
  f.RunFor(milliseconds(1500));
  EXPECT_EQ(f.server.connections(), 1) << "a stop waits for it";
  f.said->PauseReading(false);
  for (int i = 0; i < 50 && !f.ended; i++) f.RunFor(milliseconds(100));
  EXPECT_TRUE(f.ended);
  EXPECT_EQ(f.got.size() - f.got.find("\r\n\r\n") - 4, body.size());
  EXPECT_EQ(f.server.connections(), 0);
}

// A caller that reads nothing for some seconds is there, and acknowledges what
// it is asked; its connection was ended after four.
TEST(CallerServer, ACallerThatPausesIsNotTakenForGone) {
  Fixture f;
  f.hold = true;
  f.Say("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_EQ(f.held.size(), 1);
  const std::string body(16 << 20, 'x');  // more than kernels buffer
  f.said->PauseReading(true);
  f.held[0]->Reply(200, "OK", {}, body);
  f.held.clear();
  f.RunFor(milliseconds(6000));
  f.said->PauseReading(false);
  for (int i = 0; i < 50 && f.got.size() < body.size(); i++) {
    f.RunFor(milliseconds(100));
  }
  EXPECT_EQ(f.got.size() - f.got.find("\r\n\r\n") - 4, body.size());
}

}  // namespace
}  // namespace pinford
