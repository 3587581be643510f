#pragma once

#include <cstdint>

#include "common/clock.h"
#include "core/fleet/target_directory.h"

namespace wisteriadale::core {

struct target_ejection_options {
  /// Rest after a failure, doubled by each in a row. The first is shorter than
  /// the objectives of most routes, so that a single loss costs little.
  common::duration base_ejection_time = std::chrono::milliseconds(400);
  uint32_t max_doublings = 4;  ///< 6.4 s: a restart takes some seconds
  /// Failures of a target's own in a row before it rests: one in seven
  /// answers of a plain service may be one, so four in a row are rare.
  uint32_t failures_before_ejection = 4;
  /// After a refusal for load: about the time of a few requests.
  common::duration overload_pause = std::chrono::milliseconds(100);
};

/// Decides how long a target is left alone after calls that failed. Load it
/// answers: targets that crash, fall silent, fail part of their requests or are
/// full.
class target_ejection {
 public:
  explicit target_ejection(const target_ejection_options& options)
      : options_(options) {}

  /// A call has no whole answer.
  void OnLost(fleet_target* target, common::time_point now) const;
  /// The target answered with a failure of its own.
  void OnTargetFailure(fleet_target* target, common::time_point now) const;
  /// The target refused for load.
  void OnOverloaded(fleet_target* target, common::time_point now) const;
  void OnSuccess(fleet_target* target) const {
    target->consecutive_failures = 0;
  }

 private:
  void Rest(fleet_target* target, common::time_point now) const;

  target_ejection_options options_;
};

}  // namespace wisteriadale::core
