#include "core/admission/caller_retry_detector.h"

#include <algorithm>
#include <utility>

namespace wisteriadale::core {

common::duration caller_retry_detector::TimeSinceFirstRequest(
    std::string_view route, std::string_view organisation,
    common::duration given) {
  const common::time_point now = clock_.Now();
  if (now - rotated_ >= options_.memory) {
    previous_ = std::exchange(current_, {});
    rotated_ = now;
  }
  std::string key(route);
  key.push_back('\n');
  key.append(organisation);
  common::duration& longest = current_[key];
  longest = std::max(longest, given);
  const auto before = previous_.find(key);
  const common::duration usual =
      before == previous_.end() ? longest : std::max(longest, before->second);
  const std::chrono::duration<double> least =
      std::chrono::duration<double>(usual) * options_.first_share;
  return given < least ? usual - given : common::duration(0);
}

}  // namespace wisteriadale::core
