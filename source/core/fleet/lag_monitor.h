#pragma once

#include "common/clock.h"

namespace wisteriadale::core {

struct lag_monitor_options {
  /// Weight of the newest tick: ticks come each 100 ms, so that three to five
  /// of them tell.
  double weight = 0.25;
  /// Smoothed lag from which on the process is short of processor: two fifths
  /// of the least call of a stage of the users (150 ms).
  common::duration slow_threshold = std::chrono::milliseconds(60);
  /// A quarter of it: lags of slow VMs fell below within a second of recovery.
  common::duration recovery_threshold = std::chrono::milliseconds(15);
  /// A process that was slow stays so for this long: its lag ends when its
  /// queues have moved away, though the cause may last for some seconds.
  common::duration min_slow_time = std::chrono::seconds(4);
};

/// Tells from the lag of a periodic timer whether this process gets too little
/// processor. Load it answers: a VM that turns slow while it owns the queues
/// that all gateways wait for.
class lag_monitor {
 public:
  explicit lag_monitor(const lag_monitor_options& options)
      : options_(options) {}

  /// A periodic timer fired.
  /// @param lag how much later than it should have
  /// @return whether slow() changed
  bool OnTick(common::duration lag, common::time_point now);
  bool slow() const { return slow_; }
  common::duration lag() const { return smoothed_; }

 private:
  lag_monitor_options options_;
  common::duration smoothed_{0};
  bool slow_ = false;
  common::time_point slow_since_{};
};

}  // namespace wisteriadale::core
