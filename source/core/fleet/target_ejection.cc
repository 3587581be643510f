#include "core/fleet/target_ejection.h"

#include <algorithm>

namespace wisteriadale::core {

void target_ejection::OnLost(fleet_target* target,
                             common::time_point now) const {
  target->failures_in_row += 1;
  Rest(target, now);
}

void target_ejection::OnOwnFailure(fleet_target* target,
                                   common::time_point now) const {
  target->failures_in_row += 1;
  if (target->failures_in_row < options_.own_failures_before_rest) return;
  Rest(target, now);
}

void target_ejection::OnFull(fleet_target* target,
                             common::time_point now) const {
  target->full_until = now + options_.full_pause;
}

void target_ejection::Rest(fleet_target* target, common::time_point now) const {
  const uint32_t doublings =
      std::min(target->failures_in_row - 1, options_.most_doublings);
  target->ejected_until = now + options_.first_rest * (1 << doublings);
}

}  // namespace wisteriadale::core
