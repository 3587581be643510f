#include "core/limits/target_limits.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <limits>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetLimits) {
  fakes::virtual_time time;
  core::target_limits here{time};
  core::target_limits there{time};
  core::target_entry target;
  std::vector<core::limit_report> reports;

  void setup() override {
    target.id = "t";
    target.started_ms = 5;
    here.SetReportHandler([this](const core::limit_report& report) {
      reports.push_back(report);
      there.Merge(report, "here");
    });
    time.Advance(seconds(10));
  }
  /// A response to a request that was sent at some time.
  void Respond(core::limit_statement statement, double per_second,
               common::time_point sent_at) {
    here.OnResponse(target, {{statement, per_second}, sent_at, true}, "");
  }
  void Name(double per_second) {
    Respond(core::limit_statement::kNamed, per_second, time.Now());
  }
  void NameNone(common::time_point sent_at) {
    Respond(core::limit_statement::kNone, 0, sent_at);
  }
  double Limit(const core::target_limits& at) const {
    return at.LimitOf("t", target.started_ms).value_or(-1);
  }
};

TEST(TargetLimits, ChangesAreReportedOnce) {
  Name(1.2);
  Name(1.2);
  LONGS_EQUAL(1, reports.size());
  DOUBLES_EQUAL(1.2, Limit(there), 1e-9);
  Name(3);
  LONGS_EQUAL(2, reports.size());
  DOUBLES_EQUAL(3, Limit(there), 1e-9);
}

TEST(TargetLimits, OnlyAResponseToALaterRequestEndsALimit) {
  const common::time_point before = time.Now() - milliseconds(1);
  Name(1.2);
  NameNone(before);
  NameNone(time.Now());
  DOUBLES_EQUAL(1.2, Limit(here), 1e-9);
  time.Advance(milliseconds(1));
  here.OnResponse(target, {{}, time.Now(), false}, "");
  DOUBLES_EQUAL(1.2, Limit(here), 1e-9);
  NameNone(time.Now());
  DOUBLES_EQUAL(-1, Limit(here), 1e-9);
  DOUBLES_EQUAL(-1, Limit(there), 1e-9);
  CHECK(here.empty());
  CHECK(there.empty());
}

TEST(TargetLimits, NewestObservationWinsWhateverTheOrderOfReports) {
  core::limit_report named{"t", 5, false, 1.2, milliseconds(300)};
  core::limit_report ended{"t", 5, true, 0, milliseconds(100)};
  there.Merge(ended, "a");
  there.Merge(named, "b");
  CHECK(there.empty());
  named.age = milliseconds(50);
  there.Merge(named, "b");
  DOUBLES_EQUAL(1.2, Limit(there), 1e-9);
  there.Merge(ended, "a");
  DOUBLES_EQUAL(1.2, Limit(there), 1e-9);
}

TEST(TargetLimits, ALimitBelongsToOneStart) {
  Name(1.2);
  CHECK_FALSE(here.LimitOf("t", 6).has_value());
  target.started_ms = 6;
  time.Advance(milliseconds(1));
  NameNone(time.Now());
  CHECK(here.empty());
  // Late responses and reports of the earlier start change nothing.
  target.started_ms = 5;
  Name(1.2);
  here.Merge({"t", 5, false, 1.2, milliseconds(0)}, "b");
  CHECK(here.empty());
}

TEST(TargetLimits, ZeroStillLetsARequestThroughAndHugeOnesDoNotBind) {
  Name(0);
  CHECK(Limit(here) > 0);
  Name(1e9);
  CHECK(here.empty());
}

TEST(TargetLimits, UnusableLimitsChangeNothing) {
  Name(1.2);
  Respond(core::limit_statement::kInvalid, 0, time.Now() + seconds(1));
  DOUBLES_EQUAL(1.2, Limit(here), 1e-9);
  for (const double value :
       {std::nan(""), -1.0, std::numeric_limits<double>::infinity()}) {
    there.Merge({"t", 5, false, value, milliseconds(0)}, "b");
    there.Merge({"u", 5, false, value, milliseconds(-5)}, "b");
  }
  DOUBLES_EQUAL(1.2, Limit(there), 1e-9);
  LONGS_EQUAL(1, there.limited());
}

TEST(TargetLimits, ALimitIsForgottenWithItsStart) {
  int ended = 0;
  here.SetEndedHandler([&ended](const std::string&) { ++ended; });
  Name(1.2);
  here.Forget("other", 5);
  here.Forget("t", 4);
  LONGS_EQUAL(1, here.limited());
  here.Forget("t", 5);
  CHECK(here.empty());
  LONGS_EQUAL(1, ended);
}

TEST(TargetLimits, MemoryIsBounded) {
  for (int i = 0; i < 10000; ++i) {
    here.Merge({std::to_string(i), 1, false, 2, milliseconds(0)}, "b");
    time.Advance(milliseconds(1));
  }
  CHECK(here.limited() <= 4096);
  CHECK(here.LimitOf("9999", 1).has_value());
}
