#include "pinford/forwarding/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>

namespace pinford {
namespace {

TEST(RequestFingerprint, EachFieldAndItsPlaceCounts) {
  const FingerprintInput base = {"POST", "h", "/a?b", "customer", "body"};
  const FingerprintInput others[] = {
      {"PUT", "h", "/a?b", "customer", "body"},
      {"POST", "i", "/a?b", "customer", "body"},
      {"POST", "h", "/a?c", "customer", "body"},
      {"POST", "h", "/a?b", "other", "body"},
      {"POST", "h", "/a?b", "customer", "Body"},
      {"POST", "h", "/a?b", "", "customerbody"},
      {"POST", "h", "/a?bcustomer", "", "body"},
      {"POST", "h/a", "?b", "customer", "body"},
  };
  std::set<std::string> seen = {RequestFingerprint("k", base)};
  EXPECT_EQ(seen.begin()->size(), 32);
  EXPECT_EQ(RequestFingerprint("k", base), *seen.begin());
  for (const FingerprintInput& input : others) {
    EXPECT_TRUE(seen.insert(RequestFingerprint("k", input)).second)
        << input.method << " " << input.host << " " << input.target;
  }
  EXPECT_TRUE(seen.insert(RequestFingerprint("another key", base)).second);
}

TEST(RequestFingerprint, PartsCountByServiceAndName) {
  const std::string part = PromptPartFingerprint("k", "service", "name");
  EXPECT_EQ(part.size(), kPromptPartPrefix.size() + 16);
  EXPECT_EQ(PromptPartFingerprint("k", "service", "name"), part);
  std::set<std::string> seen = {part};
  const struct {
    const char* key;
    const char* service;
    const char* name;
  } others[] = {{"k", "service", "names"},
                {"k", "other", "name"},
                {"k", "servicename", ""},
                {"another key", "service", "name"}};
  for (const auto& o : others) {
    const std::string other = PromptPartFingerprint(o.key, o.service, o.name);
    EXPECT_TRUE(seen.insert(other).second) << o.service << " " << o.name;
  }
  EXPECT_TRUE(IsPromptPart(part));
  EXPECT_FALSE(IsPromptPart(RequestFingerprint("k", {"", "", "", "", ""})));
}

}  // namespace
}  // namespace pinford
