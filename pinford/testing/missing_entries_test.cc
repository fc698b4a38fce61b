#include "pinford/forwarding/missing_entries.h"

#include <gtest/gtest.h>

#include <set>

#include "pinford/forwarding/missing_gossip.h"
#include "pinford/membership.h"
#include "util/hash.h"

namespace pinford {
namespace {

constexpr Time kNow = Time{} + seconds(100);

DirectoryEntry EntryOf(const std::string& id, const std::string& service) {
  DirectoryEntry entry;
  entry.listed.name = id;
  entry.listed.service = service;
  return entry;
}

std::map<std::string, DirectoryEntry> Listed(int n) {
  std::map<std::string, DirectoryEntry> listed;
  for (int i = 0; i < n; i++) {
    const std::string id(1, static_cast<char>('a' + i));
    listed[id] = EntryOf(id, "s");
  }
  return listed;
}

TEST(MissingEntries, AReportEndsWhenTheListIsAsRecent) {
  MissingEntries missing;
  EXPECT_TRUE(missing.Report("a", 10));
  EXPECT_FALSE(missing.Report("a", 12)) << "known, with a newer version";
  EXPECT_TRUE(missing.IsWithheld("a", "s"));
  EXPECT_EQ(missing.RemovalTime("a"), std::nullopt) << "only the list removes";
  EXPECT_TRUE(missing.TakeReports(11).empty());
  EXPECT_EQ(missing.TakeReports(12), std::vector<std::string>{"a"});
  EXPECT_FALSE(missing.IsWithheld("a", "s"));
  missing.Report("b", 20);
  missing.EraseReport("b");
  EXPECT_FALSE(missing.IsWithheld("b", "s"));
  missing.Add("c", kNow, false);
  EXPECT_FALSE(missing.Report("c", 30)) << "missing from the own list";
}

// Random additions, reports and removals against a direct count.
TEST(MissingEntries, WithholdsUnlessMostOfTheServiceIsMissing) {
  Random random(3);
  for (int round = 0; round < 200; round++) {
    const int n = 1 + static_cast<int>(random() % 7);
    const std::map<std::string, DirectoryEntry> listed = Listed(n);
    MissingEntries missing;
    std::set<std::string> expected;
    for (int step = 0; step < 20; step++) {
      const std::string id(1, static_cast<char>('a' + random() % n));
      switch (random() % 3) {
        case 0:
          missing.Add(id, kNow, false);
          expected.insert(id);
          break;
        case 1:
          missing.Report(id, step);
          expected.insert(id);
          break;
        default:
          missing.Erase(id);
          missing.EraseReport(id);
          expected.erase(id);
      }
      missing.Recount(listed);
      const bool most = 2 * expected.size() > listed.size();
      EXPECT_EQ(missing.mostly_missing().contains("s"), most);
      for (const auto& [name, entry] : listed) {
        EXPECT_EQ(missing.IsWithheld(name, "s"),
                  expected.contains(name) && !most);
      }
    }
  }
}

TEST(MissingGossip, SendsWhatWasReadWithItsVersionAfterADelay) {
  MissingGossip gossip{MissingGossip::Options()};
  const Duration delay = gossip.options().delay;
  gossip.OnRead("a", 5);
  EXPECT_TRUE(gossip.TakeRead(kNow + delay).entries.empty()) << "no version";
  gossip.OnListVersion(kNow, 9);
  gossip.OnRead("b", 6);
  gossip.OnListVersion(kNow, 0);
  EXPECT_TRUE(gossip.TakeRead(kNow).entries.empty()) << "not due";
  const MissingNotice notice = gossip.TakeRead(kNow + delay);
  ASSERT_EQ(notice.entries.size(), 1u) << "the version of b is unknown";
  EXPECT_EQ(notice.entries[0].endpoint, "a");
  EXPECT_EQ(notice.entries[0].incarnation, 5u);
  EXPECT_EQ(notice.entries[0].list_version, 9u);
  EXPECT_TRUE(gossip.TakeRead(kNow + delay).entries.empty()) << "sent once";
}

TEST(MissingGossip, NoticesAreBounded) {
  MissingGossip gossip{MissingGossip::Options()};
  constexpr size_t kMore = 10;
  for (size_t i = 0; i < kMaxMissingEntries + kMore; i++) {
    gossip.OnRead(std::to_string(i), 1);
    gossip.OnNews({std::to_string(i), 1, 2});
  }
  gossip.OnListVersion(kNow, 2);
  const Time due = kNow + gossip.options().delay;
  EXPECT_EQ(gossip.TakeRead(due).entries.size(), kMaxMissingEntries);
  EXPECT_EQ(gossip.TakeRead(due).entries.size(), kMore);
  EXPECT_EQ(gossip.TakeNews().entries.size(), kMaxMissingEntries);
  EXPECT_EQ(gossip.TakeNews().entries.size(), kMore);
  EXPECT_TRUE(gossip.TakeNews().entries.empty());
}

TEST(Membership, DrawsMembersOfItsHallAndEvenlyOfOthers) {
  const auto row = [](int i, const std::string& hall) {
    MemberRow r;
    r.name = hall + std::to_string(i);
    r.hall = hall;
    r.address = "10.0.0.1:" + r.name;
    r.incarnation = r.heartbeat = 1;
    return r;
  };
  Membership membership(row(0, "a"), {}, Membership::Options(), Random(1));
  std::vector<MemberRow> rows;
  for (const char* hall : {"a", "b", "c", "d"}) {
    for (int i = 1; i <= 4; i++) rows.push_back(row(i, hall));
  }
  membership.OnRows(kNow, rows);
  const struct {
    size_t count;
    size_t local;
    size_t remote;
    size_t most_of_one_hall;
  } cases[] = {{0, 0, 0, 0}, {1, 1, 1, 1},   {3, 3, 3, 1},
               {5, 4, 5, 2}, {12, 4, 12, 4}, {99, 4, 12, 4}};
  for (const auto& c : cases) {
    const std::vector<std::string> local =
        membership.RandomLocal(kNow, c.count);
    EXPECT_EQ(std::set(local.begin(), local.end()).size(), c.local);
    for (const std::string& address : local)
      EXPECT_NE(address.find(":a"), std::string::npos) << address;
    const std::vector<std::string> remote =
        membership.RandomRemote(kNow, c.count);
    EXPECT_EQ(std::set(remote.begin(), remote.end()).size(), c.remote);
    std::map<std::string, size_t> by_hall;
    size_t most = 0;
    for (const std::string& address : remote) {
      EXPECT_EQ(address.find(":a"), std::string::npos) << address;
      most = std::max(most, ++by_hall[address.substr(0, address.size() - 1)]);
    }
    EXPECT_EQ(most, c.most_of_one_hall) << c.count;
  }
}

}  // namespace
}  // namespace pinford
