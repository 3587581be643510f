#include "core/fleet/target_ejection.h"

#include <algorithm>

namespace wisteriadale::core {

void target_ejection::OnLost(fleet_target* target,
                             common::time_point now) const {
  target->consecutive_failures += 1;
  Eject(target, now);
}

void target_ejection::OnTargetFailure(fleet_target* target,
                                      common::time_point now) const {
  target->consecutive_failures += 1;
  if (target->consecutive_failures < options_.failures_before_ejection) return;
  Eject(target, now);
}

void target_ejection::OnOverloaded(fleet_target* target,
                                   common::time_point now) const {
  target->overloaded_until = now + options_.overload_pause;
}

void target_ejection::Eject(fleet_target* target,
                            common::time_point now) const {
  const uint32_t doublings =
      std::min(target->consecutive_failures - 1, options_.max_doublings);
  target->ejected_until = now + options_.base_ejection_time * (1 << doublings);
}

}  // namespace wisteriadale::core
