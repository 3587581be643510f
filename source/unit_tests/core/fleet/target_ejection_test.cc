#include "core/fleet/target_ejection.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(TargetEjection) {
  core::target_ejection_options options;
  core::target_ejection ejection{options};
  core::fleet_target target;
  common::time_point now{std::chrono::seconds(100)};
};

TEST(TargetEjection, ATargetRestsLongerWithEachLossInARow) {
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.first_rest);
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.first_rest * 2);
  for (int i = 0; i < 20; ++i) ejection.OnLost(&target, now);
  CHECK(target.ejected_until ==
        now + options.first_rest * (1 << options.most_doublings));
}

TEST(TargetEjection, AnAnswerBetweenStartsAnew) {
  ejection.OnLost(&target, now);
  ejection.OnSuccess(&target);
  ejection.OnLost(&target, now);
  CHECK(target.ejected_until == now + options.first_rest);
}

TEST(TargetEjection, SingleFailuresOfItsOwnAreUsual) {
  for (uint32_t i = 1; i < options.own_failures_before_rest; ++i) {
    ejection.OnOwnFailure(&target, now);
    CHECK(target.Usable(now));
  }
  ejection.OnOwnFailure(&target, now);
  CHECK_FALSE(target.Usable(now));
}

TEST(TargetEjection, AFullTargetIsNotEjected) {
  ejection.OnFull(&target, now);
  CHECK(target.Usable(now));
  CHECK(target.full_until == now + options.full_pause);
}
