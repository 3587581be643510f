#include "core/admission/returning_callers.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

TEST_GROUP(ReturningCallers) {
  fakes::virtual_time time;
  core::returning_callers callers{{}, time};

  int64_t ElapsedMs(int64_t given_ms, const char* organisation = "parks") {
    return common::WholeMillis(
        callers.Elapsed("draft", organisation, milliseconds(given_ms)));
  }
};

TEST(ReturningCallers, FirstRequestsDifferALittle) {
  for (const int64_t given : {5200, 6000, 5000, 5900, 5100}) {
    CHECK_EQUAL(0, ElapsedMs(given));
  }
}

TEST(ReturningCallers, LessTimeTellsACallerThatCameBack) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(2000, ElapsedMs(4000));
  CHECK_EQUAL(5500, ElapsedMs(500));
}

TEST(ReturningCallers, OrganisationsMayBeLessPatientThanOthers) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(0, ElapsedMs(2000, "nurseries"));
}

TEST(ReturningCallers, WhatIsUsualMayChange) {
  CHECK_EQUAL(0, ElapsedMs(6000));
  time.Advance(std::chrono::seconds(40));
  CHECK_EQUAL(4000, ElapsedMs(2000));
  time.Advance(std::chrono::seconds(40));
  CHECK_EQUAL(0, ElapsedMs(2000));
}

TEST(ReturningCallers, ACallerWithoutTimeIsNoFault) {
  CHECK_EQUAL(0, ElapsedMs(0));
  CHECK_EQUAL(0, ElapsedMs(6000));
  CHECK_EQUAL(6000, ElapsedMs(0));
}
