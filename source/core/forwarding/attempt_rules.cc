#include "core/forwarding/attempt_rules.h"

namespace wisteriadale::core {

std::string_view ToString(attempt_end end) {
  constexpr std::string_view kNames[] = {"not_sent", "not_run", "failed",
                                         "lost"};
  return kNames[static_cast<size_t>(end)];
}

std::string_view ToString(next_step step) {
  constexpr std::string_view kNames[] = {"retry", "pass_on", "not_run",
                                         "unknown"};
  return kNames[static_cast<size_t>(step)];
}

next_step AfterAttempt(const attempt_question& question) {
  // An attempt that reached nobody takes none of the targets that the request
  // may be sent to, and no repeat of the budget.
  const bool free_repeat = question.end == attempt_end::kNotSent;
  const bool safe = free_repeat || question.end == attempt_end::kNotRun ||
                    question.repeatable;
  const bool allowed =
      free_repeat ||
      (question.attempts < question.max_attempts && question.budget_left);
  if (safe && allowed && question.time_left && question.targets_left) {
    return next_step::kRetry;
  }
  if (question.end == attempt_end::kFailed) return next_step::kPassOn;
  return question.may_have_run ? next_step::kUnknown : next_step::kNotRun;
}

}  // namespace wisteriadale::core
