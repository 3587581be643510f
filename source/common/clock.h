#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

/// Time, identifiers, result codes, logging, metrics and tracing.
namespace wisteriadale::common {

using duration = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;

/// @return that many seconds, truncated to whole microseconds
inline duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

/// @return whole milliseconds, rounded towards zero, for texts and logs
inline int64_t ToMillis(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

/// Instant on a process-local monotonic clock, in microseconds. It has no
/// meaning outside the process that read it.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of time. The core reads time only through this interface, so that it
/// also runs under virtual time.
class clock {
 public:
  virtual ~clock() = default;
  /// @return the current instant; it also advances while the VM is suspended.
  virtual time_point Now() const = 0;
  /// @return microseconds since the Unix epoch, for human-readable records and
  /// beside instants that other machines state. Clocks of machines differ, so
  /// that it is never used to order events whose order must be right.
  virtual int64_t WallMicros() const = 0;
};

/// Reads CLOCK_BOOTTIME.
class system_clock final : public clock {
 public:
  time_point Now() const override;
  int64_t WallMicros() const override;
};

using timer_id = uint64_t;

/// One-shot timers. Callbacks run on the loop's thread, never inside Schedule.
class timer_service {
 public:
  virtual ~timer_service() = default;
  /// @param delay  time from now, in microseconds
  /// @param action callback to run
  /// @return id for Cancel; never 0
  virtual timer_id Schedule(duration delay, std::function<void()> action) = 0;
  /// Cancels a timer. The id of a timer that already ran, or 0, is ignored.
  virtual void Cancel(timer_id id) = 0;
};

}  // namespace wisteriadale::common
