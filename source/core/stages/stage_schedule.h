#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "common/clock.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"
#include "core/stages/stage_plan.h"

namespace wisteriadale::core {

/// When a stage should, and when it must, complete.
struct stage_time_limits {
  common::time_point objective;
  common::time_point deadline;
};

/// Time limits of a request, as far as its stages are concerned.
struct request_time_limits {
  common::time_point objective;  ///< for the response or its first event
  common::time_point start_by;   ///< the caller gives up after it
  common::duration time_after_stages{0};  ///< for what follows the stages
};

/// Splits the time of a request among its stages. The usual duration of the
/// later stages is subtracted from the objective, their minimum from the
/// deadline.
/// @param stage  index of the stage that the limits are for
/// @param limits limits of the whole request
stage_time_limits StageTimeLimits(const route_table& table,
                                  std::span<const stage_spec> stages,
                                  uint32_t stage,
                                  const stage_latency_estimator& estimator,
                                  const request_time_limits& limits);

/// Delays stages with large results and no dependents, so that the results do
/// not occupy memory of a target while the other stages are still running.
/// @param remaining time that each stage still takes, without its dependencies
/// @return how long to wait before the stage starts; zero or less: start now
common::duration StartDelay(const stage_plan& plan, uint32_t stage,
                            std::span<const common::duration> remaining);

/// Size of the results stored in one data centre.
struct data_centre_bytes {
  std::string data_centre;
  uint64_t bytes = 0;
};

/// @return the data centre that stores most bytes, and how many
data_centre_bytes LargestDataCentre(std::span<const data_centre_bytes> inputs);

}  // namespace wisteriadale::core
