#include "core/admission/adaptive_limit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(AdaptiveLimit) {
  core::adaptive_limit limit{{.maximum = 64, .initial = 8}};

  int64_t base_us = 10000;

  /// Simulates a target that always runs as many attempts as the limit allows.
  /// Above `capacity`, its latency is proportional to their number.
  void Run(uint32_t capacity, int results) {
    for (int i = 0; i < results; ++i) {
      const uint32_t running = limit.Limit();
      const int64_t took_us = base_us * std::max(running, capacity) / capacity;
      limit.OnResult(common::duration(took_us), running, true);
    }
  }
};

TEST(AdaptiveLimit, GrowsUntilLatencyRises) {
  Run(16, 4000);
  CHECK(limit.Limit() >= 16);
  CHECK(limit.Limit() <= 40);
}

TEST(AdaptiveLimit, ShrinksWhenTheTargetBecomesSlow) {
  Run(32, 4000);
  const uint32_t before = limit.Limit();
  Run(4, 300);
  CHECK(limit.Limit() < before / 2);
}

TEST(AdaptiveLimit, BaselineDoesNotRiseUnderLongOverload) {
  Run(16, 4000);
  const uint32_t before = limit.Limit();
  Run(16, 40000);
  CHECK(limit.Limit() <= before + 4);
}

TEST(AdaptiveLimit, AdaptsToAHigherBaselineLatency) {
  Run(16, 4000);
  base_us = 30000;
  Run(16, 2000);
  CHECK(limit.Limit() >= 12);
}

TEST(AdaptiveLimit, StaysAtTheMaximum) {
  Run(1000, 20000);
  CHECK_EQUAL(64U, limit.Limit());
}

TEST(AdaptiveLimit, ShrinksWhenTheTargetFails) {
  for (int i = 0; i < 200; ++i) limit.OnResult(common::duration(10), 8, false);
  CHECK_EQUAL(1U, limit.Limit());
}

TEST(AdaptiveLimit, DoesNotGrowWhileNotReached) {
  for (int i = 0; i < 500; ++i) {
    limit.OnResult(common::duration(10000), 2, true);
  }
  CHECK_EQUAL(8U, limit.Limit());
}
