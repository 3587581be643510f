#include "core/admission/stage_budget.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

/// Shorter timeouts would fire for a pause of the loop or the network.
constexpr common::duration kLeastTimeout = std::chrono::milliseconds(100);
/// The quantile by which slack is shared out.
constexpr double kSplitQuantile = 0.9;

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

common::duration stage_budget::ShareOf(const pipeline_plan& plan, size_t stage,
                                       common::duration remaining) const {
  const common::duration own = Quantile(plan, stage, kSplitQuantile);
  common::duration later{0};
  for (size_t i = stage + 1; i < plan.stages.size(); ++i) {
    later += Quantile(plan, i, kSplitQuantile);
  }
  if (own.count() == 0) return std::max(remaining - later, remaining / 2);
  const double share = static_cast<double>(own.count()) /
                       static_cast<double>((own + later).count());
  return common::duration(
      static_cast<int64_t>(share * static_cast<double>(remaining.count())));
}

common::duration stage_budget::AttemptTimeout(
    const pipeline_plan& plan, size_t stage, common::duration remaining) const {
  const common::duration slow =
      Quantile(plan, stage, options_.timeout_quantile);
  if (slow.count() == 0) return remaining;
  const common::duration stuck(static_cast<int64_t>(
      static_cast<double>(slow.count()) * options_.timeout_factor));
  const common::duration limit = std::max(stuck, kLeastTimeout);
  // While there is slack, a stage that slows may use its whole share.
  return std::min(remaining,
                  std::min(limit, std::max(ShareOf(plan, stage, remaining),
                                           kLeastTimeout)));
}

}  // namespace wisteriadale::core
