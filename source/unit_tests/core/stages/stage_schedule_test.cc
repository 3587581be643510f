#include "core/stages/stage_schedule.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <optional>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

namespace {

constexpr uint64_t kLargeBytes = 3000000;
constexpr uint64_t kSmallBytes = 8000;

core::stage_spec Stage(uint64_t bytes, std::vector<uint32_t> depends_on = {}) {
  core::stage_spec spec;
  spec.service = "intake";
  spec.result_bytes = bytes;
  spec.depends_on = std::move(depends_on);
  return spec;
}

}  // namespace

TEST_GROUP(StageSchedule){};

TEST(StageSchedule, TheLargestDataCentreHoldsMostInputBytes) {
  const std::array<core::data_centre_bytes, 4> inputs = {
      {{"a", 100}, {"b", 150}, {"a", 80}, {"c", 10}}};
  const core::data_centre_bytes largest = core::LargestDataCentre(inputs);
  STRCMP_EQUAL("a", largest.data_centre.c_str());
  CHECK_EQUAL(180, largest.bytes);
  CHECK(core::LargestDataCentre({}).data_centre.empty());
}

TEST(StageSchedule, LargeResultsWithoutDependentsAreDelayed) {
  const std::vector<core::stage_spec> stages = {
      Stage(kLargeBytes), Stage(kSmallBytes), Stage(kSmallBytes, {1})};
  const std::vector<uint32_t> pieces = {1, 1, 1};
  const std::optional<core::stage_plan> plan =
      core::stage_plan::Create(stages, pieces);
  CHECK(plan.has_value());
  const std::array<common::duration, 3> remaining = {
      milliseconds(200), milliseconds(200), milliseconds(300)};
  CHECK(core::StartDelay(*plan, 0, remaining) > milliseconds(200));
  CHECK(core::StartDelay(*plan, 0, remaining) < milliseconds(300));
  CHECK(core::StartDelay(*plan, 1, remaining).count() <= 0);
}

TEST(StageSchedule, TimeLimitsLeaveTimeForTheLaterStages) {
  core::route_document document;
  core::service_spec service;
  service.name = "intake";
  service.batches = core::batch_spec();
  service.batches->max_pieces = 10;
  service.batches->call_time = milliseconds(100);
  service.batches->piece_time = milliseconds(10);
  document.services.push_back(service);
  const core::route_table table(std::move(document));
  common::system_clock clock;
  const core::stage_latency_estimator estimator({}, clock);
  const std::vector<core::stage_spec> stages = {Stage(kSmallBytes),
                                                Stage(kSmallBytes, {0})};
  const common::time_point start{std::chrono::seconds(10)};
  const core::request_time_limits limits = {
      start + milliseconds(1000), start + milliseconds(3000), milliseconds(60)};
  const core::stage_time_limits first =
      core::StageTimeLimits(table, stages, 0, estimator, limits);
  const core::stage_time_limits last =
      core::StageTimeLimits(table, stages, 1, estimator, limits);
  CHECK(last.objective == start + milliseconds(940));
  CHECK(last.deadline == start + milliseconds(2940));
  // The usual duration is a call with half a batch, the minimum one with one
  // piece.
  CHECK(first.objective == last.objective - milliseconds(150));
  CHECK(first.deadline == last.deadline - milliseconds(110));
}
