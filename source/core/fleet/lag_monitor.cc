#include "core/fleet/lag_monitor.h"

#include <algorithm>

namespace wisteriadale::core {

bool lag_monitor::OnTick(common::duration lag, common::time_point now) {
  // A single long pause, such as a VM that was frozen, is no lack of CPU time.
  const common::duration capped = std::min(lag, options_.slow_threshold * 2);
  smoothed_ += common::duration(static_cast<int64_t>(
      options_.weight * static_cast<double>((capped - smoothed_).count())));
  if (!slow_ && smoothed_ >= options_.slow_threshold) {
    slow_ = true;
    slow_since_ = now;
    return true;
  }
  if (slow_ && smoothed_ < options_.recovery_threshold &&
      now - slow_since_ >= options_.min_slow_time) {
    slow_ = false;
    return true;
  }
  return false;
}

}  // namespace wisteriadale::core
