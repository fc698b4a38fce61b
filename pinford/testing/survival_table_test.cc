#include "pinford/forwarding/survival_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pinford {
namespace {

// Against a list that is searched from end to end.
TEST(SurvivalTable, KeepsTheMostRecentParts) {
  constexpr size_t kCapacity = 20;
  std::mt19937 random(1);
  SurvivalTable table(kCapacity);
  std::vector<std::pair<std::string, Time>> oracle;  // the oldest first
  for (int i = 0; i < 5000; i++) {
    const Time now{milliseconds(i)};
    const std::string part = std::to_string(random() % 40);
    table.Record(now, part);
    std::erase_if(oracle, [&](const auto& e) { return e.first == part; });
    oracle.emplace_back(part, now);
    if (oracle.size() > kCapacity) oracle.erase(oracle.begin());
    const std::string other = std::to_string(random() % 40);
    const auto known =
        std::find_if(oracle.begin(), oracle.end(),
                     [&](const auto& e) { return e.first == other; });
    const Time expected = known == oracle.end() ? Time::min() : known->second;
    ASSERT_EQ(table.LastOf(other), expected) << i;
    ASSERT_EQ(table.size(), oracle.size());
  }
}

}  // namespace
}  // namespace pinford
