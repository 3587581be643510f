#pragma once

#include "common/clock.h"

namespace wisteriadale::core {

struct lag_monitor_options {
  /// Weight of the newest tick in the smoothed lag: with a tick every 100 ms,
  /// three to five of them decide.
  double weight = 0.25;
  /// Smoothed lag from which the process counts as slow: two fifths of the
  /// shortest stage call of the users (150 ms).
  common::duration slow_threshold = std::chrono::milliseconds(60);
  /// Smoothed lag below which it has recovered: a quarter of the threshold. The
  /// lag of slow VMs fell below it within a second of their recovery.
  common::duration recovery_threshold = std::chrono::milliseconds(15);
  /// Shortest time in the slow state, against flapping: the lag ends as soon as
  /// the queues have moved away, though its cause may last for some seconds.
  common::duration min_slow_time = std::chrono::seconds(4);
};

/// Detects from the lag of a periodic timer that this process gets too little
/// CPU time, so that a slow VM can hand over the queues that all gateways wait
/// for.
class lag_monitor {
 public:
  explicit lag_monitor(const lag_monitor_options& options)
      : options_(options) {}

  /// Records a tick of the periodic timer.
  /// @param lag how late the tick was
  /// @return whether slow() changed
  bool OnTick(common::duration lag, common::time_point now);
  bool slow() const { return slow_; }
  /// @return smoothed lag
  common::duration lag() const { return smoothed_; }

 private:
  lag_monitor_options options_;
  common::duration smoothed_{0};
  bool slow_ = false;
  common::time_point slow_since_{};
};

}  // namespace wisteriadale::core
