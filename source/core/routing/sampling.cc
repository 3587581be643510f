#include "core/routing/sampling.h"

namespace wisteriadale::core {

target_view* SampleAllowed(std::span<target_view* const> members,
                           const routing_request& request,
                           common::random_source& random) {
  constexpr int kTries = 4;
  if (members.empty()) return nullptr;
  for (int i = 0; i < kTries; ++i) {
    target_view* view = members[random.Below(members.size())];
    if (request.Allows(*view)) return view;
  }
  const size_t start = random.Below(members.size());
  for (size_t i = 0; i < members.size(); ++i) {
    target_view* view = members[(start + i) % members.size()];
    if (request.Allows(*view)) return view;
  }
  return nullptr;
}

}  // namespace wisteriadale::core
