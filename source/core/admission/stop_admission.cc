#include "core/admission/stop_admission.h"

#include <algorithm>
#include <utility>

namespace wisteriadale::core {

void stop_admission::OnComplete(const std::string& route,
                                common::duration in_all,
                                common::duration attempt) {
  const common::time_point now = clock_.Now();
  if (now - rotated_ >= options_.retention) {
    previous_ = std::exchange(current_, {});
    rotated_ = now;
  }
  longest_times& longest = current_[route];
  longest.in_all = std::max(longest.in_all, in_all);
  longest.attempt = std::max(longest.attempt, attempt);
}

stop_admission::longest_times stop_admission::Longest(
    std::string_view route) const {
  longest_times longest;
  for (const times_by_route* each : {&current_, &previous_}) {
    const auto found = each->find(route);
    if (found == each->end()) continue;
    longest.in_all = std::max(longest.in_all, found->second.in_all);
    longest.attempt = std::max(longest.attempt, found->second.attempt);
  }
  return longest;
}

stop_decision stop_admission::Decide(common::duration longest,
                                     common::time_point deadline) const {
  stop_decision decision;
  if (!end_) return decision;
  const common::time_point now = clock_.Now();
  const common::duration to_deadline =
      std::max(deadline - now, common::duration(0));
  // Without a figure for the route, its requests may take until their deadline.
  decision.expected = to_deadline;
  if (longest.count() > 0) {
    decision.expected =
        std::min(to_deadline,
                 common::duration(static_cast<int64_t>(
                     static_cast<double>(longest.count()) * options_.margin)));
  }
  decision.left = *end_ - now;
  decision.may_start = decision.expected <= decision.left;
  return decision;
}

stop_decision stop_admission::OnArrival(std::string_view route,
                                        common::time_point deadline) const {
  return Decide(Longest(route).in_all, deadline);
}

stop_decision stop_admission::BeforeAttempt(std::string_view route,
                                            common::time_point deadline) const {
  return Decide(Longest(route).attempt, deadline);
}

}  // namespace wisteriadale::core
