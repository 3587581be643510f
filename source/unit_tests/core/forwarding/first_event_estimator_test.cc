#include "core/forwarding/first_event_estimator.h"

#include <cmath>
#include <string>

#include "common/random.h"
#include "unit_tests/fakes/virtual_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using common::milliseconds;

namespace {

constexpr double kBaseMs = 61;
constexpr double kTolerance = 0.15;
constexpr int kObservations = 300;
constexpr uint64_t kMaxTokens = 20000;
// Speeds of three kinds of engines. The estimate must not assume one of them.
constexpr double kSpeeds[] = {25, 54.6, 400};

}  // namespace

TEST_GROUP(FirstEventEstimator) {
  fakes::virtual_time time;
  common::seeded_random random{1};

  static double RightMillis(double tokens, double tokens_per_ms) {
    return kBaseMs + tokens / tokens_per_ms;
  }
  void Observe(core::first_event_estimator * estimator, double tokens_per_ms) {
    const uint32_t tokens = static_cast<uint32_t>(random.Below(kMaxTokens));
    estimator->OnFirstEvent(
        "engine", tokens,
        common::FromSeconds(RightMillis(tokens, tokens_per_ms) / 1000));
    time.Advance(milliseconds(100));
  }
  static void CheckExpected(const core::first_event_estimator& estimator,
                            uint32_t tokens, double tokens_per_ms) {
    const double expected = std::chrono::duration<double, std::milli>(
                                estimator.Expected("engine", tokens))
                                .count();
    const double right = RightMillis(tokens, tokens_per_ms);
    CHECK_TEXT(std::abs(expected - right) < kTolerance * right,
               (std::to_string(expected) + " ms instead of " +
                std::to_string(right) + " ms")
                   .c_str());
  }
};

TEST(FirstEventEstimator, LearnsTheSpeedOfAService) {
  for (const double tokens_per_ms : kSpeeds) {
    core::first_event_estimator estimator(core::first_event_estimator_options(),
                                          time);
    for (int i = 0; i < kObservations; ++i) Observe(&estimator, tokens_per_ms);
    CheckExpected(estimator, 1000, tokens_per_ms);
    CheckExpected(estimator, 17000, tokens_per_ms);
  }
}

TEST(FirstEventEstimator, FollowsAChange) {
  core::first_event_estimator estimator(core::first_event_estimator_options(),
                                        time);
  for (int i = 0; i < kObservations; ++i) Observe(&estimator, 54.6);
  // Half of the engines are lost.
  for (int i = 0; i < 2 * kObservations; ++i) Observe(&estimator, 25);
  CheckExpected(estimator, 17000, 25);
}

TEST(FirstEventEstimator, BeginsWithAnAssumptionAndKeepsServicesApart) {
  core::first_event_estimator estimator(core::first_event_estimator_options(),
                                        time);
  estimator.OnFirstEvent("other", 10, std::chrono::seconds(5));
  CHECK(estimator.Expected("engine", 0) == milliseconds(60));
  CHECK(estimator.Expected("engine", 10000) == milliseconds(160));
}

TEST(FirstEventEstimator, StaysWithinBounds) {
  core::first_event_estimator estimator(core::first_event_estimator_options(),
                                        time);
  for (int i = 0; i < kObservations; ++i) {
    estimator.OnFirstEvent("engine", 10, std::chrono::hours(1));
    estimator.OnFirstEvent("engine", 1000000000, milliseconds(0));
  }
  CHECK(estimator.Expected("engine", 0) >= common::duration(0));
  CHECK(estimator.Expected("engine", 1000000000) <
        std::chrono::hours(24 * 365));
}
