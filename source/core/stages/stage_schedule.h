#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "common/clock.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"
#include "core/stages/stage_plan.h"

namespace wisteriadale::core {

/// Until when a stage should be, and must be, made.
struct stage_time_limits {
  common::time_point objective;
  common::time_point deadline;
};

/// What a request allows its stages.
struct request_time_limits {
  common::time_point objective;           ///< of the answer, or its first event
  common::time_point start_by;            ///< the caller leaves after it
  common::duration time_after_stages{0};  ///< what follows the stages
};

/// @return time that an engine needs for a prompt before its first event
common::duration EstimateTimeToFirstEvent(uint32_t prompt_tokens);

/// Splits a request's time: what the stages after this one usually take goes
/// off the objective, and the least that they can take off the deadline.
stage_time_limits StageTimeLimits(const route_table& table,
                                  std::span<const stage_spec> stages,
                                  uint32_t stage,
                                  const stage_latency_estimator& estimate,
                                  const request_time_limits& all);

/// Large results that no stage takes are made last, so that they do not hold
/// room while other stages are made.
/// @param left time that each stage still takes by itself
/// @return how long the stage should wait; zero or less: it begins now
common::duration StartDelay(const stage_plan& plan, uint32_t stage,
                            std::span<const common::duration> left);

/// Results in one data centre.
struct data_centre_bytes {
  std::string data_centre;
  uint64_t bytes = 0;
};

/// @return the data centre with most bytes, and how many of them it has
data_centre_bytes LargestDataCentre(std::span<const data_centre_bytes> inputs);

}  // namespace wisteriadale::core
