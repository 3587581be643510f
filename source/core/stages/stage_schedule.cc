#include "core/stages/stage_schedule.h"

#include <map>

namespace wisteriadale::core {
namespace {

// Ten steps of the users' engines (6.08 ms), and their 110 prompt tokens a ms.
constexpr common::duration kEngineTime = std::chrono::milliseconds(60);
constexpr common::duration kPromptTokenTime{9};
// Results from this size on are worth a wait: room at a target is 54 to 87 MB.
constexpr uint64_t kLargeResults = 500000;
// A delayed stage begins this much before the estimate says: about the wait in
// a queue that was measured on a calm day.
constexpr common::duration kDelayMargin = std::chrono::milliseconds(40);

}  // namespace

common::duration EstimateTimeToFirstEvent(uint32_t prompt_tokens) {
  return kEngineTime + kPromptTokenTime * prompt_tokens;
}

stage_time_limits StageTimeLimits(const route_table& table,
                                  std::span<const stage_spec> stages,
                                  uint32_t stage,
                                  const stage_latency_estimator& estimate,
                                  const request_time_limits& all) {
  common::duration least(0);
  common::duration usual(0);
  for (size_t later = stage + 1; later < stages.size(); ++later) {
    const service_spec* spec = table.FindService(stages[later].service);
    if (spec == nullptr || !spec->batches || stages[later].depends_on.empty()) {
      continue;
    }
    least += spec->batches->call_time + spec->batches->piece_time;
    usual += estimate.EstimateCallTime(table, stages[later].service);
  }
  return {all.objective - usual - all.time_after_stages,
          all.start_by - least - all.time_after_stages};
}

common::duration StartDelay(const stage_plan& plan, uint32_t stage,
                            std::span<const common::duration> left) {
  const uint64_t bytes = plan.result_bytes(stage) * plan.pieces(stage);
  if (plan.has_dependents(stage) || bytes < kLargeResults) {
    return common::duration(0);
  }
  return plan.CriticalPathWithout(stage, left) - left[stage] - kDelayMargin;
}

data_centre_bytes LargestDataCentre(std::span<const data_centre_bytes> inputs) {
  std::map<std::string, uint64_t> sums;
  data_centre_bytes best;
  for (const data_centre_bytes& each : inputs) {
    uint64_t& sum = sums[each.data_centre];
    sum += each.bytes;
    if (sum > best.bytes) best = {each.data_centre, sum};
  }
  return best;
}

}  // namespace wisteriadale::core
