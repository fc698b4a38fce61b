// Compares exported histograms with directly computed counts.

#include "pinford/metrics.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

namespace pinford {
namespace {

// Returns the value of the line that starts with `series`, or -1.
double ValueOf(const std::string& text, const std::string& series) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind(series + " ", 0) == 0) {
      return std::stod(line.substr(series.size() + 1));
    }
  }
  return -1;
}

TEST(Metrics, BucketsAreCumulativeAndSumUp) {
  std::mt19937_64 random(1);
  std::exponential_distribution<double> seconds(2);
  Metrics metrics;
  std::vector<double> values = {0, 1000};
  for (int i = 0; i < 1000; i++) values.push_back(seconds(random));
  double sum = 0;
  for (double v : values) {
    metrics.Observe("wait_seconds", "", v);
    metrics.Observe("wait_seconds", "hall=\"h\"", v);
    sum += v;
  }
  const std::string text = metrics.Text();
  EXPECT_NE(text.find("# TYPE pinford_wait_seconds histogram"),
            std::string::npos);
  for (const auto& [bound, name] :
       {std::pair(0.005, "0.005"), {0.25, "0.25"}, {1.0, "1"}, {60.0, "60"}}) {
    const auto n = std::count_if(values.begin(), values.end(),
                                 [b = bound](double v) { return v < b; });
    EXPECT_EQ(ValueOf(text, "pinford_wait_seconds_bucket{le=\"" +
                                std::string(name) + "\"}"),
              n);
    EXPECT_EQ(ValueOf(text, "pinford_wait_seconds_bucket{hall=\"h\",le=\"" +
                                std::string(name) + "\"}"),
              n);
  }
  EXPECT_EQ(ValueOf(text, "pinford_wait_seconds_bucket{le=\"+Inf\"}"), 1002);
  EXPECT_EQ(ValueOf(text, "pinford_wait_seconds_count"), 1002);
  EXPECT_NEAR(ValueOf(text, "pinford_wait_seconds_sum"), sum, 0.1);
  EXPECT_EQ(ValueOf(text, "pinford_wait_seconds_max"), 1000);
}

}  // namespace
}  // namespace pinford
