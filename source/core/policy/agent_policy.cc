#include "core/policy/agent_policy.h"

#include "common/last_error.h"

namespace wisteriadale::core {

std::optional<std::unique_ptr<concurrency_limit>> MakeConcurrencyLimit(
    const agent_policy& policy) {
  if (policy.limit == "adaptive") {
    return std::make_unique<adaptive_limit>(policy.concurrency);
  }
  if (policy.limit == "fixed") {
    return std::make_unique<fixed_limit>(policy.concurrency.maximum);
  }
  common::SetLastError(common::result_code::kBadSettings,
                       "unknown concurrency policy " + policy.limit);
  return std::nullopt;
}

std::optional<std::unique_ptr<attempt_queue>> MakeAttemptQueue(
    const agent_policy& policy) {
  if (policy.queue == "fair") {
    return std::make_unique<fair_queue>(policy.bounds);
  }
  if (policy.queue == "fifo") {
    return std::make_unique<fifo_queue>(policy.bounds.bound);
  }
  common::SetLastError(common::result_code::kBadSettings,
                       "unknown queue policy " + policy.queue);
  return std::nullopt;
}

}  // namespace wisteriadale::core
