// Completions on a paused clock under faults, alone and in pairs, and under
// random schedules of faults: each layer runs exactly once per token and in
// order, and each caller receives the whole of its own answer.

#include "pinford/completion_driver.h"

#include <gtest/gtest.h>

#include <memory>

#include "pinford/testing/fake_engines.h"
#include "pinford/testing/layer_checker.h"

namespace pinford {
namespace {

// Fake engines and the completions that run on them.
class Pool {
 public:
  explicit Pool(uint64_t seed)
      : engines_(&clock_, ToyModel(), seed),
        table_("a", EndpointTable::Options(), Random(seed)) {}

  struct Answer {
    std::string text;
    int tokens = 0;
    std::optional<CompletionEnd> end;
    std::vector<Repair> repairs;
  };

  void Add(const std::string& name, LayerRange holds) {
    engines_.Add(name, holds);
  }

  // Lists all engines and applies the current reports of those that respond.
  void Refresh() {
    table_.OnList(engines_.List());
    for (auto& [name, engine] : engines_.all()) {
      if (!engine.dead && !engine.frozen) {
        table_.OnReport(clock_.now(), name, engine.report);
      }
    }
  }

  void KeepRefreshing() {
    Refresh();
    clock_.After(milliseconds(500), [this] { KeepRefreshing(); });
  }

  void Begin(const std::string& request, const std::string& prompt,
             int max_tokens, CompletionOptions options = {}) {
    CompletionSpec spec;
    spec.request = request;
    spec.model = model_.name;
    spec.version = model_.version;
    spec.prompt = prompt;
    spec.max_tokens = max_tokens;
    spec.deadline = clock_.now() + seconds(10);
    Answer& answer = answers_[request];
    CompletionEvents events;
    events.on_token = [&answer](std::string_view text) {
      answer.text += text;
      answer.tokens++;
    };
    events.on_end = [&answer](const CompletionEnd& end) { answer.end = end; };
    events.on_repair = [&answer](const Repair& r) {
      answer.repairs.push_back(r);
    };
    drivers_.push_back(std::make_unique<Driver>(&engines_, &clock_, &table_,
                                                &budget_, options, spec,
                                                std::move(events)));
    drivers_.back()->Start();
  }

  // Checks what must hold once all completions have ended.
  LayerCheck Check(const std::map<std::string, std::string>& prompts,
                   int max_tokens) {
    std::map<std::string, int> positions;
    for (const auto& [request, prompt] : prompts) {
      const Answer& a = answers_.at(request);
      EXPECT_TRUE(a.end.has_value()) << request << " never ended";
      if (!a.end) continue;
      const std::string expected = model_.AnswerText(prompt, max_tokens);
      if (a.end->outcome == Outcome::kComplete) {
        EXPECT_EQ(a.text, expected) << request;
        positions[request] =
            static_cast<int>(model_.Tokenize(prompt).size()) + a.tokens - 1;
      } else {
        // The text received before the failure must be a prefix of the answer.
        EXPECT_EQ(a.text, expected.substr(0, a.text.size())) << request;
      }
      if (a.end->outcome == Outcome::kNotRun) {
        for (const LayerRun& r : engines_.runs()) {
          EXPECT_NE(r.request, request) << "reported as not_run, but it ran";
        }
      }
    }
    LayerCheck check = CheckLayers(engines_.runs(), model_.layers, positions);
    EXPECT_TRUE(check.faults.empty())
        << check.faults.size() << " faults, first: " << check.faults[0];
    return check;
  }

  using Driver = CompletionDriver<FakeEngines, PausedClock>;
  PausedClock clock_;
  ToyModel model_;
  FakeEngines engines_;
  EndpointTable table_;
  RetryBudget budget_;
  std::map<std::string, Answer> answers_;
  std::vector<std::unique_ptr<Driver>> drivers_;
};

constexpr char kPrompt[] = "book a table for two at eight";
constexpr int kTokens = 12;

void AddTwoEnginesPerStage(Pool* pool) {
  pool->Add("a0", {0, 3});
  pool->Add("a1", {0, 4});
  pool->Add("b0", {2, 6});
  pool->Add("b1", {3, 6});
  pool->Add("c0", {5, 8});
  pool->Add("c1", {6, 8});
}

TEST(CompletionDriver, RunsEachLayerOnceWithoutFaults) {
  Pool pool(1);
  AddTwoEnginesPerStage(&pool);
  pool.KeepRefreshing();
  pool.Begin("r", kPrompt, kTokens);
  pool.clock_.Advance(seconds(5));
  LayerCheck check = pool.Check({{"r", kPrompt}}, kTokens);
  EXPECT_EQ(pool.answers_["r"].end->outcome, Outcome::kComplete);
  EXPECT_EQ(check.rebuilt, 0);
  EXPECT_EQ(check.recomputed, 0);
  for (auto& [name, engine] : pool.engines_.all()) {
    EXPECT_TRUE(engine.sessions.empty()) << name << " keeps a cache";
  }
}

// An engine that refuses for four seconds and requests a backoff of one second
// gets at most one step per second, while the others serve.
TEST(CompletionDriver, AnEngineThatRequestsBackoffGetsNoSteps) {
  Pool pool(3);
  AddTwoEnginesPerStage(&pool);
  pool.KeepRefreshing();
  FakeEngines::Engine& engine = pool.engines_.at("a0");
  engine.full = true;
  engine.backoff = seconds(1);
  std::map<std::string, std::string> prompts;
  for (int i = 0; i < 200; i++) {
    const std::string request = "r" + std::to_string(i);
    prompts[request] = kPrompt;
    pool.Begin(request, kPrompt, kTokens);
    pool.clock_.Advance(milliseconds(20));
  }
  pool.clock_.Advance(seconds(5));
  pool.Check(prompts, kTokens);
  EXPECT_GT(engine.refused, 0);
  EXPECT_LE(engine.refused, 4);
  for (const auto& [request, answer] : pool.answers_) {
    EXPECT_EQ(answer.end->outcome, Outcome::kComplete) << request;
  }
}

using Fault = void (*)(Pool*, const std::string& endpoint);

const struct {
  const char* name;
  Fault fn;
} kFaults[] = {
    {"killed", [](Pool* p, const std::string& e) { p->engines_.Kill(e); }},
    {"frozen",
     [](Pool* p, const std::string& e) { p->engines_.at(e).frozen = true; }},
    {"frozen, waking late",
     [](Pool* p, const std::string& e) {
       p->engines_.at(e).frozen = true;
       p->clock_.After(seconds(2), [p, e] { p->engines_.Thaw(e); });
     }},
    {"losing replies",
     [](Pool* p, const std::string& e) { p->engines_.at(e).lose_reply = 0.3; }},
    {"repeating replies",
     [](Pool* p, const std::string& e) {
       p->engines_.at(e).repeat_reply = 0.5;
     }},
    {"leaving",
     [](Pool* p, const std::string& e) {
       p->engines_.at(e).report.leaving = true;
     }},
    {"forgetting its caches",
     [](Pool* p, const std::string& e) { p->engines_.at(e).sessions.clear(); }},
    {"ordered to hold other layers",
     [](Pool* p, const std::string& e) {
       FakeEngines::Engine& engine = p->engines_.at(e);
       engine.report.holds = {0, 1};
       engine.sessions.clear();
     }},
    {"ordered to hold another version",
     [](Pool* p, const std::string& e) {
       FakeEngines::Engine& engine = p->engines_.at(e);
       engine.report.version = "v2";
       engine.sessions.clear();
     }},
    {"ten times slower",
     [](Pool* p, const std::string& e) {
       p->engines_.at(e).delay = milliseconds(10);
     }},
};

const char* const kEndpoints[] = {"a0", "a1", "b0", "b1", "c0", "c1"};

// Every fault on every endpoint, alone and with every other fault on every
// other endpoint, in the middle of an answer.
TEST(CompletionDriver, CompletesUnderFaultsAloneAndInPairs) {
  int cases = 0;
  for (const auto& first : kFaults) {
    for (const char* e : kEndpoints) {
      for (const auto& second : kFaults) {
        for (const char* f : kEndpoints) {
          // If both holders of a layer are lost, nothing is left to run it on.
          if (std::string(e).substr(0, 1) == std::string(f).substr(0, 1)) {
            continue;
          }
          SCOPED_TRACE(std::string(e) + " " + first.name + ", " + f + " " +
                       second.name);
          Pool pool(cases++);
          AddTwoEnginesPerStage(&pool);
          pool.KeepRefreshing();
          pool.Begin("r", kPrompt, kTokens);
          pool.clock_.Advance(milliseconds(23));
          first.fn(&pool, e);
          pool.clock_.Advance(milliseconds(9));
          second.fn(&pool, f);
          pool.clock_.Advance(seconds(40));
          LayerCheck check = pool.Check({{"r", kPrompt}}, kTokens);
          EXPECT_EQ(pool.answers_["r"].end->outcome, Outcome::kComplete);
          EXPECT_EQ(check.recomputed, 0) << "surviving stages recomputed";
          if (HasFailure()) return;
        }
      }
    }
  }
  EXPECT_GT(cases, 1000);
}

// Without a journal the surviving stages recompute, and the answer is still
// complete.
TEST(CompletionDriver, CompletesWithoutAJournal) {
  Pool pool(7);
  AddTwoEnginesPerStage(&pool);
  pool.KeepRefreshing();
  CompletionOptions options;
  options.run.max_journal_bytes = 0;
  pool.Begin("r", kPrompt, kTokens, options);
  pool.clock_.Advance(milliseconds(30));
  for (const char* e : {"b0", "c0"}) pool.engines_.Kill(e);
  pool.clock_.Advance(milliseconds(20));
  for (const char* e : {"b1", "c1"}) pool.engines_.at(e).lose_reply = 0.2;
  pool.clock_.Advance(seconds(20));
  LayerCheck check = pool.Check({{"r", kPrompt}}, kTokens);
  EXPECT_EQ(pool.answers_["r"].end->outcome, Outcome::kComplete);
  EXPECT_GT(check.recomputed, 0);
}

// If all engines slow down at once, the deadlines follow and none is considered
// lost for it.
TEST(CompletionDriver, DeadlinesAdaptToEnginesThatSlowDown) {
  Pool pool(8);
  AddTwoEnginesPerStage(&pool);
  pool.KeepRefreshing();
  std::map<std::string, std::string> prompts;
  for (int i = 0; i < 20; i++) {
    const std::string request = "r" + std::to_string(i);
    prompts[request] = kPrompt;
    pool.Begin(request, kPrompt, kTokens);
  }
  pool.clock_.Advance(milliseconds(30));
  for (const char* e : kEndpoints) pool.engines_.at(e).delay = seconds(1);
  pool.clock_.Advance(seconds(300));
  LayerCheck check = pool.Check(prompts, kTokens);
  int repairs = 0;
  for (const auto& [request, answer] : pool.answers_) {
    EXPECT_EQ(answer.end->outcome, Outcome::kComplete)
        << request << ": " << CompletionErrorText(answer.end->error)
        << " after " << answer.tokens << " tokens and " << answer.repairs.size()
        << " repairs";
    repairs += static_cast<int>(answer.repairs.size());
  }
  printf("%d repairs, %d layer runs done again\n", repairs, check.rebuilt);
  EXPECT_LT(repairs, 20 * 8);
}

TEST(CompletionDriver, UsesOneModelVersionPerAnswer) {
  Pool pool(3);
  AddTwoEnginesPerStage(&pool);
  pool.KeepRefreshing();
  pool.Begin("r", kPrompt, kTokens);
  pool.clock_.Advance(milliseconds(25));
  // All idle endpoints switch to another version, then a stage is killed.
  for (const char* e : kEndpoints) {
    if (pool.table_.LoadOf(e) == 0) {
      pool.engines_.at(e).report.version = "v2";
    }
  }
  pool.Refresh();
  for (const char* e : {"b0", "b1"}) {
    if (pool.table_.LoadOf(e) > 0) pool.engines_.Kill(e);
  }
  pool.clock_.Advance(seconds(40));
  pool.Check({{"r", kPrompt}}, kTokens);
  // No endpoint with its version is left for the gap: the completion fails
  // rather than mix versions.
  EXPECT_EQ(pool.answers_["r"].end->outcome, Outcome::kFailed);
}

const struct {
  const char* name;
  Fault fn;
  Outcome outcome;
  CompletionError error;
} kRefusals[] = {
    {"killed", [](Pool* p, const std::string& e) { p->engines_.Kill(e); },
     Outcome::kNotRun, CompletionError::kNoEndpoints},
    {"full",
     [](Pool* p, const std::string& e) { p->engines_.at(e).full = true; },
     Outcome::kNotRun, CompletionError::kBusy},
    {"leaving",
     [](Pool* p, const std::string& e) {
       p->engines_.at(e).report.leaving = true;
     },
     Outcome::kNotRun, CompletionError::kNoEndpoints},
    {"losing replies",
     [](Pool* p, const std::string& e) { p->engines_.at(e).lose_reply = 1; },
     Outcome::kFailed, CompletionError::kNoEndpoints},
};

TEST(CompletionDriver, ReportsNotRunOnlyWhenNothingRan) {
  for (const auto& c : kRefusals) {
    SCOPED_TRACE(c.name);
    Pool pool(5);
    AddTwoEnginesPerStage(&pool);
    pool.KeepRefreshing();
    for (const char* e : kEndpoints) c.fn(&pool, e);
    pool.Begin("r", kPrompt, kTokens);
    pool.clock_.Advance(seconds(60));
    pool.Check({{"r", kPrompt}}, kTokens);
    ASSERT_TRUE(pool.answers_["r"].end.has_value());
    EXPECT_EQ(pool.answers_["r"].end->outcome, c.outcome);
  }
}

// Half of the engines, as those of one hall would, die under load and return:
// the others complete all requests, and few steps are sent again.
TEST(CompletionDriver, NoRetryStormWhenAHallDiesAndReturns) {
  Pool pool(9);
  const LayerRange blocks[] = {{0, 3}, {3, 6}, {6, 8}};
  for (int i = 0; i < 12; i++) {
    pool.Add((i % 2 == 0 ? "near" : "far") + std::to_string(i),
             blocks[i / 2 % 3]);
  }
  pool.KeepRefreshing();
  constexpr int kRequests = 600;
  std::map<std::string, std::string> prompts;
  for (int i = 0; i < kRequests; i++) {
    const std::string request = "r" + std::to_string(i);
    prompts[request] = "request " + std::to_string(i);
    pool.clock_.After(milliseconds(4 * i), [&pool, &prompts, request] {
      pool.Begin(request, prompts[request], kTokens);
    });
  }
  auto for_each_far_engine =
      [&pool](const std::function<void(const std::string&)>& fn) {
        for (int i = 1; i < 12; i += 2) fn("far" + std::to_string(i));
      };
  pool.clock_.After(seconds(1), [&] {
    for_each_far_engine(
        [&pool](const std::string& e) { pool.engines_.Kill(e); });
  });
  pool.clock_.After(seconds(2), [&] {
    for_each_far_engine([&pool](const std::string& e) {
      pool.engines_.at(e).dead = false;
      pool.engines_.at(e).report.incarnation++;
    });
  });
  pool.clock_.Advance(seconds(60));
  pool.Check(prompts, kTokens);
  int complete = 0;
  for (const auto& [request, answer] : pool.answers_) {
    complete += answer.end && answer.end->outcome == Outcome::kComplete;
  }
  EXPECT_EQ(complete, kRequests);
  const int min_steps = kRequests * kTokens * 3;
  const double extra_share = 1.0 * pool.engines_.sent_steps() / min_steps - 1;
  EXPECT_LT(extra_share, 0.02);
  printf("%d answers, %.2f%% more steps sent than without the loss\n", complete,
         extra_share * 100);
}

// Many concurrent completions, any fault on any endpoint at any time, with
// endpoints that recover.
TEST(CompletionDriver, RandomSchedules) {
  constexpr int kSchedules = 850;
  constexpr int kRequests = 12;
  int complete = 0;
  for (int seed = 0; seed < kSchedules; seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    Pool pool(seed);
    AddTwoEnginesPerStage(&pool);
    pool.KeepRefreshing();
    std::map<std::string, LayerRange> holds;
    for (auto& [name, engine] : pool.engines_.all()) {
      holds[name] = engine.report.holds;
    }
    std::map<std::string, std::string> prompts;
    for (int i = 0; i < kRequests; i++) {
      const std::string request = "r" + std::to_string(i);
      prompts[request] = "request number " + std::to_string(seed * 100 + i);
      pool.clock_.After(milliseconds(random() % 200),
                        [&pool, request, &prompts] {
                          pool.Begin(request, prompts[request], kTokens);
                        });
    }
    for (int i = 0; i < 6; i++) {
      const std::string e = kEndpoints[random() % 6];
      const Fault fault = kFaults[random() % std::size(kFaults)].fn;
      const Duration at = milliseconds(random() % 250);
      pool.clock_.After(at, [&pool, fault, e] { fault(&pool, e); });
      pool.clock_.After(at + milliseconds(300), [&pool, &holds, e] {
        FakeEngines::Engine& engine = pool.engines_.at(e);
        engine.report.incarnation++;
        engine.report.leaving = engine.dead = false;
        engine.lose_reply = engine.repeat_reply = 0;
        engine.report.holds = holds.at(e);
        engine.report.version = pool.model_.version;
        pool.engines_.Thaw(e);
      });
    }
    pool.clock_.Advance(seconds(60));
    pool.Check(prompts, kTokens);
    for (auto& [request, answer] : pool.answers_) {
      if (answer.end && answer.end->outcome == Outcome::kComplete) complete++;
    }
    if (HasFailure()) return;
  }
  EXPECT_EQ(complete, kSchedules * kRequests);
}

}  // namespace
}  // namespace pinford
