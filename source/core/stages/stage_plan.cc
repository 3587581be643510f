#include "core/stages/stage_plan.h"

#include <algorithm>

#include "common/last_error.h"

namespace wisteriadale::core {

std::optional<stage_plan> stage_plan::Create(std::span<const stage_spec> stages,
                                             std::span<const uint32_t> pieces) {
  if (stages.size() != pieces.size()) {
    common::SetLastError(
        common::result_code::kBadRequest,
        "piece counts are given for " + std::to_string(pieces.size()) +
            " stages, but the route has " + std::to_string(stages.size()));
    return std::nullopt;
  }
  uint64_t total = 0;
  for (const uint32_t count : pieces) total += count;
  if (total > kMaxPieces) {
    common::SetLastError(common::result_code::kBadRequest,
                         "the stages have " + std::to_string(total) +
                             " pieces, more than " +
                             std::to_string(kMaxPieces));
    return std::nullopt;
  }
  stage_plan plan;
  for (size_t i = 0; i < stages.size(); ++i) {
    stage_state added;
    added.depends_on = stages[i].depends_on;
    added.pieces = pieces[i];
    added.result_bytes = stages[i].result_bytes;
    added.started = added.complete = added.pieces == 0;
    plan.stages_.push_back(std::move(added));
  }
  for (const stage_state& each : plan.stages_) {
    if (each.pieces == 0) continue;
    for (const uint32_t dependency : each.depends_on) {
      plan.stages_[dependency].has_dependents = true;
    }
  }
  return plan;
}

std::vector<uint32_t> stage_plan::Ready() const {
  std::vector<uint32_t> ready;
  for (uint32_t i = 0; i < stages_.size(); ++i) {
    const stage_state& each = stages_[i];
    if (each.started) continue;
    const bool can_begin = std::all_of(
        each.depends_on.begin(), each.depends_on.end(),
        [this](uint32_t dependency) { return stages_[dependency].complete; });
    if (!can_begin) continue;
    ready.push_back(i);
  }
  return ready;
}

void stage_plan::Complete(uint32_t stage, std::vector<std::string> handles) {
  stages_[stage].handles = std::move(handles);
  stages_[stage].complete = true;
}

bool stage_plan::complete() const {
  return std::all_of(stages_.begin(), stages_.end(),
                     [](const stage_state& each) { return each.complete; });
}

std::vector<std::string> stage_plan::InputsOf(uint32_t stage) const {
  std::vector<std::string> inputs;
  for (const uint32_t dependency : stages_[stage].depends_on) {
    const std::vector<std::string>& handles = stages_[dependency].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<uint32_t> stage_plan::FinalStages() const {
  std::vector<uint32_t> final_stages;
  for (uint32_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].has_dependents) final_stages.push_back(i);
  }
  return final_stages;
}

std::vector<std::string> stage_plan::FinalInputs() const {
  std::vector<std::string> inputs;
  for (const uint32_t stage : FinalStages()) {
    const std::vector<std::string>& handles = stages_[stage].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<uint32_t> stage_plan::TakeReleasable() {
  std::vector<uint32_t> releasable;
  for (uint32_t i = 0; i < stages_.size(); ++i) {
    stage_state& each = stages_[i];
    if (!each.complete || each.released || !each.has_dependents) continue;
    const bool needed = std::any_of(
        stages_.begin(), stages_.end(), [i](const stage_state& later) {
          return !later.complete &&
                 std::find(later.depends_on.begin(), later.depends_on.end(),
                           i) != later.depends_on.end();
        });
    if (needed) continue;
    each.released = true;
    releasable.push_back(i);
  }
  return releasable;
}

std::vector<uint32_t> stage_plan::TakeUnreleased() {
  std::vector<uint32_t> unreleased;
  for (uint32_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].released || stages_[i].handles.empty()) continue;
    stages_[i].released = true;
    unreleased.push_back(i);
  }
  return unreleased;
}

common::duration stage_plan::CriticalPathWithout(
    uint32_t stage, std::span<const common::duration> remaining) const {
  common::duration longest(0);
  std::vector<common::duration> completions(stages_.size(),
                                            common::duration(0));
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (i == stage || stages_[i].complete) continue;
    for (const uint32_t dependency : stages_[i].depends_on) {
      completions[i] = std::max(completions[i], completions[dependency]);
    }
    completions[i] += remaining[i];
    longest = std::max(longest, completions[i]);
  }
  return longest;
}

}  // namespace wisteriadale::core
