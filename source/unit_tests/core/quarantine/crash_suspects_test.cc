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
  here.OnLost("a", 1, false);
  there.OnLost("a", 1, false);
  CHECK_FALSE(Refuses(&here, "a"));
  here.OnLost("a", 1, false);
  CHECK(Refuses(&here, "a"));
  CHECK(Refuses(&there, "a"));
  CHECK_FALSE(Refuses(&there, "b"));
}

TEST(CrashSuspects, AnAnswerClearsTheCount) {
  here.OnLost("a", 1, false);
  here.OnLost("a", 1, false);
  there.OnAnswered("a");
  CHECK(here.empty());
  here.OnLost("a", 1, false);
  CHECK_FALSE(Refuses(&here, "a"));
}

TEST(CrashSuspects, LossesWhileMostTargetsFailDoNotCount) {
  for (int i = 0; i < 10; ++i) here.OnLost("a", 1, true);
  CHECK_FALSE(Refuses(&here, "a"));
  CHECK(here.empty());
}

TEST(CrashSuspects, SuspectsExpireAndRefusalsGrow) {
  here.OnLost("a", 1, false);
  here.OnLost("a", 1, false);
  time.Advance(options.suspect_duration + std::chrono::seconds(1));
  here.OnLost("b", 1, false);
  here.OnLost("a", 1, false);
  CHECK_FALSE(Refuses(&here, "a"));

  for (int i = 0; i < 2; ++i) here.OnLost("a", 1, false);
  CHECK(here.RemainingRefusal("a") == options.initial_refusal);
  time.Advance(options.initial_refusal);
  CHECK_FALSE(Refuses(&here, "a"));
  here.OnLost("a", 1, false);
  CHECK(here.RemainingRefusal("a") ==
        options.initial_refusal * options.refusal_growth);
}

TEST(CrashSuspects, AGatewayThatJoinsGetsAllReports) {
  for (int i = 0; i < 3; ++i) here.OnLost("a", 1, false);
  core::crash_suspects joined{options, time};
  for (const core::crash_report& each : here.Reports(1)) joined.Merge(each);
  CHECK(Refuses(&joined, "a"));
}

// After many losses each gateway sent thousands of single ones to one that
// joined.
TEST(CrashSuspects, ReportsCanLeaveOutSingleLosses) {
  for (int i = 0; i < 500; ++i) here.OnLost(std::to_string(i), 1, false);
  for (int i = 0; i < 2; ++i) here.OnLost("a", 1, false);
  LONGS_EQUAL(501, here.Reports(1).size());
  LONGS_EQUAL(1, here.Reports(2).size());
}

TEST(CrashSuspects, MemoryIsBounded) {
  options.max_suspects = 5;
  core::crash_suspects small{options, time};
  for (int i = 0; i < 20; ++i) small.OnLost(std::to_string(i), 1, false);
  CHECK(small.Reports(1).size() == 5);
}

TEST_GROUP(CrashingPromptParts) {
  fakes::virtual_time time;
  core::crash_suspects_options options = core::PartSuspectsOptions();
  core::crash_suspects here{options, time};

  void setup() override { time.Advance(std::chrono::minutes(1)); }

  /// A request with the part is lost, beside others that are answered.
  void Lose(const char* part, uint32_t weight) {
    here.NoteAnswer();
    here.OnLost(core::PartDigest(part), weight, false);
    time.Advance(options.loss_interval);
  }
  bool Refuses(const char* part) const {
    return here.RemainingRefusal(core::PartDigest(part)).count() > 0;
  }
};

// Each request that held the part had another digest, so none was refused.
TEST(CrashingPromptParts, ThirdCrashRefusesAPartThatDifferentRequestsShare) {
  Lose("deadly", 2);
  Lose("deadly", 2);
  CHECK_FALSE(Refuses("deadly"));
  Lose("deadly", 2);
  CHECK(Refuses("deadly"));
  CHECK_FALSE(Refuses("other"));
}

TEST(CrashingPromptParts, FifthLossBeforeAnyResponseRefusesAPart) {
  for (int i = 0; i < 4; ++i) Lose("deadly", 1);
  CHECK_FALSE(Refuses("deadly"));
  Lose("deadly", 1);
  CHECK(Refuses("deadly"));
}

TEST(CrashingPromptParts, APartOfSoundRequestsIsCleared) {
  for (int i = 0; i < 20; ++i) {
    Lose("shared", 2);
    here.OnAnswered(core::PartDigest("shared"));
  }
  CHECK_FALSE(Refuses("shared"));
}

TEST(CrashingPromptParts, TargetsThatAreLostAtOnceCountOnce) {
  here.NoteAnswer();
  for (int i = 0; i < 20; ++i) {
    here.OnLost(core::PartDigest("shared"), 2, false);
  }
  CHECK_FALSE(Refuses("shared"));
}

TEST(CrashingPromptParts, LossesWhileNothingIsAnsweredDoNotCount) {
  here.NoteAnswer();
  time.Advance(options.answer_window + std::chrono::milliseconds(1));
  for (int i = 0; i < 20; ++i) {
    here.OnLost(core::PartDigest("shared"), 2, false);
    time.Advance(options.loss_interval);
  }
  CHECK(here.empty());
}

TEST(CrashingPromptParts, DigestsOfPartsAndRequestsDiffer) {
  CHECK(core::IsPartDigest(core::PartDigest("5c1e07a2")));
  CHECK_FALSE(core::IsPartDigest("5c1e07a2"));
}
