#include "core/retry/fixed_retry.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kNoTargetDelay = std::chrono::milliseconds(20);

}  // namespace

std::optional<common::duration> fixed_retry::RetryDelay(
    const retry_context& context) {
  if (context.stage_attempts >= max_attempts_) return std::nullopt;
  return common::duration::zero();
}

common::duration fixed_retry::NoTargetDelay(uint32_t) { return kNoTargetDelay; }

}  // namespace wisteriadale::core
