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
  /// Factor on the duration that is expected: the next response may take
  /// longer.
  double margin = 1.25;
  /// For so long callers cannot know of the stop: they are still sent here. A
  /// refusal takes one of their few tries, so that what usually fits is taken.
  common::duration notice = std::chrono::milliseconds(2200);
};

/// Whether a request can still be answered whole, and why.
struct stop_decision {
  bool may_start = true;
  common::duration expected{0};  ///< time that the request may take
  common::duration left{0};      ///< time until the process ends
};

/// Decides during a planned stop which requests still begin: at first those
/// that usually are answered whole before the process ends, later those that
/// even the longest recent request of their route would be. The others are
/// turned away before anything of them runs, so that their callers can go to
/// another process while there is time.
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
  void Begin(common::time_point end) {
    end_ = end;
    begun_at_ = clock_.Now();
  }
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
  /// Durations of a route's requests.
  struct durations {
    int64_t count = 0;
    common::duration sum{0};
    common::duration longest{0};

    void Add(common::duration took);
    void Merge(const durations& other);
  };
  struct route_times {
    durations in_all;
    durations attempt;
  };
  using times_by_route = std::map<std::string, route_times, std::less<>>;

  /// @param known durations of the route's requests
  stop_decision Decide(const durations& known,
                       common::time_point deadline) const;
  /// @return the times of both retention periods
  route_times Known(std::string_view route) const;

  stop_admission_options options_;
  common::clock& clock_;
  std::optional<common::time_point> end_;
  common::time_point begun_at_{};
  times_by_route current_;
  times_by_route previous_;  ///< of the retention period before
  common::time_point rotated_{};
};

}  // namespace wisteriadale::core
