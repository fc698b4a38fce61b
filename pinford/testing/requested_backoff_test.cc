// An endpoint that asks a box to back off (503, not run, with Retry-After) gets
// no request from it until the backoff ends.
//
// The failure: Retry-After was ignored. A rejection excluded the endpoint for
// only 0.3 s, the box's own estimate of how long an endpoint stays full. As it
// accepted nothing, it then looked idle and was picked again: 10 to 17 times a
// second by eight boxes. Each of these requests needed a retry, and callers
// without one were refused.

#include <gtest/gtest.h>

#include "pinford/testing/forwarder_fixture.h"

namespace pinford {
namespace {

using Fixture = ForwarderFixture;

std::string BackoffResponse(const std::string& retry_after) {
  return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: " + retry_after +
         "\r\nContent-Length: 0\r\n\r\n";
}

// Waits for the response, however busy the machine is.
std::string StatusOfNext(Fixture* f) {
  std::string answer = f->SendRequest("GET", "/get/", milliseconds(10));
  for (int i = 0; answer.empty() && i < 200; i++) {
    f->RunFor(milliseconds(10));
    answer = f->got;
  }
  return StatusOf(answer);
}

// Endpoint a rejects every request and asks for two seconds of backoff.
TEST(RequestedBackoff, AnEndpointGetsNothingUntilItsBackoffEnds) {
  constexpr int kMaxRequests = 400;
  Fixture f;
  f.Script(std::vector<RawEndpoint::Step>(kMaxRequests, {BackoffResponse("2")}),
           std::vector<RawEndpoint::Step>(kMaxRequests, {Sealed("1", "ab")}));
  Time before{};
  while (f.a.requests.empty()) {
    before = f.loop.now();
    ASSERT_EQ(StatusOfNext(&f), "200");
  }
  // Half a second of margin for a request admitted before the end.
  while (f.loop.now() < before + milliseconds(1500)) {
    ASSERT_EQ(StatusOfNext(&f), "200");
  }
  EXPECT_EQ(f.a.requests.size(), 1);
  EXPECT_EQ(f.metrics.counter("rests_asked_total", ""), 1);
  // After the backoff, requests may go there again.
  const size_t got = f.a.requests.size();
  while (f.a.requests.size() == got && f.loop.now() < before + seconds(10)) {
    StatusOfNext(&f);
  }
  EXPECT_EQ(f.a.requests.size(), got + 1);
}

// Neither other reports about the endpoint nor the lack of another one end it.
TEST(RequestedBackoff, NoOtherEventEndsIt) {
  const Time start = Time{} + hours(1);
  const ListedEndpoint listed =
      Fixture::Listed("a", EndpointRole::kService, Address{"127.0.0.1", 1});
  LoadReport report;
  report.incarnation = 1;
  const struct {
    const char* name;
    std::function<void(EndpointTable*, Time)> then;
  } cases[] = {
      {"nothing", [](EndpointTable*, Time) {}},
      {"a success",
       [](EndpointTable* t, Time) { t->OnSuccess("a", 1, milliseconds(5)); }},
      {"a failure",
       [](EndpointTable* t, Time now) { t->OnFailure(now, "a", now); }},
      {"a refusal", [](EndpointTable* t, Time now) { t->OnFull(now, "a"); }},
      {"a shorter backoff",
       [](EndpointTable* t, Time now) {
         t->OnBackoffRequested(now, "a", milliseconds(10));
       }},
      {"a list", [&](EndpointTable* t, Time) { t->OnList({listed}); }},
      {"a report",
       [&](EndpointTable* t, Time now) { t->OnReport(now, "a", report); }},
      {"removed from the list and added again",
       [&](EndpointTable* t, Time now) {
         t->OnList({});
         t->OnList({listed});
         t->OnReport(now, "a", report);
       }},
      {"a restart",
       [&](EndpointTable* t, Time now) {
         t->OnRestart(now, "a");
         t->OnReport(now, "a", report);
       }},
      {"down and up again",
       [](EndpointTable* t, Time) {
         t->SetDown("a", true);
         t->SetDown("a", false);
       }},
  };
  for (const auto& c : cases) {
    EndpointTable table("h", Fixture::TableOptions(), Random(1));
    table.OnList({listed});
    table.OnReport(start, "a", report);
    table.OnBackoffRequested(start, "a", seconds(3));
    c.then(&table, start + milliseconds(100));
    for (const int64_t ms : {100, 500, 1500, 2999}) {
      const Time now = start + milliseconds(ms);
      EXPECT_FALSE(table.TakesNewWork(now, "a")) << c.name << " " << ms;
      EXPECT_FALSE(table.PickService(now, "plain", {})) << c.name << " " << ms;
    }
    EXPECT_TRUE(table.PickService(start + seconds(3), "plain", {})) << c.name;
  }
}

// A request is refused at once, as not run and unsent, if all endpoints back
// off.
TEST(RequestedBackoff, RejectsAtOnceWhenAllBackOff) {
  Fixture f;
  const std::vector<RawEndpoint::Step> refuse(10, {BackoffResponse("5")});
  f.Script(refuse, refuse);
  EXPECT_EQ(StatusOfNext(&f), "503");
  EXPECT_EQ(f.sends(), 2) << "each endpoint is tried";
  f.RunFor(milliseconds(400));  // longer than the backoff after a rejection
  EXPECT_EQ(StatusOfNext(&f), "503");
  EXPECT_NE(f.got.find("Retry-After"), std::string::npos);
  EXPECT_EQ(f.sends(), 2);
}

// A chain's first stage asks for backoff: the next request does not start
// there, and the runner is not probed.
TEST(RequestedBackoff, AFirstStageIsNeitherUsedNorProbed) {
  Fixture f;
  f.MakePool();
  f.Script(std::vector<RawEndpoint::Step>(10, {BackoffResponse("5")}), {});
  EXPECT_EQ(StatusOf(f.SendRequest("POST", "/stream/1", milliseconds(100))),
            "503");
  EXPECT_EQ(f.a.requests.size(), 1);
  f.RunFor(milliseconds(400));  // longer than the backoff after a rejection
  EXPECT_EQ(StatusOf(f.SendRequest("POST", "/stream/1", milliseconds(100))),
            "503");
  EXPECT_EQ(f.a.requests.size(), 1);
  EXPECT_TRUE(f.probed.empty());
}

// An endpoint that is leaving reports it in all its responses, possibly seconds
// before its entry in the list changes, or while no list is available. The
// notice counts from the response head on, since a stream may last for another
// twenty seconds.
TEST(LeavingNotice, AnEndpointGetsNothingNewAfterItsNotice) {
  const std::string leaves = "X-Leaving: 1\r\n";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n" + leaves +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Chunk(Event(1));
  const struct {
    const char* name;
    const char* path;
    std::string answer;
    bool reports_leaving;
  } cases[] = {
      {"answers", "/get/", Sealed("1", "ab", leaves), true},
      {"answers 404", "/get/", Sealed("1", "", leaves, 404), true},
      {"fails", "/once/", Sealed("1", "", leaves, 500), true},
      {"begins a stream", "/stream/", stream, true},
      {"refuses", "/get/",
       "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + leaves +
           "Content-Length: 0\r\n\r\n",
       true},
      {"is another", "/get/",
       "HTTP/1.1 421 X\r\nX-Not-Run: 1\r\n" + leaves +
           "Content-Length: 0\r\n\r\n",
       false},
      {"stays", "/get/", Sealed("1", "ab"), false},
  };
  for (const auto& c : cases) {
    Fixture f;
    f.SetEndpoints({"a"});
    f.Script({{c.answer}}, {{Sealed("1", "ab")}});
    f.SendRequest("GET", c.path, milliseconds(60));
    const std::vector<LeavingMark> expected = {{"a", 1}};
    if (c.reports_leaving) {
      EXPECT_EQ(f.leaving_reports, expected) << c.name;
    } else {
      EXPECT_TRUE(f.leaving_reports.empty()) << c.name;
      continue;
    }
    // With and without another endpoint.
    EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/", milliseconds(40))), "503");
    EXPECT_EQ(f.a.requests.size(), 1) << c.name;
    f.SetEndpoints({"a", "b"});
    EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/", milliseconds(40))), "200");
    EXPECT_EQ(f.a.requests.size(), 1) << c.name;
  }
}

// The notice concerns the incarnation that the request was sent to.
TEST(LeavingNotice, ALaterIncarnationIsUnaffected) {
  Fixture f;
  f.SetEndpoints({"a"});
  f.Script({{"", RawEndpoint::Step::Then::kKeep}}, {});
  f.SendRequest("GET", "/get/", milliseconds(40));
  ListedEndpoint restarted =
      Fixture::Listed("a", EndpointRole::kService, f.b.address());
  restarted.incarnation = 2;
  f.table.OnRestart(f.loop.now(), "a");
  f.table.OnList({restarted});
  LoadReport report;
  report.incarnation = 2;
  f.table.OnReport(f.loop.now(), "a", report);
  f.a.WriteMore(Sealed("1", "ab", "X-Leaving: 1\r\n"));
  f.RunFor(milliseconds(40));
  EXPECT_EQ(StatusOf(f.got), "200");
  const std::vector<LeavingMark> expected = {{"a", 1}};
  EXPECT_EQ(f.leaving_reports, expected);
  EXPECT_TRUE(f.table.TakesNewWork(f.loop.now(), "a"));
}

// An endpoint is picked before the connection to it is made, which may take
// hundreds of milliseconds. If the endpoint becomes unusable in the meantime,
// the request goes to another one without using a retry.
TEST(RequestedBackoff, StateChangesDuringConnectAreHonored) {
  const struct {
    const char* name;
    std::function<void(Fixture*, const std::string&)> change;
  } cases[] = {
      {"asks for backoff",
       [](Fixture* f, const std::string& name) {
         f->table.OnBackoffRequested(f->loop.now(), name, seconds(1));
       }},
      {"is full",
       [](Fixture* f, const std::string& name) {
         f->table.OnFull(f->loop.now(), name);
       }},
      {"leaves",
       [](Fixture* f, const std::string& name) { f->table.OnLeaving(name); }},
      {"is down",
       [](Fixture* f, const std::string& name) {
         f->table.SetDown(name, true);
       }},
      {"is removed",
       [](Fixture* f, const std::string& name) {
         f->SetEndpoints({name == "a" ? "b" : "a"});
       }},
  };
  for (const auto& c : cases) {
    for (const char* path : {"/get/", "/once/"}) {
      Fixture f;
      RetryShare::Options none;
      none.ratio = none.extra = 0;
      f.retries.set_options(none);
      f.Script({{Sealed("1", "a")}}, {{Sealed("1", "b")}});
      int checks = 0;
      std::string picked;
      f.context.config_is_fresh = [&] {
        if (++checks != 2) return true;
        // The second check follows the connect.
        for (const auto& [name, row] : f.table.rows()) {
          if (row.own > 0) picked = name;
        }
        c.change(&f, picked);
        return true;
      };
      EXPECT_EQ(StatusOf(f.SendRequest("GET", path)), "200") << c.name << path;
      EXPECT_EQ(f.sends(), 1) << c.name << path;
      const RawEndpoint& rejected = picked == "a" ? f.a : f.b;
      EXPECT_TRUE(rejected.requests.empty()) << c.name << path;
    }
  }
}

}  // namespace
}  // namespace pinford
