#include "core/stages/stage_plan.h"

#include <algorithm>

#include "common/last_reason.h"

namespace wisteriadale::core {

std::optional<stage_plan> stage_plan::Create(std::span<const stage_spec> stages,
                                             std::span<const uint32_t> pieces) {
  if (stages.size() != pieces.size()) {
    common::SetLastReason(
        common::result_code::kBadRequest,
        "pieces are given for " + std::to_string(pieces.size()) +
            " stages, the route has " + std::to_string(stages.size()));
    return std::nullopt;
  }
  stage_plan plan;
  for (size_t i = 0; i < stages.size(); ++i) {
    entry made;
    made.depends_on = stages[i].depends_on;
    made.pieces = pieces[i];
    made.result_bytes = stages[i].result_bytes;
    made.started = made.complete = made.pieces == 0;
    plan.entries_.push_back(std::move(made));
  }
  for (const entry& each : plan.entries_) {
    if (each.pieces == 0) continue;
    for (const uint32_t before : each.depends_on) {
      plan.entries_[before].has_dependents = true;
    }
  }
  return plan;
}

std::vector<uint32_t> stage_plan::Ready() const {
  std::vector<uint32_t> ready;
  for (uint32_t i = 0; i < entries_.size(); ++i) {
    const entry& each = entries_[i];
    if (each.started) continue;
    const bool can_begin = std::all_of(
        each.depends_on.begin(), each.depends_on.end(),
        [this](uint32_t before) { return entries_[before].complete; });
    if (!can_begin) continue;
    ready.push_back(i);
  }
  return ready;
}

void stage_plan::Complete(uint32_t stage, std::vector<std::string> handles) {
  entries_[stage].handles = std::move(handles);
  entries_[stage].complete = true;
}

bool stage_plan::complete() const {
  return std::all_of(entries_.begin(), entries_.end(),
                     [](const entry& each) { return each.complete; });
}

std::vector<std::string> stage_plan::InputsOf(uint32_t stage) const {
  std::vector<std::string> inputs;
  for (const uint32_t before : entries_[stage].depends_on) {
    const std::vector<std::string>& handles = entries_[before].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<uint32_t> stage_plan::FinalStages() const {
  std::vector<uint32_t> final_stages;
  for (uint32_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].has_dependents) final_stages.push_back(i);
  }
  return final_stages;
}

std::vector<std::string> stage_plan::FinalInputs() const {
  std::vector<std::string> inputs;
  for (const uint32_t stage : FinalStages()) {
    const std::vector<std::string>& handles = entries_[stage].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<uint32_t> stage_plan::TakeReleasable() {
  std::vector<uint32_t> spent;
  for (uint32_t i = 0; i < entries_.size(); ++i) {
    entry& each = entries_[i];
    if (!each.complete || each.spent || !each.has_dependents) continue;
    const bool needed =
        std::any_of(entries_.begin(), entries_.end(), [i](const entry& later) {
          return !later.complete &&
                 std::find(later.depends_on.begin(), later.depends_on.end(),
                           i) != later.depends_on.end();
        });
    if (needed) continue;
    each.spent = true;
    spent.push_back(i);
  }
  return spent;
}

std::vector<uint32_t> stage_plan::TakeUnreleased() {
  std::vector<uint32_t> held;
  for (uint32_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].spent || entries_[i].handles.empty()) continue;
    entries_[i].spent = true;
    held.push_back(i);
  }
  return held;
}

common::duration stage_plan::CriticalPathWithout(
    uint32_t stage, std::span<const common::duration> left) const {
  common::duration longest(0);
  std::vector<common::duration> ends(entries_.size(), common::duration(0));
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (i == stage || entries_[i].complete) continue;
    for (const uint32_t before : entries_[i].depends_on) {
      ends[i] = std::max(ends[i], ends[before]);
    }
    ends[i] += left[i];
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace wisteriadale::core
