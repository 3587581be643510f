#include "core/admission/caller_retry_detector.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

TEST_GROUP(CallerRetryDetector) {
  fakes::virtual_time time;
  core::caller_retry_detector callers{{}, time};

  int64_t ElapsedMs(int64_t timeout_ms, const char* organisation = "parks") {
    return common::ToMillis(callers.TimeSinceFirstRequest(
        "draft", organisation, milliseconds(timeout_ms)));
  }
};

TEST(CallerRetryDetector, TimeoutsOfFirstRequestsMayVary) {
  for (const int64_t timeout : {5200, 6000, 5000, 5900, 5100}) {
    CHECK_EQUAL(0, ElapsedMs(timeout));
  }
}

TEST(CallerRetryDetector, ShorterTimeoutIsDetectedAsRetry) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(2000, ElapsedMs(4000));
  CHECK_EQUAL(5500, ElapsedMs(500));
}

TEST(CallerRetryDetector, OrganisationsHaveIndependentTimeouts) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(0, ElapsedMs(2000, "nurseries"));
}

TEST(CallerRetryDetector, OldTimeoutsAreForgotten) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  time.Advance(std::chrono::seconds(40));
  CHECK_EQUAL(4000, ElapsedMs(2000));
  time.Advance(std::chrono::seconds(40));
  CHECK_EQUAL(0, ElapsedMs(2000));
}

TEST(CallerRetryDetector, TimeoutOfZeroIsAccepted) {
  CHECK_EQUAL(0, ElapsedMs(0));
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(6000, ElapsedMs(0));
}
