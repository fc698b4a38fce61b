#include "pinford/forwarding/tcp_connection.h"

#include <gtest/gtest.h>

#include "pinford/testing/raw_endpoint.h"

namespace pinford {
namespace {

// Closed while it was being made, a connection ended twice: a timer of the
// first end found its memory freed. Found with the address sanitizer.
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
    // Longer than it waits for the peer's end.
    loop.After(milliseconds(1300), [&] { loop.Stop(); });
    loop.Run();
    EXPECT_TRUE(weak.expired()) << writes;
    EXPECT_EQ(sent, 1) << writes;
  }
}

}  // namespace
}  // namespace pinford
