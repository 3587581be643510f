#include "core/routing/target_subset.h"

#include <algorithm>

#include "common/digest.h"

namespace wisteriadale::core {
namespace {

// With fewer, a target would get no work while a router is replaced.
constexpr size_t kMinRouters = 2;

}  // namespace

uint64_t RendezvousWeight(uint64_t a, uint64_t b) {
  // The finaliser of SplitMix64.
  uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::vector<router_entry> LiveRouters(std::span<const vm_entry> entries) {
  std::vector<router_entry> routers;
  for (const vm_entry& entry : entries) {
    if (entry.role != vm_role::kRouter) continue;
    if (entry.state == vm_state::kLeaving) continue;
    routers.push_back({entry.name, entry.data_centre});
  }
  return routers;
}

target_subset::target_subset(router_entry self, size_t size)
    : self_(std::move(self)),
      self_hash_(common::Hash64(self_.name)),
      size_(std::max<size_t>(size, 1)) {
  SetRouters({});
}

void target_subset::SetRouters(std::vector<router_entry> routers) {
  if (std::find(routers.begin(), routers.end(), self_) == routers.end()) {
    routers.push_back(self_);
  }
  if (routers == routers_) return;
  routers_ = std::move(routers);
  ++routers_version_;
  all_routers_.clear();
  local_routers_.clear();
  for (const router_entry& router : routers_) {
    const uint64_t hash = common::Hash64(router.name);
    all_routers_.push_back(hash);
    if (router.data_centre == self_.data_centre) {
      local_routers_.push_back(hash);
    }
  }
}

const pool_subset& target_subset::SubsetFor(const target_pool& pool) {
  auto found = cache_.find(pool.name);
  if (found == cache_.end()) found = cache_.emplace(pool.name, cached()).first;
  cached& entry = found->second;
  if (entry.pool_version == pool.version &&
      entry.routers_version == routers_version_) {
    return entry.subset;
  }
  std::vector<target_view*> local;
  std::vector<target_view*> remote;
  for (target_view* view : pool.members) {
    (view->data_centre == self_.data_centre ? local : remote).push_back(view);
  }
  entry.subset.local = Select(local, local_routers_);
  entry.subset.remote = Select(remote, all_routers_);
  entry.pool_version = pool.version;
  entry.routers_version = routers_version_;
  return entry.subset;
}

std::vector<target_view*> target_subset::Select(
    std::span<target_view* const> targets,
    std::span<const uint64_t> routers) const {
  if (targets.size() <= size_) return {targets.begin(), targets.end()};
  const size_t routers_per_target =
      std::max(kMinRouters,
               (size_ * routers.size() + targets.size() - 1) / targets.size());
  std::vector<target_view*> chosen;
  std::vector<target_view*> rest;
  for (target_view* view : targets) {
    const uint64_t own = RendezvousWeight(view->hash, self_hash_);
    size_t rank = 0;
    for (const uint64_t router : routers) {
      if (RendezvousWeight(view->hash, router) > own) ++rank;
      if (rank >= routers_per_target) break;
    }
    (rank < routers_per_target ? chosen : rest).push_back(view);
  }
  if (chosen.size() >= size_) return chosen;
  // Too few targets were assigned to this router: add the others with the
  // highest weights.
  const size_t missing = std::min(size_ - chosen.size(), rest.size());
  std::partial_sort(
      rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(missing),
      rest.end(), [this](const target_view* a, const target_view* b) {
        return RendezvousWeight(a->hash, self_hash_) >
               RendezvousWeight(b->hash, self_hash_);
      });
  chosen.insert(chosen.end(), rest.begin(),
                rest.begin() + static_cast<std::ptrdiff_t>(missing));
  return chosen;
}

}  // namespace wisteriadale::core
