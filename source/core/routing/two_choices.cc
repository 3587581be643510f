#include "core/routing/two_choices.h"

#include "core/routing/sampling.h"

namespace wisteriadale::core {

target_view* two_choices::Choose(const target_pool& pool,
                                 const routing_request& request) {
  target_view* first = SampleAllowed(pool.members, request, random_);
  if (first == nullptr) return nullptr;
  target_view* second = SampleAllowed(pool.members, request, random_);
  return Cost(*second) < Cost(*first) ? second : first;
}

double two_choices::Cost(const target_view& view) const {
  const double work = view.Outstanding() + 1.0;
  return view.data_centre == data_centre_ ? work : work * remote_penalty_;
}

}  // namespace wisteriadale::core
