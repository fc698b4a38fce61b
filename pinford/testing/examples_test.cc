// The shipped policies do what their users asked for.

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "pinford/policy.h"

namespace pinford {
namespace {

std::unique_ptr<Policy> LoadExample(const std::string& name) {
  const std::string file = std::string(SOURCE_DIR) + "/examples/" + name;
  std::ifstream in(file);
  const std::string source((std::istreambuf_iterator<char>(in)), {});
  Findings findings;
  auto policy = Policy::Load({{name, source}}, {}, &findings);
  EXPECT_NE(policy, nullptr) << findings.ToString();
  return policy;
}

RequestClass ClassOf(Policy* policy, const char* kind, double hour,
                     const char* customer = "c") {
  RequestFacts facts;
  facts.kind = kind;
  facts.hour = hour;
  facts.customer = customer;
  return policy->Classify(facts);
}

struct ClassCase {
  const char* kind;
  double hour;
  Tier tier;
  Duration deadline;
  bool refuse;
};

void CheckClasses(Policy* policy, const std::vector<ClassCase>& cases) {
  for (const ClassCase& c : cases) {
    SCOPED_TRACE(std::string(c.kind) + " at " + std::to_string(c.hour));
    const RequestClass k = ClassOf(policy, c.kind, c.hour);
    EXPECT_EQ(k.tier, c.tier);
    EXPECT_EQ(k.deadline, c.deadline);
    EXPECT_EQ(k.refuse, c.refuse);
  }
  EXPECT_EQ(policy->errors(), 0) << policy->last_error();
}

TEST(Examples, TablewisePutsTheDoorFirstAndReportsOutOfMeals) {
  auto policy = LoadExample("tablewise.lua");
  CheckClasses(policy.get(),
               {{"host", 19, Tier::kCritical, seconds(5), false},
                {"diner", 19, Tier::kHigh, seconds(10), false},
                {"", 3, Tier::kHigh, seconds(10), false},
                {"kitchen", 12, Tier::kStandard, seconds(60), false},
                {"report", 3, Tier::kBackground, hours(6), false},
                {"report", 12, Tier::kBackground, hours(6), true},
                {"report", 21.49, Tier::kBackground, hours(6), true},
                {"report", 21.5, Tier::kBackground, hours(6), false}});
  EXPECT_EQ(ClassOf(policy.get(), "diner", 12, "island-grill").weight, 4);
  EXPECT_EQ(ClassOf(policy.get(), "diner", 12, "small").weight, 1);
  EXPECT_TRUE(policy->IsIdempotent({"c", "bookings", "GET", "/tables"}));
  for (const char* method : {"POST", "PUT", "DELETE"}) {
    EXPECT_FALSE(policy->IsIdempotent({"c", "bookings", method, "/tables"}));
  }
  // Quiet hours draw the load together; meals and demand spread it.
  const std::map<std::string, HallDemand> quiet = {{"a", {1, 10}},
                                                   {"b", {1, 20}}};
  EXPECT_EQ(policy->Share("m", quiet, 3)["b"], 4);
  EXPECT_EQ(policy->Share("m", quiet, 19)["b"], 1);
  EXPECT_EQ(policy->Share("m", {{"a", {1, 10}}, {"b", {15, 20}}}, 3)["b"], 1);
  EXPECT_EQ(policy->errors(), 0) << policy->last_error();
}

TEST(Examples, TurbineWatchHasTheNightReadyByMorning) {
  auto policy = LoadExample("turbine-watch.lua");
  CheckClasses(policy.get(),
               {{"alarm", 10, Tier::kCritical, seconds(10), false},
                {"alarm", 22, Tier::kBackground, hours(8), false},
                {"alarm", 5, Tier::kBackground, hours(1), false},
                {"digest", 10, Tier::kBackground, hours(4), false},
                {"digest", 23, Tier::kBackground, hours(7), false},
                {"technician", 10, Tier::kHigh, seconds(20), false},
                {"", 10, Tier::kStandard, seconds(60), false}});
  EXPECT_EQ(ClassOf(policy.get(), "alarm", 2).group, "night");
  EXPECT_TRUE(policy->IsIdempotent({"c", "scada", "POST", "/query"}));
  EXPECT_FALSE(policy->IsIdempotent({"c", "work-orders", "POST", "/"}));
  EXPECT_TRUE(policy->IsIdempotent({"c", "work-orders", "GET", "/"}));
}

}  // namespace
}  // namespace pinford
