#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

struct stop_admission_options {
  /// Durations are remembered for one to two times this long.
  common::duration retention = std::chrono::seconds(30);
  /// Factor on the longest duration that was seen: the next response may take
  /// longer.
  double margin = 1.25;
};

/// Whether a request can still be answered whole, and why.
struct stop_decision {
  bool may_start = true;
  common::duration expected{0};  ///< time that the request may take
  common::duration left{0};      ///< time until the process ends
};

/// Decides during a planned stop which requests still begin: those that are
/// expected to be answered whole before the process ends. The others are turned
/// away before anything of them runs, so that their callers can go to another
/// process while there is time.
class stop_admission {
 public:
  stop_admission(const stop_admission_options& options, common::clock& clock)
      : options_(options), clock_(clock) {}

  /// Records a complete response.
  /// @param route   of the request
  /// @param in_all  time from the request's arrival to the end of its response
  /// @param attempt time from sending it to its target to the same end
  void OnComplete(const std::string& route, common::duration in_all,
                  common::duration attempt);
  /// Begins the stop.
  /// @param end when requests that are not complete by then are cut off
  void Begin(common::time_point end) { end_ = end; }
  /// @return whether the stop has begun
  bool stopping() const { return end_.has_value(); }

  /// Decides on a request that has just arrived.
  /// @param deadline by which it is answered in any case
  stop_decision OnArrival(std::string_view route,
                          common::time_point deadline) const;
  /// Decides on a request that is about to be sent to a target.
  stop_decision BeforeAttempt(std::string_view route,
                              common::time_point deadline) const;

 private:
  /// Longest times of a route's requests.
  struct longest_times {
    common::duration in_all{0};
    common::duration attempt{0};
  };
  using times_by_route = std::map<std::string, longest_times, std::less<>>;

  /// @param longest of the route's requests; 0: not known
  stop_decision Decide(common::duration longest,
                       common::time_point deadline) const;
  /// @return the longest times of both retention periods
  longest_times Longest(std::string_view route) const;

  stop_admission_options options_;
  common::clock& clock_;
  std::optional<common::time_point> end_;
  times_by_route current_;
  times_by_route previous_;  ///< of the retention period before
  common::time_point rotated_{};
};

}  // namespace wisteriadale::core
