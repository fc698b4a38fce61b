// Concurrent submissions under store faults: exactly one of them succeeds for
// each generation, a lost reply is resolved to the true status, and generations
// only increase.

#include "pinford/submission.h"

#include <gtest/gtest.h>

#include "pinford/testing/fake_store.h"

namespace pinford {
namespace {

using TestSubmission = Submission<FakeStoreClient, FakeBox>;

struct TestCluster {
  explicit TestCluster(uint64_t seed) : store(&clock, seed) {
    for (int i = 0; i < 3; i++) {
      boxes.push_back(std::make_unique<FakeBox>(&clock));
      clients.push_back(
          std::make_unique<FakeStoreClient>(boxes.back().get(), &store));
    }
  }
  void Submit(int box, const std::string& id, uint64_t expected) {
    SubmissionRequest request;
    request.id = id;
    request.expected_generation = expected;
    request.policy = {{id + ".lua", "-- " + id}};
    TestSubmission::Start(
        clients[box].get(), boxes[box].get(), request,
        [this, id](const SubmissionResult& r) { results[id].push_back(r); });
  }
  // Each generation written, with the submission that wrote it.
  std::map<uint64_t, std::string> Written() const {
    std::map<uint64_t, std::string> written;
    auto it = store.history.find(kConfigurationKey);
    if (it == store.history.end()) return written;
    uint64_t last = 0;
    for (const std::string& text : it->second) {
      std::optional<Configuration> c = ParseConfiguration(text);
      EXPECT_TRUE(c.has_value());
      EXPECT_EQ(c->generation, last + 1)
          << "a generation was skipped or reused";
      last = c->generation;
      written[c->generation] = c->submission;
    }
    return written;
  }

  PausedClock clock;
  FakeStore store;
  std::vector<std::unique_ptr<FakeBox>> boxes;
  std::vector<std::unique_ptr<FakeStoreClient>> clients;
  std::map<std::string, std::vector<SubmissionResult>> results;
};

TEST(Submission, OneOfConcurrentSubmissionsWins) {
  TestCluster w(1);
  for (int i = 0; i < 3; i++) w.Submit(i, "op" + std::to_string(i), 0);
  w.clock.Advance(seconds(10));
  int accepted = 0;
  for (const auto& [id, list] : w.results) {
    ASSERT_EQ(list.size(), 1u);
    EXPECT_EQ(list[0].generation, 1u);
    if (list[0].status == SubmissionStatus::kAccepted) accepted++;
  }
  EXPECT_EQ(accepted, 1);
}

const struct {
  const char* name;
  FakeStore::Faults faults;
  SubmissionStatus status;
} kCases[] = {
    {"no fault", {}, SubmissionStatus::kAccepted},
    {"down", {0, 0, 0, true}, SubmissionStatus::kNotWritten},
    {"every reply lost", {0, 1, 0, false}, SubmissionStatus::kNotWritten},
    {"every call lost", {1, 0, 0, false}, SubmissionStatus::kNotWritten},
};

TEST(Submission, ReportsTheTrueStatusUnderEachFault) {
  for (const auto& c : kCases) {
    SCOPED_TRACE(c.name);
    TestCluster w(2);
    w.store.faults = c.faults;
    w.Submit(0, "a", 0);
    w.clock.Advance(seconds(30));
    ASSERT_EQ(w.results["a"].size(), 1u);
    EXPECT_EQ(w.results["a"][0].status, c.status);
    const bool written = !w.Written().empty();
    EXPECT_EQ(written, c.status == SubmissionStatus::kAccepted);
  }
}

// The write takes effect, its reply is lost, and another submission overwrites
// it before this box reads back: the submission is still reported as accepted,
// with its own generation.
TEST(Submission, AcceptedAlthoughOverwritten) {
  TestCluster w(3);
  w.clock.After(milliseconds(3), [&w] { w.store.faults.lose_reply = 1; });
  w.Submit(0, "a", 0);
  w.clock.Advance(milliseconds(50));
  ASSERT_EQ(w.Written().size(), 1u);
  ASSERT_TRUE(w.results["a"].empty());
  w.store.faults = {};
  w.Submit(1, "b", 1);
  w.clock.Advance(seconds(10));
  ASSERT_EQ(w.results["a"].size(), 1u);
  EXPECT_EQ(w.results["a"][0].status, SubmissionStatus::kAccepted);
  EXPECT_EQ(w.results["a"][0].generation, 1u);
}

TEST(Submission, RandomSchedules) {
  int results_by_status[4] = {};
  for (int seed = 0; seed < 3000; seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    auto chance = [&random] { return (random() % 5) * 0.1; };
    TestCluster w(seed);
    w.store.faults = {chance(), chance(), chance(), false};
    for (int i = 0; i < 8; i++) {
      const std::string id = "s" + std::to_string(i);
      const int box = static_cast<int>(random() % 3);
      const bool duplicated = random() % 3 == 0;
      w.clock.After(milliseconds(random() % 4000), [&w, box, id, duplicated] {
        const uint64_t expected = w.Written().size();
        w.Submit(box, id, expected);
        // The operator's client retries the same submission at another box.
        if (duplicated) w.Submit((box + 1) % 3, id, expected);
      });
    }
    const Duration outage = milliseconds(random() % 6000);
    w.clock.After(outage, [&w] { w.store.faults.down = true; });
    w.clock.After(outage + milliseconds(random() % 4000),
                  [&w] { w.store.faults.down = false; });
    w.clock.Advance(seconds(60));
    const std::map<uint64_t, std::string> written = w.Written();
    std::map<std::string, uint64_t> generation_of;
    for (const auto& [g, id] : written) {
      EXPECT_TRUE(generation_of.emplace(id, g).second) << id << " twice";
    }
    for (const auto& [id, list] : w.results) {
      for (const SubmissionResult& r : list) {
        results_by_status[static_cast<int>(r.status)]++;
        if (r.status == SubmissionStatus::kAccepted) {
          EXPECT_EQ(generation_of[id], r.generation);
        } else if (r.status != SubmissionStatus::kUndecided &&
                   list.size() == 1) {
          EXPECT_FALSE(generation_of.contains(id))
              << id << " was reported as " << SubmissionStatusName(r.status);
        }
      }
    }
    if (HasFailure()) return;
  }
  for (int n : results_by_status) EXPECT_GT(n, 100);
}

}  // namespace
}  // namespace pinford
