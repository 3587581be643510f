#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "common/clock.h"
#include "core/routes/route_table.h"
#include "core/stages/path_estimate.h"
#include "core/stages/stage_plan.h"

namespace wisteriadale::core {

/// Until when a stage should be, and must be, made.
struct stage_times {
  common::time_point objective;
  common::time_point deadline;
};

/// What a request allows its stages.
struct request_times {
  common::time_point objective;  ///< of the answer, or its first event
  common::time_point begin_by;   ///< the caller leaves after it
  common::duration rest{0};      ///< what follows the stages
};

/// @return time that an engine needs for a prompt before its first event
common::duration EngineTime(uint32_t prompt_tokens);

/// Splits a request's time: what the stages after this one usually take goes
/// off the objective, and the least that they can take off the deadline.
stage_times TimesOf(const route_table& table,
                    std::span<const stage_spec> stages, uint32_t stage,
                    const path_estimate& estimate, const request_times& all);

/// Large results that no stage takes are made last, so that they do not hold
/// room while other stages are made.
/// @param left time that each stage still takes by itself
/// @return how long the stage should wait; zero or less: it begins now
common::duration BeginDelay(const stage_plan& plan, uint32_t stage,
                            std::span<const common::duration> left);

/// Results in one data centre.
struct placed_bytes {
  std::string data_centre;
  uint64_t bytes = 0;
};

/// @return the data centre with most bytes, and how many of them it has
placed_bytes BestPlace(std::span<const placed_bytes> inputs);

}  // namespace wisteriadale::core
