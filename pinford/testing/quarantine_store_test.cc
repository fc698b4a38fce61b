#include "pinford/forwarding/quarantine_store.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pinford/testing/fake_store.h"

namespace pinford {
namespace {

CrashRecord RecordOf(const std::string& fingerprint) {
  return {fingerprint, {{"e1", 7, 300, 200}, {"e2", 1, 100, 50}}};
}

TEST(QuarantineDocument, ReadsWhatItWrote) {
  const std::vector<CrashRecord> records = {RecordOf("a"), RecordOf("b")};
  const auto read = ParseQuarantine(WriteQuarantine(records));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), 2);
  EXPECT_EQ((*read)[1].fingerprint, "b");
  ASSERT_EQ((*read)[1].runs.size(), 2);
  EXPECT_EQ((*read)[1].runs[0].endpoint, "e1");
  EXPECT_EQ((*read)[1].runs[0].incarnation, 7);
  EXPECT_EQ((*read)[1].runs[0].began_ms_ago, 300);
  EXPECT_EQ((*read)[1].runs[0].ended_ms_ago, 200);
}

TEST(QuarantineDocument, MalformedTextIsRejected) {
  const std::string long_name(1000, 'x');
  for (const std::string& text :
       {std::string(), std::string("{}"), std::string("[1]"),
        std::string(R"([{"fingerprint":"","runs":[]}])"),
        std::string(R"([{"fingerprint":"a"}])"),
        std::string(R"([{"fingerprint":"a","runs":[{"endpoint":""}]}])"),
        R"([{"fingerprint":")" + long_name + R"(","runs":[]}])",
        std::string(R"([{"fingerprint":"a","runs":[{"endpoint":"e",)"
                    R"("began_ms_ago":1,"ended_ms_ago":2}]}])"),
        WriteQuarantine(
            std::vector<CrashRecord>(kMaxCrashRecords + 1, RecordOf("a")))}) {
    EXPECT_FALSE(ParseQuarantine(text)) << text.substr(0, 60);
  }
}

// Boxes that mirror the store and keep the same quarantine.
class Mirrors {
 public:
  struct Mirror {
    explicit Mirror(FakeStore* store, PausedClock* clock)
        : box(clock),
          client(&box, store),
          quarantine(&client, {[this](const std::vector<CrashRecord>& records) {
                                 for (const CrashRecord& r : records) {
                                   known.insert(r.fingerprint);
                                 }
                               },
                               [this](const std::string& fingerprint) {
                                 return cleared.contains(fingerprint);
                               }}) {}
    void Sync(Time now) {
      std::vector<CrashRecord> records;
      for (const std::string& f : known) records.push_back(RecordOf(f));
      quarantine.Sync(now, records);
    }
    FakeBox box;
    FakeStoreClient client;
    QuarantineStore<FakeStoreClient> quarantine;
    std::set<std::string> known;
    std::set<std::string> cleared;
  };

  Mirror* Add() {
    mirrors_.push_back(std::make_unique<Mirror>(&store, &clock));
    return mirrors_.back().get();
  }
  void RunFor(Duration d) {
    for (const Time end = clock.now() + d; clock.now() < end;) {
      for (const auto& m : mirrors_) m->Sync(clock.now());
      clock.Advance(milliseconds(100));
    }
  }
  void KillAll() {
    for (const auto& m : mirrors_) m->box.Kill();
    dead_.insert(dead_.end(), std::make_move_iterator(mirrors_.begin()),
                 std::make_move_iterator(mirrors_.end()));
    mirrors_.clear();
  }

  PausedClock clock;
  FakeStore store{&clock, 1};

 private:
  std::vector<std::unique_ptr<Mirror>> mirrors_;
  std::vector<std::unique_ptr<Mirror>> dead_;
};

TEST(QuarantineStore, SurvivesTheDeathOfAllBoxes) {
  Mirrors m;
  m.Add()->known = {"a"};
  m.Add()->known = {"b"};
  m.RunFor(seconds(10));
  m.KillAll();
  Mirrors::Mirror* next = m.Add();
  m.RunFor(seconds(2));
  EXPECT_EQ(next->known, (std::set<std::string>{"a", "b"}));
}

TEST(QuarantineStore, CallsTheStoreOnceWhileNothingChanges) {
  Mirrors m;
  Mirrors::Mirror* mirror = m.Add();
  m.RunFor(seconds(60));
  EXPECT_EQ(m.store.reads, 1);
  EXPECT_EQ(m.store.writes, 0);
  mirror->known = {"a"};
  m.RunFor(seconds(60));
  EXPECT_EQ(m.store.reads, 1);
  EXPECT_EQ(m.store.writes, 1);
}

TEST(QuarantineStore, ClearedRequestsAreRemoved) {
  Mirrors m;
  Mirrors::Mirror* mirror = m.Add();
  mirror->known = {"a", "b"};
  m.RunFor(seconds(5));
  mirror->known = {"b"};
  mirror->cleared = {"a"};
  m.RunFor(seconds(5));
  const auto stored = ParseQuarantine(m.store.values[kQuarantineKey].value);
  ASSERT_TRUE(stored);
  ASSERT_EQ(stored->size(), 1);
  EXPECT_EQ((*stored)[0].fingerprint, "b");
}

TEST(QuarantineStore, IsWrittenAgainAfterTheStoreWasRestored) {
  Mirrors m;
  Mirrors::Mirror* mirror = m.Add();
  m.RunFor(seconds(2));
  mirror->known = {"a"};
  m.RunFor(seconds(2));
  m.store.Restore(seconds(3));
  ASSERT_FALSE(m.store.values.contains(kQuarantineKey));
  mirror->quarantine.Reset();
  m.RunFor(seconds(3));
  EXPECT_TRUE(m.store.values.contains(kQuarantineKey));
}

TEST(QuarantineStore, AllAreKeptDespiteFaults) {
  for (uint64_t seed = 1; seed <= 50; seed++) {
    Mirrors m;
    m.store = FakeStore(&m.clock, seed);
    m.store.faults.lose_request = 0.2;
    m.store.faults.lose_reply = 0.2;
    m.store.faults.late = 0.2;
    for (const char* name : {"a", "b", "c"}) m.Add()->known = {name};
    m.RunFor(seconds(20));
    m.store.faults = {};
    m.RunFor(seconds(10));
    m.KillAll();
    Mirrors::Mirror* next = m.Add();
    m.RunFor(seconds(2));
    EXPECT_EQ(next->known, (std::set<std::string>{"a", "b", "c"})) << seed;
  }
}

}  // namespace
}  // namespace pinford
