#include "core/quarantine/crash_suspects.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(CrashSuspects) {
  fakes::virtual_time time;
  core::crash_suspects_options options;
  core::crash_suspects here{options, time};
  core::crash_suspects there{options, time};

  /// Connects the two gateways.
  void setup() override {
    here.SetReportHandler(
        [this](const core::crash_report& each) { there.Merge(each); });
    there.SetReportHandler(
        [this](const core::crash_report& each) { here.Merge(each); });
  }

  static bool Refuses(core::crash_suspects * at, const char* digest) {
    return at->RemainingRefusal(digest).count() > 0;
  }
};

TEST(CrashSuspects, ThirdCrashAtAnyGatewayRefusesAtAll) {
  here.OnLost("a", false);
  there.OnLost("a", false);
  CHECK_FALSE(Refuses(&here, "a"));
  here.OnLost("a", false);
  CHECK(Refuses(&here, "a"));
  CHECK(Refuses(&there, "a"));
  CHECK_FALSE(Refuses(&there, "b"));
}

TEST(CrashSuspects, AnAnswerClearsTheCount) {
  here.OnLost("a", false);
  here.OnLost("a", false);
  there.OnAnswered("a");
  CHECK(here.empty());
  here.OnLost("a", false);
  CHECK_FALSE(Refuses(&here, "a"));
}

TEST(CrashSuspects, LossesWhileMostTargetsFailDoNotCount) {
  for (int i = 0; i < 10; ++i) here.OnLost("a", true);
  CHECK_FALSE(Refuses(&here, "a"));
  CHECK(here.empty());
}

TEST(CrashSuspects, SuspectsExpireAndRefusalsGrow) {
  here.OnLost("a", false);
  here.OnLost("a", false);
  time.Advance(options.suspect_duration + std::chrono::seconds(1));
  here.OnLost("b", false);
  here.OnLost("a", false);
  CHECK_FALSE(Refuses(&here, "a"));

  for (int i = 0; i < 2; ++i) here.OnLost("a", false);
  CHECK(here.RemainingRefusal("a") == options.initial_refusal);
  time.Advance(options.initial_refusal);
  CHECK_FALSE(Refuses(&here, "a"));
  here.OnLost("a", false);
  CHECK(here.RemainingRefusal("a") ==
        options.initial_refusal * options.refusal_growth);
}

TEST(CrashSuspects, AGatewayThatJoinsGetsAllReports) {
  for (int i = 0; i < 3; ++i) here.OnLost("a", false);
  core::crash_suspects joined{options, time};
  for (const core::crash_report& each : here.Reports()) joined.Merge(each);
  CHECK(Refuses(&joined, "a"));
}

TEST(CrashSuspects, MemoryIsBounded) {
  options.max_suspects = 5;
  core::crash_suspects small{options, time};
  for (int i = 0; i < 20; ++i) small.OnLost(std::to_string(i), false);
  CHECK(small.Reports().size() == 5);
}
