#include "core/retry/fixed_retry.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kWait = std::chrono::milliseconds(20);

}  // namespace

std::optional<common::duration> fixed_retry::RetryDelay(
    const retry_context& question) {
  if (question.stage_attempts >= max_attempts_) return std::nullopt;
  return common::duration::zero();
}

common::duration fixed_retry::NoTargetDelay(uint32_t) { return kWait; }

}  // namespace wisteriadale::core
