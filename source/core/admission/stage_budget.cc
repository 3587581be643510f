#include "core/admission/stage_budget.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

/// Shorter timeouts would fire on a pause of the event loop or the network.
constexpr common::duration kMinTimeout = std::chrono::milliseconds(100);
/// Latency quantile that determines the stages' shares of the remaining time.
constexpr double kShareQuantile = 0.9;

}  // namespace

std::string StageKey(const pipeline_plan& plan, size_t stage) {
  return plan.name + "/" + plan.stages[stage].name;
}

common::duration stage_budget::Quantile(const pipeline_plan& plan, size_t stage,
                                        double quantile) const {
  return latencies_.Quantile(StageKey(plan, stage), quantile);
}

bool stage_budget::CanFinish(const pipeline_plan& plan, size_t stage,
                             common::duration remaining) const {
  common::duration needed{0};
  for (size_t i = stage; i < plan.stages.size(); ++i) {
    needed += Quantile(plan, i, options_.finish_quantile);
  }
  return needed <= remaining;
}

common::duration stage_budget::StageShare(const pipeline_plan& plan,
                                          size_t stage,
                                          common::duration remaining) const {
  const common::duration own = Quantile(plan, stage, kShareQuantile);
  common::duration later{0};
  for (size_t i = stage + 1; i < plan.stages.size(); ++i) {
    later += Quantile(plan, i, kShareQuantile);
  }
  if (own.count() == 0) return std::max(remaining - later, remaining / 2);
  const double share = static_cast<double>(own.count()) /
                       static_cast<double>((own + later).count());
  return common::duration(
      static_cast<int64_t>(share * static_cast<double>(remaining.count())));
}

common::duration stage_budget::AttemptTimeout(
    const pipeline_plan& plan, size_t stage, common::duration remaining) const {
  const common::duration high_latency =
      Quantile(plan, stage, options_.timeout_quantile);
  if (high_latency.count() == 0) return remaining;
  const common::duration scaled(static_cast<int64_t>(
      static_cast<double>(high_latency.count()) * options_.timeout_factor));
  const common::duration timeout = std::max(scaled, kMinTimeout);
  // The timeout never exceeds the stage's share, which includes its part of the
  // slack.
  return std::min(remaining,
                  std::min(timeout, std::max(StageShare(plan, stage, remaining),
                                             kMinTimeout)));
}

}  // namespace wisteriadale::core
