// Rests that endpoints ask for: what is read of them, and how long they hold.

#include "pinford/endpoint_backoffs.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "pinford/forwarding/endpoint_notice.h"
#include "util/hash.h"

namespace pinford {
namespace {

Time At(int64_t ms) { return Time{} + hours(1) + milliseconds(ms); }

TEST(EndpointNotice, ReadsSecondsOfWhoTurnsAway) {
  const struct {
    int status;
    const char* retry_after;  // nullptr for none
    int64_t rest_ms;          // -1 for none
  } cases[] = {
      {503, "3", 3000},
      {503, "0.25", 250},
      {429, "2", 2000},
      {503, "0", 0},
      {503, "600", 600'000},
      {503, "99999999999", 366LL * 24 * 3600 * 1000},
      {503, "9e999", -1},
      {503, nullptr, -1},
      {503, "", -1},
      {503, "-1", -1},
      {503, "nan", -1},
      {503, "inf", -1},
      {503, "3s", -1},
      {503, " 3", -1},
      {503, "Wed, 21 Oct 2026 07:28:00 GMT", -1},
      {200, "3", -1},
      {421, "3", -1},
      {500, "3", -1},
  };
  for (const auto& c : cases) {
    HttpHead head;
    head.status = c.status;
    if (c.retry_after != nullptr) {
      head.headers.emplace_back("retry-AFTER", c.retry_after);
    }
    const EndpointNotice notice = ReadNotice(head, ForwardHeaders());
    const int64_t ms = notice.backoff ? ToMillis(*notice.backoff) : -1;
    EXPECT_EQ(ms, c.rest_ms)
        << c.status << " " << (c.retry_after ? c.retry_after : "none");
  }
}

TEST(EndpointNotice, ReadsWhoLeaves) {
  const struct {
    int status;
    const char* value;  // nullptr for no such header
    bool leaving;
  } cases[] = {
      {200, "1", true},
      {404, "1", true},
      {500, "1", true},
      {503, "1", true},
      {200, "0", false},
      {200, "", false},
      {200, "no", false},
      {200, nullptr, false},
      // Perhaps another endpoint's answer, at an address that was given anew.
      {421, "1", false},
  };
  for (const auto& c : cases) {
    HttpHead head;
    head.status = c.status;
    if (c.value != nullptr) head.headers.emplace_back("x-LEAVING", c.value);
    EXPECT_EQ(ReadNotice(head, ForwardHeaders()).leaving, c.leaving)
        << c.status << " " << (c.value ? c.value : "none");
  }
}

TEST(EndpointRests, HoldUntilTheLastOfThemEnds) {
  const struct {
    const char* name;
    std::vector<std::pair<int64_t, Duration>> asked;  // when, for how long
    int64_t now_ms;
    Duration left;
  } cases[] = {
      {"none", {}, 0, Duration(0)},
      {"as asked", {{0, seconds(3)}}, 1000, seconds(2)},
      {"over", {{0, seconds(3)}}, 3000, Duration(0)},
      {"none at all", {{0, Duration(0)}}, 0, Duration(0)},
      {"a shorter one", {{0, seconds(3)}, {100, seconds(1)}}, 1000, seconds(2)},
      {"a longer one", {{0, seconds(3)}, {100, seconds(9)}}, 1100, seconds(8)},
      {"no more", {{0, seconds(3)}, {100, Duration(0)}}, 1000, seconds(2)},
      {"a damaged one", {{0, hours(9000)}}, 0, EndpointRests::kLongest},
  };
  for (const auto& c : cases) {
    EndpointRests rests;
    for (const auto& [at, backoff] : c.asked)
      rests.OnAsked(At(at), "a", backoff);
    EXPECT_EQ(rests.Left(At(c.now_ms), "a"), c.left) << c.name;
    EXPECT_EQ(rests.Left(At(c.now_ms), "b"), Duration(0)) << c.name;
    EXPECT_EQ(rests.Count(At(c.now_ms)), c.left > Duration(0) ? 1 : 0);
  }
}

TEST(EndpointRests, AsTheListOfAllThatWasAsked) {
  Random random(7);
  std::uniform_int_distribution<int> step(0, 400);
  std::uniform_int_distribution<int> who(0, 4);
  std::uniform_int_distribution<int> ask(0, 3000);
  EndpointRests rests;
  std::vector<std::pair<std::string, Time>> asked;
  Time now = At(0);
  for (int i = 0; i < 5000; i++) {
    now += milliseconds(step(random));
    const std::string name(1, static_cast<char>('a' + who(random)));
    if (step(random) % 3 == 0) {
      const Duration backoff = milliseconds(ask(random));
      rests.OnAsked(now, name, backoff);
      asked.emplace_back(name, now + backoff);
    }
    Duration left{};
    for (const auto& [n, until] : asked) {
      if (n == name) left = std::max(left, until - now);
    }
    ASSERT_EQ(rests.Left(now, name), left) << i;
  }
}

}  // namespace
}  // namespace pinford
