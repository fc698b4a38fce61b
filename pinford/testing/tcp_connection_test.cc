#include "pinford/tcp_connection.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "pinford/testing/raw_endpoint.h"

namespace pinford {
namespace {

// Guards against a connection that is closed while it is being established
// ending twice, where a timer of the first end uses freed memory. Found by
// AddressSanitizer.
TEST(TcpConnection, EndsOnceWhenClosedWhileConnecting) {
  for (const bool writes : {true, false}) {
    EventLoop loop;
    RawEndpoint endpoint(&loop);
    int sent = 0;
    std::weak_ptr<TcpConnection> weak;
    {
      auto tcp = TcpConnection::Connect(&loop, endpoint.address());
      weak = tcp;
      if (writes) tcp->Write("GET / HTTP/1.1\r\n\r\n");
      tcp->CloseGracefully([&sent] { sent++; });
    }
    loop.After(milliseconds(50), [&] {
      EXPECT_EQ(sent, 1) << writes;
      EXPECT_EQ(endpoint.requests.size(), writes ? 1 : 0);
    });
    // Longer than the wait for the peer's FIN.
    loop.After(milliseconds(1300), [&] { loop.Stop(); });
    loop.Run();
    EXPECT_TRUE(weak.expired()) << writes;
    EXPECT_EQ(sent, 1) << writes;
  }
}

// Reads what an endpoint sends, on a loop of its own. Returns whether all bytes
// are `fill`.
bool ReadsOnly(char fill) {
  constexpr size_t kBytes = 16 << 20;
  EventLoop loop;
  RawEndpoint endpoint(&loop);
  endpoint.steps = {{std::string(kBytes, fill)}};
  size_t received = 0;
  bool same = true;
  auto tcp = TcpConnection::Connect(&loop, endpoint.address());
  TcpConnection::Handlers handlers;
  handlers.on_bytes = [&](std::string_view bytes) {
    received += bytes.size();
    same = same && bytes.find_first_not_of(fill) == std::string_view::npos;
    if (received == kBytes) loop.Stop();
  };
  tcp->set_handlers(std::move(handlers));
  tcp->Write("GET / HTTP/1.1\r\n\r\n");
  loop.Run();
  return same;
}

// Guards against a read buffer that all threads share: clients in several
// threads, each with its loop, got each other's bytes.
TEST(TcpConnection, ThreadsReadIndependently) {
  std::vector<std::thread> threads;
  for (const char fill : {'a', 'b', 'c', 'd'}) {
    threads.emplace_back([fill] { EXPECT_TRUE(ReadsOnly(fill)) << fill; });
  }
  for (std::thread& t : threads) t.join();
}

// Two ends of one connection: a blocking socket with a small window, and a
// TcpConnection.
class Pair {
 public:
  explicit Pair(Duration write_stall_timeout = seconds(4)) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    auto* address = reinterpret_cast<sockaddr*>(&at);
    EXPECT_EQ(bind(listener, address, size), 0);
    EXPECT_EQ(listen(listener, 1), 0);
    EXPECT_EQ(getsockname(listener, address, &size), 0);
    peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr int kWindowBytes = 4096;
    EXPECT_EQ(setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &kWindowBytes,
                         sizeof(kWindowBytes)),
              0);
    EXPECT_EQ(connect(peer, address, size), 0);
    const int fd =
        accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    close(listener);
    tcp = TcpConnection::Accept(&loop, fd, write_stall_timeout);
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [this](std::string_view bytes) { received += bytes; };
    handlers.on_end = [this](TcpEnd how) {
      end = how;
      loop.Stop();
    };
    tcp->set_handlers(std::move(handlers));
  }
  ~Pair() { ClosePeer(); }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  void SendFromPeer(std::string_view bytes) {
    EXPECT_EQ(send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void ResetPeer() {
    const linger now{1, 0};
    (void)setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ClosePeer();
  }
  void ClosePeer() {
    if (peer >= 0) close(peer);
    peer = -1;
  }
  // More than the kernel takes.
  void WriteMuch() {
    tcp->Write(std::string(32 << 20, 'x'));
    ASSERT_GT(tcp->unsent(), 0u);
  }
  void RunToEnd() {
    loop.After(seconds(10), [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  int peer = -1;
  std::shared_ptr<TcpConnection> tcp;
  std::string received;
  std::optional<TcpEnd> end;
};

// Guards against a connection that failed while it was written to being
// reported as closed in order: whoever wrote took the error off the socket, and
// the read after it found a clean end. Bytes that arrived before are delivered.
TEST(TcpConnection, AFailureSeenByAWriteIsNoOrderlyEnd) {
  const struct {
    const char* name;
    void (*fail)(Pair*);
    TcpEnd end;
  } cases[] = {
      {"closed", [](Pair* p) { p->ClosePeer(); }, TcpEnd::kClosed},
      {"half closed, then written to",
       [](Pair* p) {
         shutdown(p->peer, SHUT_WR);
         p->tcp->Write("x");
       },
       TcpEnd::kClosed},
      {"reset", [](Pair* p) { p->ResetPeer(); }, TcpEnd::kReset},
      {"reset while bytes are unsent",
       [](Pair* p) {
         p->WriteMuch();
         p->ResetPeer();
       },
       TcpEnd::kReset},
      {"closed while bytes are unsent, which resets",
       [](Pair* p) {
         p->WriteMuch();
         p->ClosePeer();
       },
       TcpEnd::kReset},
      {"reset, then written to",
       [](Pair* p) {
         p->ResetPeer();
         p->tcp->Write("x");
       },
       TcpEnd::kReset},
      {"reset, then written to twice",
       [](Pair* p) {
         p->ResetPeer();
         p->tcp->Write("x");
         p->tcp->Write("y");
       },
       TcpEnd::kReset},
      {"closed, then written to twice, of which the first causes a reset",
       [](Pair* p) {
         p->ClosePeer();
         p->tcp->Write("x");
         p->tcp->Write("y");
       },
       TcpEnd::kReset},
      {"reset while reading is paused, then written to",
       [](Pair* p) {
         p->tcp->PauseReading(true);
         p->ResetPeer();
         p->tcp->Write("x");
         p->tcp->PauseReading(false);
       },
       TcpEnd::kReset},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    Pair pair;
    pair.SendFromPeer("part");
    c.fail(&pair);
    pair.RunToEnd();
    EXPECT_EQ(pair.end, c.end);
    EXPECT_EQ(pair.received, "part");
  }
}

// The same of a peer that acknowledges nothing.
TEST(TcpConnection, AWriteThatTimesOutIsNoOrderlyEnd) {
  Pair pair(milliseconds(300));
  pair.SendFromPeer("part");
  pair.WriteMuch();
  pair.RunToEnd();
  EXPECT_EQ(pair.end, TcpEnd::kTimedOut);
  EXPECT_EQ(pair.received, "part");
}

}  // namespace
}  // namespace pinford
