// UpstreamClient over real sockets: a table of endpoint behaviours, how each
// exchange ends, and whether the connection is reused. All of it must be the
// same whether a connection is direct or relayed by a peer.

#include "pinford/forwarding/upstream_client.h"

#include <gtest/gtest.h>

#include "pinford/testing/free_ports.h"
#include "pinford/testing/raw_endpoint.h"
#include "pinford/testing/relaying_peer.h"
#include "util/hash.h"

namespace pinford {
namespace {

using Then = RawEndpoint::Step::Then;

std::string Answer(const std::string& id, const std::string& body,
                   const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Result {
  bool finished = false;
  UpstreamEnd end = UpstreamEnd::kRefused;
  int status = 0;
  std::string body;
};

class Fixture {
 public:
  explicit Fixture(bool relayed = false)
      : relayed(relayed),
        endpoint(&loop),
        peer(&loop),
        client(&loop, Options()) {
    peer.targets["e"] = endpoint.address();
  }

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
    if (relayed) request.relay = peer.HopTo("e");
    request.bytes = "GET / HTTP/1.1\r\nId: " + id + "\r\n\r\n" + body;
    UpstreamHandlers handlers;
    handlers.before_send = before;
    handlers.on_head = [result](const HttpHead& h) {
      result->status = h.status;
    };
    handlers.on_body = [result](std::string b) { result->body += b; };
    handlers.on_end = [this, result](UpstreamEnd end) {
      result->end = end;
      result->finished = true;
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

  bool relayed;
  std::string body;  // of the requests
  EventLoop loop;
  RawEndpoint endpoint;
  RelayingPeer peer;
  UpstreamClient client;
};

TEST(UpstreamClient, ReportsHowAnExchangeEndedAndReusesOnlyCleanConnections) {
  const struct {
    const char* name;
    RawEndpoint::Step step;
    UpstreamEnd end;
    std::string body;
    bool reused;  // the connection also serves the next request
  } cases[] = {
      {"whole", {Answer("1", "ab")}, UpstreamEnd::kComplete, "ab", true},
      {"asks to close",
       {Answer("1", "ab", "Connection: close\r\n")},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"interim response first",
       {"HTTP/1.1 100 Continue\r\n\r\n" + Answer("1", "ab")},
       UpstreamEnd::kComplete,
       "ab",
       true},
      {"an old response first",
       {Answer("0", "old") + Answer("1", "ab")},
       UpstreamEnd::kComplete,
       "ab",
       false},
      {"a second response",
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
      {"truncated",
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nab",
        Then::kClose},
       UpstreamEnd::kTruncated,
       "ab",
       false},
      {"closed without a response",
       {"", Then::kClose},
       UpstreamEnd::kBroken,
       "",
       false},
      {"reset without a response",
       {"", Then::kReset},
       UpstreamEnd::kBroken,
       "",
       false},
      {"not HTTP",
       {"\x01\x02 hello\r\n\r\n"},
       UpstreamEnd::kMalformed,
       "",
       false},
      {"malformed chunks after the first",
       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n" +
        std::string(Fixture::Options().head_bytes + 1, '0')},
       UpstreamEnd::kMalformed,
       "ab",
       false},
      {"malformed chunks",
       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n"},
       UpstreamEnd::kMalformed,
       "",
       false},
  };
  for (const bool relayed : {false, true}) {
    for (const auto& c : cases) {
      SCOPED_TRACE(std::string(c.name) + (relayed ? ", relayed" : ""));
      Fixture f(relayed);
      f.endpoint.steps = {c.step, {Answer("2", "ef")}};
      const Result first = f.Get("1");
      EXPECT_TRUE(first.finished);
      EXPECT_EQ(first.end, c.end);
      EXPECT_EQ(first.body, c.body);
      // Leaves time for surplus bytes to arrive.
      f.RunFor(milliseconds(30));
      const Result second = f.Get("2");
      EXPECT_EQ(second.end, UpstreamEnd::kComplete);
      EXPECT_EQ(second.body, "ef");
      EXPECT_EQ(f.endpoint.connections, c.reused ? 1 : 2);
    }
  }
}

// A response truncated after any of its bytes is never taken for complete, and
// its request is never reported as not sent.
TEST(UpstreamClient, AnAnswerTruncatedAnywhereIsNotComplete) {
  const std::string whole = Answer("1", "hello");
  for (size_t n = 0; n < 2 * whole.size(); n++) {
    Fixture f(n >= whole.size());
    f.endpoint.steps = {{whole.substr(0, n % whole.size()), Then::kClose}};
    const Result r = f.Get("1");
    ASSERT_TRUE(r.finished) << n;
    EXPECT_TRUE(r.end == UpstreamEnd::kBroken ||
                r.end == UpstreamEnd::kTruncated)
        << n;
  }
}

// Guards against a reset that a write to the endpoint notices: a response
// without a length was taken for complete where its endpoint crashed before it
// had read the whole request.
TEST(UpstreamClient, AResetWithinTheRequestDoesNotCompleteAnAnswer) {
  constexpr size_t kMoreThanBuffersHold = 32 << 20;
  const struct {
    const char* name;
    std::string headers;
    Then then;
    UpstreamEnd end;
  } cases[] = {
      {"closed in order", "", Then::kClose, UpstreamEnd::kComplete},
      {"reset", "", Then::kResetUnread, UpstreamEnd::kTruncated},
      {"stream, reset", "Content-Type: text/event-stream\r\n",
       Then::kResetUnread, UpstreamEnd::kTruncated},
  };
  for (const bool relayed : {false, true}) {
    for (const auto& c : cases) {
      SCOPED_TRACE(std::string(c.name) + (relayed ? ", relayed" : ""));
      Fixture f(relayed);
      f.body = std::string(kMoreThanBuffersHold, 'b');
      f.endpoint.steps = {
          {"HTTP/1.1 200 OK\r\nId: 1\r\n" + c.headers + "\r\nab", c.then}};
      const Result result = f.Get("1");
      EXPECT_TRUE(result.finished);
      EXPECT_EQ(result.end, c.end);
      EXPECT_EQ(result.body, "ab");
    }
  }
}

// The response has no length: only the endpoint's own close ends it.
TEST(UpstreamClient, TheLossOfARelayIsNotTheEndOfAnAnswer) {
  Fixture f(true);
  f.endpoint.steps = {{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab"}};
  Result result;
  f.Send("1", &result, f.endpoint.address());
  f.RunFor(milliseconds(50));
  EXPECT_EQ(result.body, "ab");
  std::vector<Address> failed;
  UpstreamClient::Events events;
  events.on_relay_failed = [&](const Address& peer,
                               std::optional<RelayStatus> status) {
    EXPECT_EQ(status, std::nullopt);
    failed.push_back(peer);
  };
  f.client.set_events(std::move(events));
  f.peer.Stop();
  f.RunFor(milliseconds(50));
  EXPECT_EQ(result.end, UpstreamEnd::kRelayLost);
  EXPECT_EQ(failed, std::vector<Address>{f.peer.address});
}

// What a peer replies decides whether the endpoint is at fault. In no case has
// it received anything.
TEST(UpstreamClient, TellsAMissingRelayFromAnUnreachableEndpoint) {
  const struct {
    const char* name;
    std::function<void(RelayingPeer*)> prepare;
    UpstreamEnd end;
  } cases[] = {
      {"its path is lost",
       [](RelayingPeer* p) { p->status = RelayStatus::kNoPath; },
       UpstreamEnd::kNoRelay},
      {"it does not know the endpoint",
       [](RelayingPeer* p) { p->targets.clear(); }, UpstreamEnd::kNoRelay},
      {"it stops", [](RelayingPeer* p) { p->server->BeginStop(); },
       UpstreamEnd::kNoRelay},
      {"it is gone", [](RelayingPeer* p) { p->Stop(); }, UpstreamEnd::kNoRelay},
      {"it relays nothing",  // as boxes of earlier versions
       [](RelayingPeer* p) { p->relays = false; }, UpstreamEnd::kNoRelay},
      {"its key is another",
       [](RelayingPeer* p) { p->codec = PeerCodec("another key"); },
       UpstreamEnd::kNoRelay},
      {"the endpoint refuses",
       [](RelayingPeer* p) { p->targets["e"] = RelayingPeer::Unused(); },
       UpstreamEnd::kRefused},
      {"the endpoint refuses, and it may be its path",
       [](RelayingPeer* p) {
         p->targets["e"] = RelayingPeer::Unused();
         p->at_fault = false;
       },
       UpstreamEnd::kNoRelay},
      {"the same, and that is never known",
       [](RelayingPeer* p) {
         p->targets["e"] = RelayingPeer::Unused();
         p->at_fault = std::nullopt;
       },
       UpstreamEnd::kNoRelay},
  };
  for (const auto& c : cases) {
    Fixture f(true);
    c.prepare(&f.peer);
    const Result r = f.Get("1");
    EXPECT_TRUE(r.finished) << c.name;
    EXPECT_EQ(r.end, c.end) << c.name;
    EXPECT_TRUE(f.endpoint.requests.empty()) << c.name;
  }
}

TEST(UpstreamClient, RelayedConnectionsAreCountedAndBounded) {
  Fixture f(true);
  f.endpoint.steps.assign(RelayingPeer::kMaxRelays + 2, {""});
  std::vector<Result> results(RelayingPeer::kMaxRelays + 1);
  int opened = 0;
  int closed = 0;
  UpstreamClient::Events events;
  events.on_relay_opened = [&](const Address&) { opened++; };
  events.on_relay_closed = [&](const Address&) { closed++; };
  f.client.set_events(std::move(events));
  for (size_t i = 0; i < results.size(); i++) {
    f.Send(std::to_string(i), &results[i], f.endpoint.address());
    f.RunFor(milliseconds(20));
  }
  EXPECT_EQ(opened, RelayingPeer::kMaxRelays);
  EXPECT_EQ(f.peer.server->connections(), RelayingPeer::kMaxRelays);
  EXPECT_EQ(results.back().end, UpstreamEnd::kNoRelay);
  for (UpstreamId id = 1; id <= results.size(); id++) f.client.Cancel(id);
  f.RunFor(milliseconds(50));
  EXPECT_EQ(closed, opened);
  EXPECT_EQ(f.peer.server->connections(), 0);
  EXPECT_EQ(f.endpoint.ended, opened) << "the endpoint learns of it at once";
}

// A silent connection must not be blamed on a peer that was not used.
TEST(UpstreamClient, NamesThePeerThatRelaysAnIdleConnection) {
  for (const bool relayed : {false, true}) {
    Fixture f(relayed);
    f.endpoint.steps = {{Answer("1", "ab")}, {Answer("2", "cd")}};
    EXPECT_EQ(f.Get("1").body, "ab");
    const Address used = f.peer.address;
    f.peer.address = RelayingPeer::Unused();
    Result second;
    const UpstreamId id = f.Send("2", &second, f.endpoint.address());
    EXPECT_EQ(f.client.RelayOf(id),
              relayed ? std::optional(used) : std::nullopt);
    f.RunFor(seconds(2));
    EXPECT_EQ(second.body, "cd");
  }
}

// Guards against a late copy of a response that is taken for the response to a
// later send of the same request: an id is sent once on a connection.
TEST(UpstreamClient, AnIdIsNeverSentTwiceOnAConnection) {
  for (const bool relayed : {false, true}) {
    Fixture f(relayed);
    const char* const ids[] = {"1", "1", "2", "1", "2", "3"};
    for (const char* id : ids) f.endpoint.steps.push_back({Answer(id, "ab")});
    for (const char* id : ids) EXPECT_EQ(f.Get(id).body, "ab");
    // Both connections have carried 1 before it is sent for the third time, and
    // one of them 2; 3 goes on any.
    EXPECT_EQ(f.endpoint.connections, 3) << relayed;
  }
}

// Guards against a response without an id that is taken for the one that is
// due: it may answer an earlier request.
TEST(UpstreamClient, AResponseWithoutAnIdIsOnlyTakenOnANewConnection) {
  const std::string no_id = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";
  for (const bool relayed : {false, true}) {
    Fixture f(relayed);
    f.endpoint.steps = {
        {Answer("1", "ab")}, {no_id}, {no_id}, {Answer("4", "cd")}};
    EXPECT_EQ(f.Get("1").body, "ab");
    const Result reused = f.Get("2");
    EXPECT_EQ(reused.end, UpstreamEnd::kUnidentified);
    EXPECT_EQ(reused.status, 0);
    EXPECT_EQ(f.Get("3").body, "xy");
    EXPECT_EQ(f.Get("4").body, "cd");
    EXPECT_EQ(f.endpoint.connections, 3)
        << "none is kept after such a response";
  }
}

// Guards against a response to an earlier call that is taken for a later one's:
// calls have no id.
TEST(UpstreamClient, ARequestWithoutAnIdUsesANewConnection) {
  for (const bool relayed : {false, true}) {
    Fixture f(relayed);
    f.endpoint.steps = {{Answer("1", "ab")}, {Answer("", "cd")}};
    EXPECT_EQ(f.Get("1").body, "ab");
    EXPECT_EQ(f.Get("").body, "cd");
    EXPECT_EQ(f.endpoint.connections, 2);
  }
}

// Guards against responses to other requests that never end.
TEST(UpstreamClient, ResponsesToOtherRequestsWithoutEndEndTheExchange) {
  std::string many;
  while (many.size() < 1 << 20) many += Answer("0", "other");
  const std::string large =
      "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n" +
      std::string(UpstreamRequest().max_body_bytes + 1, 'x');
  for (const std::string& others : {many, large}) {
    Fixture f;
    f.endpoint.steps = {{others}};
    const Result result = f.Get("1");
    EXPECT_EQ(result.end, UpstreamEnd::kMalformed);
    f.RunFor(milliseconds(20));
    EXPECT_EQ(f.endpoint.ended, 1);
  }
}

TEST(UpstreamClient, AConnectionIsClosedAfterManyRequests) {
  Fixture f;
  const int requests = UpstreamClient::kMaxRequestsPerConnection + 1;
  for (int i = 0; i < requests; i++) {
    const std::string id = std::to_string(i);
    f.endpoint.steps.push_back({Answer(id, "ab")});
    ASSERT_EQ(f.Get(id).end, UpstreamEnd::kComplete);
  }
  EXPECT_EQ(f.endpoint.connections, 2);
}

// Requests are sent several times each, to an endpoint that repeats responses
// at random times: each send gets the response to itself.
TEST(UpstreamClient, RepeatedResponsesAnswerNoOtherSend) {
  constexpr int kSends = 40;
  for (int seed = 0; seed < 20; seed++) {
    Random random(seed);
    Fixture f(seed % 2 == 1);
    for (int i = 0; i < kSends; i++) {
      const std::string id = std::to_string(random() % 4);
      const auto delay = milliseconds(random() % 2 * 4);
      f.endpoint.steps.push_back(
          {Answer(id, "send " + std::to_string(i)), Then::kKeep, delay});
      if (i > 0 && random() % 2 == 0) {
        const size_t connection = random() % f.endpoint.connections;
        f.loop.After(milliseconds(random() % 3),
                     [&f, connection] { f.endpoint.RepeatAnswer(connection); });
      }
      const Result result = f.Get(id);
      ASSERT_EQ(result.body, "send " + std::to_string(i)) << seed;
    }
    EXPECT_LT(f.endpoint.connections, kSends) << "some are reused";
  }
}

// Nobody reads: neither the relay nor the client takes more in.
TEST(UpstreamClient, ARelayHoldsLittleForAClientThatDoesNotRead) {
  Fixture f(true);
  constexpr size_t kBytes = 32 << 20;
  f.endpoint.steps = {{Answer("1", std::string(kBytes, 'x'))}};
  Result result;
  const UpstreamId id = f.Send("1", &result, f.endpoint.address());
  f.RunFor(milliseconds(20));
  f.client.Pause(id, true);
  f.RunFor(milliseconds(300));
  // The rest is in the buffers of the kernel and of the relay.
  constexpr size_t kHeldOnTheWay = 16 << 20;
  EXPECT_GT(f.endpoint.unsent(), kBytes - result.body.size() - kHeldOnTheWay);
  f.client.Pause(id, false);
  f.RunFor(seconds(5));
  EXPECT_EQ(result.end, UpstreamEnd::kComplete);
  EXPECT_EQ(result.body.size(), kBytes);
}

TEST(UpstreamClient, ReportsRequestsThatWereNotSent) {
  Fixture f;
  Result refused;
  f.Send("1", &refused, {"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])});
  f.RunFor(seconds(2));
  EXPECT_EQ(refused.end, UpstreamEnd::kRefused);
  Result withheld;
  f.Send("2", &withheld, f.endpoint.address(), [] { return false; });
  f.RunFor(seconds(2));
  EXPECT_EQ(withheld.end, UpstreamEnd::kWithdrawn);
  f.RunFor(milliseconds(50));
  EXPECT_TRUE(f.endpoint.requests.empty());
}

TEST(UpstreamClient, CancelClosesTheConnectionAtOnce) {
  for (const bool relayed : {false, true}) {
    Fixture f(relayed);
    f.endpoint.steps = {{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab"}};
    Result result;
    const UpstreamId id = f.Send("1", &result, f.endpoint.address());
    f.RunFor(milliseconds(50));
    EXPECT_EQ(result.body, "ab");
    f.client.Cancel(id);
    f.RunFor(milliseconds(50));
    EXPECT_EQ(f.endpoint.ended, 1) << relayed;
    EXPECT_FALSE(result.finished);
  }
}

TEST(UpstreamClient, AnIdleConnectionThatReceivesBytesOrEndsIsDropped) {
  for (const bool relayed : {false, true}) {
    for (Then then : {Then::kClose, Then::kReset}) {
      Fixture f(relayed);
      f.endpoint.steps = {{Answer("1", "ab"), then}, {Answer("2", "cd")}};
      EXPECT_EQ(f.Get("1").end, UpstreamEnd::kComplete);
      f.RunFor(milliseconds(60));
      EXPECT_EQ(f.Get("2").body, "cd");
      EXPECT_EQ(f.endpoint.connections, 2);
    }
  }
}

// The endpoint restarts or is removed while a response is in progress.
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
