#include "core/fleet/queue_owner.h"

#include <algorithm>

#include "common/digest.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {
namespace {

// Share of the largest capacity that an owner needs: the capacities of current
// VMs differ either by less than a factor of two, or by five and more.
constexpr double kMinOwnerShare = 0.5;

}  // namespace

std::string ChooseQueueOwner(std::span<const owner_candidate> candidates,
                             std::string_view service) {
  double largest = 0;
  for (const owner_candidate& each : candidates) {
    largest = std::max(largest, each.capacity);
  }
  const auto can_own = [largest](const owner_candidate& each) {
    return each.capacity >= largest * kMinOwnerShare;
  };
  const bool any_healthy = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const owner_candidate& each) { return can_own(each) && !each.slow; });
  const uint64_t key = common::Hash64(service);
  std::string owner;
  uint64_t best = 0;
  for (const owner_candidate& each : candidates) {
    if (!can_own(each) || (any_healthy && each.slow)) continue;
    const uint64_t weight = RendezvousWeight(common::Hash64(each.name), key);
    if (!owner.empty() && weight <= best) continue;
    owner = each.name;
    best = weight;
  }
  return owner;
}

uint64_t ViewDigest(std::span<const owner_candidate> candidates) {
  uint64_t digest = 0;
  for (const owner_candidate& each : candidates) {
    std::string key = each.name;
    if (each.slow) key.append("/slow");
    digest ^= common::Hash64(key);
  }
  return digest;
}

}  // namespace wisteriadale::core
