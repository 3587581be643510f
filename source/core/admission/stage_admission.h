#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

enum class stage_admission_outcome {
  kInTime,  ///< it can meet its objective
  kLate,    ///< it goes behind those that can
  kRefuse,  ///< it cannot be answered before its deadline
};

struct stage_admission_options {
  /// Share of the objective that is kept for what the estimate does not see.
  double margin = 0.08;
  /// A request that would end this close to its deadline is refused: one in
  /// eight of the estimates is off by more.
  double latest_share = 0.8;
  /// Bounds of the time after which a refused caller should come back.
  common::duration least_return = std::chrono::milliseconds(250);
  /// Share of the time left up to which callers wait as they are told.
  double most_return_share = 0.32;
};

struct stage_admission_context {
  latency_estimate path;                  ///< of the stages
  common::duration time_after_stages{0};  ///< what follows them
  common::duration to_objective{0};
  common::duration to_deadline{0};
};

struct stage_admission_decision {
  stage_admission_outcome verdict = stage_admission_outcome::kInTime;
  common::duration retry_after{0};  ///< for a refused caller
};

/// Decides at its arrival whether a request with stages can be served. Load it
/// answers: bursts beyond what a stage makes, where serving all in their order
/// makes every request late.
class stage_admission {
 public:
  stage_admission(const stage_admission_options& options,
                  common::random_source& random)
      : options_(options), random_(random) {}

  stage_admission_decision Decide(const stage_admission_context& question);
  /// @param until time until there is room; callers are spread behind it
  /// @return when a refused caller should come back
  common::duration RetryAfter(common::duration until,
                              common::duration to_deadline);

 private:
  stage_admission_options options_;
  common::random_source& random_;
};

}  // namespace wisteriadale::core
