#include "core/admission/early_admission.h"

namespace wisteriadale::core {
namespace {

/// Minimum time between two probes of a pipeline.
constexpr common::duration kProbePeriod = std::chrono::milliseconds(100);
constexpr common::duration kOverloadRetryAfter = std::chrono::milliseconds(500);

}  // namespace

std::optional<admission_refusal> early_admission::Refusal(
    const admission_context& context) {
  if (context.plan->deferrable) return std::nullopt;
  if (rate_ > 0) {
    const common::duration wait =
        quotas_.Acquire(context.organisation, rate_ * context.weight);
    if (wait > common::duration::zero()) {
      return admission_refusal{common::result_code::kQuotaExceeded,
                               "the organisation's quota is exhausted", wait};
    }
  }
  // A repeated operation may have a recorded result, which costs no time.
  if (context.plan->HasNonIdempotentStage()) return std::nullopt;
  if (deadlines_.CanFinish(*context.plan, 0, context.deadline)) {
    return std::nullopt;
  }
  if (TryAcquireProbe(context.plan->name)) return std::nullopt;
  return admission_refusal{common::result_code::kOverloaded,
                           "the stages currently take longer than the deadline",
                           kOverloadRetryAfter};
}

bool early_admission::TryAcquireProbe(const std::string& pipeline) {
  common::time_point& next = next_probe_[pipeline];
  if (clock_.Now() < next) return false;
  next = clock_.Now() + kProbePeriod;
  return true;
}

}  // namespace wisteriadale::core
