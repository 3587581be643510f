#pragma once

#include <optional>
#include <string_view>

#include "common/clock.h"
#include "common/result_code.h"

namespace wisteriadale::core {

/// An idempotent attempt that failed and might be repeated.
struct retry_context {
  std::string_view organisation;
  std::string_view stage;  ///< pipeline and stage
  common::result_code code = common::result_code::kOk;
  uint32_t stage_attempts = 0;   ///< of this stage, the failed one included
  uint32_t request_retries = 0;  ///< over all stages of the request
  common::duration remaining{0};
  bool deferrable = false;
};

/// Decides on repeated and on duplicate attempts of idempotent stages.
class retry_policy {
 public:
  virtual ~retry_policy() = default;
  /// @return the delay before the next attempt, or nothing to give up
  virtual std::optional<common::duration> RetryDelay(
      const retry_context& question) = 0;
  /// @param waits how often the stage has already waited
  /// @return the delay before looking for a target again
  virtual common::duration NoTargetDelay(uint32_t waits) = 0;
  /// @return when to start a second attempt beside a running one, counted from
  /// its start; nothing where hedging is off
  virtual std::optional<common::duration> HedgeDelay(
      std::string_view stage) = 0;
  /// @return whether the budget allows the hedge that is now due
  virtual bool TryAcquireHedge(const retry_context& question) = 0;
  /// A stage ended well.
  /// @param part of its request that the stage is: one over its stages
  virtual void OnSuccess(std::string_view organisation, std::string_view stage,
                         double part) = 0;
};

}  // namespace wisteriadale::core
