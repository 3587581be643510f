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
  core::retry_context context;

  void setup() override {
    context.organisation = "parks";
    context.stage = "care/generate";
    context.code = result_code::kTargetFailed;
    context.stage_attempts = 1;
    context.remaining = milliseconds(1000);
  }

  core::budget_retry Policy() { return {options, budget, latencies, random}; }
};

TEST(BudgetRetry, RetriesStayARatioOfSuccesses) {
  core::budget_retry policy = Policy();
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.OnSuccess("parks", "care/generate", 1.0);
    granted += policy.RetryDelay(context).has_value() ? 1 : 0;
  }
  CHECK(granted >= 95);
  CHECK(granted <= 102);
}

TEST(BudgetRetry, RetriesOfAllStagesStayARatioOfRequests) {
  core::budget_retry policy = Policy();
  constexpr int kStages = 4;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    for (int stage = 0; stage < kStages; ++stage) {
      const std::string name = "care/" + std::to_string(stage);
      context.stage = name;
      policy.OnSuccess("parks", name, 1.0 / kStages);
      granted += policy.RetryDelay(context).has_value() ? 1 : 0;
    }
  }
  CHECK(granted >= 95);
  CHECK(granted <= 102);
}

TEST(BudgetRetry, StopsWhileNothingSucceeds) {
  core::budget_retry policy = Policy();
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    granted += policy.RetryDelay(context).has_value() ? 1 : 0;
  }
  CHECK_EQUAL(2, granted);
}

TEST(BudgetRetry, BudgetsOfOrganisationsAreIndependent) {
  core::budget_retry policy = Policy();
  while (policy.RetryDelay(context)) {
  }
  context.organisation = "villages";
  CHECK(policy.RetryDelay(context).has_value());
}

TEST(BudgetRetry, StopsAtTheLimitsOfStageAndRequest) {
  core::budget_retry policy = Policy();
  context.stage_attempts = 3;
  CHECK(!policy.RetryDelay(context).has_value());
  context.stage_attempts = 1;
  context.request_retries = 4;
  CHECK(!policy.RetryDelay(context).has_value());
}

TEST(BudgetRetry, DoesNotRetryWithTooLittleTimeRemaining) {
  core::budget_retry policy = Policy();
  for (int i = 0; i < 100; ++i) {
    latencies.Add("care/generate", milliseconds(300));
  }
  context.remaining = milliseconds(200);
  CHECK(!policy.RetryDelay(context).has_value());
  context.remaining = milliseconds(500);
  CHECK(policy.RetryDelay(context).has_value());
}

TEST(BudgetRetry, BacksOffWithJitterOnOverload) {
  core::budget_retry policy = Policy();
  context.code = result_code::kOverloaded;
  std::set<int64_t> delays;
  for (int i = 0; i < 20; ++i) {
    policy.OnSuccess("parks", "care/generate", 1.0);
    const std::optional<common::duration> delay = policy.RetryDelay(context);
    if (!delay) continue;
    CHECK(*delay >= milliseconds(5));
    CHECK(*delay <= milliseconds(10));
    delays.insert(delay->count());
  }
  CHECK(delays.size() > 1);
  CHECK(policy.NoTargetDelay(6) > policy.NoTargetDelay(0));
  CHECK(policy.NoTargetDelay(60) <= milliseconds(200));
}

TEST(BudgetRetry, RetriesDeferrableAttemptsWithoutLimit) {
  core::budget_retry policy = Policy();
  context.code = result_code::kOverloaded;
  context.deferrable = true;
  for (uint32_t i = 1; i < 100; ++i) {
    context.stage_attempts = i;
    const std::optional<common::duration> delay = policy.RetryDelay(context);
    CHECK(delay.has_value());
    CHECK(*delay < context.remaining);
  }
}

TEST(BudgetRetry, HedgesAfterTheMeasuredQuantileWithinTheBudget) {
  options.hedging = true;
  core::budget_retry policy = Policy();
  CHECK(!policy.HedgeDelay("care/generate").has_value());  // no samples yet
  for (int i = 0; i < 100; ++i) {
    latencies.Add("care/generate", milliseconds(i < 90 ? 10 : 100));
  }
  const common::duration delay = *policy.HedgeDelay("care/generate");
  CHECK(delay >= milliseconds(90));
  CHECK(delay <= milliseconds(130));
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += policy.TryAcquireHedge(context) ? 1 : 0;
  CHECK_EQUAL(2, sent);
}

TEST(BudgetRetry, FixedRetryRetriesImmediatelyOrNever) {
  core::fixed_retry none(1);
  core::fixed_retry immediate(4);
  CHECK(!none.RetryDelay(context).has_value());
  context.stage_attempts = 3;
  CHECK(*immediate.RetryDelay(context) == common::duration::zero());
  context.stage_attempts = 4;
  CHECK(!immediate.RetryDelay(context).has_value());
}
