#pragma once

#include <cstdint>

#include "common/clock.h"
#include "core/fleet/target_directory.h"

namespace wisteriadale::core {

struct target_ejection_options {
  /// Rest after a failure, doubled by each in a row. The first is shorter than
  /// the objectives of most routes, so that a single loss costs little.
  common::duration first_rest = std::chrono::milliseconds(400);
  uint32_t most_doublings = 4;  ///< 6.4 s: a restart takes some seconds
  /// Failures of a target's own in a row before it rests: one in seven
  /// answers of a plain service may be one, so four in a row are rare.
  uint32_t own_failures_before_rest = 4;
  /// After a refusal for load: about the time of a few requests.
  common::duration full_pause = std::chrono::milliseconds(100);
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
  void OnOwnFailure(fleet_target* target, common::time_point now) const;
  /// The target refused for load.
  void OnFull(fleet_target* target, common::time_point now) const;
  void OnSuccess(fleet_target* target) const { target->failures_in_row = 0; }

 private:
  void Rest(fleet_target* target, common::time_point now) const;

  target_ejection_options options_;
};

}  // namespace wisteriadale::core
