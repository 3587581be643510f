#pragma once

#include <cstddef>
#include <string>

#include "common/clock.h"
#include "core/fleet/target_directory.h"
#include "core/limits/target_limits.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// Limits the requests to targets that are cold: after its start, or whenever
/// it says so, a target bears only some requests per second for a while. That
/// rate holds for all gateways together, as any limit of a target does.
///
/// Each gateway knows the cold targets from their entries. None has to tell
/// another, and all know again after they were restarted together.
class cold_targets {
 public:
  cold_targets(target_directory& targets, const route_holder& routes,
               target_limits& limits, common::clock& clock,
               common::timer_service& timers);
  ~cold_targets();
  cold_targets(const cold_targets&) = delete;
  cold_targets& operator=(const cold_targets&) = delete;

  /// Applies the rates of new routes to all targets.
  void OnRoutesChanged();

 private:
  /// Limits a target that is cold, or ends its limit.
  void Update(const fleet_target& target);
  /// Ends the limits of the targets that are warm by now.
  void EndPast();

  target_directory& targets_;
  const route_holder& routes_;
  target_limits& limits_;
  common::clock& clock_;
  common::timer_service& timers_;
  common::timer_id timer_ = 0;
};

}  // namespace wisteriadale::core
