#pragma once

#include <cstdint>
#include <string_view>

#include "common/clock.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// How one attempt at a target ended, before any byte of it was passed on.
enum class attempt_outcome {
  kNotSent,  ///< no connection: the target cannot have seen the request
  kNotRun,   ///< the target says that it did not run the request
  kFailed,   ///< the target's own failure, as a whole answer
  kLost,     ///< no whole answer: the request may have run
};

/// What to do next with a request.
enum class next_step {
  kRetry,           ///< send it to another target
  kForwardFailure,  ///< the target's failure is the answer
  kNotRun,          ///< tell the caller that it has not run and will not
  kUnknown,         ///< tell the caller that it may have run
};

/// @return the name in logs and metrics
std::string_view ToString(attempt_outcome end);
std::string_view ToString(next_step step);

struct attempt_context {
  attempt_outcome end = attempt_outcome::kLost;
  bool retryable = false;     ///< the request may run more than once
  bool may_have_run = false;  ///< by this attempt or an earlier one
  uint32_t attempts = 0;      ///< targets that the request was sent to
  uint32_t max_attempts = 1;
  bool time_left = true;     ///< enough for another attempt
  bool budget_left = true;   ///< of the repeats of the service
  bool targets_left = true;  ///< another target can be asked
};

/// Decides what follows an attempt. Load it answers: targets that refuse, die
/// or cut answers while callers count on at most one run.
next_step DecideNextStep(const attempt_context& question);

}  // namespace wisteriadale::core
