#include "core/routing/two_choices.h"

#include <algorithm>

namespace wisteriadale::core {

target_view* two_choices::Choose(const std::vector<target_view*>& candidates,
                                 const routing_request&) {
  target_view* first = candidates[random_.Below(candidates.size())];
  target_view* second = candidates[random_.Below(candidates.size())];
  return Cost(*second) < Cost(*first) ? second : first;
}

double two_choices::Cost(const target_view& view) const {
  // Reports lag, so this router's own attempts are the floor.
  const uint32_t reported = view.load.in_flight + view.load.queued;
  const double work = std::max(reported, view.local_in_flight) + 1.0;
  return view.data_centre == data_centre_ ? work : work * remote_penalty_;
}

}  // namespace wisteriadale::core
