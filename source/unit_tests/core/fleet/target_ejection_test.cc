#include "core/fleet/target_ejection.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(TargetEjection) {
  core::target_ejection_options options;
  core::target_ejection ejection{options};
  core::fleet_target target;
  common::time_point now{std::chrono::seconds(100)};
};

TEST(TargetEjection, TheEjectionTimeDoublesWithEachConsecutiveLoss) {
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.base_ejection_time);
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.base_ejection_time * 2);
  for (int i = 0; i < 20; ++i) ejection.OnLost(&target, now);
  CHECK(target.ejected_until ==
        now + options.base_ejection_time * (1 << options.max_doublings));
}

TEST(TargetEjection, ASuccessResetsTheEjectionTime) {
  ejection.OnLost(&target, now);
  ejection.OnSuccess(&target);
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.base_ejection_time);
}

TEST(TargetEjection, SingleFailureResponsesDoNotEject) {
  for (uint32_t i = 1; i < options.failures_before_ejection; ++i) {
    ejection.OnTargetFailure(&target, now);
    CHECK(target.Usable(now));
  }
  ejection.OnTargetFailure(&target, now);
  CHECK_FALSE(target.Usable(now));
}

TEST(TargetEjection, AnOverloadedTargetIsNotEjected) {
  ejection.OnOverloaded(&target, now);
  CHECK(target.Usable(now));
  CHECK(target.overloaded_until == now + options.overload_pause);
}
