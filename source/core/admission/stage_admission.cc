#include "core/admission/stage_admission.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

common::duration Scale(common::duration value, double factor) {
  return common::duration(
      static_cast<int64_t>(static_cast<double>(value.count()) * factor));
}

}  // namespace

common::duration stage_admission::RetryAfter(common::duration until_capacity,
                                             common::duration to_deadline) {
  const common::duration max_delay =
      Scale(to_deadline, options_.max_retry_after_share);
  const common::duration min_delay =
      std::clamp(until_capacity, options_.min_retry_after,
                 std::max(options_.min_retry_after, Scale(max_delay, 0.6)));
  const common::duration jitter =
      std::max(max_delay - min_delay, common::duration(0));
  return min_delay + Scale(jitter, random_.Uniform());
}

stage_admission_decision stage_admission::Decide(
    const stage_admission_context& context) {
  const common::duration usable =
      context.to_objective - Scale(context.to_objective, options_.margin);
  if (context.path.in_time + context.time_after_stages <= usable) return {};
  const common::duration late = context.path.late + context.time_after_stages;
  if (late <= Scale(context.to_deadline, options_.max_deadline_share)) {
    return {stage_admission_outcome::kLate, common::duration(0)};
  }
  return {
      stage_admission_outcome::kRefuse,
      RetryAfter(late - Scale(context.to_deadline, options_.max_deadline_share),
                 context.to_deadline)};
}

}  // namespace wisteriadale::core
