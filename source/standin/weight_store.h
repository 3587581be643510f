#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "common/clock.h"

namespace wisteriadale::standin {

/// The platform's weight store. It sends one model after another at a limited
/// rate, so a load that comes at time t ends at
///
///   max(t, end of the load before it) + bytes / rate
class weight_store {
 public:
  weight_store(common::clock& clock, common::timer_service& timers,
               double bytes, double bytes_per_second)
      : clock_(clock),
        timers_(timers),
        bytes_(bytes),
        bytes_per_second_(bytes_per_second) {}

  /// @param on_loaded called when the weights of a model have arrived
  void Load(std::function<void()> on_loaded) {
    constexpr double kMicros = 1e6;
    const common::time_point start = std::max(clock_.Now(), free_at_);
    free_at_ = start + common::duration(static_cast<int64_t>(
                           kMicros * bytes_ / bytes_per_second_));
    timers_.Schedule(free_at_ - clock_.Now(), std::move(on_loaded));
  }

  double bytes() const { return bytes_; }

 private:
  common::clock& clock_;
  common::timer_service& timers_;
  double bytes_;
  double bytes_per_second_;
  common::time_point free_at_{};
};

}  // namespace wisteriadale::standin
