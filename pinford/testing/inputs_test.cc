// External input: settings, policies, request bodies and datagrams. Tables of
// valid and invalid inputs, and random bytes for every decoder.

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "pinford/caller_request.h"
#include "pinford/claim.h"
#include "pinford/configuration.h"
#include "pinford/endpoint.h"
#include "pinford/engine_protocol.h"
#include "pinford/peer_messages.h"
#include "pinford/policy.h"
#include "pinford/settings.h"
#include "util/hash.h"

namespace pinford {
namespace {

const std::string kGoodSettings =
    "box: b\n"
    "hall: h\n"
    "listen:\n"
    "  callers: 127.0.0.1:1\n"
    "  operators: 127.0.0.1:2\n"
    "  peers: 127.0.0.1:3\n"
    "keys:\n"
    "  operators: 0123456789abcdef\n"
    "  peers: 0123456789abcdef\n"
    "store: 127.0.0.1:4\n";

TEST(Settings, EveryFindingWithItsLine) {
  const struct {
    const char* name;
    std::string text;
    std::vector<std::string> findings;
  } cases[] = {
      {"good", kGoodSettings, {}},
      {"all keys",
       kGoodSettings +
           "seeds: [127.0.0.1:9, 127.0.0.1:10]\nlog: {level: debug, format: "
           "json}\nlimits: {body_bytes: 4096, tokens: 5}\nstop: {listen_ms: "
           "0}\nutc_offset_minutes: -300\n",
       {}},
      {"unknown key",
       kGoodSettings + "colour: red\n",
       {"f:11: colour is not a setting"}},
      {"unknown key in a group",
       kGoodSettings + "log:\n  volume: 3\n",
       {"f:12: log.volume is not a setting"}},
      {"two faults",
       kGoodSettings + "log: {level: loud}\nlimits: {tokens: 0}\n",
       {"f:11: log.level must be debug, info, warn or error",
        "f:12: limits.tokens must be a whole number from 1 to 1000000"}},
      {"wrong types",
       kGoodSettings + "seeds: 3\nlog: 4\nlimits: {tokens: [1]}\n",
       {"f:11: seeds must be a list", "f:12: log must hold keys",
        "f:13: limits.tokens must be a single value"}},
      {"given twice",
       kGoodSettings + "hall: i\n",
       {"f:11: hall is given twice"}},
      {"not YAML", "a: [", {"f:1: "}},
      {"not keys", "- a\n", {"f:1: the file must hold keys"}},
      {"no mechanism",
       kGoodSettings + "forward: {off: [moves, magic]}\n",
       {"f:11: forward.off is no mechanism's name (docs/OPERATIONS.md lists "
        "them)"}},
      {"durations",
       kGoodSettings +
           "stop: {listen_ms: 1.5 s, latest_ms: 8s}\n"
           "forward: {retry_window_ms: 2500.5 ms, retry_extra: 60.36}\n",
       {}},
      {"no durations",
       kGoodSettings + "stop: {listen_ms: s, latest_ms: 3 h}\n",
       {"f:11: stop.listen_ms must be from 0 to 3600000 milliseconds, as 1500, "
        "1.5 s or 1500 ms",
        "f:11: stop.latest_ms must be from 0 to 3600000 milliseconds, as 1500, "
        "1.5 s or 1500 ms"}},
      {"not finite",
       kGoodSettings + "stop: {listen_ms: nan s}\n"
                       "forward: {retry_ratio: nan, retry_extra: inf}\n",
       {"f:11: stop.listen_ms must be from 0 to 3600000 milliseconds, as 1500, "
        "1.5 s or 1500 ms",
        "f:12: forward.retry_ratio must be a number from 0 to 10",
        "f:12: forward.retry_extra must be a number from 0 to 1000000000"}},
      {"mechanisms", kGoodSettings + "forward: {off: [moves, resume]}\n", {}},
      {"name for an address",
       kGoodSettings + "seeds: [here:1]\n",
       {"f:11: seeds must be an IP address and a port, as 127.0.0.1:8000"}},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    Findings findings;
    const bool good = ParseSettings(c.text, "f", &findings).has_value();
    EXPECT_EQ(good, c.findings.empty());
    ASSERT_EQ(findings.list().size(), c.findings.size()) << findings.ToString();
    for (size_t i = 0; i < c.findings.size(); i++) {
      EXPECT_EQ(findings.list()[i].ToString().find(c.findings[i]), 0u)
          << findings.list()[i].ToString();
    }
  }
  // Missing keys and conflicting addresses.
  Findings findings;
  EXPECT_FALSE(
      ParseSettings("box: b\nlisten:\n  callers: 127.0.0.1:1\n"
                    "  peers: 127.0.0.1:1\n",
                    "f", &findings));
  const std::string all = findings.ToString();
  for (const char* want :
       {"hall is missing", "keys.operators is missing", "store is missing",
        "f:4: listen.peers clashes with listen.callers"}) {
    EXPECT_NE(all.find(want), std::string::npos) << all;
  }
}

TEST(Policy, EveryFindingWithItsPlace) {
  const struct {
    const char* name;
    const char* source;
    const char* finding;  // "" for none
  } cases[] = {
      {"empty", "", ""},
      {"syntax", "function classify(\n", "p.lua:2: "},
      {"top level", "x = nil + 1", "p.lua:1: attempt to perform arithmetic"},
      {"in a sample", "function classify(r)\n  return r.nothing.more\nend",
       "p.lua:2: attempt to index a nil value"},
      {"no table", "function classify(r) return 3 end",
       "classify must return a table"},
      {"unknown tier", "function classify(r) return {tier='gold'} end",
       "tier 'gold' is none of"},
      {"weight of zero", "function classify(r) return {weight=0} end",
       "weight must be a number"},
      {"not a function", "classify = 3", "classify is not a function"},
      {"endless", "while true do end", "too many instructions"},
      {"endless in a sample", "function share() while true do end end",
       "too many instructions"},
      {"endless in a string function",
       "function share() return string.rep('x', 1e8) end", "not enough memory"},
      {"takes too much memory", "t = {} for i = 1, 1e7 do t[i] = {} end", ""},
      {"no io", "io.write('x')", "index a nil value (global 'io')"},
      {"no os", "os.exit()", "index a nil value (global 'os')"},
      {"no load", "load('x')()", "call a nil value (global 'load')"},
      {"no pcall", "pcall(error)", "call a nil value (global 'pcall')"},
      {"compiled", "\x1bLua", "attempt to load a binary chunk"},
      {"share of text", "function share() return {a='b'} end",
       "share must return halls with numbers"},
      {"negative replicas", "function placement() return {a=-1} end",
       "placement must return halls with numbers"},
      {"repeatable of nil", "function repeatable() end",
       "repeatable must return true or false"},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    Findings findings;
    auto policy = Policy::Load({{"p.lua", c.source}}, {}, &findings);
    if (std::string(c.name) == "takes too much memory") {
      EXPECT_EQ(policy, nullptr);  // either limit may stop it
      continue;
    }
    EXPECT_EQ(policy != nullptr, c.finding[0] == '\0');
    EXPECT_NE(findings.ToString().find(c.finding), std::string::npos)
        << findings.ToString();
  }
  // The findings of all files are reported together.
  Findings findings;
  Policy::Load({{"a.lua", "x ="}, {"b.lua", "y ="}}, {}, &findings);
  EXPECT_EQ(findings.list().size(), 2u) << findings.ToString();
}

TEST(Policy, AFailingCallGivesTheDefaultAndIsCounted) {
  Findings findings;
  auto policy = Policy::Load(
      {{"p.lua",
        "function classify(r) if r.customer == 'x' then error('no') end\n"
        "  return {tier='critical', deadline=2, group='g'} end\n"
        "function repeatable(c) if c.customer == 'x' then error('no') end\n"
        "  return true end"}},
      {}, &findings);
  ASSERT_NE(policy, nullptr) << findings.ToString();
  RequestFacts facts;
  EXPECT_EQ(policy->Classify(facts).tier, Tier::kCritical);
  EXPECT_EQ(policy->Classify(facts).deadline, seconds(2));
  facts.customer = "x";
  EXPECT_EQ(policy->Classify(facts).tier, Tier::kStandard);
  EXPECT_EQ(policy->errors(), 1);
  EXPECT_TRUE(policy->IsIdempotent({"y", "s", "POST", "/"}));
  EXPECT_FALSE(policy->IsIdempotent({"x", "s", "GET", "/"}))
      << "a call must not be run twice when the policy fails";
}

// --- bodies ----------------------------------------------------------------

TEST(CallerRequest, EveryFindingWithItsPlace) {
  const struct {
    CompletionForm form;
    const char* body;
    const char* findings;
  } cases[] = {
      {CompletionForm::kChat,
       R"({"model":"m","messages":[{"role":"user","content":"x"}]})", ""},
      {CompletionForm::kText, R"({"model":"m","prompt":"x","stream":true})",
       ""},
      {CompletionForm::kText, "[]", "body: the body must be a JSON object\n"},
      {CompletionForm::kText, "{}",
       "body: model must be a text\nbody: prompt must be a text\n"},
      {CompletionForm::kText,
       R"({"model":"m","prompt":"x","max_tokens":0,"stream":1,"n":2})",
       "body: max_tokens must be a whole number from 1 to 9\n"
       "body: stream must be true or false\nbody: n must be 1\n"},
      {CompletionForm::kChat, R"({"model":"m","messages":[{"role":"u"},3]})",
       "body: messages[0].content must be a text\n"
       "body: messages[1].role must be a text\n"
       "body: messages[1].content must be a text\n"},
  };
  for (const auto& c : cases) {
    Findings findings;
    const bool good =
        ParseCallerRequest(c.form, c.body, 9, &findings).has_value();
    EXPECT_EQ(findings.ToString(), c.findings) << c.body;
    EXPECT_EQ(good, findings.empty());
  }
}

StepRequest SampleStep() {
  StepRequest step;
  step.id = {"r", 7, 3, 5, {2, 4}};
  step.cached = 5;
  step.activations = {"a", "b"};
  return step;
}

TEST(EngineProtocol, RoundTrips) {
  const std::optional<StepRequest> step =
      ParseStepRequest(WriteStepRequest(SampleStep()));
  ASSERT_TRUE(step.has_value());
  EXPECT_EQ(step->id, SampleStep().id);
  EXPECT_EQ(step->activations, SampleStep().activations);
  StepReply reply;
  reply.id = SampleStep().id;
  reply.text = "t\xff";  // not UTF-8
  const std::optional<StepReply> back = ParseStepReply(WriteStepReply(reply));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->id, reply.id);
  for (StepStatus s : {StepStatus::kRefusedLeaving, StepStatus::kRefusedBusy,
                       StepStatus::kRefusedCache, StepStatus::kRejected}) {
    const Refusal refusal = RefusalOf(s);
    std::string message;
    EXPECT_EQ(StepStatusOf(refusal.http_status, WriteError(refusal.code, "m"),
                           &message),
              s);
    // Without the error code, the same status does not show whether it ran.
    EXPECT_EQ(StepStatusOf(refusal.http_status, "", &message),
              StepStatus::kLost);
  }
}

Digest SampleDigest() {
  Digest d;
  d.sender = {"box", "hall", "127.0.0.1:1", 5, 6, MemberState::kLeaving,
              {7, 8}};
  d.joined = {d.sender, d.sender};
  d.heartbeats = {{1, 2, 3}};
  d.counts = {{4, 5, 6}};
  d.leaving = {{"x", 9}};
  return d;
}

TEST(PeerMessages, RoundTripOnlyWithTheKey) {
  const PeerCodec codec("key");
  const std::optional<Digest> d =
      codec.DecodeDigest(codec.Encode(SampleDigest()));
  ASSERT_TRUE(d.has_value());
  EXPECT_EQ(d->sender.name, "box");
  EXPECT_EQ(d->sender.versions[1], 8u);
  EXPECT_EQ(d->joined.size(), 2u);
  EXPECT_EQ(d->leaving[0], LeavingMark("x", 9));
  EXPECT_FALSE(PeerCodec("other").DecodeDigest(codec.Encode(SampleDigest())));
  EXPECT_FALSE(codec.DecodeFetchReply(codec.Encode(SampleDigest())));
  const std::string note = codec.Encode(FailureNotice{{"a", "b"}});
  ASSERT_TRUE(codec.DecodeFailureNotice(note).has_value());
  EXPECT_EQ(codec.DecodeFailureNotice(note)->endpoints,
            (std::vector<std::string>{"a", "b"}));
  EXPECT_FALSE(codec.DecodeDigest(note).has_value());
  EXPECT_FALSE(PeerCodec("other").DecodeFailureNotice(note).has_value());
  const std::string ask = codec.Encode(RetryRequest{7, "1.2.3.4:5", "s", 3});
  ASSERT_TRUE(codec.DecodeRetryRequest(ask).has_value());
  EXPECT_EQ(codec.DecodeRetryRequest(ask)->nonce, 7u);
  EXPECT_EQ(codec.DecodeRetryRequest(ask)->from, "1.2.3.4:5");
  EXPECT_EQ(codec.DecodeRetryRequest(ask)->service, "s");
  EXPECT_EQ(codec.DecodeRetryRequest(ask)->count, 3);
  EXPECT_FALSE(codec.DecodeRetryLoan(ask).has_value());
  EXPECT_FALSE(PeerCodec("other").DecodeRetryRequest(ask).has_value());
  const std::string loan = codec.Encode(RetryLoan{7, 2});
  ASSERT_TRUE(codec.DecodeRetryLoan(loan).has_value());
  EXPECT_EQ(codec.DecodeRetryLoan(loan)->nonce, 7u);
  EXPECT_EQ(codec.DecodeRetryLoan(loan)->count, 2);
  EXPECT_FALSE(codec.DecodeRetryRequest(loan).has_value());
  EXPECT_FALSE(PeerCodec("other").DecodeRetryLoan(loan).has_value());
  const CrashNotice crash = {{{"f", {{"e", 9, 300, 200}}, 50}, {"g", {}}}};
  const std::string crashes = codec.Encode(crash);
  const std::optional<CrashNotice> read = codec.DecodeCrashNotice(crashes);
  ASSERT_TRUE(read.has_value());
  ASSERT_EQ(read->records.size(), 2u);
  EXPECT_EQ(read->records[0].fingerprint, "f");
  EXPECT_EQ(read->records[0].survived_ms_ago, 50u);
  ASSERT_EQ(read->records[0].runs.size(), 1u);
  EXPECT_EQ(read->records[0].runs[0].endpoint, "e");
  EXPECT_EQ(read->records[0].runs[0].incarnation, 9u);
  EXPECT_EQ(read->records[0].runs[0].began_ms_ago, 300u);
  EXPECT_EQ(read->records[0].runs[0].ended_ms_ago, 200u);
  EXPECT_EQ(read->records[1].survived_ms_ago, kNeverSurvived);
  EXPECT_FALSE(codec.DecodeRetryLoan(crashes).has_value());
  EXPECT_FALSE(PeerCodec("other").DecodeCrashNotice(crashes).has_value());
  const std::string missing = codec.Encode(MissingNotice{{{"e", 9, 40}}});
  ASSERT_TRUE(codec.DecodeMissingNotice(missing).has_value());
  ASSERT_EQ(codec.DecodeMissingNotice(missing)->entries.size(), 1u);
  EXPECT_EQ(codec.DecodeMissingNotice(missing)->entries[0].endpoint, "e");
  EXPECT_EQ(codec.DecodeMissingNotice(missing)->entries[0].incarnation, 9u);
  EXPECT_EQ(codec.DecodeMissingNotice(missing)->entries[0].list_version, 40u);
  EXPECT_FALSE(codec.DecodeCrashNotice(missing).has_value());
  EXPECT_FALSE(PeerCodec("other").DecodeMissingNotice(missing).has_value());
  // Texts and lists longer than any peer sends.
  const std::string m(kMaxMissingEndpointBytes + 1, 'm');
  for (const MissingNotice& n :
       {MissingNotice{{{m, 1, 1}}},
        MissingNotice{std::vector<MissingEntry>(kMaxMissingEntries + 1)}}) {
    EXPECT_FALSE(codec.DecodeMissingNotice(codec.Encode(n)));
  }
  const std::string f(kMaxFingerprintBytes + 1, 'f');
  const std::string e(kMaxCrashedEndpointBytes + 1, 'e');
  const std::vector<CrashedRun> runs(kMaxCrashedRuns + 1);
  const std::vector<CrashRecord> records(kMaxCrashRecords + 1);
  for (const CrashNotice& n :
       {CrashNotice{{{f, {}}}}, CrashNotice{{{"f", {{e, 1, 0, 0}}}}},
        CrashNotice{{{"f", runs}}}, CrashNotice{records}}) {
    EXPECT_FALSE(codec.DecodeCrashNotice(codec.Encode(n)));
  }
  const std::string a(kMaxRequesterBytes + 1, 'a');
  const std::string b(kMaxRequestedServiceBytes + 1, 'b');
  EXPECT_FALSE(
      codec.DecodeRetryRequest(codec.Encode(RetryRequest{7, a, "s", 3})));
  EXPECT_FALSE(
      codec.DecodeRetryRequest(codec.Encode(RetryRequest{7, "x", b, 3})));
}

TEST(PeerMessages, CarryRateLimitsWithinBounds) {
  const PeerCodec codec("key");
  const NamedLimit limit = {"e", 9, 4.5, 30, NamedLimit::kNever};
  const std::string ask = codec.Encode(
      PermitRequest{7, "x", limit, PermitClass::kPriority, 3, true});
  ASSERT_TRUE(codec.DecodePermitRequest(ask).has_value());
  EXPECT_EQ(codec.DecodePermitRequest(ask)->limit.per_second, 4.5);
  EXPECT_EQ(codec.DecodePermitRequest(ask)->permit_class,
            PermitClass::kPriority);
  EXPECT_TRUE(codec.DecodePermitRequest(ask)->sole);
  const std::string grant = codec.Encode(PermitGrant{7, limit, 2, 200, true});
  ASSERT_TRUE(codec.DecodePermitGrant(grant).has_value());
  EXPECT_EQ(codec.DecodePermitGrant(grant)->count, 2);
  EXPECT_EQ(codec.DecodePermitGrant(grant)->wait_ms, 200u);
  EXPECT_FALSE(codec.DecodePermitRequest(grant).has_value());
  const std::string limits = codec.Encode(LimitNotice{{limit}});
  ASSERT_TRUE(codec.DecodeLimitNotice(limits).has_value());
  EXPECT_EQ(codec.DecodeLimitNotice(limits)->limits[0].named_ms_ago, 30u);
  EXPECT_FALSE(PeerCodec("other").DecodeLimitNotice(limits).has_value());
  // Texts and lists longer than any peer sends, and numbers that are no rates.
  const std::string l(kMaxLimitedEndpointBytes + 1, 'l');
  for (const NamedLimit& bad :
       {NamedLimit{l, 1, 5, 0, 0}, NamedLimit{"e", 1, -1, 0, 0},
        NamedLimit{"e", 1, std::numeric_limits<double>::infinity(), 0, 0},
        NamedLimit{"e", 1, std::nan(""), 0, 0}}) {
    EXPECT_FALSE(codec.DecodeLimitNotice(codec.Encode(LimitNotice{{bad}})));
    EXPECT_FALSE(
        codec.DecodePermitGrant(codec.Encode(PermitGrant{7, bad, 1, 0, true})));
    EXPECT_FALSE(codec.DecodePermitRequest(codec.Encode(
        PermitRequest{7, "x", bad, PermitClass::kOrdinary, 1, true})));
  }
  EXPECT_FALSE(codec.DecodeLimitNotice(codec.Encode(
      LimitNotice{std::vector<NamedLimit>(kMaxNoticeLimits + 1)})));
  EXPECT_FALSE(codec.DecodePermitRequest(codec.Encode(PermitRequest{
      7, "x", limit, static_cast<PermitClass>(kPermitClasses), 1, true})));
}

// Random changes and truncations of messages with a valid tag: a peer of
// another version must not crash a box.
TEST(PeerMessages, SurviveAnyBytes) {
  const PeerCodec codec("key");
  Random random(1);
  FetchReply reply;
  reply.body = std::string(300, 'b');
  reply.events = {TimelineEvent(), TimelineEvent()};
  const std::string samples[] = {
      codec.Encode(SampleDigest()),
      codec.Encode(FetchRequest()),
      codec.Encode(reply),
      codec.Encode(FailureNotice{{"a", "b"}}),
      codec.Encode(RetryRequest{7, "1.2.3.4:5", "s", 3}),
      codec.Encode(RetryLoan{7, 2}),
      codec.Encode(CrashNotice{{{"f", {{"e", 9, 300, 200}}}}}),
      codec.Encode(MissingNotice{{{"e", 9, 40}}}),
      codec.Encode(PermitRequest{7, "x", {"e", 9, 4.5, 3, 4}}),
      codec.Encode(PermitGrant{7, {"e", 9, 4.5, 3, 4}, 2, 200, true}),
      codec.Encode(LimitNotice{{{"e", 9, 4.5, 3, 4}}})};
  int decoded = 0;
  for (int i = 0; i < 60000; i++) {
    std::string payload = samples[i % std::size(samples)].substr(16);
    const int flips = static_cast<int>(random() % 4);
    for (int f = 0; f < flips; f++) {
      payload[random() % payload.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) payload.resize(random() % payload.size() + 1);
    // Signed again, so that decoding is reached.
    const std::string bytes = codec.Sign(payload);
    decoded += codec.DecodeDigest(bytes).has_value();
    decoded += codec.DecodeFetchRequest(bytes).has_value();
    decoded += codec.DecodeFetchReply(bytes).has_value();
    decoded += codec.DecodeFailureNotice(bytes).has_value();
    decoded += codec.DecodeRetryRequest(bytes).has_value();
    decoded += codec.DecodeRetryLoan(bytes).has_value();
    decoded += codec.DecodeCrashNotice(bytes).has_value();
    decoded += codec.DecodeMissingNotice(bytes).has_value();
    decoded += codec.DecodePermitRequest(bytes).has_value();
    decoded += codec.DecodePermitGrant(bytes).has_value();
    decoded += codec.DecodeLimitNotice(bytes).has_value();
  }
  EXPECT_GT(decoded, 5000);
}

TEST(Decoders, SurviveAnyJson) {
  Random random(2);
  Claim claim;
  claim.attempt = "a";
  claim.state = ClaimState::kDone;
  Configuration configuration = MakeSuccessor({}, "s", "a", {{"f", "x"}});
  LoadReport report;
  report.layers = 8;
  const std::string samples[] = {
      WriteStepRequest(SampleStep()),
      WriteClaim(claim),
      WriteConfiguration(configuration),
      WriteLoadReport(report),
      WriteEndpointList({ListedEndpoint()}),
      WriteTokens({1, 2, 3}),
      R"({"model":"m","messages":[{"role":"u","content":"c"}],"n":1})"};
  const std::string pieces[] = {"[",  "]",    "{",     "}",
                                "\"", "null", "1e999", "-1",
                                ":",  ",",    "true",  "99999999999999999999"};
  for (int i = 0; i < 60000; i++) {
    std::string text = samples[i % std::size(samples)];
    for (int f = 0; f < 3; f++) {
      const std::string& piece = pieces[random() % std::size(pieces)];
      const size_t at = random() % text.size();
      if (random() % 2 == 0) {
        text.replace(at, 1, piece);
      } else {
        text.insert(at, piece);
      }
    }
    int bad = 0;
    Findings findings;
    ParseStepRequest(text);
    ParseStepReply(text);
    ParseTokens(text);
    ParseClaim(text);
    ParseConfiguration(text);
    ParseLoadReport(text);
    ParseEndpointList(text, &bad);
    ParseCallerRequest(CompletionForm::kChat, text, 9, &findings);
  }
}

}  // namespace
}  // namespace pinford
