#pragma once

#include "core/admission/deadline_policy.h"
#include "core/admission/stage_latencies.h"

namespace wisteriadale::core {

struct stage_budget_options {
  /// Latency quantile of the stages that must fit into the remaining time.
  double finish_quantile = 0.5;
  /// Latency quantile that, multiplied by `timeout_factor`, is the timeout of
  /// an attempt without progress.
  double timeout_quantile = 0.99;
  double timeout_factor = 3.0;
};

/// Divides the remaining time in proportion to measured latency quantiles.
/// Stages without measurements count as instant, so no request is refused and
/// no attempt times out because of them. The division is recomputed at each
/// stage: time that a stage did not use is available to the later ones, and a
/// stage that becomes slower gets a larger share.
class stage_budget final : public deadline_policy {
 public:
  stage_budget(const stage_budget_options& options,
               const stage_latencies& latencies)
      : options_(options), latencies_(latencies) {}

  bool CanFinish(const pipeline_plan& plan, size_t stage,
                 common::duration remaining) const override;
  common::duration AttemptTimeout(const pipeline_plan& plan, size_t stage,
                                  common::duration remaining) const override;
  /// @return the share of the remaining time that a stage may use
  common::duration StageShare(const pipeline_plan& plan, size_t stage,
                              common::duration remaining) const;

 private:
  common::duration Quantile(const pipeline_plan& plan, size_t stage,
                            double quantile) const;

  stage_budget_options options_;
  const stage_latencies& latencies_;
};

/// @return key of a stage's latencies and retry budgets: "pipeline/stage"
std::string StageKey(const pipeline_plan& plan, size_t stage);

}  // namespace wisteriadale::core
