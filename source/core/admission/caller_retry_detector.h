#pragma once

#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

struct caller_retry_options {
  /// A request whose timeout is less than this ratio of the longest recent
  /// timeout is a retry: the users' first requests have at least five sixths of
  /// the longest timeout.
  double first_request_ratio = 0.8;
  /// Timeouts are remembered for one to two times this long.
  common::duration retention = std::chrono::seconds(30);
};

/// Detects requests that a caller repeats after a refusal. A retry has a new
/// request id, but less time left until its caller's deadline. Its latency
/// objective counts from the caller's first request. Without this, during a
/// burst, retries that are already late would take capacity from requests that
/// can still meet their objective.
class caller_retry_detector {
 public:
  caller_retry_detector(const caller_retry_options& options,
                        common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param timeout how long the caller will wait for the response
  /// @return estimated time since the caller's first request; 0 if this seems
  /// to be the first
  common::duration TimeSinceFirstRequest(std::string_view route,
                                         std::string_view organisation,
                                         common::duration timeout);

 private:
  /// Longest timeout, by route and organisation.
  using max_timeouts = std::map<std::string, common::duration, std::less<>>;

  caller_retry_options options_;
  common::clock& clock_;
  max_timeouts current_;
  max_timeouts previous_;  ///< of the retention period before
  common::time_point rotated_{};
};

}  // namespace wisteriadale::core
