// Summaries and request traces from the logs of several boxes.

#include "pinford/log_digest.h"

#include <gtest/gtest.h>

namespace pinford {
namespace {

// Returns a log line of `box`, `ms` after 00:00:01.
std::string Line(const std::string& box, int ms, const std::string& event,
                 const std::string& fields) {
  char time[40];
  std::snprintf(time, sizeof time, "2026-01-02T00:00:%02d.%03d+00:00",
                1 + ms / 1000, ms % 1000);
  return R"({"time":")" + std::string(time) + R"(","box":")" + box +
         R"(","level":"info","part":"callers","event":")" + event + "\"," +
         fields + "}\n";
}

std::string End(const std::string& id, const std::string& outcome, int first,
                int gap) {
  return R"("id":")" + id + R"(","service":"m","outcome":")" + outcome +
         R"(","target":"x:0-4 y:4-8","fullest":0.5,"busiest":0.25,)" +
         R"("events":9,"first_ms":)" + std::to_string(first) + R"(,"gap_ms":)" +
         std::to_string(gap);
}

const std::string kFirstBox =
    Line("b1", 0, "box_started", R"("hall":"h1")") +
    Line("b1", 1, "endpoint_joined", R"("endpoint":"x","kind":"big")") +
    Line("b1", 100, "request_ended", End("r1", "complete", 40, 60)) +
    Line("b1", 200, "stages_replaced", R"("id":"r2","status":"done")") +
    Line("b1", 300, "request_ended", End("r2", "complete", 50, 700)) +
    Line("b1", 400, "request_ended",
         R"("id":"r3","service":"m","outcome":"no endpoint takes it",)"
         R"("target":"","events":0,"short_layer":7,"short_holders":1,)"
         R"("short_taken":0.98)");
const std::string kSecondBox =
    Line("b2", 0, "box_started", R"("hall":"h2")") +
    Line("b2", 150, "attempt_stalled", R"("id":"r4")") +
    Line("b2", 2500, "request_ended", End("r4", "complete", 900, 20)) +
    Line("b2", 2600, "log_lines_left_out", R"("lines":12)");

LogDigest ReadBothLogs() {
  LogDigest digest{LogDigestOptions()};
  digest.Read(kFirstBox, "b1.log");
  digest.Read(kSecondBox, "b2.log");
  return digest;
}

TEST(LogDigest, CountsByWindowServiceAndHall) {
  const LogDigest digest = ReadBothLogs();
  const Json rows = digest.Windows();
  ASSERT_EQ(rows.size(), 2u);
  const Json& first = rows[0];
  EXPECT_EQ(first["from_ms"], 0);
  EXPECT_EQ(first["service"], "m");
  EXPECT_EQ(first["hall"], "h1");
  EXPECT_EQ(first["outcomes"]["complete"], 2);
  EXPECT_EQ(first["outcomes"]["no endpoint takes it"], 1);
  EXPECT_EQ(first["gap_ms"]["p99"], 700);
  EXPECT_EQ(first["gap_ms"]["late"], 0.5);
  EXPECT_EQ(first["first_ms"]["late"], 0);
  EXPECT_EQ(first["late"]["stage replaced"], 1);
  EXPECT_EQ(first["stages"]["2"], 2);
  EXPECT_EQ(first["kinds"]["big"], 2);
  EXPECT_EQ(first["short"]["layer"], 7);
  EXPECT_EQ(first["short"]["taken_p50"], 0.98);
  const Json& second = rows[1];
  EXPECT_EQ(second["from_ms"], 2000);
  EXPECT_EQ(second["hall"], "h2");
  EXPECT_EQ(second["late"]["stood still"], 1);
  EXPECT_EQ(digest.dropped_lines(), 12);
  EXPECT_TRUE(digest.findings().empty());
  EXPECT_NE(digest.Table().find("layer 7 short 1 times"), std::string::npos);
}

TEST(LogDigest, RequestTraceIsInTimeOrder) {
  LogDigest digest{LogDigestOptions()};
  digest.Read(Line("b2", 900, "request_ended", End("r", "complete", 1, 1)),
              "b2.log");
  digest.Read(Line("b1", 300, "attempt_failed", R"("id":"r","ms":5)"),
              "b1.log");
  const std::string trace = digest.RequestTrace("r");
  const size_t failed = trace.find("b1 attempt_failed {\"ms\":5}");
  const size_t ended = trace.find("b2 request_ended");
  ASSERT_NE(failed, std::string::npos) << trace;
  ASSERT_NE(ended, std::string::npos) << trace;
  EXPECT_LT(failed, ended);
  EXPECT_EQ(digest.RequestTrace("other"), "");
}

TEST(LogDigest, ReportsInvalidLinesWithLocation) {
  for (const char* bad :
       {"not JSON", "[]", "{}", R"({"time":"yesterday","event":"x"})",
        R"({"time":5})"}) {
    LogDigest digest{LogDigestOptions()};
    digest.Read(kFirstBox + bad + "\n" + kSecondBox, "all.log");
    EXPECT_EQ(digest.findings().ToString().find("all.log:7: "), 0u) << bad;
    EXPECT_EQ(digest.Windows().size(), 2u) << bad;
  }
  // A log truncated in the middle of a line.
  LogDigest cut{LogDigestOptions()};
  cut.Read(kFirstBox.substr(0, kFirstBox.size() - 20), "cut.log");
  EXPECT_EQ(cut.findings().list().size(), 1u);
  EXPECT_EQ(cut.Windows().size(), 1u);
}

}  // namespace
}  // namespace pinford
