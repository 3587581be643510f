#include "core/admission/stop_admission.h"

#include <algorithm>
#include <utility>

namespace wisteriadale::core {

void stop_admission::durations::Add(common::duration took) {
  Merge({1, took, took});
}

void stop_admission::durations::Merge(const durations& other) {
  count += other.count;
  sum += other.sum;
  longest = std::max(longest, other.longest);
}

void stop_admission::OnComplete(const std::string& route,
                                common::duration in_all,
                                common::duration attempt) {
  const common::time_point now = clock_.Now();
  if (now - rotated_ >= options_.retention) {
    previous_ = std::exchange(current_, {});
    rotated_ = now;
  }
  route_times& times = current_[route];
  times.in_all.Add(in_all);
  times.attempt.Add(attempt);
}

stop_admission::route_times stop_admission::Known(
    std::string_view route) const {
  route_times known;
  for (const times_by_route* each : {&current_, &previous_}) {
    const auto found = each->find(route);
    if (found == each->end()) continue;
    known.in_all.Merge(found->second.in_all);
    known.attempt.Merge(found->second.attempt);
  }
  return known;
}

stop_decision stop_admission::Decide(const durations& known,
                                     common::time_point deadline) const {
  stop_decision decision;
  if (!end_) return decision;
  const common::time_point now = clock_.Now();
  const common::duration to_deadline =
      std::max(deadline - now, common::duration(0));
  // Without a figure for the route, its requests may take until their deadline.
  decision.expected = to_deadline;
  if (known.count > 0) {
    const common::duration likely = now - begun_at_ < options_.notice
                                        ? known.sum / known.count
                                        : known.longest;
    decision.expected =
        std::min(to_deadline,
                 common::duration(static_cast<int64_t>(
                     static_cast<double>(likely.count()) * options_.margin)));
  }
  decision.left = *end_ - now;
  decision.may_start = decision.expected <= decision.left;
  return decision;
}

stop_decision stop_admission::OnArrival(std::string_view route,
                                        common::time_point deadline) const {
  return Decide(Known(route).in_all, deadline);
}

stop_decision stop_admission::BeforeAttempt(std::string_view route,
                                            common::time_point deadline) const {
  return Decide(Known(route).attempt, deadline);
}

}  // namespace wisteriadale::core
