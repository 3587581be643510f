#include "core/admission/stage_budget.h"

#include <CppUTest/TestHarness.h>

#include "core/admission/early_admission.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(StageBudget) {
  fakes::virtual_time time;
  core::stage_latencies latencies;
  core::stage_budget budget{{}, latencies};
  core::distributed_quota quotas{time, "r1"};
  core::early_admission admission{time, budget, quotas, 0};
  core::pipeline_plan plan;
  core::admission_context context;

  void setup() override {
    plan.name = "care";
    plan.stages = {
        {"encode", "encoder"}, {"rerank", "reranker"}, {"generate", "model"}};
    Measure("care/encode", 50);
    Measure("care/rerank", 100);
    Measure("care/generate", 400);
    context.organisation = "parks";
    context.plan = &plan;
    time.Advance(std::chrono::hours(1));
  }

  void Measure(const std::string& stage, int latency_ms) {
    for (int i = 0; i < 1000; ++i) {
      latencies.Add(stage, milliseconds(latency_ms));
    }
  }
};

TEST(StageBudget, StagesMustFitIntoTheRemainingTime) {
  CHECK(budget.CanFinish(plan, 0, milliseconds(700)));
  CHECK(!budget.CanFinish(plan, 0, milliseconds(500)));
  CHECK(budget.CanFinish(plan, 2, milliseconds(500)));
}

TEST(StageBudget, SharesAreProportionalToQuantiles) {
  const common::duration at_start =
      budget.StageShare(plan, 1, milliseconds(1100));
  // The first stage used little time, so that the second one may use more.
  const common::duration later = budget.StageShare(plan, 1, milliseconds(2000));
  CHECK(later > at_start);
  CHECK(budget.StageShare(plan, 2, milliseconds(300)) == milliseconds(300));
}

TEST(StageBudget, SlowerStageGetsALargerShare) {
  const common::duration before =
      budget.StageShare(plan, 1, milliseconds(2000));
  Measure("care/rerank", 300);  // three times the latency
  const common::duration after = budget.StageShare(plan, 1, milliseconds(2000));
  CHECK(after > before * 3 / 2);
  CHECK(after < milliseconds(2000));
}

TEST(StageBudget, AttemptTimeoutIsShorterThanTheDeadline) {
  const common::duration limit =
      budget.AttemptTimeout(plan, 0, milliseconds(5000));
  CHECK(limit >= milliseconds(100));
  CHECK(limit <= milliseconds(200));
}

TEST(StageBudget, UnmeasuredStagesHaveNoLimits) {
  core::pipeline_plan fresh = plan;
  fresh.name = "fresh";
  CHECK(budget.CanFinish(fresh, 0, milliseconds(1)));
  CHECK(budget.AttemptTimeout(fresh, 0, milliseconds(900)) ==
        milliseconds(900));
}

TEST(StageBudget, AdmissionRefusesAllButAFewProbes) {
  context.deadline = milliseconds(300);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::optional<core::admission_refusal> refusal =
        admission.Refusal(context);
    admitted += refusal ? 0 : 1;
    if (refusal) CHECK(refusal->retry_after > common::duration::zero());
    time.Advance(milliseconds(1));
  }
  CHECK_EQUAL(10, admitted);
}

TEST(StageBudget, AdmissionResumesWhenAStageRecovers) {
  Measure("care/generate", 5000);
  context.deadline = milliseconds(2000);
  admission.Refusal(context);  // admitted as a probe
  CHECK(admission.Refusal(context).has_value());
  Measure("care/generate", 400);
  CHECK(!admission.Refusal(context).has_value());
}

TEST(StageBudget, DeferrableRequestsAndOperationsAreNotRefusedEarly) {
  context.deadline = milliseconds(10);
  plan.deferrable = true;
  for (int i = 0; i < 9; ++i) CHECK(!admission.Refusal(context).has_value());
  plan.deferrable = false;
  plan.stages[2].idempotent = false;
  for (int i = 0; i < 9; ++i) CHECK(!admission.Refusal(context).has_value());
}
