#include "core/admission/stage_admission.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

common::duration Share(common::duration of, double share) {
  return common::duration(
      static_cast<int64_t>(static_cast<double>(of.count()) * share));
}

}  // namespace

common::duration stage_admission::RetryAfter(common::duration until,
                                             common::duration to_deadline) {
  const common::duration most = Share(to_deadline, options_.most_return_share);
  const common::duration begin =
      std::clamp(until, options_.least_return,
                 std::max(options_.least_return, Share(most, 0.6)));
  const common::duration spread = std::max(most - begin, common::duration(0));
  return begin + Share(spread, random_.Uniform());
}

stage_admission_decision stage_admission::Decide(
    const stage_admission_context& question) {
  const common::duration usable =
      question.to_objective - Share(question.to_objective, options_.margin);
  if (question.path.in_time + question.time_after_stages <= usable) return {};
  const common::duration late = question.path.late + question.time_after_stages;
  if (late <= Share(question.to_deadline, options_.latest_share)) {
    return {stage_admission_outcome::kLate, common::duration(0)};
  }
  return {stage_admission_outcome::kRefuse,
          RetryAfter(late - Share(question.to_deadline, options_.latest_share),
                     question.to_deadline)};
}

}  // namespace wisteriadale::core
