#include "pinford/tcp_connection.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace pinford
