#pragma once

#include <optional>
#include <string_view>

#include "common/clock.h"
#include "common/result_code.h"

namespace wisteriadale::core {

/// A failed idempotent attempt, or one that may be hedged.
struct retry_context {
  std::string_view organisation;
  std::string_view stage;  ///< key of the stage, see StageKey
  /// Result of the failed attempt.
  common::result_code code = common::result_code::kOk;
  uint32_t stage_attempts = 0;    ///< of this stage, including the failed one
  uint32_t request_retries = 0;   ///< retries of all stages of the request
  common::duration remaining{0};  ///< time until the deadline
  bool deferrable = false;
};

/// Decides on retries and hedges of idempotent stages.
class retry_policy {
 public:
  virtual ~retry_policy() = default;
  /// @return the delay before the next attempt, or nothing to give up
  virtual std::optional<common::duration> RetryDelay(
      const retry_context& context) = 0;
  /// @param waits number of times that the stage has already waited
  /// @return the delay before the next try when no target is available
  virtual common::duration NoTargetDelay(uint32_t waits) = 0;
  /// @return the delay, from the start of an attempt, after which a hedge is
  /// sent; nothing if hedging is off
  virtual std::optional<common::duration> HedgeDelay(
      std::string_view stage) = 0;
  /// Takes a token for a hedge from the retry budget.
  /// @return whether the hedge may be sent
  virtual bool TryAcquireHedge(const retry_context& context) = 0;
  /// Records that a stage succeeded.
  /// @param stage_share 1 / number of stages of the request
  virtual void OnSuccess(std::string_view organisation, std::string_view stage,
                         double stage_share) = 0;
};

}  // namespace wisteriadale::core
