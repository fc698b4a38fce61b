// Checks which transport result a call without a response gets, on which the
// outcome "not run" depends. A raw socket server closes connections at each
// point of an exchange.

#include "pinford/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <set>
#include <thread>

#include "pinford/testing/endless_responses.h"
#include "pinford/testing/free_ports.h"
#include "pinford/testing/raw_endpoint.h"

namespace pinford {
namespace {

constexpr char kCompleteReply[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
    "5\r\n\r\nhello";

// Accepts connections one at a time. Reads a request if `reads`, sends `reply`,
// then closes the connection if `closes` or sends nothing more until destroyed.
class RawServer {
 public:
  RawServer(bool reads, std::string reply, bool closes)
      : reads_(reads), reply_(std::move(reply)), closes_(closes) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(port_));
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    listen(listener_, 8);
    thread_ = std::thread([this] { Serve(); });
  }
  ~RawServer() {
    stop_ = true;
    thread_.join();
    close(listener_);
  }
  Address address() const {
    return {"127.0.0.1", static_cast<uint16_t>(port_)};
  }
  int requests() const { return requests_; }

 private:
  bool Readable(int fd) const {
    while (!stop_) {
      pollfd p{fd, POLLIN, 0};
      if (poll(&p, 1, 20) > 0) return true;
    }
    return false;
  }

  void Serve() {
    while (Readable(listener_)) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (reads_ && Readable(fd)) {
        char buf[4096];
        if (recv(fd, buf, sizeof(buf), 0) > 0) requests_++;
      }
      send(fd, reply_.data(), reply_.size(), MSG_NOSIGNAL);
      while (!closes_ && !stop_) {
        std::this_thread::sleep_for(milliseconds(5));
      }
      close(fd);
    }
  }

  bool reads_;
  std::string reply_;
  bool closes_;
  int port_ = FreePorts(1)[0];
  int listener_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

HttpResult CallOnce(EventLoop* loop, HttpClient* http, const Address& to,
                    bool fresh) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.to = to;
  call.target = "/x";
  call.body = "body";
  call.timeout = milliseconds(300);
  call.fresh_connection = fresh;
  HttpResult result;
  http->Send(call, [&](HttpResult r) {
    result = std::move(r);
    loop->Stop();
  });
  loop->Run();
  return result;
}

TEST(HttpClient, ReportsTransportOutcome) {
  const std::string complete_reply = kCompleteReply;
  struct Case {
    std::string name;
    bool reads;
    std::string reply;
    bool closes;
    Transport transport;
  };
  std::vector<Case> cases = {
      {"closed before it is read", false, "", true, Transport::kLost},
      {"closed after it is read", true, "", true, Transport::kLost},
      {"silent", true, "", false, Transport::kTimeout},
      {"silent in the middle of a reply", true, complete_reply.substr(0, 30),
       false, Transport::kTimeout},
      {"whole", true, complete_reply, true, Transport::kOk},
      {"status 000", true, "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello",
       true, Transport::kLost},
      {"status 000, no length", true, "HTTP/1.1 000 X\r\n\r\nhello", true,
       Transport::kLost},
      {"status 600", true, "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nhello",
       true, Transport::kLost},
  };
  // Truncated after each of the first 20 bytes, then after every 7th byte.
  for (size_t n = 1; n < complete_reply.size(); n += n < 20 ? 1 : 7) {
    cases.push_back({"cut after " + std::to_string(n), true,
                     complete_reply.substr(0, n), true, Transport::kLost});
  }
  for (const Case& c : cases) {
    for (bool fresh : {false, true}) {
      SCOPED_TRACE(c.name + (fresh ? ", fresh" : ""));
      EventLoop loop;
      HttpClient http(&loop, HttpClient::Options());
      RawServer server(c.reads, c.reply, c.closes);
      const HttpResult r = CallOnce(&loop, &http, server.address(), fresh);
      EXPECT_EQ(r.transport, c.transport) << TransportName(r.transport);
      if (c.transport == Transport::kOk) {
        EXPECT_EQ(r.body, "hello");
      } else {
        EXPECT_EQ(r.status, 0) << "an incomplete reply must not be reported";
      }
      EXPECT_LE(server.requests(), 1) << "sent twice";
    }
  }
}

TEST(HttpClient, NothingIsSentWhereNobodyListens) {
  EventLoop loop;
  HttpClient http(&loop, HttpClient::Options());
  const Address nobody{"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])};
  for (bool fresh : {false, true}) {
    const HttpResult r = CallOnce(&loop, &http, nobody, fresh);
    EXPECT_EQ(r.transport, Transport::kNotSent);
  }
}

// Guards against responses without end, in each state of a message: a few calls
// took a box's memory, or its only thread for as long as their time limit.
TEST(HttpClient, BytesWithoutEndEndTheCallSoon) {
  constexpr size_t kMaxBody = 64 << 10;
  constexpr size_t kSent = 32 << 20;
  for (const EndlessResponse& c : kEndlessResponses) {
    SCOPED_TRACE(c.name);
    EventLoop loop;
    RawEndpoint server(&loop);
    server.steps = {{c.Text(kSent)}};
    HttpClient http(&loop, HttpClient::Options());
    HttpCall call;
    call.to = server.address();
    call.target = "/";
    call.timeout = seconds(5);
    call.max_body_bytes = kMaxBody;
    HttpResult result;
    http.Send(call, [&](HttpResult r) {
      result = std::move(r);
      loop.Stop();
    });
    loop.Run();
    EXPECT_EQ(result.transport, Transport::kLost);
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(result.body.empty());
    // What is not left here is in the kernel's buffers.
    EXPECT_GT(server.unsent(), kSent / 2) << "its connection is read on";
  }
}

TEST(HttpClient, ReusesOnlyConnectionsAfterWholeExpectedResponses) {
  const std::string whole = kCompleteReply;
  const struct {
    const char* name;
    std::string reply;
    bool reused;
  } cases[] = {
      {"whole", whole, true},
      {"asks to close",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
       false},
      {"a second response", whole + whole, false},
      {"bytes behind it", whole + "x", false},
      {"an interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + whole,
       true},
  };
  for (const auto& c : cases) {
    EventLoop loop;
    RawEndpoint server(&loop);
    server.steps = {{c.reply}, {whole}};
    HttpClient http(&loop, HttpClient::Options());
    for (int i = 0; i < 2; i++) {
      EXPECT_EQ(CallOnce(&loop, &http, server.address(), false).transport,
                Transport::kOk);
      // Leaves time for surplus bytes to arrive.
      loop.After(milliseconds(20), [&loop] { loop.Stop(); });
      loop.Run();
    }
    EXPECT_EQ(server.connections, c.reused ? 1 : 2) << c.name;
  }
}

// Guards against connections that are kept without an end, also to servers that
// have gone silent.
TEST(HttpClient, IdleConnectionsAreClosedInTimeAndBoundedInNumber) {
  EventLoop loop;
  HttpClient::Options options;
  options.idle_timeout = milliseconds(50);
  options.max_idle = 2;
  HttpClient http(&loop, options);
  std::vector<std::unique_ptr<RawEndpoint>> servers;
  for (int i = 0; i < 3; i++) {
    servers.push_back(std::make_unique<RawEndpoint>(&loop));
    servers[i]->steps = {{kCompleteReply}};
    EXPECT_EQ(CallOnce(&loop, &http, servers[i]->address(), false).transport,
              Transport::kOk);
  }
  const auto ended = [&] {
    loop.After(milliseconds(10), [&loop] { loop.Stop(); });
    loop.Run();
    int n = 0;
    for (const auto& s : servers) n += s->ended;
    return n;
  };
  EXPECT_EQ(ended(), 1) << "one more than may be idle";
  std::this_thread::sleep_for(2 * options.idle_timeout);
  EXPECT_EQ(ended(), 3);
}

// Guards against calls that are sent on connections that fell silent together
// with one that a call has timed out on.
TEST(HttpClient, IdleConnectionsAreNotUsedAfterATimeout) {
  EventLoop loop;
  RawEndpoint server(&loop);
  const RawEndpoint::Step slow = {
      kCompleteReply, RawEndpoint::Step::Then::kKeep, milliseconds(20)};
  const RawEndpoint::Step silent = {""};
  server.steps = {slow, slow, silent, {kCompleteReply}};
  HttpClient http(&loop, HttpClient::Options());
  HttpCall call;
  call.to = server.address();
  call.target = "/";
  call.timeout = milliseconds(100);
  const auto send = [&](int calls, Transport expected) {
    int ended = 0;
    for (int i = 0; i < calls; i++) {
      http.Send(call, [&](const HttpResult& r) {
        EXPECT_EQ(r.transport, expected);
        if (++ended == calls) loop.Stop();
      });
    }
    loop.Run();
  };
  send(2, Transport::kOk);
  send(1, Transport::kTimeout);
  EXPECT_EQ(server.connections, 2);
  send(1, Transport::kOk);
  EXPECT_EQ(server.connections, 3);
}

// Guards against a header that ends its line: what follows would be read as
// headers, or as a call, that the caller did not write.
TEST(WriteHttpCall, AHeaderOfSeveralLinesIsLeftOut) {
  const std::string bad[] = {"a\r\nX-Other: b", "a\nX-Other: b",
                             "a\rX-Other: b", std::string("a\0X-Other: b", 12),
                             "a\r\n\r\nGET /other"};
  for (const std::string& text : bad) {
    HttpCall call;
    call.to = {"127.0.0.1", 80};
    call.target = "/";
    call.headers = {{"Good", "c"}, {"Bad", text}, {"Bad" + text, "d"}};
    EXPECT_EQ(WriteHttpCall(call),
              "GET / HTTP/1.1\r\nHost: 127.0.0.1:80\r\nGood: c\r\n\r\n");
  }
}

TEST(HttpClient, CallsIpv6Addresses) {
  EventLoop loop;
  HttpClient http(&loop, HttpClient::Options());
  const Address nobody{"::1", static_cast<uint16_t>(FreePorts(1)[0])};
  EXPECT_EQ(CallOnce(&loop, &http, nobody, false).transport,
            Transport::kNotSent);
}

// The server has closed the kept-alive connection: the call may be reported as
// lost or be sent on a new connection, but never be sent twice.
TEST(HttpClient, AKeptConnectionIsNeverUsedToSendTwice) {
  EventLoop loop;
  HttpClient http(&loop, HttpClient::Options());
  RawServer server(true, kCompleteReply, true);
  int answered = 0;
  int lost = 0;
  constexpr int kCalls = 30;
  for (int i = 0; i < kCalls; i++) {
    const HttpResult r = CallOnce(&loop, &http, server.address(), false);
    answered += r.transport == Transport::kOk;
    lost += r.transport != Transport::kOk;
    EXPECT_LE(server.requests(), i + 1);
    EXPECT_GE(server.requests(), answered);
  }
  EXPECT_EQ(answered + lost, kCalls);
  EXPECT_GT(answered, 0);
}

// A box that was busy for longer than a probe's timeout before it wrote the
// probe considered the runner down. The timeout is extended only by the box's
// own delay: without one, an unresponsive server is reported as soon as before.
TEST(HttpClient, TimeoutExcludesOwnSchedulingDelay) {
  constexpr Duration kLimit = milliseconds(50);
  constexpr Duration kSlack = milliseconds(20);  // of timers and threads
  const struct {
    bool answers;
    Duration block_for;
    Transport transport;
    Duration at_least;
  } cases[] = {
      {true, milliseconds(150), Transport::kOk, milliseconds(150)},
      {false, milliseconds(150), Transport::kTimeout, milliseconds(200)},
      {false, milliseconds(0), Transport::kTimeout, milliseconds(46)},
  };
  for (const auto& c : cases) {
    RawServer server(true, c.answers ? kCompleteReply : "", c.answers);
    EventLoop loop;
    HttpClient http(&loop, HttpClient::Options());
    Time sent;
    Time completed_at;
    HttpResult result;
    loop.After(Duration(0), [&] {
      HttpCall call;
      call.to = server.address();
      call.target = "/x";
      call.timeout = kLimit;
      sent = loop.now();
      http.Send(call, [&](HttpResult r) {
        completed_at = loop.now();
        result = std::move(r);
        loop.Stop();
      });
      std::this_thread::sleep_for(c.block_for);
    });
    loop.Run();
    EXPECT_EQ(result.transport, c.transport) << TransportName(result.transport);
    EXPECT_GE(completed_at - sent, c.at_least) << c.answers;
    // The machine may delay this test, too.
    const Duration loop_delay = loop.delays().LongestSince(sent);
    EXPECT_LE(completed_at - sent, kLimit + 2 * loop_delay + kSlack)
        << c.answers;
  }
}

TEST(HttpClient, CancelledCallHasNoCallback) {
  EventLoop loop;
  HttpClient http(&loop, HttpClient::Options());
  RawServer server(true, "", false);
  HttpCall call;
  call.to = server.address();
  call.target = "/";
  call.timeout = milliseconds(50);
  bool called = false;
  const CallId id =
      http.Send(call, [&called](const HttpResult&) { called = true; });
  loop.After(milliseconds(10), [&] { http.Cancel(id); });
  loop.After(milliseconds(150), [&] { loop.Stop(); });
  loop.Run();
  EXPECT_FALSE(called);
  EXPECT_EQ(http.in_progress(), 0u);
}

// Each call used to reserve a whole block of ports, so that a few tests with
// many fixtures running in parallel left none for the others.
TEST(FreePorts, ManyCallsUseUpFewBlocks) {
  std::set<int> all;
  for (int i = 0; i < 300; i++) {
    const std::vector<int> ports = FreePorts(1);
    ASSERT_EQ(ports.size(), 1u) << i;
    EXPECT_TRUE(all.insert(ports[0]).second);
  }
}

}  // namespace
}  // namespace pinford
