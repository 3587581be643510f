#include "core/routing/prefix_hints.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(PrefixHints) {
  fakes::virtual_time time;
  core::prefix_hints hints{time, std::chrono::seconds(60), 100};
};

TEST(PrefixHints, EvictionRemovesAHint) {
  hints.OnEvent({1, 77, 1, true});
  CHECK(hints.LikelyHolds(77, 1));
  hints.OnEvent({1, 77, 2, false});
  CHECK(!hints.LikelyHolds(77, 1));
}

TEST(PrefixHints, GapInvalidatesOlderHints) {
  hints.OnEvent({1, 77, 1, true});
  time.Advance(std::chrono::seconds(1));
  hints.OnEvent({1, 78, 5, true});  // 2 to 4 are missing
  CHECK(!hints.LikelyHolds(77, 1));
  CHECK(hints.LikelyHolds(78, 1));
}

TEST(PrefixHints, LateEventDoesNotOverrideANewerOne) {
  hints.OnEvent({1, 77, 2, false});
  hints.OnEvent({1, 77, 1, true});
  CHECK(!hints.LikelyHolds(77, 1));
}

TEST(PrefixHints, HintsExpire) {
  hints.OnDispatch(77, 1);
  time.Advance(std::chrono::seconds(61));
  CHECK(!hints.LikelyHolds(77, 1));
}

TEST(PrefixHints, CapacityIsBounded) {
  for (uint64_t i = 0; i < 10000; ++i) hints.OnDispatch(i, 1);
  CHECK(hints.size() <= 100);
  CHECK(hints.LikelyHolds(9999, 1));
}
