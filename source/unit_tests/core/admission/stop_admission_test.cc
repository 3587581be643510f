#include "core/admission/stop_admission.h"

#include "unit_tests/fakes/virtual_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kGrace = std::chrono::milliseconds(7500);
constexpr common::duration kTimeout = std::chrono::seconds(15);
constexpr common::duration kStream = std::chrono::seconds(4);
constexpr common::duration kAttempt = std::chrono::seconds(3);

}  // namespace

TEST_GROUP(StopAdmission) {
  fakes::virtual_time clock;
  core::stop_admission admission{core::stop_admission_options(), clock};

  bool Starts(std::string_view route) {
    return admission.OnArrival(route, clock.Now() + kTimeout).may_start;
  }
  void BeginStop() { admission.Begin(clock.Now() + kGrace); }
};

TEST(StopAdmission, EverythingStartsBeforeAStop) {
  CHECK(Starts("note"));
  CHECK(!admission.stopping());
}

TEST(StopAdmission, RequestsStartWhileThereIsTimeForTheLongest) {
  admission.OnComplete("note", kStream, kAttempt);
  BeginStop();
  CHECK(Starts("note"));
  // 5 s are left and expected.
  clock.Advance(std::chrono::milliseconds(2500));
  CHECK(Starts("note"));
  clock.Advance(std::chrono::milliseconds(100));
  CHECK(!Starts("note"));
  // Its stages are done: 3.75 s are expected of 4.9 s.
  CHECK(admission.BeforeAttempt("note", clock.Now() + kTimeout).may_start);
  clock.Advance(std::chrono::milliseconds(1300));
  CHECK(!admission.BeforeAttempt("note", clock.Now() + kTimeout).may_start);
}

TEST(StopAdmission, AtFirstWhatUsuallyFitsIsTaken) {
  admission.OnComplete("note", std::chrono::seconds(10), kAttempt);
  for (int i = 0; i < 9; ++i) admission.OnComplete("note", kStream, kAttempt);
  BeginStop();
  clock.Advance(std::chrono::milliseconds(1500));
  // 6 s are left, 5.75 s usually enough.
  CHECK(Starts("note"));
  clock.Advance(std::chrono::milliseconds(700));
  CHECK(!Starts("note"));
}

TEST(StopAdmission, AnUnknownRouteMayTakeUntilItsDeadline) {
  BeginStop();
  CHECK(!Starts("note"));
  CHECK(admission.OnArrival("look", clock.Now() + std::chrono::seconds(1))
            .may_start);
}

TEST(StopAdmission, ADeadlineBeforeTheEndIsKept) {
  admission.OnComplete("note", std::chrono::seconds(20), kAttempt);
  BeginStop();
  CHECK(admission.OnArrival("note", clock.Now() + std::chrono::seconds(7))
            .may_start);
}

TEST(StopAdmission, LongDurationsAreForgotten) {
  admission.OnComplete("note", std::chrono::seconds(12), kAttempt);
  const common::duration retention = core::stop_admission_options().retention;
  const common::duration notice = core::stop_admission_options().notice;
  clock.Advance(retention);
  admission.OnComplete("note", kStream, kAttempt);
  BeginStop();
  clock.Advance(notice);
  CHECK(!Starts("note"));
  clock.Advance(retention);
  admission.OnComplete("note", kStream, kAttempt);
  BeginStop();
  clock.Advance(notice);
  CHECK(Starts("note"));
}
