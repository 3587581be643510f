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

  /// One attempt on every target; some of them fail or are slow.
  void Round(int bad, double failing, int slow_ms) {
    const core::target_pool& pool = *targets.Pool("model");
    for (int i = 0; i < 10; ++i) {
      core::target_view* view = targets.Find("t" + std::to_string(i));
      const bool fails = i < bad && random.Uniform() < failing;
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

TEST(OutlierDetector, GreyTargetThatFailsHalfIsEjected) {
  for (int i = 0; i < 30; ++i) Round(1, 0.5, 10);
  CHECK_EQUAL(1, Ejected());
  CHECK(targets.Find("t0")->health.ejected_until > time.Now());
}

TEST(OutlierDetector, GreyTargetThatIsSlowIsEjected) {
  for (int i = 0; i < 30; ++i) Round(1, 0, 100);
  CHECK_EQUAL(1, Ejected());
}

TEST(OutlierDetector, AtMostAThirdOfThePoolIsEjected) {
  for (int i = 0; i < 60; ++i) Round(8, 0.9, 10);
  CHECK_EQUAL(3, Ejected());
}

TEST(OutlierDetector, PoolThatIsSlowAsAWholeKeepsItsTargets) {
  for (int i = 0; i < 30; ++i) Round(0, 0, 10);
  for (int i = 0; i < 60; ++i) Round(10, 0, 300);
  CHECK_EQUAL(0, Ejected());
}

TEST(OutlierDetector, EjectionsGetLongerWhileTheTargetStaysBad) {
  for (int i = 0; i < 30; ++i) Round(1, 1, 10);
  core::target_view* bad = targets.Find("t0");
  const common::time_point first = bad->health.ejected_until;
  time.Advance(std::chrono::seconds(6));
  CHECK_EQUAL(0, Ejected());
  for (int i = 0; i < 10; ++i) Round(1, 1, 10);
  CHECK(bad->health.ejected_until - first > std::chrono::seconds(9));
}

TEST(OutlierDetector, RefusalsSayNothingAboutATarget) {
  const core::target_pool& pool = *targets.Pool("model");
  for (int i = 0; i < 50; ++i) {
    detector.OnOutcome(pool, targets.Find("t0"), result_code::kOverloaded,
                       milliseconds(1));
  }
  CHECK_EQUAL(0, Ejected());
}
