// Requests from a caller's socket to an endpoint's and back: the caller's
// response for each behavior of an endpoint.

#include "pinford/forwarding/event_stream.h"
#include "pinford/testing/forwarder_fixture.h"

namespace pinford {
namespace {

using Fixture = ForwarderFixture;
using Then = RawEndpoint::Step::Then;

TEST(Forwarder, CallerResponseForEachEndpointBehavior) {
  const struct {
    const char* name;
    RawEndpoint::Step step;  // of both endpoints, for every request
    std::string once, get;   // expected status, by kind of request
    size_t once_sends, get_sends;
  } cases[] = {
      {"answers", {Sealed("1", "ab")}, "200", "200", 1, 1},
      {"answers 404", {Sealed("1", "", "", 404)}, "404", "404", 1, 1},
      {"fails", {Sealed("1", "", "", 500)}, "500", "500", 1, 2},
      {"is full", {Refused()}, "503", "503", 2, 2},
      {"closes", {"", Then::kClose}, "502", "502", 1, 2},
      {"resets", {"", Then::kReset}, "502", "502", 1, 2},
      {"cuts its answer",
       {Sealed("1", "abcdef").substr(0, 74), Then::kClose},
       "502",
       "502",
       1,
       2},
      {"sends no seal",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
       "502",
       "502",
       1,
       2},
      {"sends 503 without X-Not-Run",
       {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"},
       "502",
       "502",
       1,
       2},
      {"encodes",
       {Sealed("1", "ab", "Content-Encoding: gzip\r\n")},
       "502",
       "502",
       1,
       2},
      {"answers another request first",
       {Sealed("0", "no") + Sealed("1", "ab")},
       "200",
       "200",
       1,
       1},
      {"answers with the connection's end",
       {"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\nab", Then::kClose},
       "200",
       "200",
       1,
       1},
      {"is no HTTP", {"\x02\x03\r\n\r\n"}, "502", "502", 1, 2},
  };
  for (const auto& c : cases) {
    for (const bool once : {true, false}) {
      Fixture f;
      f.Script({c.step, c.step, c.step}, {c.step, c.step, c.step});
      const std::string answer =
          f.SendRequest("GET", once ? "/once/" : "/get/");
      EXPECT_EQ(StatusOf(answer), once ? c.once : c.get) << c.name;
      EXPECT_EQ(f.sends(), once ? c.once_sends : c.get_sends)
          << c.name << " once " << once;
      const bool refused = StatusOf(answer) == "503";
      EXPECT_EQ(answer.find("Retry-After") != std::string::npos, refused)
          << c.name;
      EXPECT_EQ(f.forwarder.active(), 0u) << c.name;
      // The metrics must agree.
      const bool counted_complete =
          f.metrics.Text().find("outcome=\"complete\"") != std::string::npos;
      EXPECT_EQ(counted_complete, StatusOf(answer) == "200") << c.name;
    }
  }
}

TEST(Forwarder, AnUnresponsiveEndpointIsRetriedOnlyIfRepeatable) {
  Fixture f;
  f.Script({}, {});
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/once/", milliseconds(1800))),
            "504");
  EXPECT_EQ(f.sends(), 1u);
  Fixture g;
  g.Script({}, {});
  EXPECT_EQ(StatusOf(g.SendRequest("GET", "/get/", milliseconds(1800))), "504");
  EXPECT_EQ(g.sends(), 2u);
}

// If the configuration becomes stale while a connection is made, nothing is
// sent and the caller gets one refusal.
TEST(Forwarder, WithoutFreshnessNothingIsSentOrRetried) {
  Fixture f;
  f.Script({{Sealed("1", "ab")}}, {{Sealed("1", "ab")}});
  int checks = 0;
  f.context.config_is_fresh = [&checks] { return ++checks == 1; };
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/")), "503");
  EXPECT_EQ(f.sends(), 0u);
  EXPECT_EQ(checks, 2);
  // A missing route or key is not reported either.
  f.context.config_is_fresh = [] { return false; };
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/nowhere/")), "503");
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/", milliseconds(100), "")),
            "503");
  f.context.config_is_fresh = [] { return true; };
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/nowhere/")), "404");
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/", milliseconds(100), "")),
            "401");
}

// A stream that broke was cut at once if the configuration was stale at its
// next send, although the store confirms it within milliseconds.
TEST(Forwarder, AStartedStreamWaitsForFreshness) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset},
            {StreamHead() + Chunk(Event(2)) + "0\r\n\r\n"}},
           {});
  f.loop.After(milliseconds(10), [&f] { f.config_fresh = false; });
  f.loop.After(milliseconds(300), [&f] { f.config_fresh = true; });
  const std::string answer =
      f.SendRequest("GET", "/stream/", milliseconds(700));
  EXPECT_NE(answer.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
      << answer;
  EXPECT_EQ(f.sends(), 2u)
      << "nothing is sent while the configuration is stale";
}

// Callers of routes with a generous latency objective accept pauses of four
// seconds and more. A box cut their streams after 2.5 s, or after twelve
// rejections, while they still waited.
TEST(Forwarder, AStartedStreamWaitsUntilItsCallerLeaves) {
  const RawEndpoint::Step begins = {StreamHead() + Chunk(Event(1)),
                                    Then::kReset};
  const RawEndpoint::Step ends = {StreamHead() + Chunk(Event(2)) + "0\r\n\r\n"};
  const struct {
    const char* name;
    Duration away;    // no endpoint for that long
    size_t refusals;  // after that
  } cases[] = {{"no endpoint", milliseconds(2800), 0},
               {"all reject", milliseconds(0), 13}};
  for (const auto& c : cases) {
    Fixture f;
    f.SetTimeout(seconds(8));
    f.SetEndpoints({"a"});
    std::vector<RawEndpoint::Step> steps = {begins};
    steps.insert(steps.end(), c.refusals, {Refused()});
    steps.push_back(ends);
    f.Script(steps, {});
    if (c.away > Duration(0)) {
      f.loop.After(milliseconds(10), [&f] { f.SetEndpoints({}); });
      f.loop.After(c.away, [&f] { f.SetEndpoints({"a"}); });
    }
    f.SendRequest("GET", "/stream/", milliseconds(100));
    for (int i = 0; i < 60 && !f.ended && f.forwarder.active() > 0; i++) {
      f.RunFor(milliseconds(100));
    }
    EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
        << c.name << f.got;
  }
}

// A box abandoned a stalled attempt before it had picked another target. There
// was none, so the caller was cut although the runner continued.
TEST(Forwarder, AStalledAttemptIsAbandonedOnlyForAnother) {
  for (const bool pool : {true, false}) {
    Fixture f;
    if (pool) {
      f.MakePool();
    } else {
      f.SetEndpoints({"a"});
    }
    f.Script({{StreamHead() + Chunk(Event(1))}}, {});
    f.SendRequest("POST", "/stream/1", milliseconds(30));
    // It finishes its requests and accepts no new ones.
    f.table.OnLeaving("a");
    f.RunFor(milliseconds(400));
    f.a.WriteMore(Chunk(Event(2)) + "0\r\n\r\n");
    f.RunFor(milliseconds(100));
    EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
        << pool << f.got;
    EXPECT_EQ(f.sends(), 1u) << pool;
    EXPECT_EQ(f.forwarder.active(), 0u) << pool;
    EXPECT_EQ(f.table.LoadOf("a"), 0) << pool;
  }
}

// Guards against a second run of a stream because the box was stopped after a
// timer had begun: what came in the meantime is unread when the timer goes on.
TEST(Forwarder, AStreamIsNotSentAgainAfterAStopWithinATimer) {
  Fixture f;
  f.SetEndpoints({"a", "b"});
  const RawEndpoint::Step begin = {StreamHead() + Chunk(Event(1))};
  f.Script({begin}, {begin});
  f.SendRequest("GET", "/stream/1", milliseconds(30));
  RawEndpoint& runner = f.a.requests.empty() ? f.b : f.a;
  f.loop.After(milliseconds(10), [&] {
    runner.WriteMore(Chunk(Event(2)));
    std::this_thread::sleep_for(milliseconds(500));
    f.forwarder.Tick();
  });
  f.RunFor(milliseconds(600));
  runner.WriteMore("0\r\n\r\n");
  f.RunFor(milliseconds(50));
  EXPECT_EQ(f.sends(), 1u);
  EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
      << f.got;
}

TEST(Forwarder, ABrokenStreamResumesAfterItsLastWholeEvent) {
  Fixture f;
  f.SetEndpoints({"a"});
  const std::string part = Event(3).substr(0, 5);
  f.Script(
      {{StreamHead() + Chunk(Event(1)) + Chunk(Event(2) + part), Then::kReset},
       {StreamHead() + Chunk(Event(3)) + "0\r\n\r\n"}},
      {});
  const std::string answer =
      f.SendRequest("GET", "/stream/", milliseconds(600));
  EXPECT_EQ(f.sends(), 2u);
  EXPECT_NE(f.a.requests[1].find("Last-Event-ID: 2"), std::string::npos);
  EXPECT_NE(answer.find(Chunk(Event(3)) + "0\r\n\r\n"), std::string::npos);
  size_t heads = 0;
  for (size_t at = answer.find("HTTP/1.1"); at != std::string::npos;
       at = answer.find("HTTP/1.1", at + 1)) {
    heads++;
  }
  EXPECT_EQ(heads, 1u);
}

// A response may have neither a length nor chunks and end with its connection.
// One that is reset, or a stream that ends inside an event, is incomplete.
TEST(Forwarder, AResponseMayEndWithItsConnection) {
  const std::string plain =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n\r\n";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  const std::string part = Event(2).substr(0, 5);
  const std::string events = Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n";
  const struct {
    const char* name;
    const char* path;
    RawEndpoint::Step first;
    std::string second;  // of the attempt after it, if there is one
    std::string expected;
    size_t sends;
  } cases[] = {
      {"plain", "/get/", {plain + "ab", Then::kClose}, "", "\r\n\r\nab", 1},
      {"plain, reset",
       "/get/",
       {plain + "ab", Then::kReset},
       plain + "cd",
       "\r\n\r\ncd",
       2},
      {"stream",
       "/stream/",
       {stream + Event(1), Then::kClose},
       "",
       Chunk(Event(1)) + "0\r\n\r\n",
       1},
      {"stream that ends inside an event",
       "/stream/",
       {stream + Event(1) + part, Then::kClose},
       stream + Event(2),
       events,
       2},
      {"stream, reset",
       "/stream/",
       {stream + Event(1), Then::kReset},
       stream + Event(2),
       events,
       2},
  };
  for (const auto& c : cases) {
    Fixture f;
    f.SetEndpoints({"a"});
    f.Script({c.first, {c.second, Then::kClose}}, {});
    const std::string answer = f.SendRequest("GET", c.path, milliseconds(600));
    EXPECT_TRUE(answer.ends_with(c.expected)) << c.name << ": " << answer;
    EXPECT_EQ(f.sends(), c.sends) << c.name;
  }
}

// Guards against a cut answer that reaches its caller as a whole success: the
// endpoint crashes while it is still sent the request, within an answer that
// has no length.
TEST(Forwarder, ACrashWithinALongRequestDoesNotCompleteTheAnswer) {
  constexpr size_t kMoreThanBuffersHold = 32 << 20;
  const std::string plain =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n\r\n";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  const struct {
    const char* path;
    std::string first;
    std::string second;  // of the attempt after it, if there is one
    std::string status;
    std::string expected_end;  // "": the answer is cut
  } cases[] = {
      {"/once/", plain + "ab", "", "502", "}"},
      {"/get/", plain + "ab", Sealed("1", "cd"), "200", "\r\n\r\ncd"},
      {"/stream/", stream + Event(1), stream + Event(2), "200",
       Chunk(Event(1)) + Chunk(Event(2)) + "0\r\n\r\n"},
      {"/stream-once/", stream + Event(1), "", "200", ""},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.path);
    Fixture f;
    CallerServer::Limits limits;
    limits.body_bytes = 2 * kMoreThanBuffersHold;
    f.server.set_limits(limits);
    f.SetTimeout(seconds(30));
    f.SetEndpoints({"a"});
    f.Script({{c.first, Then::kResetUnread}, {c.second, Then::kClose}}, {});
    f.SendRequest("POST", c.path, milliseconds(1),
                  "X-Key: key\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(kMoreThanBuffersHold) + "\r\n");
    f.caller->Write(std::string(kMoreThanBuffersHold, 'b'));
    EXPECT_TRUE(f.RunUntil([&f] { return f.ended; }));
    EXPECT_EQ(StatusOf(f.got), c.status);
    if (c.expected_end.empty()) {
      EXPECT_FALSE(f.got.ends_with("0\r\n\r\n")) << f.got;
    } else {
      EXPECT_TRUE(f.got.ends_with(c.expected_end)) << f.got;
    }
    EXPECT_EQ(f.sends(), c.second.empty() ? 1u : 2u);
  }
}

// Guards against bytes of a runner in trouble that reach a caller as an answer:
// a status that no response has, or a field name that is no token. Such a
// request may have run.
TEST(Forwarder, AHeadThatIsNoHttpIsNeverPassedOn) {
  const struct {
    const char* status;
    const char* field;
  } heads[] = {
      {"000 X", ""},          {"099 X", ""},        {"101 X", ""},
      {"600 X", ""},          {"999 X", ""},        {"200 OK", "A B: c"},
      {"200 OK", "A\x01: c"}, {"200 OK", "A\t: c"},
  };
  const struct {
    const char* path;
    const char* type;
    std::string second;  // of the attempt after it, if there is one
    std::string status;
  } routes[] = {
      {"/once/", "", "", "502"},
      {"/get/", "", Sealed("1", "cd"), "200"},
      {"/stream-once/", "Content-Type: text/event-stream\r\n", "", "502"},
      {"/stream/", "Content-Type: text/event-stream\r\n",
       StreamHead() + Chunk(Event(2)) + "0\r\n\r\n", "200"},
  };
  for (const auto& head : heads) {
    for (const auto& route : routes) {
      for (const bool has_length : {false, true}) {
        const std::string body = Event(1);
        std::string first = std::string("HTTP/1.1 ") + head.status + "\r\n" +
                            "X-Pinford-Request: 1\r\nX-Seal: wrong\r\n" +
                            route.type;
        if (*head.field != '\0') first += std::string(head.field) + "\r\n";
        if (has_length)
          first += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        SCOPED_TRACE(route.path + std::string(" ") + first);
        Fixture f;
        f.SetEndpoints({"a"});
        f.Script({{first + "\r\n" + body, Then::kClose}, {route.second}}, {});
        const std::string answer =
            f.SendRequest("POST", route.path, milliseconds(1),
                          "X-Key: key\r\nConnection: close\r\n");
        EXPECT_TRUE(f.RunUntil([&f] { return f.ended; }));
        EXPECT_EQ(StatusOf(f.got), route.status) << f.got;
        EXPECT_EQ(f.got.find("wrong"), std::string::npos) << f.got;
        EXPECT_EQ(f.got.find(Event(1)), std::string::npos) << f.got;
        EXPECT_EQ(f.sends(), route.second.empty() ? 1u : 2u);
      }
    }
  }
}

// Nothing resumes it, so its caller must not take it for complete.
TEST(Forwarder, AStreamThatEndsInsideAnEventIsNotComplete) {
  Fixture f;
  f.context.mechanisms.Disable(Mechanism::kResume);
  const RawEndpoint::Step step = {
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n"
      "Content-Type: text/event-stream\r\n\r\n" +
          Event(1) + Event(2).substr(0, 5),
      Then::kClose};
  f.Script({step}, {step});
  const std::string answer =
      f.SendRequest("GET", "/stream/", milliseconds(400));
  EXPECT_TRUE(f.ended);
  EXPECT_NE(answer.find(Chunk(Event(1))), std::string::npos);
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(answer.find(Event(2).substr(0, 5)), std::string::npos);
}

// Guards against a second copy of a rejection that is taken for the response to
// the next attempt, which the same endpoint runs.
TEST(Forwarder, ACopyOfARejectionIsNotTheNextAttemptsResponse) {
  Fixture f;
  f.MakePool({"b", "c"});
  const std::string stream = StreamHead() + Chunk(Event(1)) + "0\r\n\r\n";
  f.Script({{RefusedById("1", f.b.address())},
            {stream, Then::kKeep, milliseconds(50)}},
           {});
  f.SendRequest("POST", "/stream-once/", milliseconds(30));
  ASSERT_EQ(f.a.requests.size(), 2u);
  f.a.RepeatAnswer(0);
  f.RunFor(milliseconds(100));
  EXPECT_EQ(StatusOf(f.got), "200");
  EXPECT_TRUE(f.got.ends_with(Chunk(Event(1)) + "0\r\n\r\n")) << f.got;
  EXPECT_EQ(f.a.requests.size(), 2u);
}

// Guards against a rejection without an id on a reused connection: it may be a
// copy of an earlier one, so the request may have run.
TEST(Forwarder, ARejectionWithoutAnIdIsNoPromiseOnAReusedConnection) {
  for (const bool once : {true, false}) {
    Fixture f;
    f.SetEndpoints({"a"});
    f.Script({{Sealed("1", "ab")}, {Refused()}, {Sealed("2", "cd")}}, {});
    const char* path = once ? "/once/" : "/get/";
    EXPECT_EQ(StatusOf(f.SendRequest("GET", path, milliseconds(50))), "200");
    const std::string answer =
        f.SendRequest("GET", path, milliseconds(100), "X-Key: key\r\n", "2");
    EXPECT_EQ(StatusOf(answer), once ? "502" : "200");
    EXPECT_EQ(f.sends(), once ? 2u : 3u);
  }
}

// Heads by which no response of an endpoint to this request begins.
struct UnusableHead {
  const char* name;
  std::string head;
};

const UnusableHead kUnusableHeads[] = {
    {"gzip", StreamHead("Content-Encoding: gzip\r\n")},
    {"identity", StreamHead("Content-Encoding: identity\r\n")},
    {"an empty encoding", StreamHead("Content-Encoding:\r\n")},
    {"two encodings",
     StreamHead("Content-Encoding: gzip\r\nContent-Encoding: br\r\n")},
    {"not run", StreamHead("X-Not-Run: 1\r\n")},
    {"no seal",
     "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\n"
     "Content-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n"},
    {"a coded transfer",
     "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n"
     "Content-Type: text/event-stream\r\n"
     "Transfer-Encoding: gzip, chunked\r\n\r\n"},
};

// Guards against passing on a stream of which only its end shows that it is no
// response of the endpoint, and another endpoint's stream behind it.
TEST(Forwarder, AnUnusableStreamIsNeverPassedOn) {
  for (const UnusableHead& c : kUnusableHeads) {
    for (const bool once : {false, true}) {
      SCOPED_TRACE(std::string(c.name) + (once ? ", at most once" : ""));
      Fixture f;
      f.SetEndpoints({"a"});
      const std::string whole = Chunk(Event(1)) + "0\r\n\r\n";
      f.Script({{c.head + Chunk("id: 1\ndata: bad\n\n") + "0\r\n\r\n"},
                {StreamHead() + whole}},
               {});
      const std::string answer =
          f.SendRequest("GET", once ? "/stream-once/" : "/stream/");
      EXPECT_EQ(answer.find("bad"), std::string::npos) << answer;
      EXPECT_EQ(StatusOf(answer), once ? "502" : "200");
      EXPECT_EQ(answer.ends_with("\r\n\r\n" + whole), !once) << answer;
      EXPECT_EQ(f.sends(), once ? 1u : 2u);
    }
  }
}

// Guards against such a stream behind events that were passed on before.
TEST(Forwarder, AnUnusableStreamNeverContinuesAStartedOne) {
  const std::string rest = Chunk(Event(2)) + "0\r\n\r\n";
  for (const UnusableHead& c : kUnusableHeads) {
    for (const int attempts : {2, 3}) {
      SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(attempts));
      Fixture f;
      f.SetEndpoints({"a"});
      f.EditRoutes([attempts](Route* r) { r->max_attempts = attempts; });
      f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset},
                {c.head + Chunk("id: 2\ndata: bad\n\n") + "0\r\n\r\n"},
                {StreamHead() + rest}},
               {});
      const std::string answer = f.SendRequest("GET", "/stream/");
      EXPECT_EQ(answer.find("bad"), std::string::npos) << answer;
      EXPECT_EQ(f.sends(), static_cast<size_t>(attempts));
      const bool resumed = attempts == 3;
      const std::string end = Chunk(Event(1)) + (resumed ? rest : "");
      EXPECT_TRUE(answer.ends_with(end)) << answer;
      EXPECT_EQ(f.ended, !resumed);
    }
  }
}

// The rest of such a response is of no use to anyone.
TEST(Forwarder, AnUnusableResponseIsNotAwaited) {
  for (const char* path : {"/get/", "/once/", "/stream/", "/stream-once/"}) {
    Fixture f;
    f.SetEndpoints({"a"});
    f.Script({{StreamHead("Content-Encoding: gzip\r\n") + Chunk("x")}}, {});
    f.SendRequest("GET", path, milliseconds(100));
    EXPECT_EQ(f.a.ended, 1) << path;
  }
}

// Guards against an event that never ends: its stream goes on elsewhere.
TEST(Forwarder, AnEventWithoutEndIsGivenUp) {
  const std::string endless(2 * EventStream::kMaxEventBytes, 'x');
  for (const bool once : {false, true}) {
    Fixture f;
    f.SetEndpoints({"a"});
    const std::string rest = Chunk(Event(2)) + "0\r\n\r\n";
    f.Script({{StreamHead() + Chunk(Event(1)) + Chunk(endless)},
              {StreamHead() + rest}},
             {});
    const std::string answer =
        f.SendRequest("GET", once ? "/stream-once/" : "/stream/");
    EXPECT_EQ(answer.ends_with(Chunk(Event(1)) + rest), !once);
    EXPECT_EQ(f.ended, once) << "cut";
    EXPECT_EQ(f.sends(), once ? 1u : 2u);
    EXPECT_EQ(f.a.ended, 1) << "its connection is closed";
  }
}

// Guards against many bodies that never end: their total is bounded, and the
// longest is given up.
TEST(Forwarder, BodiesWithoutEndAreHeldWithinABound) {
  const std::string endless =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n\r\n" +
      std::string(Forwarder::kMaxCollectedBytes * 5 / 8, 'x');
  Fixture f;
  f.SetTimeout(seconds(60));
  f.Script({{endless}, {endless}}, {{endless}, {endless}});
  f.SendRequest("GET", "/once/", milliseconds(10));
  const std::shared_ptr<TcpConnection> first = f.caller;
  EXPECT_TRUE(f.RunUntil([&f] {
    return f.forwarder.collected_bytes() > Forwarder::kMaxCollectedBytes / 2;
  }));
  f.SendRequest("GET", "/once/", milliseconds(10));
  EXPECT_TRUE(f.RunUntil([&f] {
    EXPECT_LE(f.forwarder.collected_bytes(), Forwarder::kMaxCollectedBytes);
    return f.a.ended + f.b.ended > 0;
  }));
  EXPECT_EQ(f.sends(), 2u);
  EXPECT_EQ(f.a.ended + f.b.ended, 1) << "one of them is given up";
  EXPECT_EQ(f.forwarder.active(), 1u);
}

// Guards against large errors that are kept for callers while their requests
// are tried again, beside the bound on all that is collected.
TEST(Forwarder, ErrorsThatAreKeptAreHeldWithinTheBoundToo) {
  const std::string large(Forwarder::kMaxCollectedBytes * 5 / 8, 'x');
  const RawEndpoint::Step silent;
  Fixture f;
  f.SetTimeout(seconds(60));
  f.SetEndpoints({"a"});
  f.Script({{Sealed("1", large, "", 500)},
            silent,
            {Sealed("2", large, "", 500)},
            silent},
           {});
  f.SendRequest("GET", "/get/", milliseconds(10));
  const std::shared_ptr<TcpConnection> first = f.caller;
  EXPECT_TRUE(f.RunUntil([&f] { return f.sends() == 2; }));
  EXPECT_GE(f.forwarder.collected_bytes(), large.size());
  f.SendRequest("GET", "/get/", milliseconds(10), "X-Key: key\r\n", "2");
  EXPECT_TRUE(f.RunUntil([&f] { return f.sends() == 4; }));
  EXPECT_GE(f.forwarder.collected_bytes(), large.size());
  EXPECT_LE(f.forwarder.collected_bytes(), Forwarder::kMaxCollectedBytes);
  EXPECT_EQ(f.forwarder.active(), 2u) << "both are still tried";
}

// The caller already has the head of a stream, which no other response can
// follow.
TEST(Forwarder, ANonStreamAnswerEndsAStartedStream) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset},
            {Sealed("1", "whole"), Then::kKeep}},
           {});
  const std::string answer =
      f.SendRequest("GET", "/stream/", milliseconds(400));
  EXPECT_EQ(f.sends(), 2u);
  EXPECT_TRUE(f.ended);
  EXPECT_EQ(answer.find("whole"), std::string::npos);
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
}

TEST(Forwarder, AFailedStreamIsNotReportedComplete) {
  Fixture f;
  f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset},
            {StreamHead() + Chunk(Event(2)), Then::kReset}},
           {{StreamHead() + Chunk(Event(1)), Then::kReset},
            {StreamHead() + Chunk(Event(2)), Then::kReset}});
  const std::string answer =
      f.SendRequest("GET", "/stream/", milliseconds(1200));
  EXPECT_TRUE(f.ended);
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(f.sends(), 2u) << "the route allows two";
}

// Some endpoints are removed from the list without announcing that they leave,
// and serve on for seconds. Their requests finish there; no new ones are sent.
TEST(Forwarder, ADelistedEndpointFinishesItsRequests) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{StreamHead() + Chunk(Event(1))}}, {{Sealed("1", "ab")}});
  f.SendRequest("GET", "/stream/", milliseconds(40));
  f.SetEndpoints({"b"});
  f.upstream.DropConnections("a");
  f.forwarder.RemoveEndpoint("a");
  f.a.WriteMore(Chunk(Event(2)) + "0\r\n\r\n");
  f.RunFor(milliseconds(40));
  EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(f.sends(), 1u);
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/")), "200");
  EXPECT_EQ(f.a.requests.size(), 1u);
  EXPECT_EQ(f.b.requests.size(), 1u);
}

// A rejection names the stage at fault but not the fault. Only a probe of that
// stage shows whether it is down or full.
TEST(Forwarder, AStageNamedInARejectionIsProbedAtOnce) {
  const struct {
    const char* name;
    bool works;
    bool takes_work_later;
  } cases[] = {{"dead", false, false}, {"full", true, true}};
  for (const auto& c : cases) {
    Fixture f;
    f.MakePool();
    if (!c.works) f.unresponsive = {"b"};
    const std::string refusal =
        "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-At-Fault: " +
        f.b.address().ToString() + "\r\nContent-Length: 0\r\n\r\n";
    f.Script({{refusal, Then::kKeep}}, {});
    // Before it is probed again as one that is down (impaired_probe_interval,
    // 400 ms).
    const std::string got =
        f.SendRequest("POST", "/stream/1", milliseconds(200));
    EXPECT_EQ(StatusOf(got), "503") << c.name;
    // Only once, however often it is named within that time.
    EXPECT_EQ(f.probed, std::vector<std::string>{"b"}) << c.name;
    const Time later = f.loop.now() + seconds(1);
    EXPECT_EQ(f.table.TakesNewWork(later, "b"), c.takes_work_later) << c.name;
    EXPECT_TRUE(f.table.TakesNewWork(later, "a")) << c.name;
  }
}

// A box whose link was saturated by sending a large configuration to its peers
// got no responses to its probes. It marked all runners of a chain down at once
// and abandoned streams that were progressing.
TEST(Forwarder, NoRunnerIsMarkedDownWhenNoneAnswers) {
  Fixture f;
  f.MakePool({"c", "d"});
  f.Script({{StreamHead() + Chunk(Event(1))}}, {});
  f.SendRequest("POST", "/stream/1", milliseconds(30));
  const std::string stage = f.BusyRunners().at(0);
  f.context.probe = [&f](const std::string& endpoint,
                         const std::function<void(RunnerHealth)>& fn) {
    f.probed.push_back(endpoint);
    const bool unresponsive = f.unresponsive.contains(endpoint);
    f.loop.After(milliseconds(unresponsive ? 30 : 2), [&f, unresponsive, fn] {
      fn(unresponsive ? RunnerHealth() : f.health);
    });
  };
  int events = 1;
  f.loop.Every(milliseconds(20),
               [&] { f.a.WriteMore(Chunk(Event(++events))); });
  const std::vector<std::string> all = {"a", "c", "d"};
  const auto probe_all = [&] {
    for (const std::string& name : all) f.forwarder.ProbeIfDue(name);
    f.RunFor(milliseconds(200));
  };
  f.unresponsive = {all.begin(), all.end()};
  probe_all();
  EXPECT_GE(f.probed.size(), 2 * all.size()) << "each is probed again";
  for (const std::string& name : all) {
    EXPECT_FALSE(f.forwarder.watch()->IsDown(name)) << name;
  }
  EXPECT_TRUE(f.reroutes.empty());
  // The link works again, and one runner is down.
  f.unresponsive = {stage};
  probe_all();
  for (const std::string& name : all) {
    EXPECT_EQ(f.forwarder.watch()->IsDown(name), name == stage) << name;
  }
  EXPECT_EQ(f.reroutes.size(), 1);
  EXPECT_EQ(f.sends(), 1);
}

// Runners that fail together are detected one after the other: the second while
// the first one is still being replaced.
// Guards against load that stays booked for good when a stream ends while a
// change of its chain is under way.
TEST(Forwarder, AnEndedStreamLeavesNoLoadOfARequestedChain) {
  for (const bool replied : {true, false}) {
    for (const bool caller_leaves : {true, false}) {
      Fixture f;
      f.MakePool({"c", "d", "e"});
      f.Script({{StreamHead() + Chunk(Event(1))}}, {});
      f.SendRequest("POST", "/stream-once/", milliseconds(30));
      const std::vector<std::string> first = f.BusyRunners();
      ASSERT_EQ(first.size(), 1);
      f.unresponsive.insert(first[0]);
      f.forwarder.ProbeIfDue(first[0]);
      ASSERT_EQ(f.reroutes.size(), 1);
      EXPECT_EQ(f.BusyRunners().size(), 2);
      if (caller_leaves) {
        f.caller->Close();
      } else {
        f.a.ResetAll();
      }
      f.RunFor(milliseconds(50));
      if (replied) f.reroutes[0].second({RerouteStatus::kDone, ""});
      EXPECT_EQ(f.BusyRunners(), std::vector<std::string>{});
      EXPECT_EQ(f.table.LoadOf("a"), 0);
      EXPECT_EQ(f.forwarder.active(), 0u);
    }
  }
}

TEST(Forwarder, AFailedReplacementIsReplaced) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{StreamHead() + Chunk(Event(1))}}, {});
  f.SendRequest("POST", "/stream/1", milliseconds(30));
  const std::vector<std::string> first = f.BusyRunners();
  ASSERT_EQ(first.size(), 1);
  f.unresponsive.insert(first[0]);
  f.forwarder.ProbeIfDue(first[0]);
  ASSERT_EQ(f.reroutes.size(), 1);
  const Address second_at = f.reroutes[0].first[1].at;
  std::string second;
  for (const auto& [name, row] : f.table.rows()) {
    if (row.listed.address == second_at) second = name;
  }
  f.unresponsive.insert(second);
  f.forwarder.ProbeIfDue(second);
  EXPECT_EQ(f.reroutes.size(), 1);  // a reroute is in progress
  f.reroutes[0].second({RerouteStatus::kDone, ""});
  ASSERT_EQ(f.reroutes.size(), 2);
  EXPECT_NE(f.reroutes[1].first[1].at, second_at);
  f.reroutes[1].second({RerouteStatus::kDone, ""});
  EXPECT_EQ(f.reroutes.size(), 2);
  ASSERT_EQ(f.BusyRunners().size(), 1);
  EXPECT_NE(f.BusyRunners()[0], first[0]);
  EXPECT_NE(f.BusyRunners()[0], second);
}

// A restarted stage has lost its layers and prefilled tokens. The stream moves
// to other runners, at once if Mechanism::kMoveAtRestart is on.
TEST(Forwarder, ARestartedStageIsReplaced) {
  for (const bool on : {true, false}) {
    Fixture f;
    if (!on) f.context.mechanisms.Disable(Mechanism::kMoveOnRestart);
    f.MakePool({"c", "d", "e"});
    f.Script({{StreamHead() + Chunk(Event(1))}}, {});
    f.SendRequest("POST", "/stream/1", milliseconds(30));
    ASSERT_EQ(f.BusyRunners().size(), 1);
    const std::string stage = f.BusyRunners()[0];
    f.table.OnRestart(f.loop.now(), stage);
    f.forwarder.OnRestart(stage);
    EXPECT_EQ(f.reroutes.size(), on ? 1 : 0);
    EXPECT_EQ(f.table.LoadOf(stage), 0);
    EXPECT_FALSE(f.forwarder.watch()->IsDown(stage));
    if (!on) continue;
    f.reroutes[0].second({RerouteStatus::kDone, ""});
    EXPECT_EQ(f.table.rows().at(stage).lost.streams, 0);
    ASSERT_EQ(f.BusyRunners().size(), 1);
    EXPECT_NE(f.BusyRunners()[0], stage);
  }
}

// The result of a probe of the previous incarnation arrives after a restart.
TEST(Forwarder, ProbeResultsOfAnEarlierIncarnationAreIgnored) {
  Fixture f;
  f.MakePool({"c", "d"});
  std::function<void(RunnerHealth)> answer;
  f.context.probe = [&answer](const std::string&,
                              std::function<void(RunnerHealth)> fn) {
    answer = std::move(fn);
  };
  f.forwarder.ProbeIfDue("c");
  ASSERT_TRUE(answer);
  f.table.OnRestart(f.loop.now(), "c");
  f.forwarder.OnRestart("c");
  answer({});
  EXPECT_FALSE(f.forwarder.watch()->IsDown("c"));
  EXPECT_FALSE(f.table.rows().at("c").down);
}

// The result of a reroute names the replacement that cannot take the layers. It
// is probed and not picked for a short time.
TEST(Forwarder, AReplacementWithoutTheLayersIsProbed) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{StreamHead() + Chunk(Event(1))}}, {});
  f.SendRequest("POST", "/stream/1", milliseconds(30));
  f.unresponsive.insert(f.BusyRunners().at(0));
  f.forwarder.ProbeIfDue(f.BusyRunners().at(0));
  ASSERT_EQ(f.reroutes.size(), 1);
  const Address named = f.reroutes[0].first[1].at;
  f.probed.clear();
  f.reroutes[0].second({RerouteStatus::kRefusedByStage, named.ToString()});
  ASSERT_EQ(f.probed.size(), 1);
  EXPECT_EQ(f.table.AddressOf(f.probed[0]), named);
  EXPECT_FALSE(f.table.TakesNewWork(f.loop.now(), f.probed[0]));
}

// Retries run out when a pool loses runners. A started stream waits for one
// rather than being cut.
TEST(Forwarder, AStartedStreamWaitsForARetry) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset},
            {StreamHead() + Chunk(Event(2)) + "0\r\n\r\n"}},
           {});
  RetryShare::Options none;
  none.ratio = none.extra = 0;
  f.retries.set_options(none);
  f.loop.After(milliseconds(400),
               [&f] { f.retries.set_options(RetryShare::Options()); });
  f.SendRequest("POST", "/stream/x", milliseconds(300));
  EXPECT_FALSE(f.ended);
  EXPECT_EQ(f.sends(), 1);
  f.RunFor(milliseconds(400));
  EXPECT_EQ(f.sends(), 2);
  EXPECT_NE(f.got.find("0\r\n\r\n"), std::string::npos) << f.got;
}

// Only its box can recover a stalled stream. After a failed reroute, and
// without a retry left, the box tries again until a replacement takes the
// layers.
TEST(Forwarder, AStreamWithoutAStageReevaluates) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  RetryShare::Options none;
  none.ratio = none.extra = 0;
  f.retries.set_options(none);
  f.Script({{StreamHead() + Chunk(Event(1))}}, {});
  f.SendRequest("POST", "/stream/1", milliseconds(30));
  f.unresponsive.insert(f.BusyRunners().at(0));
  f.forwarder.ProbeIfDue(f.BusyRunners().at(0));
  ASSERT_EQ(f.reroutes.size(), 1);
  f.unresponsive.clear();
  f.reroutes[0].second(
      {RerouteStatus::kRefusedByStage, f.reroutes[0].first[1].at.ToString()});
  f.RunFor(milliseconds(150));
  ASSERT_GE(f.reroutes.size(), 2);
  EXPECT_NE(f.reroutes[1].first[1].at, f.reroutes[0].first[1].at);
  f.reroutes[1].second({RerouteStatus::kDone, ""});
  f.RunFor(milliseconds(100));
  EXPECT_EQ(f.reroutes.size(), 2) << "it resumes";
}

// Without Mechanism::kStageReplacement no stage is replaced, even though the
// recovery is decided again and again.
TEST(Forwarder, StagesAreReplacedOnlyIfEnabled) {
  for (const bool on : {true, false}) {
    Fixture f;
    if (!on) f.context.mechanisms.Disable(Mechanism::kStageReplacement);
    f.MakePool({"c", "d", "e"});
    RetryShare::Options none;
    none.ratio = none.extra = 0;
    f.retries.set_options(none);
    f.Script({{StreamHead() + Chunk(Event(1))}}, {});
    f.SendRequest("POST", "/stream/1", milliseconds(30));
    f.unresponsive.insert(f.BusyRunners().at(0));
    f.forwarder.ProbeIfDue(f.BusyRunners().at(0));
    f.RunFor(milliseconds(200));
    EXPECT_EQ(!f.reroutes.empty(), on);
  }
}

// With runners of other halls, all tokens so far would be transferred twice.
TEST(Forwarder, ReplacementsComeFromTheStagesHall) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{StreamHead() + Chunk(Event(1))}}, {});
  f.SendRequest("POST", "/stream/1", milliseconds(30));
  const std::string lost = f.BusyRunners().at(0);
  std::string near;
  std::vector<ListedEndpoint> list;
  for (const auto& [name, row] : f.table.rows()) {
    ListedEndpoint e = row.listed;
    const bool here = name == "a" || name == lost || near.empty();
    if (name != "a" && name != lost && here) near = name;
    e.hall = here ? "h" : "elsewhere";
    list.push_back(e);
  }
  f.table.OnList(list);
  f.table.SetSlowdown(near, 3);  // costs more than the others
  f.unresponsive.insert(lost);
  f.forwarder.ProbeIfDue(lost);
  ASSERT_EQ(f.reroutes.size(), 1);
  EXPECT_EQ(f.reroutes[0].first[1].at, f.table.AddressOf(near));
}

// While events arrive well within the allowed pause, staying is cheaper than
// prefilling all tokens again elsewhere.
TEST(Forwarder, AStreamStaysWithASlowStage) {
  for (const bool timed : {true, false}) {
    Fixture f;
    if (!timed) f.context.mechanisms.Disable(Mechanism::kTimedRecovery);
    f.MakePool({"c", "d"});
    f.Script({{StreamHead() + Chunk(Event(1))}}, {});
    f.SendRequest("POST", "/stream/1", milliseconds(30));
    f.a.WriteMore(Chunk(Event(2)));
    f.RunFor(milliseconds(30));
    f.health.slowdown = 3;
    f.forwarder.ProbeIfDue(f.BusyRunners().at(0));
    EXPECT_EQ(f.reroutes.size(), timed ? 0 : 1);
  }
}

// Prompts were sent to a runner twelve times too slow for 9 s: before the first
// event, missing progress was not noticed and no stage was probed.
TEST(Forwarder, StagesDelayingAFirstEventAreProbed) {
  Fixture f;
  f.MakePool({"c"});
  f.Script({{"", Then::kKeep}}, {});
  f.health.slowdown = 12;
  // Longer than 0.45 of the route's latency objective of 600 ms.
  f.SendRequest("POST", "/stream/1", milliseconds(400));
  EXPECT_NE(std::find(f.probed.begin(), f.probed.end(), "c"), f.probed.end());
  EXPECT_EQ(f.table.rows().at("c").slowdown, 12);
}

// The last retry is reserved for the callers that would lose most.
TEST(Forwarder, StartedStreamsAndUrgentRequestsGetTheLastRetry) {
  const struct {
    const char* path;
    Tier tier;
    std::string first;  // sent by the first endpoint before it resets
    int sends;
  } cases[] = {
      {"/get/x", Tier::kStandard, "", 1},
      {"/get/x", Tier::kCritical, "", 2},
      {"/stream/x", Tier::kStandard, "", 1},
      {"/stream/x", Tier::kStandard, StreamHead() + Chunk(Event(1)), 2},
  };
  for (const auto& c : cases) {
    Fixture f;
    const std::string rest = c.first.empty()
                                 ? Sealed("1", "ab")
                                 : StreamHead() + Chunk(Event(2)) + "0\r\n\r\n";
    f.Script({{c.first, Then::kReset}, {rest}}, {});
    f.SetEndpoints({"a"});
    f.context.classify = [&c](const RequestFacts&) {
      RequestClass request_class;
      request_class.tier = c.tier;
      return request_class;
    };
    RetryShare::Options one;
    one.ratio = 0;
    one.extra = 1 / one.safety_factor;
    f.retries.set_options(one);
    f.SendRequest("POST", c.path);
    EXPECT_EQ(f.sends(), c.sends) << c.path << " " << TierName(c.tier);
  }
}

// Requests that arrive before a new box has its first configuration wait for
// it, for a short time.
TEST(Forwarder, ACallerWaitsForTheFirstConfiguration) {
  Fixture f;
  f.Script({{Sealed("1", "x")}}, {{Sealed("1", "x")}});
  auto routes =
      std::make_shared<RouteTable>(std::make_shared<ServiceConfiguration>(
          f.forwarder.routes()->configuration()));
  f.forwarder.set_routes(nullptr);
  f.loop.After(milliseconds(40), [&f, &routes] {
    f.forwarder.set_routes(routes);
    f.forwarder.AdmitWaiting();
  });
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/1")), "200");
  EXPECT_EQ(f.callers_waiting, 1);
  // Later configurations make no request wait.
  EXPECT_EQ(f.sends(), 1);
}

TEST(Forwarder, WithoutAConfigurationACallerIsSoonRefused) {
  Fixture f;
  f.forwarder.set_routes(nullptr);
  EXPECT_EQ(f.SendRequest("GET", "/get/1", StartQueueOptions().max_wait / 2),
            "");
  const std::string got = f.SendRequest("GET", "/get/1", milliseconds(200));
  EXPECT_EQ(StatusOf(got), "503");
  EXPECT_NE(got.find("Retry-After"), std::string::npos);
  EXPECT_EQ(f.sends(), 0);
}

TEST(StartQueue, IsBoundedAndKeepsTheOrder) {
  StartQueueOptions options;
  options.max_items = 2;
  StartQueue<int> queue(options);
  const Time now = Time{} + seconds(1);
  EXPECT_TRUE(queue.Add(now, 1));
  EXPECT_TRUE(queue.Add(now + milliseconds(10), 2));
  EXPECT_FALSE(queue.Add(now + milliseconds(10), 3));
  EXPECT_TRUE(queue.PopExpired(now + milliseconds(99)).empty());
  EXPECT_EQ(queue.PopExpired(now + options.max_wait), std::vector<int>{1});
  EXPECT_TRUE(queue.Add(now + options.max_wait, 3));
  EXPECT_EQ(queue.PopAll(), (std::vector<int>{2, 3}));
  EXPECT_TRUE(queue.PopAll().empty());
}

TEST(Forwarder, CancelsWhenTheCallerDisconnects) {
  Fixture f;
  f.Script({{StreamHead() + Chunk(Event(1))}},
           {{StreamHead() + Chunk(Event(1))}});
  f.SendRequest("GET", "/stream/", milliseconds(60));
  EXPECT_EQ(f.forwarder.active(), 1u);
  f.caller->Close();
  f.RunFor(milliseconds(60));
  EXPECT_EQ(f.forwarder.active(), 0u);
  EXPECT_EQ(f.a.ended + f.b.ended, 1);
}

// An answer of `size` bytes to a caller that reads nothing for half a second
// and then everything. Returns how much of it the box had not taken from the
// endpoint by then.
static size_t LeftAtEndpoint(const std::string& path, const std::string& answer,
                             size_t size) {
  Fixture f;
  f.SetTimeout(seconds(10));
  f.SetEndpoints({"a"});
  f.Script({{answer}}, {});
  f.SendRequest(path == "/stream/x" ? "POST" : "GET", path, milliseconds(0));
  f.caller->PauseReading(true);
  f.RunFor(milliseconds(500));
  const size_t left = f.a.unsent();
  f.caller->PauseReading(false);
  for (int i = 0; i < 50 && f.got.size() < size; i++) {
    f.RunFor(milliseconds(100));
  }
  EXPECT_GE(f.got.size(), size) << "the whole answer is delivered";
  return left;
}

// An endpoint cuts off an answer that stays unread for some seconds.
TEST(Forwarder, AnAnswerOfUsualSizeIsTakenThoughItsCallerReadsSlowly) {
  constexpr size_t kBytes = 200 << 10;
  const std::string body(kBytes, 'x');
  EXPECT_EQ(LeftAtEndpoint("/get/x", Sealed("1", body), kBytes), 0u);
  const std::string event = "id: 1\ndata: " + body + "\n\n";
  const std::string stream = StreamHead() + Chunk(event) + "0\r\n\r\n";
  EXPECT_EQ(LeftAtEndpoint("/stream/x", stream, kBytes), 0u);
}

constexpr size_t kLargeAnswerBytes = 60 << 20;
// The kernel's buffers of both connections hold several MB.
constexpr size_t kMaxHeldBytes = 24 << 20;

// What a box holds for slow callers is part of its memory.
TEST(Forwarder, ALargeStreamToASlowCallerIsHeldWithinABound) {
  constexpr size_t kEventBytes = 64 << 10;
  std::string stream = StreamHead();
  for (size_t i = 0; i * kEventBytes < kLargeAnswerBytes; i++) {
    stream += Chunk("id: " + std::to_string(i) +
                    "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
  }
  stream += "0\r\n\r\n";
  EXPECT_GT(LeftAtEndpoint("/stream/x", stream, kLargeAnswerBytes),
            kLargeAnswerBytes - kMaxHeldBytes);
}

// The same of an answer that is no stream.
TEST(Forwarder, ALargePlainAnswerToASlowCallerIsHeldWithinABound) {
  const std::string body(kLargeAnswerBytes, 'x');
  EXPECT_GT(LeftAtEndpoint("/get/x", Sealed("1", body), kLargeAnswerBytes),
            kLargeAnswerBytes - kMaxHeldBytes);
}

// Losing a runner may leave no chain for a moment. A started stream waits for
// one, since its caller disconnects only after a pause of seconds.
TEST(Forwarder, AStartedStreamWaitsForAnEndpoint) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{StreamHead() + Chunk(Event(1)), Then::kReset}},
           {{StreamHead() + Chunk(Event(2)) + "0\r\n\r\n", Then::kKeep}});
  f.loop.After(milliseconds(10), [&f] { f.SetEndpoints({}); });
  f.loop.After(milliseconds(300), [&f] { f.SetEndpoints({"b"}); });
  const std::string got = f.SendRequest("POST", "/stream/x", milliseconds(700));
  EXPECT_NE(got.find(Event(1)), std::string::npos) << got;
  EXPECT_NE(got.find(Event(2)), std::string::npos) << got;
  EXPECT_NE(got.find("0\r\n\r\n"), std::string::npos) << got;
  ASSERT_EQ(f.b.requests.size(), 1u);
  EXPECT_NE(f.b.requests[0].find("Last-Event-ID: 1"), std::string::npos)
      << f.b.requests[0];
}

}  // namespace
}  // namespace pinford
