// Which first stages boxes prefer: how even subsets are, how few change, and
// that a preference keeps nobody from what is left.

#include "pinford/first_stage_choice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "util/hash.h"

namespace pinford {
namespace {

std::vector<FirstStage> Stages(int n) {
  std::vector<FirstStage> stages;
  stages.reserve(n);
  for (int i = 0; i < n; i++) stages.push_back({"e" + std::to_string(i), "g"});
  return stages;
}

constexpr int kSize = 3;

using Subset = std::set<std::string>;

Subset SubsetOf(const std::vector<FirstStage>& stages, int place, int boxes) {
  FirstStageChoice choice{FirstStageChoice::Options()};
  choice.Update(stages, place, boxes, kSize);
  Subset out;
  for (const FirstStage& s : stages) {
    if (choice.InSubset(s.endpoint)) out.insert(s.endpoint);
  }
  return out;
}

// Members by which two subsets differ.
size_t Changed(const Subset& a, const Subset& b) {
  return std::count_if(a.begin(), a.end(),
                       [&b](const std::string& e) { return !b.contains(e); });
}

TEST(FirstStageChoice, SubsetsAreEven) {
  Random random(1);
  std::uniform_real_distribution<double> rate(1, 4);
  for (const int boxes : {8, 64, 300}) {
    for (int n = 1; n <= 30; n++) {
      std::map<std::string, int> subsets;
      std::map<std::string, double> load;
      double total = 0;
      for (int place = 0; place < boxes; place++) {
        const Subset subset = SubsetOf(Stages(n), place, boxes);
        ASSERT_EQ(subset.size(), std::min<size_t>(n, kSize));
        const double own = rate(random);
        total += own;
        for (const std::string& e : subset) {
          subsets[e]++;
          load[e] += own / subset.size();
        }
      }
      const double mean = boxes * std::min<double>(n, kSize) / n;
      // Boxes of up to four times another's rate.
      const double bound = 1 + 1.2 / std::sqrt(mean);
      for (const auto& [e, count] : subsets) {
        EXPECT_LT(std::abs(count - mean), 2) << boxes << " over " << n;
        if (mean < 6) continue;  // too few boxes each for rates to even out
        EXPECT_LT(load[e], bound * total / n) << boxes << " over " << n;
      }
    }
  }
}

TEST(FirstStageChoice, FewSubsetsChange) {
  for (const int boxes : {8, 64, 300}) {
    for (int n = 4; n <= 30; n++) {
      const std::vector<FirstStage> before = Stages(n);
      for (int lost = 0; lost < n; lost++) {
        std::vector<FirstStage> after = before;
        after.erase(after.begin() + lost);
        size_t changed = 0;
        for (int p = 0; p < boxes; p++) {
          changed +=
              Changed(SubsetOf(before, p, boxes), SubsetOf(after, p, boxes));
        }
        // Those that had it, and at most half of the boxes by one member; the
        // rest is rounding to whole places.
        EXPECT_LE(changed, 3.0 * boxes / n + 0.5 * boxes + 4);
      }
      // A box goes: those after it move up a place.
      size_t changed = 0;
      for (int p = 0; p + 1 < boxes; p++) {
        const int was = p < boxes / 2 ? p : p + 1;
        changed += Changed(SubsetOf(before, was, boxes),
                           SubsetOf(before, p, boxes - 1));
      }
      EXPECT_LE(changed, n / 2.0 + 1) << boxes << " over " << n;
    }
  }
}

TEST(FirstStageChoice, BoxesWithMoreRequestsTakeMore) {
  const FirstStageChoice choice{FirstStageChoice::Options()};
  for (const auto& [requests, size] :
       {std::pair(0.0, 3), {3.0, 3}, {5.0, 3}, {5.4, 4}, {47.0, 35}}) {
    EXPECT_EQ(choice.SizeFor(requests), size) << requests;
  }
}

TEST(FirstStageChoice, EachGroupHasASubsetOfItsOwn) {
  FirstStageChoice choice{FirstStageChoice::Options()};
  std::vector<FirstStage> stages = Stages(9);
  stages.push_back({"far", "h"});
  choice.Update(stages, 2, 7, kSize);
  EXPECT_TRUE(choice.InSubset("far"));
  int members = 0;
  for (const FirstStage& s : stages) members += choice.InSubset(s.endpoint);
  EXPECT_EQ(members, 4);
}

TEST(FirstStageChoice, CostsAreOfWhatIsSwitchedOn) {
  using Options = FirstStageChoice::Options;
  const double fresh = Options().new_connection;
  const double outside = Options().outside;
  struct Case {
    std::vector<Mechanism> off;
    double no_rest, rests, other, other_rests;
  };
  const Case cases[] = {
      {{}, fresh, 0, fresh + outside, outside},
      {{Mechanism::kRestingEntry}, 0, 0, outside, outside},
      {{Mechanism::kEntrySubset}, fresh, 0, fresh, 0},
      {{Mechanism::kRestingEntry, Mechanism::kEntrySubset}, 0, 0, 0, 0},
  };
  for (const Case& c : cases) {
    Options options;
    for (const Mechanism m : c.off) options.off.Add(m);
    FirstStageChoice choice(options);
    choice.Update({{"in", "g"}}, 0, 1, kSize);
    EXPECT_DOUBLE_EQ(choice.CostOf("in", false), c.no_rest);
    EXPECT_DOUBLE_EQ(choice.CostOf("in", true), c.rests);
    EXPECT_DOUBLE_EQ(choice.CostOf("other", false), c.other);
    EXPECT_DOUBLE_EQ(choice.CostOf("other", true), c.other_rests);
  }
}

}  // namespace
}  // namespace pinford
