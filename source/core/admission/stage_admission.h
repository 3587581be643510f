#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

enum class stage_admission_outcome {
  kInTime,  ///< admitted; expected to meet its objective
  kLate,    ///< admitted at low priority, behind the requests that are in time
  kRefuse,  ///< refused; not expected to finish before its deadline
};

struct stage_admission_options {
  /// Share of the objective that is reserved for estimation errors.
  double margin = 0.08;
  /// A late request is refused if its expected latency exceeds this share of
  /// the time until its deadline: one in eight estimates is off by more than
  /// the rest of that time.
  double max_deadline_share = 0.8;
  /// Lower bound of the Retry-After delay of a refused request.
  common::duration min_retry_after = std::chrono::milliseconds(250);
  /// Upper bound of that delay, as a share of the time until the deadline.
  /// Callers that are asked to wait longer do not keep to it.
  double max_retry_after_share = 0.32;
};

/// A request with stages, as input for the admission decision.
struct stage_admission_context {
  latency_estimate path;                  ///< expected latency of the stages
  common::duration time_after_stages{0};  ///< expected time after the stages
  common::duration to_objective{0};       ///< time until the objective
  common::duration to_deadline{0};        ///< time until the deadline
};

struct stage_admission_decision {
  stage_admission_outcome verdict = stage_admission_outcome::kInTime;
  common::duration retry_after{0};  ///< delay for a refused caller
};

/// Decides on arrival whether a request with stages is admitted. Bursts can
/// exceed the throughput of a stage; serving such a burst in arrival order
/// would make every request late.
class stage_admission {
 public:
  stage_admission(const stage_admission_options& options,
                  common::random_source& random)
      : options_(options), random_(random) {}

  stage_admission_decision Decide(const stage_admission_context& context);
  /// Computes a Retry-After delay with jitter, so that refused callers do not
  /// return all at once.
  /// @param until_capacity expected time until there is capacity
  /// @param to_deadline    time until the caller's deadline
  /// @return delay after which the refused caller should retry
  common::duration RetryAfter(common::duration until_capacity,
                              common::duration to_deadline);

 private:
  stage_admission_options options_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
