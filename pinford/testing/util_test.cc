// Tests of compression and JSON parsing.

#include <gtest/gtest.h>

#include "util/deflate.h"
#include "util/hash.h"
#include "util/json.h"

namespace pinford {
namespace {

constexpr size_t kMaxSize = 1 << 20;

TEST(Deflate, RoundTrips) {
  Random random(1);
  for (size_t size : {0u, 1u, 100u, 65536u, 400000u}) {
    std::string text;
    while (text.size() < size)
      text += "{\"name\":\"r-" + Hex64(random()) + "\"},";
    text.resize(size);
    EXPECT_EQ(Inflate(Deflate(text), kMaxSize), text) << size;
  }
  EXPECT_LT(Deflate(std::string(400000, 'x')).size(), 4000u);
}

TEST(Deflate, RejectsCorruptOrOversizedInput) {
  const std::string text(100000, 'y');
  const std::string compressed = Deflate(text);
  EXPECT_FALSE(Inflate(compressed, text.size() - 1));
  EXPECT_TRUE(Inflate(compressed, text.size() + 1));
  EXPECT_FALSE(Inflate(compressed + "z", kMaxSize));
  EXPECT_FALSE(Inflate("", kMaxSize));
  EXPECT_FALSE(Inflate("no such thing", kMaxSize));
  for (size_t i = 0; i < compressed.size(); i++) {
    EXPECT_FALSE(Inflate(compressed.substr(0, i), kMaxSize)) << i;
  }
}

TEST(ParseJson, BoundsDepthOutsideOfStringsOnly) {
  const auto nested = [](int depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  const struct {
    std::string text;
    bool good;
  } cases[] = {
      {nested(64), true},
      {nested(65), false},
      {"\"" + std::string(100, '[') + "\"", true},
      {"\"\\\"" + std::string(100, '[') + "\"", true},
      {R"({"a":"\\"})", true},
      {"[\"\\\\\"," + nested(63) + "]", true},
      {"[\"\\\\\"," + nested(64) + "]", false},
      {"[1,2", false},
      {"", false},
      {"{\"a\":1}x", false},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(!ParseJson(c.text).is_discarded(), c.good) << c.text;
  }
}

}  // namespace
}  // namespace pinford
