#include "core/stages/stage_latency_estimator.h"

#include <CppUTest/TestHarness.h>

#include "core/admission/stage_admission.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

namespace {

core::route_document Document() {
  core::route_document document;
  for (const char* name : {"intake", "stock"}) {
    core::service_spec service;
    service.name = name;
    core::batch_spec batches;
    batches.max_pieces = 10;
    batches.call_time = milliseconds(150);
    batches.piece_time = milliseconds(10);
    service.batches = batches;
    document.services.push_back(service);
  }
  return document;
}

core::service_load Load(double rate, uint32_t ahead) {
  core::service_load load;
  load.pieces_per_s = rate;
  load.call_time = milliseconds(200);
  load.ahead.fill(ahead);
  return load;
}

}  // namespace

TEST_GROUP(StageLatencyEstimator) {
  fakes::virtual_time time;
  core::route_table table{Document()};
  core::stage_latency_estimator estimator{{}, time};
  std::vector<core::stage_spec> stages = {{"intake", {}, 0}, {"stock", {0}, 0}};
  std::vector<uint32_t> pieces = {1, 4};

  core::latency_estimate Estimate(uint32_t priority = 1) {
    return estimator.Estimate(table, stages, pieces, priority);
  }
};

TEST(StageLatencyEstimator, IdleStagesTakeTheDurationOfTheirCalls) {
  CHECK(Estimate().in_time == milliseconds(400));
}

TEST(StageLatencyEstimator, TheQueueAheadDrainsWhileEarlierStagesRun) {
  estimator.UpdateLoad("stock", Load(100, 10));
  CHECK(Estimate().in_time == milliseconds(400));
  estimator.UpdateLoad("stock", Load(100, 50));
  CHECK(Estimate().in_time == milliseconds(700));
}

TEST(StageLatencyEstimator, ASkippedStageTakesNoTime) {
  pieces = {1, 0};
  estimator.UpdateLoad("stock", Load(100, 500));
  CHECK(Estimate().in_time == milliseconds(200));
}

TEST(StageLatencyEstimator, ExpiredReportsAreIgnored) {
  estimator.UpdateLoad("stock", Load(100, 500));
  time.Advance(std::chrono::seconds(1));
  CHECK(Estimate().in_time == milliseconds(400));
}

TEST(StageLatencyEstimator, LocalPiecesCountBeforeTheNextReport) {
  estimator.UpdateLoad("stock", Load(100, 20));
  estimator.AddLocalPieces("stock", 30, 1);
  CHECK(Estimate().in_time == milliseconds(700));
  CHECK(Estimate(0).in_time == milliseconds(400));
}

TEST(StageLatencyEstimator, CorrectionsAreKeptPerServiceAndPriority) {
  for (int i = 0; i < 100; ++i) {
    estimator.RecordOutcome("intake", 1, milliseconds(200), milliseconds(400));
  }
  CHECK(Estimate(1).in_time > milliseconds(500));
  CHECK(Estimate(1).in_time < milliseconds(650));
  CHECK(Estimate(0).in_time == milliseconds(400));
}

TEST(StageLatencyEstimator, LateJobsWaitForTheThroughputLeftToThem) {
  core::service_load load = Load(100, 50);
  load.late_pieces = 30;
  load.late_pieces_per_s = 10;
  estimator.UpdateLoad("stock", load);
  CHECK(Estimate().late >= milliseconds(3000));
  load.late_pieces_per_s = 100;
  estimator.UpdateLoad("stock", load);
  CHECK(Estimate().late < milliseconds(1500));
}

TEST(StageLatencyEstimator, CorrectionsDecayWithoutNewOutcomes) {
  for (int i = 0; i < 100; ++i) {
    estimator.RecordOutcome("intake", 1, milliseconds(200), milliseconds(800));
    estimator.RecordOutcome("stock", 1, milliseconds(200), milliseconds(800));
  }
  CHECK(Estimate(1).in_time > milliseconds(750));
  // No request is expected to be in time any more, so there are no new
  // outcomes.
  time.Advance(std::chrono::seconds(10));
  CHECK(Estimate(1).in_time < milliseconds(420));
}

TEST_GROUP(StageAdmission) {
  common::seeded_random random{7};
  core::stage_admission admission{{}, random};

  core::stage_admission_decision Decide(int64_t in_time_ms, int64_t late_ms) {
    core::stage_admission_context context;
    context.path = {milliseconds(in_time_ms), milliseconds(late_ms)};
    context.time_after_stages = milliseconds(100);
    context.to_objective = milliseconds(1000);
    context.to_deadline = milliseconds(5000);
    return admission.Decide(context);
  }
};

TEST(StageAdmission, ARequestThatCanMeetItsObjectiveIsInTime) {
  CHECK(Decide(800, 9000).verdict == core::stage_admission_outcome::kInTime);
}

TEST(StageAdmission, ARequestThatCannotMeetItsObjectiveIsLate) {
  CHECK(Decide(1000, 2000).verdict == core::stage_admission_outcome::kLate);
}

TEST(StageAdmission, ARequestThatCannotMeetItsDeadlineIsRejectedAtOnce) {
  const core::stage_admission_decision decision = Decide(1000, 6000);
  CHECK(decision.verdict == core::stage_admission_outcome::kRefuse);
  CHECK(decision.retry_after >= milliseconds(250));
  CHECK(decision.retry_after <= milliseconds(5000) / 3);
}

TEST(StageAdmission, RetryTimesOfRejectedCallersAreSpread) {
  common::duration shortest = std::chrono::hours(1);
  common::duration longest(0);
  for (int i = 0; i < 50; ++i) {
    const common::duration after = Decide(1000, 6000).retry_after;
    shortest = std::min(shortest, after);
    longest = std::max(longest, after);
  }
  CHECK(longest - shortest > milliseconds(200));
}
