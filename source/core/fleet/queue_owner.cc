#include "core/fleet/queue_owner.h"

#include <algorithm>

#include "common/digest.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {
namespace {

// Part of the largest capacity that an owner needs: VMs of today differ by less
// than two, or by five and more.
constexpr double kLeastOwnerShare = 0.5;

}  // namespace

std::string ChooseQueueOwner(std::span<const owner_candidate> candidates,
                             std::string_view service) {
  double largest = 0;
  for (const owner_candidate& each : candidates) {
    largest = std::max(largest, each.capacity);
  }
  const auto can_own = [largest](const owner_candidate& each) {
    return each.capacity >= largest * kLeastOwnerShare;
  };
  const bool any_fast = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const owner_candidate& each) { return can_own(each) && !each.slow; });
  const uint64_t key = common::Hash64(service);
  std::string owner;
  uint64_t best = 0;
  for (const owner_candidate& each : candidates) {
    if (!can_own(each) || (any_fast && each.slow)) continue;
    const uint64_t weight = RendezvousWeight(common::Hash64(each.name), key);
    if (!owner.empty() && weight <= best) continue;
    owner = each.name;
    best = weight;
  }
  return owner;
}

}  // namespace wisteriadale::core
