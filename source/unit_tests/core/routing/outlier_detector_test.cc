#include "core/routing/outlier_detector.h"

#include <CppUTest/TestHarness.h>

#include "common/random.h"
#include "core/routing/target_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::result_code;
using std::chrono::milliseconds;

TEST_GROUP(OutlierDetector) {
  fakes::virtual_time time;
  common::seeded_random random{3};
  core::target_table targets;
  core::outlier_detector detector{time, {}};

  void setup() override {
    for (int i = 0; i < 10; ++i) {
      targets.FindOrCreate("t" + std::to_string(i), "model", "a")->connected =
          true;
    }
  }

  /// Runs one attempt on every target; the first `bad` targets fail at the
  /// given rate and take `slow_ms`.
  void RunRound(int bad, double failure_rate, int slow_ms) {
    const core::target_pool& pool = *targets.Pool("model");
    for (int i = 0; i < 10; ++i) {
      core::target_view* view = targets.Find("t" + std::to_string(i));
      const bool fails = i < bad && random.Uniform() < failure_rate;
      detector.OnOutcome(pool, view,
                         fails ? result_code::kTargetFailed : result_code::kOk,
                         milliseconds(i < bad ? slow_ms : 10));
    }
    time.Advance(milliseconds(20));
  }

  int Ejected() {
    int ejected = 0;
    for (const core::target_view* view : targets.All()) {
      ejected += view->health.ejected_until > time.Now() ? 1 : 0;
    }
    return ejected;
  }
};

TEST(OutlierDetector, TargetWithHalfItsAttemptsFailingIsEjected) {
  for (int i = 0; i < 30; ++i) RunRound(1, 0.5, 10);
  CHECK_EQUAL(1, Ejected());
  CHECK(targets.Find("t0")->health.ejected_until > time.Now());
}

TEST(OutlierDetector, SlowTargetIsEjected) {
  for (int i = 0; i < 30; ++i) RunRound(1, 0, 100);
  CHECK_EQUAL(1, Ejected());
}

TEST(OutlierDetector, AtMostAThirdOfThePoolIsEjected) {
  for (int i = 0; i < 60; ++i) RunRound(8, 0.9, 10);
  CHECK_EQUAL(3, Ejected());
}

TEST(OutlierDetector, NoTargetIsEjectedWhenTheWholePoolIsSlow) {
  for (int i = 0; i < 30; ++i) RunRound(0, 0, 10);
  for (int i = 0; i < 60; ++i) RunRound(10, 0, 300);
  CHECK_EQUAL(0, Ejected());
}

TEST(OutlierDetector, EjectionTimeDoublesWhileTheTargetKeepsFailing) {
  for (int i = 0; i < 30; ++i) RunRound(1, 1, 10);
  core::target_view* bad = targets.Find("t0");
  const common::time_point first = bad->health.ejected_until;
  time.Advance(std::chrono::seconds(6));
  CHECK_EQUAL(0, Ejected());
  for (int i = 0; i < 10; ++i) RunRound(1, 1, 10);
  CHECK(bad->health.ejected_until - first > std::chrono::seconds(9));
}

TEST(OutlierDetector, RefusalsAreNotFailures) {
  const core::target_pool& pool = *targets.Pool("model");
  for (int i = 0; i < 50; ++i) {
    detector.OnOutcome(pool, targets.Find("t0"), result_code::kOverloaded,
                       milliseconds(1));
  }
  CHECK_EQUAL(0, Ejected());
}
