#pragma once

#include "core/admission/deadline_policy.h"
#include "core/admission/stage_latencies.h"

namespace wisteriadale::core {

struct stage_budget_options {
  double finish_quantile = 0.5;    ///< of the stages, that must fit
  double timeout_quantile = 0.99;  ///< of an attempt without progress
  double timeout_factor = 3.0;
};

/// Splits the remaining time by measured quantiles. Stages that have not been
/// measured count as instant, so nothing is refused or cut off for them. The
/// split is made anew at each stage: time that a stage left goes to the later
/// ones, and a stage that slows takes from those with slack.
class stage_budget final : public deadline_policy {
 public:
  stage_budget(const stage_budget_options& options,
               const stage_latencies& latencies)
      : options_(options), latencies_(latencies) {}

  bool CanFinish(const pipeline_plan& plan, size_t stage,
                 common::duration remaining) const override;
  common::duration AttemptTimeout(const pipeline_plan& plan, size_t stage,
                                  common::duration remaining) const override;
  /// @return the part of the remaining time that a stage may use
  common::duration ShareOf(const pipeline_plan& plan, size_t stage,
                           common::duration remaining) const;

 private:
  common::duration Quantile(const pipeline_plan& plan, size_t stage,
                            double quantile) const;

  stage_budget_options options_;
  const stage_latencies& latencies_;
};

/// @return the name under which a stage's latencies and budgets are kept
std::string StageKey(const pipeline_plan& plan, size_t stage);

}  // namespace wisteriadale::core
