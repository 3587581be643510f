#pragma once

#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

struct caller_retry_options {
  /// A caller that gives less than this part of the longest time given lately
  /// has asked before: the users' first requests give five sixths and more.
  double first_share = 0.8;
  /// What was given is remembered for one to two times this long.
  common::duration memory = std::chrono::seconds(30);
};

/// Tells callers that were refused and came back from those that ask first. A
/// request that comes back has a new id, but its caller has less time left. Its
/// objective counts from when the caller first asked. Load it answers: refused
/// callers that return while a burst lasts and would take, late already, the
/// places of those that can still be answered in time.
class caller_retry_detector {
 public:
  caller_retry_detector(const caller_retry_options& options,
                        common::clock& clock)
      : options_(options), clock_(clock) {}

  /// @param given how long the caller will wait
  /// @return time since it first asked, as far as can be told; else 0
  common::duration TimeSinceFirstRequest(std::string_view route,
                                         std::string_view organisation,
                                         common::duration given);

 private:
  using longest_times = std::map<std::string, common::duration, std::less<>>;

  caller_retry_options options_;
  common::clock& clock_;
  longest_times current_;
  longest_times previous_;
  common::time_point rotated_{};
};

}  // namespace wisteriadale::core
