// SendQueue beside a plain string, with random operations.

#include "pinford/send_queue.h"

#include <gtest/gtest.h>

#include "util/hash.h"

namespace pinford {
namespace {

TEST(SendQueue, SendsTheSameBytesAsAString) {
  for (uint64_t seed = 1; seed <= 200; seed++) {
    Random random(seed);
    SendQueue queue;
    std::string oracle;
    char next = 'a';
    for (int i = 0; i < 200; i++) {
      const size_t size = random() % 3 == 0 ? random() % 100'000 : random() % 9;
      const std::string bytes(size, next++);
      switch (random() % 4) {
        case 0:
          queue.Append(bytes);
          oracle += bytes;
          break;
        case 1:
          queue.AppendShared(std::make_shared<const std::string>(bytes));
          oracle += bytes;
          break;
        default:
          if (queue.empty()) break;
          const size_t n = 1 + random() % queue.Next().size();
          ASSERT_EQ(queue.Next().substr(0, n), oracle.substr(0, n)) << seed;
          queue.Skip(n);
          oracle.erase(0, n);
      }
      ASSERT_EQ(queue.size(), oracle.size()) << seed;
      ASSERT_EQ(queue.empty(), oracle.empty()) << seed;
    }
  }
}

TEST(SendQueue, ASharedBlockIsReleasedOnceSentOrCleared) {
  for (const bool clears : {false, true}) {
    SendQueue queue;
    auto block = std::make_shared<const std::string>("abc");
    queue.Append("x");
    queue.AppendShared(block);
    queue.AppendShared(nullptr);
    EXPECT_EQ(queue.size(), 4u);
    queue.Skip(1);
    queue.Skip(2);
    EXPECT_EQ(queue.Next(), "c");
    EXPECT_EQ(block.use_count(), 2);
    if (clears) {
      queue.Clear();
    } else {
      queue.Skip(1);
    }
    EXPECT_EQ(block.use_count(), 1);
    EXPECT_TRUE(queue.empty());
  }
}

}  // namespace
}  // namespace pinford
