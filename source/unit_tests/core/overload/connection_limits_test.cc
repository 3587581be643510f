#include "core/overload/connection_limits.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(ConnectionLimits){};

TEST(ConnectionLimits, CallersAndOperatorsLeaveAQuarterOfTheDescriptors) {
  for (size_t total = core::kMinConnectionDescriptors; total <= 100000;
       ++total) {
    const core::connection_limits limits = core::ShareDescriptors(total);
    CHECK(limits.callers >= total / 2);
    CHECK(limits.operators >= 4);
    CHECK(limits.callers + limits.operators <= total - total / 4);
  }
}

TEST(ConnectionLimits, FewDescriptorsStillAdmitSomebody) {
  const core::connection_limits limits = core::ShareDescriptors(1);
  CHECK(limits.callers >= 1);
  CHECK(limits.operators >= 1);
}
