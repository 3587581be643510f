#include "core/stages/stage_schedule.h"

#include <map>

namespace wisteriadale::core {
namespace {

// Results of at least this many bytes are worth a delay: targets have memory
// for 54 to 87 MB of results.
constexpr uint64_t kLargeResultBytes = 500000;
// A delayed stage starts this much earlier than estimated: about the queueing
// time measured under light load.
constexpr common::duration kDelayMargin = std::chrono::milliseconds(40);

}  // namespace

stage_time_limits StageTimeLimits(const route_table& table,
                                  std::span<const stage_spec> stages,
                                  uint32_t stage,
                                  const stage_latency_estimator& estimator,
                                  const request_time_limits& limits) {
  common::duration minimum(0);
  common::duration usual(0);
  for (size_t later = stage + 1; later < stages.size(); ++later) {
    const service_spec* spec = table.FindService(stages[later].service);
    if (spec == nullptr || !spec->batches || stages[later].depends_on.empty()) {
      continue;
    }
    minimum += spec->batches->call_time + spec->batches->piece_time;
    usual += estimator.EstimateCallTime(table, stages[later].service);
  }
  return {limits.objective - usual - limits.time_after_stages,
          limits.start_by - minimum - limits.time_after_stages};
}

common::duration StartDelay(const stage_plan& plan, uint32_t stage,
                            std::span<const common::duration> remaining) {
  const uint64_t bytes = plan.result_bytes(stage) * plan.pieces(stage);
  if (plan.has_dependents(stage) || bytes < kLargeResultBytes) {
    return common::duration(0);
  }
  return plan.CriticalPathWithout(stage, remaining) - remaining[stage] -
         kDelayMargin;
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
