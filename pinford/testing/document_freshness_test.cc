// DocumentFreshness: a table, and random observations beside all that were
// made.

#include "pinford/forwarding/document_freshness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "util/hash.h"

namespace pinford {
namespace {

struct Seen {
  uint64_t version;
  int at_s;
};

Time At(int s) { return Time{} + seconds(s); }

DocumentFreshness Observe(const std::vector<Seen>& observations) {
  DocumentFreshness freshness;
  for (const Seen& o : observations) {
    freshness.OnObserved(o.version, At(o.at_s));
  }
  return freshness;
}

TEST(DocumentFreshness, AnObservationProvesNothingOfAnOlderVersion) {
  const struct {
    const char* name;
    std::vector<Seen> observations;
    uint64_t held;
    int as_of_s;  // 0: never
  } cases[] = {
      {"nothing is known", {}, 7, 0},
      {"the version held", {{7, 2}}, 7, 2},
      {"a higher version alone", {{7, 2}}, 1, 0},
      {"the version held, and then a higher one", {{1, 1}, {7, 2}}, 1, 1},
      {"a higher one first", {{7, 2}, {1, 1}}, 1, 1},
      {"the same, once the higher one is held", {{7, 2}, {1, 1}}, 7, 2},
      {"a restored store's version", {{7, 2}, {3, 4}}, 7, 4},
      {"an older observation", {{7, 4}, {7, 2}}, 7, 4},
      {"a version above all observed ones", {{7, 2}}, 9, 2},
      {"two higher ones", {{1, 1}, {7, 2}, {9, 3}}, 1, 0},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(Observe(c.observations).AsOf(c.held),
              c.as_of_s == 0 ? Time{} : At(c.as_of_s))
        << c.name;
  }
}

// The latest observation of a version up to the one held, among all of them.
Time Oracle(const std::vector<Seen>& observations, uint64_t held) {
  Time latest{};
  for (const Seen& o : observations) {
    if (o.version <= held) latest = std::max(latest, At(o.at_s));
  }
  return latest;
}

TEST(DocumentFreshness, IsNeverTooLateAndExactBelowOneHigherVersion) {
  constexpr uint64_t kVersions = 5;
  for (uint64_t seed = 1; seed <= 2000; seed++) {
    Random random(seed);
    std::vector<Seen> all;
    for (int i = 0; i < 6; i++) {
      const uint64_t version = 1 + random() % kVersions;
      const int at_s = 1 + static_cast<int>(random() % 9);
      all.push_back({version, at_s});
      std::vector<uint64_t> versions;
      versions.reserve(all.size());
      for (const Seen& o : all) versions.push_back(o.version);
      std::sort(versions.begin(), versions.end());
      versions.erase(std::unique(versions.begin(), versions.end()),
                     versions.end());
      const uint64_t second =
          versions.size() > 1 ? versions[versions.size() - 2] : 0;
      const DocumentFreshness freshness = Observe(all);
      for (uint64_t held = 0; held <= kVersions; held++) {
        const Time as_of = freshness.AsOf(held);
        ASSERT_LE(as_of, Oracle(all, held)) << seed;
        if (held >= second) {
          ASSERT_EQ(as_of, Oracle(all, held)) << seed;
        }
      }
    }
  }
}

}  // namespace
}  // namespace pinford
