#include "core/admission/early_admission.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kProbePeriod = std::chrono::milliseconds(100);
constexpr common::duration kOverloadRetry = std::chrono::milliseconds(500);

}  // namespace

std::optional<admission_refusal> early_admission::Refusal(
    const admission_context& question) {
  if (question.plan->deferrable) return std::nullopt;
  if (rate_ > 0) {
    const common::duration wait =
        quotas_.Acquire(question.organisation, rate_ * question.weight);
    if (wait > common::duration::zero()) {
      return admission_refusal{common::result_code::kQuotaExceeded,
                               "the organisation's quota is used up", wait};
    }
  }
  // An operation may be a repeat whose result is already recorded.
  if (question.plan->HasNonIdempotentStage()) return std::nullopt;
  if (deadlines_.CanFinish(*question.plan, 0, question.deadline)) {
    return std::nullopt;
  }
  if (TakeProbe(question.plan->name)) return std::nullopt;
  return admission_refusal{common::result_code::kOverloaded,
                           "the stages now take longer than the deadline",
                           kOverloadRetry};
}

bool early_admission::TakeProbe(const std::string& pipeline) {
  common::time_point& next = next_probe_[pipeline];
  if (clock_.Now() < next) return false;
  next = clock_.Now() + kProbePeriod;
  return true;
}

}  // namespace wisteriadale::core
