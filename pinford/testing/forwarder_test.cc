// Requests from a caller's socket to an endpoint's and back: what the caller
// gets for everything an endpoint may do.

#include "pinford/testing/forwarder_fixture.h"

namespace pinford {
namespace {

using Fixture = ForwarderFixture;
using Then = RawEndpoint::Step::Then;

TEST(Forwarder, WhatTheCallerGetsForWhatAnEndpointDoes) {
  const struct {
    const char* name;
    RawEndpoint::Step step;  // of every endpoint, each time
    std::string once, get;   // the status, by kind of request
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
      {"says 503 without the word",
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
      {"answers another",
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
      const std::string answer = f.Ask("GET", once ? "/once/" : "/get/");
      EXPECT_EQ(StatusOf(answer), once ? c.once : c.get) << c.name;
      EXPECT_EQ(f.sends(), once ? c.once_sends : c.get_sends)
          << c.name << " once " << once;
      const bool refused = StatusOf(answer) == "503";
      EXPECT_EQ(answer.find("Retry-After") != std::string::npos, refused)
          << c.name;
      EXPECT_EQ(f.forwarder.active(), 0u) << c.name;
      // What is said of it to operators.
      const bool told_complete =
          f.metrics.Text().find("outcome=\"complete\"") != std::string::npos;
      EXPECT_EQ(told_complete, StatusOf(answer) == "200") << c.name;
    }
  }
}

TEST(Forwarder, ASilentEndpointIsLeftForAnotherOnlyIfThatMayBe) {
  Fixture f;
  f.Script({}, {});
  EXPECT_EQ(StatusOf(f.Ask("GET", "/once/", milliseconds(1800))), "504");
  EXPECT_EQ(f.sends(), 1u);
  Fixture g;
  g.Script({}, {});
  EXPECT_EQ(StatusOf(g.Ask("GET", "/get/", milliseconds(1800))), "504");
  EXPECT_EQ(g.sends(), 2u);
}

// A key whose proof lapses while a connection is made: nothing is sent, and
// the caller is told so once.
TEST(Forwarder, WithoutAProofNothingIsSentAndNothingIsTriedAgain) {
  Fixture f;
  f.Script({{Sealed("1", "ab")}}, {{Sealed("1", "ab")}});
  int looks = 0;
  f.parts.proof_holds = [&looks] { return ++looks == 1; };
  EXPECT_EQ(StatusOf(f.Ask("GET", "/get/")), "503");
  EXPECT_EQ(f.sends(), 0u);
  EXPECT_EQ(looks, 2);
  // Nor is a route or key said to be missing.
  f.parts.proof_holds = [] { return false; };
  EXPECT_EQ(StatusOf(f.Ask("GET", "/nowhere/")), "503");
  EXPECT_EQ(StatusOf(f.Ask("GET", "/get/", milliseconds(100), "")), "503");
  f.parts.proof_holds = [] { return true; };
  EXPECT_EQ(StatusOf(f.Ask("GET", "/nowhere/")), "404");
  EXPECT_EQ(StatusOf(f.Ask("GET", "/get/", milliseconds(100), "")), "401");
}

// A stream that broke was cut at once when the proof of the configuration was
// too old for its next send, though the store renews it within milliseconds.
TEST(Forwarder, ABegunStreamWaitsForAProof) {
  Fixture f;
  f.List({"a"});
  f.Script({{EventsHead() + Chunk(Event(1)), Then::kReset},
            {EventsHead() + Chunk(Event(2)) + "0\r\n\r\n"}},
           {});
  f.loop.After(milliseconds(10), [&f] { f.proof = false; });
  f.loop.After(milliseconds(300), [&f] { f.proof = true; });
  const std::string answer = f.Ask("GET", "/stream/", milliseconds(700));
  EXPECT_NE(answer.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
      << answer;
  EXPECT_EQ(f.sends(), 2u) << "nothing is sent without a proof";
}

// Callers of routes with a generous goal bear pauses of four seconds and more;
// a box cut their streams after 2.5 s, or after twelve refusals, while they
// still waited.
TEST(Forwarder, ABegunStreamWaitsAsLongAsItsCallerDoes) {
  const RawEndpoint::Step begins = {EventsHead() + Chunk(Event(1)),
                                    Then::kReset};
  const RawEndpoint::Step ends = {EventsHead() + Chunk(Event(2)) + "0\r\n\r\n"};
  const struct {
    const char* name;
    Duration away;    // nobody serves for so long
    size_t refusals;  // that come after it
  } cases[] = {{"nobody is there", milliseconds(2800), 0},
               {"all refuse", milliseconds(0), 13}};
  for (const auto& c : cases) {
    Fixture f;
    f.SetTimeout(seconds(8));
    f.List({"a"});
    std::vector<RawEndpoint::Step> steps = {begins};
    steps.insert(steps.end(), c.refusals, {Refused()});
    steps.push_back(ends);
    f.Script(steps, {});
    if (c.away > Duration(0)) {
      f.loop.After(milliseconds(10), [&f] { f.List({}); });
      f.loop.After(c.away, [&f] { f.List({"a"}); });
    }
    f.Ask("GET", "/stream/", milliseconds(100));
    for (int i = 0; i < 60 && !f.ended && f.forwarder.active() > 0; i++) {
      f.RunFor(milliseconds(100));
    }
    EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos)
        << c.name << f.got;
  }
}

// A box left a run that stood still before it had looked for another one. None
// was to be had, and the caller was cut though the runner went on.
TEST(Forwarder, ASilentRunIsLeftOnlyForAnotherOne) {
  for (const bool pool : {true, false}) {
    Fixture f;
    if (pool) {
      f.MakePool();
    } else {
      f.List({"a"});
    }
    f.Script({{EventsHead() + Chunk(Event(1))}}, {});
    f.Ask("POST", "/stream/1", milliseconds(30));
    // It finishes what it has, and takes nothing new.
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

TEST(Forwarder, AStreamThatBreaksGoesOnElsewhereAfterItsLastWholeEvent) {
  Fixture f;
  f.List({"a"});
  const std::string part = Event(3).substr(0, 5);
  f.Script(
      {{EventsHead() + Chunk(Event(1)) + Chunk(Event(2) + part), Then::kReset},
       {EventsHead() + Chunk(Event(3)) + "0\r\n\r\n"}},
      {});
  const std::string answer = f.Ask("GET", "/stream/", milliseconds(600));
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

// The head that the caller has is that of a stream.
TEST(Forwarder, AnAnswerThatIsNoStreamEndsABegunOne) {
  Fixture f;
  f.List({"a"});
  f.Script({{EventsHead() + Chunk(Event(1)), Then::kReset},
            {Sealed("1", "whole"), Then::kKeep}},
           {});
  const std::string answer = f.Ask("GET", "/stream/", milliseconds(400));
  EXPECT_EQ(f.sends(), 2u);
  EXPECT_TRUE(f.ended);
  EXPECT_EQ(answer.find("whole"), std::string::npos);
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
}

TEST(Forwarder, AStreamThatCannotGoOnDoesNotLookComplete) {
  Fixture f;
  f.Script({{EventsHead() + Chunk(Event(1)), Then::kReset},
            {EventsHead() + Chunk(Event(2)), Then::kReset}},
           {{EventsHead() + Chunk(Event(1)), Then::kReset},
            {EventsHead() + Chunk(Event(2)), Then::kReset}});
  const std::string answer = f.Ask("GET", "/stream/", milliseconds(1200));
  EXPECT_TRUE(f.ended);
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(f.sends(), 2u) << "the route allows two";
}

// Some endpoints never say that they leave: their entry goes, and they serve
// on for seconds. What they have is finished there; nothing new goes there.
TEST(Forwarder, AnEndpointWhoseEntryGoesFinishesWhatItHas) {
  Fixture f;
  f.List({"a"});
  f.Script({{EventsHead() + Chunk(Event(1))}}, {{Sealed("1", "ab")}});
  f.Ask("GET", "/stream/", milliseconds(40));
  f.List({"b"});
  f.upstream.DropConnections("a");
  f.forwarder.RemoveEndpoint("a");
  f.a.WriteMore(Chunk(Event(2)) + "0\r\n\r\n");
  f.RunFor(milliseconds(40));
  EXPECT_NE(f.got.find(Chunk(Event(2)) + "0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(f.sends(), 1u);
  EXPECT_EQ(StatusOf(f.Ask("GET", "/get/")), "200");
  EXPECT_EQ(f.a.requests.size(), 1u);
  EXPECT_EQ(f.b.requests.size(), 1u);
}

// A refusal says which stage is at fault, but not how: only that stage's own
// answer tells a dead one from a full one.
TEST(Forwarder, AStageThatARefusalNamesIsAskedAtOnce) {
  const struct {
    const char* name;
    bool works;
    bool takes_work_later;
  } cases[] = {{"dead", false, false}, {"full", true, true}};
  for (const auto& c : cases) {
    Fixture f;
    f.MakePool();
    if (!c.works) f.silent = {"b"};
    const std::string refusal =
        "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-At-Fault: " +
        f.b.address().ToString() + "\r\nContent-Length: 0\r\n\r\n";
    f.Script({{refusal, Then::kKeep}}, {});
    // Before it is asked again as one that is down (impaired_probe_interval,
    // 400 ms).
    const std::string got = f.Ask("POST", "/stream/1", milliseconds(200));
    EXPECT_EQ(StatusOf(got), "503") << c.name;
    // Once, however often it is named in so short a time.
    EXPECT_EQ(f.asked, std::vector<std::string>{"b"}) << c.name;
    const Time later = f.loop.now() + seconds(1);
    EXPECT_EQ(f.table.TakesNewWork(later, "b"), c.takes_work_later) << c.name;
    EXPECT_TRUE(f.table.TakesNewWork(later, "a")) << c.name;
  }
}

// A box that had handed a large configuration to its peers got no answers over
// its own full link. It took all runners of a chain for down at once, and left
// streams that went well.
TEST(Forwarder, WhereNobodyAnswersNobodyIsBlamed) {
  Fixture f;
  f.MakePool({"c", "d"});
  f.Script({{EventsHead() + Chunk(Event(1))}}, {});
  f.Ask("POST", "/stream/1", milliseconds(30));
  const std::string stage = f.AtWork().at(0);
  f.parts.probe = [&f](const std::string& endpoint,
                       const std::function<void(RunnerHealth)>& fn) {
    f.asked.push_back(endpoint);
    const bool silent = f.silent.contains(endpoint);
    f.loop.After(milliseconds(silent ? 30 : 2),
                 [&f, silent, fn] { fn(silent ? RunnerHealth() : f.health); });
  };
  int events = 1;
  f.loop.Every(milliseconds(20),
               [&] { f.a.WriteMore(Chunk(Event(++events))); });
  const std::vector<std::string> all = {"a", "c", "d"};
  const auto doubt_all = [&] {
    for (const std::string& name : all) f.forwarder.ProbeIfDue(name);
    f.RunFor(milliseconds(200));
  };
  f.silent = {all.begin(), all.end()};
  doubt_all();
  EXPECT_GE(f.asked.size(), 2 * all.size()) << "each is asked again";
  for (const std::string& name : all) {
    EXPECT_FALSE(f.forwarder.watch()->IsDown(name)) << name;
  }
  EXPECT_TRUE(f.rerouted.empty());
  // The way works again, and one of them does not.
  f.silent = {stage};
  doubt_all();
  for (const std::string& name : all) {
    EXPECT_EQ(f.forwarder.watch()->IsDown(name), name == stage) << name;
  }
  EXPECT_EQ(f.rerouted.size(), 1);
  EXPECT_EQ(f.sends(), 1);
}

// Runners that fail together are noticed one after the other: the second while
// the first one's place is still being filled.
TEST(Forwarder, AStandInThatFailsIsReplacedToo) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{EventsHead() + Chunk(Event(1))}}, {});
  f.Ask("POST", "/stream/1", milliseconds(30));
  const std::vector<std::string> first = f.AtWork();
  ASSERT_EQ(first.size(), 1);
  f.silent.insert(first[0]);
  f.forwarder.ProbeIfDue(first[0]);
  ASSERT_EQ(f.rerouted.size(), 1);
  const Address second_at = f.rerouted[0].first[1].at;
  std::string second;
  for (const auto& [name, row] : f.table.rows()) {
    if (row.listed.address == second_at) second = name;
  }
  f.silent.insert(second);
  f.forwarder.ProbeIfDue(second);
  EXPECT_EQ(f.rerouted.size(), 1);  // a change is under way
  f.rerouted[0].second({RerouteStatus::kDone, ""});
  ASSERT_EQ(f.rerouted.size(), 2);
  EXPECT_NE(f.rerouted[1].first[1].at, second_at);
  f.rerouted[1].second({RerouteStatus::kDone, ""});
  EXPECT_EQ(f.rerouted.size(), 2);
  ASSERT_EQ(f.AtWork().size(), 1);
  EXPECT_NE(f.AtWork()[0], first[0]);
  EXPECT_NE(f.AtWork()[0], second);
}

// A stage that started anew has lost what it had read, and holds nothing: the
// stream goes on elsewhere, at once where that is switched on.
TEST(Forwarder, AStageThatStartsAnewIsReplaced) {
  for (const bool on : {true, false}) {
    Fixture f;
    if (!on) f.parts.mechanisms.Add(Mechanism::kMoveOnRestart);
    f.MakePool({"c", "d", "e"});
    f.Script({{EventsHead() + Chunk(Event(1))}}, {});
    f.Ask("POST", "/stream/1", milliseconds(30));
    ASSERT_EQ(f.AtWork().size(), 1);
    const std::string stage = f.AtWork()[0];
    f.table.OnRestart(f.loop.now(), stage);
    f.forwarder.OnRestart(stage);
    EXPECT_EQ(f.rerouted.size(), on ? 1 : 0);
    EXPECT_EQ(f.table.LoadOf(stage), 0);
    EXPECT_FALSE(f.forwarder.watch()->IsDown(stage));
    if (!on) continue;
    f.rerouted[0].second({RerouteStatus::kDone, ""});
    EXPECT_EQ(f.table.rows().at(stage).lost.streams, 0);
    ASSERT_EQ(f.AtWork().size(), 1);
    EXPECT_NE(f.AtWork()[0], stage);
  }
}

// A question of the life before is answered after the next one has begun.
TEST(Forwarder, AnAnswerOfTheLifeBeforeSaysNothingOfTheNext) {
  Fixture f;
  f.MakePool({"c", "d"});
  std::function<void(RunnerHealth)> answer;
  f.parts.probe = [&answer](const std::string&,
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

// The answer names the stand-in that cannot take the part: it is asked, and
// left alone for a moment.
TEST(Forwarder, AStandInThatHasNotThePartIsAsked) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{EventsHead() + Chunk(Event(1))}}, {});
  f.Ask("POST", "/stream/1", milliseconds(30));
  f.silent.insert(f.AtWork().at(0));
  f.forwarder.ProbeIfDue(f.AtWork().at(0));
  ASSERT_EQ(f.rerouted.size(), 1);
  const Address named = f.rerouted[0].first[1].at;
  f.asked.clear();
  f.rerouted[0].second({RerouteStatus::kRefusedByStage, named.ToString()});
  ASSERT_EQ(f.asked.size(), 1);
  EXPECT_EQ(f.table.AddressOf(f.asked[0]), named);
  EXPECT_FALSE(f.table.TakesNewWork(f.loop.now(), f.asked[0]));
}

// Retries are used up where a pool loses runners: a begun stream goes on as
// soon as there is one, and is not cut for want of it.
TEST(Forwarder, ABegunStreamWaitsForARetry) {
  Fixture f;
  f.List({"a"});
  f.Script({{EventsHead() + Chunk(Event(1)), Then::kReset},
            {EventsHead() + Chunk(Event(2)) + "0\r\n\r\n"}},
           {});
  RetryShare::Options none;
  none.ratio = none.extra = 0;
  f.retries.set_options(none);
  f.loop.After(milliseconds(400),
               [&f] { f.retries.set_options(RetryShare::Options()); });
  f.Ask("POST", "/stream/x", milliseconds(300));
  EXPECT_FALSE(f.ended);
  EXPECT_EQ(f.sends(), 1);
  f.RunFor(milliseconds(400));
  EXPECT_EQ(f.sends(), 2);
  EXPECT_NE(f.got.find("0\r\n\r\n"), std::string::npos) << f.got;
}

// Nobody decides for a stream that stands still but its box: where a change was
// refused and no retry is left, it looks again until somebody takes the part.
TEST(Forwarder, AStreamWithoutAStageLooksAgain) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  RetryShare::Options none;
  none.ratio = none.extra = 0;
  f.retries.set_options(none);
  f.Script({{EventsHead() + Chunk(Event(1))}}, {});
  f.Ask("POST", "/stream/1", milliseconds(30));
  f.silent.insert(f.AtWork().at(0));
  f.forwarder.ProbeIfDue(f.AtWork().at(0));
  ASSERT_EQ(f.rerouted.size(), 1);
  f.silent.clear();
  f.rerouted[0].second(
      {RerouteStatus::kRefusedByStage, f.rerouted[0].first[1].at.ToString()});
  f.RunFor(milliseconds(150));
  ASSERT_GE(f.rerouted.size(), 2);
  EXPECT_NE(f.rerouted[1].first[1].at, f.rerouted[0].first[1].at);
  f.rerouted[1].second({RerouteStatus::kDone, ""});
  f.RunFor(milliseconds(100));
  EXPECT_EQ(f.rerouted.size(), 2) << "it goes on";
}

// With replacement switched off nobody puts others in a stage's place, however
// often it is looked at; with it on, as above.
TEST(Forwarder, StagesAreReplacedOnlyWhereThatIsSwitchedOn) {
  for (const bool on : {true, false}) {
    Fixture f;
    if (!on) f.parts.mechanisms.Add(Mechanism::kStageReplacement);
    f.MakePool({"c", "d", "e"});
    RetryShare::Options none;
    none.ratio = none.extra = 0;
    f.retries.set_options(none);
    f.Script({{EventsHead() + Chunk(Event(1))}}, {});
    f.Ask("POST", "/stream/1", milliseconds(30));
    f.silent.insert(f.AtWork().at(0));
    f.forwarder.ProbeIfDue(f.AtWork().at(0));
    f.RunFor(milliseconds(200));
    EXPECT_EQ(!f.rerouted.empty(), on);
  }
}

// Runners of other halls would make all tokens so far cross twice.
TEST(Forwarder, StandInsAreOfTheStagesOwnHall) {
  Fixture f;
  f.MakePool({"c", "d", "e"});
  f.Script({{EventsHead() + Chunk(Event(1))}}, {});
  f.Ask("POST", "/stream/1", milliseconds(30));
  const std::string lost = f.AtWork().at(0);
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
  f.table.SetSlowdown(near, 3);  // dearer than the others
  f.silent.insert(lost);
  f.forwarder.ProbeIfDue(lost);
  ASSERT_EQ(f.rerouted.size(), 1);
  EXPECT_EQ(f.rerouted[0].first[1].at, f.table.AddressOf(near));
}

// Events that come well within the allowed pause are worth more than reading
// all tokens again elsewhere.
TEST(Forwarder, AStreamStaysWithAStageThatIsSlow) {
  for (const bool timed : {true, false}) {
    Fixture f;
    if (!timed) f.parts.mechanisms.Add(Mechanism::kTimedRecovery);
    f.MakePool({"c", "d"});
    f.Script({{EventsHead() + Chunk(Event(1))}}, {});
    f.Ask("POST", "/stream/1", milliseconds(30));
    f.a.WriteMore(Chunk(Event(2)));
    f.RunFor(milliseconds(30));
    f.health.slowdown = 3;
    f.forwarder.ProbeIfDue(f.AtWork().at(0));
    EXPECT_EQ(f.rerouted.size(), timed ? 0 : 1);
  }
}

// Prompts went on to a runner twelve times too slow for 9 s: where no event has
// passed nobody missed one, and nobody asked.
TEST(Forwarder, StagesThatHoldUpAFirstEventAreAsked) {
  Fixture f;
  f.MakePool({"c"});
  f.Script({{"", Then::kKeep}}, {});
  f.health.slowdown = 12;
  // Beyond 0.45 of the 600 ms that the route aims at.
  f.Ask("POST", "/stream/1", milliseconds(400));
  EXPECT_NE(std::find(f.asked.begin(), f.asked.end(), "c"), f.asked.end());
  EXPECT_EQ(f.table.rows().at("c").slowdown, 12);
}

// A box has just started: who comes before it knows anything waits for that,
// but not for long.
// The last retry is kept for who has most to lose.
TEST(Forwarder, BegunStreamsAndUrgentRequestsGetTheLastRetry) {
  const struct {
    const char* path;
    Tier tier;
    std::string first;  // what the first endpoint sends before it breaks off
    int sends;
  } cases[] = {
      {"/get/x", Tier::kStandard, "", 1},
      {"/get/x", Tier::kCritical, "", 2},
      {"/stream/x", Tier::kStandard, "", 1},
      {"/stream/x", Tier::kStandard, EventsHead() + Chunk(Event(1)), 2},
  };
  for (const auto& c : cases) {
    Fixture f;
    const std::string rest = c.first.empty()
                                 ? Sealed("1", "ab")
                                 : EventsHead() + Chunk(Event(2)) + "0\r\n\r\n";
    f.Script({{c.first, Then::kReset}, {rest}}, {});
    f.List({"a"});
    f.parts.classify = [&c](const RequestFacts&) {
      RequestClass request_class;
      request_class.tier = c.tier;
      return request_class;
    };
    RetryShare::Options one;
    one.ratio = 0;
    one.extra = 1 / one.used;
    f.retries.set_options(one);
    f.Ask("POST", c.path);
    EXPECT_EQ(f.sends(), c.sends) << c.path << " " << TierName(c.tier);
  }
}

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
  EXPECT_EQ(StatusOf(f.Ask("GET", "/get/1")), "200");
  EXPECT_EQ(f.callers_waiting, 1);
  // Later changes make nobody wait.
  EXPECT_EQ(f.sends(), 1);
}

TEST(Forwarder, WithoutAConfigurationACallerIsSoonRefused) {
  Fixture f;
  f.forwarder.set_routes(nullptr);
  EXPECT_EQ(f.Ask("GET", "/get/1", StartQueueOptions().max_wait / 2), "");
  const std::string got = f.Ask("GET", "/get/1", milliseconds(200));
  EXPECT_EQ(StatusOf(got), "503");
  EXPECT_NE(got.find("Retry-After"), std::string::npos);
  EXPECT_EQ(f.sends(), 0);
}

TEST(StartQueue, IsBoundedAndKeepsTheOrder) {
  StartQueueOptions options;
  options.most = 2;
  StartQueue<int> queue(options);
  const Time now = Time{} + seconds(1);
  EXPECT_TRUE(queue.Add(now, 1));
  EXPECT_TRUE(queue.Add(now + milliseconds(10), 2));
  EXPECT_FALSE(queue.Add(now + milliseconds(10), 3));
  EXPECT_TRUE(queue.TakeOverdue(now + milliseconds(99)).empty());
  EXPECT_EQ(queue.TakeOverdue(now + options.max_wait), std::vector<int>{1});
  EXPECT_TRUE(queue.Add(now + options.max_wait, 3));
  EXPECT_EQ(queue.TakeAll(), (std::vector<int>{2, 3}));
  EXPECT_TRUE(queue.TakeAll().empty());
}

TEST(Forwarder, WorkEndsWhenItsCallerLeaves) {
  Fixture f;
  f.Script({{EventsHead() + Chunk(Event(1))}},
           {{EventsHead() + Chunk(Event(1))}});
  f.Ask("GET", "/stream/", milliseconds(60));
  EXPECT_EQ(f.forwarder.active(), 1u);
  f.caller->Close();
  f.RunFor(milliseconds(60));
  EXPECT_EQ(f.forwarder.active(), 0u);
  EXPECT_EQ(f.a.ended + f.b.ended, 1);
}

// A runner's death may leave no chain for a moment. A stream that has begun
// waits for one; its caller would give it up only after seconds of silence.
TEST(Forwarder, ABegunStreamWaitsForAnEndpoint) {
  Fixture f;
  f.List({"a"});
  f.Script({{EventsHead() + Chunk(Event(1)), Then::kReset}},
           {{EventsHead() + Chunk(Event(2)) + "0\r\n\r\n", Then::kKeep}});
  f.loop.After(milliseconds(10), [&f] { f.List({}); });
  f.loop.After(milliseconds(300), [&f] { f.List({"b"}); });
  const std::string got = f.Ask("POST", "/stream/x", milliseconds(700));
  EXPECT_NE(got.find(Event(1)), std::string::npos) << got;
  EXPECT_NE(got.find(Event(2)), std::string::npos) << got;
  EXPECT_NE(got.find("0\r\n\r\n"), std::string::npos) << got;
  ASSERT_EQ(f.b.requests.size(), 1u);
  EXPECT_NE(f.b.requests[0].find("Last-Event-ID: 1"), std::string::npos)
      << f.b.requests[0];
}

}  // namespace
}  // namespace pinford
