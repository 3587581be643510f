#pragma once

#include <cstdint>

#include "common/clock.h"
#include "core/fleet/target_directory.h"

namespace wisteriadale::core {

struct target_ejection_options {
  /// Ejection time after a failure, doubled by each consecutive one. The first
  /// is shorter than the objectives of most routes, so that one lost call costs
  /// little.
  common::duration base_ejection_time = std::chrono::milliseconds(400);
  uint32_t max_doublings = 4;  ///< up to 6.4 s: a restart takes some seconds
  /// Consecutive failure responses before a target is ejected. Up to one in
  /// seven responses of a plain service may be a failure, so four in a row are
  /// rare.
  uint32_t failures_before_ejection = 4;
  /// How long a target is avoided after it rejected a call because of load:
  /// about the duration of a few requests.
  common::duration overload_pause = std::chrono::milliseconds(100);
};

/// Decides how long a target is avoided after failed calls, with exponential
/// back-off. Covers targets that crash, stop responding, fail part of their
/// requests or are overloaded.
class target_ejection {
 public:
  explicit target_ejection(const target_ejection_options& options)
      : options_(options) {}

  /// Handles a call without a complete response.
  void OnLost(fleet_target* target, common::time_point now) const;
  /// Handles a failure that the target itself responded with.
  void OnTargetFailure(fleet_target* target, common::time_point now) const;
  /// Handles a call that the target rejected because of load.
  void OnOverloaded(fleet_target* target, common::time_point now) const;
  void OnSuccess(fleet_target* target) const {
    target->consecutive_failures = 0;
  }

 private:
  void Eject(fleet_target* target, common::time_point now) const;

  target_ejection_options options_;
};

}  // namespace wisteriadale::core
