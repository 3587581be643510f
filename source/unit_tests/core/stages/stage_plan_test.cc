#include "core/stages/stage_plan.h"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

namespace {

/// An independent stage and a chain of three.
std::vector<core::stage_spec> Stages() {
  return {{"sketch", {}, 3000000},
          {"intake", {}, 8000},
          {"stock", {1}, 60000},
          {"freight", {2}, 6000}};
}

core::stage_plan Plan(const std::vector<uint32_t>& pieces) {
  const std::vector<core::stage_spec> stages = Stages();
  std::optional<core::stage_plan> plan =
      core::stage_plan::Create(stages, pieces);
  CHECK(plan.has_value());
  return *plan;
}

}  // namespace

TEST_GROUP(StagePlan){};

TEST(StagePlan, AStageIsReadyOnceItsDependenciesAreComplete) {
  core::stage_plan plan = Plan({1, 1, 2, 3});
  CHECK(plan.Ready() == (std::vector<uint32_t>{0, 1}));
  plan.Start(0);
  plan.Start(1);
  CHECK(plan.Ready().empty());
  plan.Complete(1, {"a/1"});
  CHECK(plan.Ready() == std::vector<uint32_t>{2});
  CHECK(plan.InputsOf(2) == std::vector<std::string>{"a/1"});
}

TEST(StagePlan, FinalInputsAreTheResultsOfTheFinalStages) {
  core::stage_plan plan = Plan({1, 1, 2, 1});
  plan.Complete(0, {"a/1"});
  plan.Complete(1, {"b/1"});
  plan.Complete(2, {"c/1", "c/2"});
  plan.Complete(3, {"d/1"});
  CHECK(plan.complete());
  CHECK(plan.FinalInputs() == (std::vector<std::string>{"a/1", "d/1"}));
}

TEST(StagePlan, AStageWithoutPiecesIsSkipped) {
  const core::stage_plan plan = Plan({0, 0, 0, 0});
  CHECK(plan.complete());
  CHECK(plan.FinalInputs().empty());
}

TEST(StagePlan, ResultsAreReleasableOnceDependentStagesAreComplete) {
  core::stage_plan plan = Plan({1, 1, 2, 1});
  plan.Complete(1, {"b/1"});
  CHECK(plan.TakeReleasable().empty());
  plan.Complete(2, {"c/1", "c/2"});
  CHECK(plan.TakeReleasable() == std::vector<uint32_t>{1});
  CHECK(plan.TakeReleasable().empty());
  plan.Complete(0, {"a/1"});
  CHECK(plan.TakeUnreleased() == (std::vector<uint32_t>{0, 2}));
}

TEST(StagePlan, CriticalPathWithoutIsTheLongestChainOfTheOthers) {
  core::stage_plan plan = Plan({1, 1, 2, 1});
  const std::array<common::duration, 4> remaining = {
      milliseconds(500), milliseconds(100), milliseconds(200),
      milliseconds(300)};
  CHECK(plan.CriticalPathWithout(0, remaining) == milliseconds(600));
  plan.Complete(1, {"b/1"});
  CHECK(plan.CriticalPathWithout(0, remaining) == milliseconds(500));
}

TEST(StagePlan, TotalOfPiecesIsBounded) {
  const std::vector<core::stage_spec> stages = Stages();
  std::vector<uint32_t> pieces = {core::kMaxPieces, 0, 0, 0};
  CHECK(core::stage_plan::Create(stages, pieces).has_value());
  pieces[2] = 1;
  CHECK(!core::stage_plan::Create(stages, pieces).has_value());
  pieces.assign(4, 4294967295U);
  CHECK(!core::stage_plan::Create(stages, pieces).has_value());
}

TEST(StagePlan, PieceCountsMustMatchTheStages) {
  const std::vector<core::stage_spec> stages = Stages();
  const std::vector<uint32_t> pieces = {1, 2};
  CHECK(!core::stage_plan::Create(stages, pieces).has_value());
}
