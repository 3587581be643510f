#include "core/routing/baselines.h"

#include "core/routing/sampling.h"

namespace wisteriadale::core {

target_view* round_robin::Choose(const target_pool& pool,
                                 const routing_request& request) {
  size_t& next = next_[pool.name];
  for (size_t i = 0; i < pool.members.size(); ++i) {
    target_view* view = pool.members[next++ % pool.members.size()];
    if (request.Allows(*view)) return view;
  }
  return nullptr;
}

target_view* random_choice::Choose(const target_pool& pool,
                                   const routing_request& request) {
  return SampleAllowed(pool.members, request, random_);
}

target_view* least_outstanding::Choose(const target_pool& pool,
                                       const routing_request& request) {
  const size_t count = pool.members.size();
  // Ties go to the first target after a random start.
  const size_t start = random_.Below(count);
  target_view* least = nullptr;
  for (size_t i = 0; i < count; ++i) {
    target_view* view = pool.members[(start + i) % count];
    if (!request.Allows(*view)) continue;
    if (least == nullptr || view->Outstanding() < least->Outstanding()) {
      least = view;
    }
  }
  return least;
}

}  // namespace wisteriadale::core
