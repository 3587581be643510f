#include "core/admission/caller_retry_detector.h"

#include <algorithm>
#include <utility>

namespace wisteriadale::core {

common::duration caller_retry_detector::TimeSinceFirstRequest(
    std::string_view route, std::string_view organisation,
    common::duration timeout) {
  const common::time_point now = clock_.Now();
  if (now - rotated_ >= options_.retention) {
    previous_ = std::exchange(current_, {});
    rotated_ = now;
  }
  std::string key(route);
  key.push_back('\n');
  key.append(organisation);
  common::duration& current_max = current_[key];
  current_max = std::max(current_max, timeout);
  const auto previous = previous_.find(key);
  const common::duration first_timeout =
      previous == previous_.end() ? current_max
                                  : std::max(current_max, previous->second);
  const std::chrono::duration<double> threshold =
      std::chrono::duration<double>(first_timeout) *
      options_.first_request_ratio;
  return timeout < threshold ? first_timeout - timeout : common::duration(0);
}

}  // namespace wisteriadale::core
