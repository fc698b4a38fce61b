#include "pinford/tcp_connection.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace pinford
