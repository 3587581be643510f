#include "core/forwarding/attempt_rules.h"

namespace wisteriadale::core {

std::string_view ToString(attempt_outcome end) {
  constexpr std::string_view kNames[] = {"not_sent", "not_run", "failed",
                                         "lost"};
  return kNames[static_cast<size_t>(end)];
}

std::string_view ToString(next_step step) {
  constexpr std::string_view kNames[] = {"retry", "pass_on", "not_run",
                                         "unknown"};
  return kNames[static_cast<size_t>(step)];
}

next_step DecideNextStep(const attempt_context& question) {
  // An attempt that reached nobody takes none of the targets that the request
  // may be sent to, and no repeat of the budget.
  const bool free_repeat = question.end == attempt_outcome::kNotSent;
  const bool safe = free_repeat || question.end == attempt_outcome::kNotRun ||
                    question.retryable;
  const bool allowed =
      free_repeat ||
      (question.attempts < question.max_attempts && question.budget_left);
  if (safe && allowed && question.time_left && question.targets_left) {
    return next_step::kRetry;
  }
  if (question.end == attempt_outcome::kFailed)
    return next_step::kForwardFailure;
  return question.may_have_run ? next_step::kUnknown : next_step::kNotRun;
}

}  // namespace wisteriadale::core
