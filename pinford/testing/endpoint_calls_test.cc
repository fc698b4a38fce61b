// EndpointCalls against an endpoint whose answers are scripted: calls have no
// id, and answers may be repeated, or have no end.

#include "pinford/forwarding/endpoint_calls.h"

#include <gtest/gtest.h>

#include "pinford/testing/raw_endpoint.h"

namespace pinford {
namespace {

std::string Answer(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: 0\r\n\r\n";
}

class Fixture {
 public:
  Fixture()
      : endpoint(&loop),
        http(&loop, HttpClient::Options()),
        upstream(&loop, UpstreamClient::Options()),
        table("h", EndpointTable::Options(), Random(1)),
        directory(&table, EndpointDirectory::Options(), {}),
        paths({&loop, nullptr, &directory, &table, &upstream, &metrics, {}, {}},
              "box", "", false),
        calls(&loop, &http, &upstream, &paths) {}

  HttpResult Call(HttpMethod method) {
    HttpCall call;
    call.method = method;
    call.to = endpoint.address();
    call.target = "/";
    HttpResult result;
    calls.Send("a", std::move(call), [&](HttpResult r) {
      result = std::move(r);
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  EventLoop loop;
  RawEndpoint endpoint;
  Metrics metrics;
  HttpClient http;
  UpstreamClient upstream;
  EndpointTable table;
  EndpointDirectory directory;
  EndpointPaths paths;
  EndpointCalls calls;
};

// Guards against a late copy of an order's answer that is taken for the answer
// to the next order.
TEST(EndpointCalls, AnOrderDoesNotGetTheAnswerToAnother) {
  Fixture f;
  constexpr int kConflict = 409;
  f.endpoint.steps = {
      {Answer(202)},
      {Answer(kConflict), RawEndpoint::Step::Then::kKeep, milliseconds(30)}};
  EXPECT_EQ(f.Call(HttpMethod::kPost).status, 202);
  f.loop.After(milliseconds(10), [&f] { f.endpoint.RepeatAnswer(0); });
  EXPECT_EQ(f.Call(HttpMethod::kPost).status, kConflict);
}

TEST(EndpointCalls, ReportsKeepTheirConnection) {
  Fixture f;
  f.endpoint.steps = {{Answer(200)}, {Answer(200)}};
  for (int i = 0; i < 2; i++) f.Call(HttpMethod::kGet);
  EXPECT_EQ(f.endpoint.connections, 1);
}

// Guards against many endpoints that answer reports without end at once.
TEST(EndpointCalls, LittleIsHeldOfAnAnswerWithoutEnd) {
  Fixture f;
  constexpr size_t kSent = 32 << 20;
  f.endpoint.steps = {{"HTTP/1.1 200 OK\r\n\r\n" + std::string(kSent, 'x')}};
  EXPECT_EQ(f.Call(HttpMethod::kGet).transport, Transport::kLost);
  // What is not left here is in the kernel's buffers.
  EXPECT_GT(f.endpoint.unsent(), kSent / 2);
}

}  // namespace
}  // namespace pinford
