#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "common/clock.h"

namespace wisteriadale::standin {

/// Simulates the platform's weight store. It serves one load at a time at a
/// limited rate, so a load requested at time t ends at
///
///   max(t, end of the previous load) + bytes / rate
class weight_store {
 public:
  weight_store(common::clock& clock, common::timer_service& timers,
               double bytes, double bytes_per_second)
      : clock_(clock),
        timers_(timers),
        bytes_(bytes),
        bytes_per_second_(bytes_per_second) {}

  /// Queues the load of one model's weights.
  /// @param on_loaded called when the weights have arrived
  void Load(std::function<void()> on_loaded) {
    constexpr double kMicros = 1e6;
    const common::time_point start = std::max(clock_.Now(), busy_until_);
    busy_until_ = start + common::duration(static_cast<int64_t>(
                              kMicros * bytes_ / bytes_per_second_));
    timers_.Schedule(busy_until_ - clock_.Now(), std::move(on_loaded));
  }

  double bytes() const { return bytes_; }

 private:
  common::clock& clock_;
  common::timer_service& timers_;
  double bytes_;
  double bytes_per_second_;
  common::time_point busy_until_{};
};

}  // namespace wisteriadale::standin
