#include "core/retry/budget_retry.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "core/retry/fixed_retry.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::result_code;
using std::chrono::milliseconds;

TEST_GROUP(BudgetRetry) {
  core::retry_budget budget;
  core::stage_latencies latencies;
  common::seeded_random random{11};
  core::budget_retry_options options;
  core::retry_context question;

  void setup() override {
    question.organisation = "parks";
    question.stage = "care/generate";
    question.code = result_code::kTargetFailed;
    question.stage_attempts = 1;
    question.remaining = milliseconds(1000);
  }

  core::budget_retry Policy() { return {options, budget, latencies, random}; }
};

TEST(BudgetRetry, RetriesStayAShareOfSuccesses) {
  core::budget_retry policy = Policy();
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.OnSuccess("parks", "care/generate", 1.0);
    granted += policy.RetryDelay(question).has_value() ? 1 : 0;
  }
  CHECK(granted >= 95);
  CHECK(granted <= 102);
}

TEST(BudgetRetry, RepeatsOverAllStagesStayAShareOfRequests) {
  core::budget_retry policy = Policy();
  constexpr int kStages = 4;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    for (int stage = 0; stage < kStages; ++stage) {
      const std::string name = "care/" + std::to_string(stage);
      question.stage = name;
      policy.OnSuccess("parks", name, 1.0 / kStages);
      granted += policy.RetryDelay(question).has_value() ? 1 : 0;
    }
  }
  CHECK(granted >= 95);
  CHECK(granted <= 102);
}

TEST(BudgetRetry, DryUpWhileNothingSucceeds) {
  core::budget_retry policy = Policy();
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    granted += policy.RetryDelay(question).has_value() ? 1 : 0;
  }
  CHECK_EQUAL(2, granted);
}

TEST(BudgetRetry, OneOrganisationCannotUseUpAnothersBudget) {
  core::budget_retry policy = Policy();
  while (policy.RetryDelay(question)) {
  }
  question.organisation = "villages";
  CHECK(policy.RetryDelay(question).has_value());
}

TEST(BudgetRetry, StopsAtTheCapsOfStageAndRequest) {
  core::budget_retry policy = Policy();
  question.stage_attempts = 3;
  CHECK(!policy.RetryDelay(question).has_value());
  question.stage_attempts = 1;
  question.request_retries = 4;
  CHECK(!policy.RetryDelay(question).has_value());
}

TEST(BudgetRetry, NeverStartsWhatTheDeadlineCutsOff) {
  core::budget_retry policy = Policy();
  for (int i = 0; i < 100; ++i) {
    latencies.Add("care/generate", milliseconds(300));
  }
  question.remaining = milliseconds(200);
  CHECK(!policy.RetryDelay(question).has_value());
  question.remaining = milliseconds(500);
  CHECK(policy.RetryDelay(question).has_value());
}

TEST(BudgetRetry, OverloadIsMetWithGrowingDelaysAndJitter) {
  core::budget_retry policy = Policy();
  question.code = result_code::kOverloaded;
  std::set<int64_t> delays;
  for (int i = 0; i < 20; ++i) {
    policy.OnSuccess("parks", "care/generate", 1.0);
    const std::optional<common::duration> delay = policy.RetryDelay(question);
    if (!delay) continue;
    CHECK(*delay >= milliseconds(5));
    CHECK(*delay <= milliseconds(10));
    delays.insert(delay->count());
  }
  CHECK(delays.size() > 1);
  CHECK(policy.NoTargetDelay(6) > policy.NoTargetDelay(0));
  CHECK(policy.NoTargetDelay(60) <= milliseconds(200));
}

TEST(BudgetRetry, DeferrableWorkIsNeverGivenUpForLoad) {
  core::budget_retry policy = Policy();
  question.code = result_code::kOverloaded;
  question.deferrable = true;
  for (uint32_t i = 1; i < 100; ++i) {
    question.stage_attempts = i;
    const std::optional<common::duration> delay = policy.RetryDelay(question);
    CHECK(delay.has_value());
    CHECK(*delay < question.remaining);
  }
}

TEST(BudgetRetry, HedgesAfterTheMeasuredQuantileWithinTheBudget) {
  options.hedging = true;
  core::budget_retry policy = Policy();
  CHECK(!policy.HedgeDelay("care/generate").has_value());  // nothing measured
  for (int i = 0; i < 100; ++i) {
    latencies.Add("care/generate", milliseconds(i < 90 ? 10 : 100));
  }
  const common::duration delay = *policy.HedgeDelay("care/generate");
  CHECK(delay >= milliseconds(90));
  CHECK(delay <= milliseconds(130));
  int granted = 0;
  for (int i = 0; i < 100; ++i)
    granted += policy.TryAcquireHedge(question) ? 1 : 0;
  CHECK_EQUAL(2, granted);
}

TEST(BudgetRetry, BaselinesRepeatAtOnceOrNever) {
  core::fixed_retry none(1);
  core::fixed_retry immediate(4);
  CHECK(!none.RetryDelay(question).has_value());
  question.stage_attempts = 3;
  CHECK(*immediate.RetryDelay(question) == common::duration::zero());
  question.stage_attempts = 4;
  CHECK(!immediate.RetryDelay(question).has_value());
}
