#include "core/forwarding/attempt_rules.h"

namespace wisteriadale::core {

std::string_view ToString(attempt_outcome outcome) {
  constexpr std::string_view kNames[] = {"not_sent",  "not_run",     "failed",
                                         "lost",      "unconfirmed", "answered",
                                         "timed_out", "cancelled"};
  return kNames[static_cast<size_t>(outcome)];
}

std::string_view ToString(next_step step) {
  constexpr std::string_view kNames[] = {"retry", "pass_on", "not_run",
                                         "unknown"};
  return kNames[static_cast<size_t>(step)];
}

next_step DecideNextStep(const attempt_context& state) {
  // An attempt that was never sent counts neither as one of the request's
  // attempts nor against the retry budget.
  const bool unsent = state.end == attempt_outcome::kNotSent;
  const bool safe =
      unsent || state.end == attempt_outcome::kNotRun || state.retryable;
  const bool allowed =
      unsent || (state.attempts < state.max_attempts && state.budget_left);
  if (safe && allowed && state.time_left && state.targets_left) {
    return next_step::kRetry;
  }
  if (state.end == attempt_outcome::kFailed && !state.unstated_promise) {
    return next_step::kForwardFailure;
  }
  return state.may_have_run ? next_step::kUnknown : next_step::kNotRun;
}

}  // namespace wisteriadale::core
