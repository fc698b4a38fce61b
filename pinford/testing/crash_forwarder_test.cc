// What a box does with requests that crash endpoints, between sockets: which
// runs become evidence, and what suspects and quarantined requests get.

#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "pinford/forwarding/event_stream.h"
#include "pinford/forwarding/request_fingerprint.h"
#include "pinford/testing/forwarder_fixture.h"

namespace pinford {
namespace {

using Then = RawEndpoint::Step::Then;

constexpr char kRequest[] = "/get/1";

class Fixture : public ForwarderFixture {
 public:
  CrashLedger::Updates Tick() {
    return crashes.Tick(loop.now(),
                        [](const std::string&, uint64_t) { return true; });
  }
  // Sends the request to endpoints that break it off, and returns its
  // fingerprint as the ledger has it; "" if there is no evidence.
  std::string CrashOnce(const std::string& method = "GET",
                        const std::string& path = kRequest) {
    const RawEndpoint::Step reset = {"", Then::kReset};
    Script({reset, reset}, {reset, reset});
    SendRequest(method, path, milliseconds(100));
    const CrashLedger::Updates updates = Tick();
    return updates.to_collectors.empty() ? ""
                                         : updates.to_collectors[0].fingerprint;
  }
  // Adds evidence of runs in sequence at other endpoints.
  void AddCrashes(const std::string& fingerprint, int count) {
    for (int i = 0; i < count; i++) {
      RunFor(milliseconds(2));
      const Time began = loop.now();
      RunFor(milliseconds(2));
      crashes.OnRunEnded(loop.now(), fingerprint,
                         {"other" + std::to_string(i), 1, began});
    }
    Tick();
  }
  void AnswerAll() {
    a.steps.assign(a.requests.size() + 5, {Sealed("1", "ab")});
    b.steps.assign(b.requests.size() + 5, {Sealed("1", "ab")});
  }
};

TEST(CrashForwarder, AQuarantinedRequestIsRefusedAtOnce) {
  Fixture f;
  const std::string fingerprint = f.CrashOnce();
  ASSERT_FALSE(fingerprint.empty());
  f.AddCrashes(fingerprint, 4);
  ASSERT_EQ(f.crashes.Of(fingerprint), Suspicion::kQuarantined);
  f.AnswerAll();
  const size_t sends = f.sends();
  const std::string refused = f.SendRequest("GET", kRequest);
  EXPECT_EQ(StatusOf(refused), "503");
  EXPECT_NE(refused.find("Retry-After: 60"), std::string::npos) << refused;
  EXPECT_NE(refused.find("quarantined"), std::string::npos) << refused;
  EXPECT_EQ(f.sends(), sends);
  // Others are served.
  EXPECT_EQ(StatusOf(f.SendRequest("GET", "/get/2")), "200");
  EXPECT_EQ(StatusOf(f.SendRequest("POST", kRequest)), "200");
}

// Its caller would otherwise come back at once, only to be refused again.
TEST(CrashForwarder, ARequestQuarantinedBeforeItRanIsRefusedForLong) {
  Fixture f;
  const std::string fingerprint = f.CrashOnce();
  f.Script({}, {});
  f.SendRequest("GET", kRequest, milliseconds(50));
  f.AddCrashes(fingerprint, 4);
  ASSERT_EQ(f.crashes.Of(fingerprint), Suspicion::kQuarantined);
  (f.a.requests.size() > f.b.requests.size() ? f.a : f.b).WriteMore(Refused());
  f.RunFor(milliseconds(50));
  EXPECT_EQ(StatusOf(f.got), "503");
  EXPECT_NE(f.got.find("Retry-After: 60"), std::string::npos) << f.got;
  EXPECT_NE(f.got.find("quarantined"), std::string::npos) << f.got;
}

TEST(CrashForwarder, ASuspectGetsOneAttempt) {
  Fixture f;
  const std::string fingerprint = f.CrashOnce();
  const size_t first = f.sends();
  EXPECT_EQ(first, 2);
  f.AddCrashes(fingerprint, 1);
  ASSERT_EQ(f.crashes.Of(fingerprint), Suspicion::kSuspect);
  f.a.steps.assign(10, {"", Then::kReset});
  f.b.steps = f.a.steps;
  EXPECT_EQ(StatusOf(f.SendRequest("GET", kRequest)), "502");
  EXPECT_EQ(f.sends(), first + 1);
}

TEST(CrashForwarder, ASuccessfulRunClearsASuspect) {
  Fixture f;
  const std::string fingerprint = f.CrashOnce();
  f.AddCrashes(fingerprint, 1);
  ASSERT_EQ(f.crashes.Of(fingerprint), Suspicion::kSuspect);
  f.AnswerAll();
  EXPECT_EQ(StatusOf(f.SendRequest("GET", kRequest)), "200");
  f.Tick();
  EXPECT_EQ(f.crashes.Of(fingerprint), Suspicion::kNone);
}

// The endpoint sends what cannot be used, and this box ends the run: that is no
// sign of a crash.
TEST(CrashForwarder, OnlyAnEndpointThatBreaksOffIsSuspicious) {
  const struct {
    const char* name;
    RawEndpoint::Step step;
    bool suspicious;
  } cases[] = {
      {"reset", {"", Then::kReset}, true},
      {"cut", {StreamHead() + Chunk(Event(1)), Then::kReset}, true},
      {"no HTTP", {"\x01\r\n\r\n"}, false},
      {"encoded", {StreamHead("Content-Encoding: gzip\r\n")}, false},
      {"an event without end",
       {StreamHead() +
        Chunk(std::string(EventStream::kMaxEventBytes + 1, 'x'))},
       false},
  };
  for (const auto& c : cases) {
    Fixture f;
    f.SetEndpoints({"a"});
    f.Script({c.step, c.step}, {});
    f.SendRequest("POST", "/stream-once/", milliseconds(100));
    EXPECT_EQ(f.crashes.Unconfirmed(f.loop.now()).contains("a"), c.suspicious)
        << c.name;
  }
}

// --- parts of prompts

class PartsFixture : public Fixture {
 public:
  PartsFixture() {
    SetTimeout(seconds(4));
    context.protocol.read_prompt_parts = [](std::string_view text) {
      std::vector<std::string> parts;
      std::istringstream in{std::string(text)};
      for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
      }
      return parts;
    };
  }

  static std::string Fingerprint(const std::string& part) {
    return PromptPartFingerprint("fingerprint key", "plain", part);
  }
  // Streams are told apart by their paths.
  std::string SendPrompt(const std::string& path, const std::string& parts,
                         Duration d = milliseconds(100)) {
    return SendRequest("POST", "/stream/" + path, d,
                       "X-Key: key\r\nX-Prompt-Parts: " + parts + "\r\n");
  }
  // The parts that the ledger has sent evidence of.
  std::set<std::string> AccusedParts() {
    std::set<std::string> accused;
    for (const CrashRecord& r : Tick().to_collectors) {
      if (IsPromptPart(r.fingerprint)) accused.insert(r.fingerprint);
    }
    return accused;
  }
  void ScriptResets() {
    a.steps.assign(a.requests.size() + 5, {"", Then::kReset});
    b.steps.assign(b.requests.size() + 5, {"", Then::kReset});
  }
};

TEST(CrashForwarder, PartsOfPromptsAreEvidence) {
  const struct {
    const char* parts;
    std::set<std::string> accused;
  } cases[] = {
      {"x,y,own", {"x", "y"}},
      {"x,x,own", {"x"}},
      {"own", {}},
      {"", {}},
  };
  for (const auto& c : cases) {
    PartsFixture f;
    f.ScriptResets();
    f.SendPrompt("1", c.parts);
    std::set<std::string> expected;
    for (const std::string& part : c.accused) {
      expected.insert(PartsFixture::Fingerprint(part));
    }
    EXPECT_EQ(f.AccusedParts(), expected) << c.parts;
  }
}

// A request may crash endpoints late in its answer; a bad part does as it
// begins. What a caller leaves after a while is no sign of either.
TEST(CrashForwarder, RunsThatBreakLateAreEvidenceAgainstTheRequestAlone) {
  const struct {
    const char* name;
    Duration before_end;  // from the first event on
    bool caller_leaves;
    bool accuses_request;
    bool accuses_part;
  } cases[] = {{"at once", milliseconds(50), false, true, true},
               {"late", milliseconds(1100), false, true, false},
               {"left late", milliseconds(1100), true, false, false}};
  for (const auto& c : cases) {
    PartsFixture f;
    f.context.mechanisms.Disable(Mechanism::kResume);
    const RawEndpoint::Step keep = {StreamHead() + Chunk(Event(1))};
    f.Script({keep}, {keep});
    f.SendPrompt("1", "x,own", c.before_end);
    if (c.caller_leaves) {
      f.caller->Close();
    } else {
      (f.a.requests.empty() ? f.b : f.a).ResetAll();
    }
    f.RunFor(milliseconds(100));
    bool request = false;
    bool part = false;
    for (const CrashRecord& r : f.Tick().to_collectors) {
      (IsPromptPart(r.fingerprint) ? part : request) = true;
    }
    EXPECT_EQ(request, c.accuses_request) << c.name;
    EXPECT_EQ(part, c.accuses_part) << c.name;
  }
}

TEST(CrashForwarder, OnlyRequestsWithAQuarantinedPartAreRefused) {
  PartsFixture f;
  f.AddCrashes(PartsFixture::Fingerprint("bad"), 4);
  ASSERT_EQ(f.crashes.Of(PartsFixture::Fingerprint("bad")),
            Suspicion::kQuarantined);
  f.AnswerAll();
  const size_t sends = f.sends();
  EXPECT_EQ(StatusOf(f.SendPrompt("1", "x,bad,own")), "503");
  EXPECT_EQ(StatusOf(f.SendPrompt("2", "bad,own")), "503");
  EXPECT_EQ(f.sends(), sends);
  EXPECT_EQ(StatusOf(f.SendPrompt("3", "x,own")), "200");
  // Its last part is the request's own.
  EXPECT_EQ(StatusOf(f.SendPrompt("4", "x,bad")), "200");
}

TEST(CrashForwarder, ASharedPartIsTriedAndServedAgain) {
  PartsFixture f;
  f.crashes.set_trial_owner([](const std::string&) { return true; });
  const CrashLedger::Options options;
  const std::string part = PartsFixture::Fingerprint("shared");
  f.crashes.OnSurvived(f.loop.now(), part);
  f.AddCrashes(part, 6);
  ASSERT_EQ(f.crashes.Of(part), Suspicion::kQuarantined);
  f.AnswerAll();
  const Duration wait = milliseconds(5);
  for (int i = 0; i < options.refusals_per_trial; i++) {
    EXPECT_EQ(StatusOf(f.SendPrompt("1", "shared,own", wait)), "503");
  }
  f.RunFor(options.first_trial);
  EXPECT_EQ(StatusOf(f.SendPrompt("1", "shared,own", wait)), "200");
  f.Tick();
  EXPECT_EQ(StatusOf(f.SendPrompt("1", "shared,own", wait)), "200");
}

TEST(CrashForwarder, APartIsSurvivedSoonAfterTheFirstEvent) {
  const struct {
    const char* name;
    Duration after_event;
    bool survived;
  } cases[] = {{"at once", milliseconds(50), false},
               {"a while later", milliseconds(400), true}};
  for (const auto& c : cases) {
    PartsFixture f;
    f.context.mechanisms.Disable(Mechanism::kResume);
    const RawEndpoint::Step step = {StreamHead() + Chunk(Event(1))};
    f.Script({step}, {step});
    f.SendPrompt("1", "x,own", c.after_event);
    RawEndpoint& used = f.a.requests.empty() ? f.b : f.a;
    used.WriteMore(Chunk(Event(2)));
    f.RunFor(milliseconds(50));
    used.ResetAll();
    f.RunFor(milliseconds(100));
    EXPECT_EQ(f.AccusedParts().empty(), c.survived) << c.name;
  }
}

// A request that crashes endpoints after its first event is resumed at the next
// one each time. Guards against one crash of several that counts; a stream that
// was merely moved was at another point of its first run.
TEST(CrashForwarder, AResumedStreamIsEvidenceIfItsRunsAreAlike) {
  const struct {
    const char* name;
    Duration first_run;  // from its first event on; the second ends with it
    size_t endpoints_of_request;
  } cases[] = {{"alike", milliseconds(50), 2},
               {"moved amid its answer", milliseconds(700), 1}};
  for (const auto& c : cases) {
    PartsFixture f;
    const RawEndpoint::Step keep = {StreamHead() + Chunk(Event(1))};
    const RawEndpoint::Step reset = {StreamHead() + Chunk(Event(2)),
                                     Then::kReset};
    f.Script({keep, reset}, {keep, reset});
    f.SendPrompt("1", "x,own", c.first_run);
    RawEndpoint& first = f.a.requests.empty() ? f.b : f.a;
    RawEndpoint& second = f.a.requests.empty() ? f.a : f.b;
    second.steps.assign(2, reset);
    first.ResetAll();
    f.RunFor(milliseconds(300));
    ASSERT_EQ(f.sends(), 2) << c.name;
    std::set<std::string> of_request;
    std::set<std::string> of_part;
    for (const CrashRecord& r : f.Tick().to_collectors) {
      (IsPromptPart(r.fingerprint) ? of_part : of_request)
          .insert(r.runs[0].endpoint);
    }
    EXPECT_EQ(of_request.size(), c.endpoints_of_request) << c.name;
    EXPECT_LE(of_part.size(), 1) << c.name;
  }
}

// The caller of a started stream would lose what it has received.
TEST(CrashForwarder, AStartedStreamIsResumedUnlessItIsTheSuspect) {
  for (const bool part_is_suspect : {true, false}) {
    PartsFixture f;
    const RawEndpoint::Step keep = {StreamHead() + Chunk(Event(1))};
    f.Script({keep, keep}, {keep, keep});
    f.SendPrompt("1", "x,own", milliseconds(50));
    RawEndpoint& first = f.a.requests.empty() ? f.b : f.a;
    const std::string feature =
        part_is_suspect
            ? PartsFixture::Fingerprint("x")
            : RequestFingerprint("fingerprint key",
                                 {"POST", "h", "/stream/1", "customer", ""});
    f.AddCrashes(feature, 3);
    ASSERT_EQ(f.crashes.Of(feature), Suspicion::kSuspect);
    first.ResetAll();
    f.RunFor(milliseconds(200));
    EXPECT_EQ(f.sends(), part_is_suspect ? 2 : 1);
    EXPECT_EQ(f.ended, !part_is_suspect);
  }
}

TEST(CrashForwarder, NothingIsRecordedIfDisabled) {
  Fixture f;
  f.context.mechanisms.Disable(Mechanism::kCrashQuarantine);
  EXPECT_EQ(f.CrashOnce(), "");
  EXPECT_TRUE(f.crashes.empty());
}

}  // namespace
}  // namespace pinford
