// What a box does with requests that crash endpoints, between sockets: which
// runs become evidence, and what suspects and quarantined requests get.

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
      crashes.OnRunEnded(loop.now(), fingerprint, "other" + std::to_string(i),
                         1, began, true);
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

TEST(CrashForwarder, OnlyRunsThatJustStartedAreEvidence) {
  const struct {
    const char* name;
    Duration before_end;  // from the first event to the end of the connection
    bool evidence;
  } cases[] = {{"at once", milliseconds(50), true},
               {"later", milliseconds(1100), false}};
  for (const auto& c : cases) {
    Fixture f;
    f.SetTimeout(seconds(4));
    f.Script({{StreamHead() + Chunk(Event(1))}, {"", Then::kReset}},
             {{StreamHead() + Chunk(Event(1))}, {"", Then::kReset}});
    f.context.mechanisms.Disable(Mechanism::kResume);
    f.SendRequest("POST", "/stream/1", c.before_end);
    RawEndpoint& used = f.a.requests.empty() ? f.b : f.a;
    used.ResetAll();
    f.RunFor(milliseconds(100));
    EXPECT_TRUE(f.ended) << c.name;
    EXPECT_EQ(!f.Tick().to_collectors.empty(), c.evidence) << c.name;
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
