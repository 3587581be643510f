#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/admission/adaptive_limit.h"
#include "core/admission/attempt_queue.h"
#include "core/admission/fair_queue.h"

namespace wisteriadale::core {

/// How an agent limits and queues the attempts on its target.
struct agent_policy {
  std::string limit = "adaptive";  ///< adaptive or fixed
  std::string queue = "fair";      ///< fair or fifo
  adaptive_limit_options concurrency;
  fair_queue_options bounds;
};

/// @return the concurrency limit that the policy names, or nothing with
/// LastError set
std::optional<std::unique_ptr<concurrency_limit>> MakeConcurrencyLimit(
    const agent_policy& policy);

/// @return the queue that the policy names, or nothing with LastError set
std::optional<std::unique_ptr<attempt_queue>> MakeAttemptQueue(
    const agent_policy& policy);

}  // namespace wisteriadale::core
