#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/ports/vm_list.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// A router, as others see it.
struct router_entry {
  std::string name;
  std::string data_centre;
  bool operator==(const router_entry&) const = default;
};

/// @return the routers of a VM list that are not leaving
std::vector<router_entry> LiveRouters(std::span<const vm_entry> entries);

/// The targets of a pool that one router works with.
struct pool_subset {
  std::vector<target_view*> local;   ///< in the router's data centre
  std::vector<target_view*> remote;  ///< elsewhere
};

/// Picks each router's share of a large pool by rendezvous hashing, so that
/// connections and health checks grow with the subset, not with the pool. Each
/// target picks the routers that use it, so that none is left with too few;
/// when a router or a target comes or goes, only its own places move.
class target_subset {
 public:
  /// @param self this router
  /// @param size targets of each pool that a router should have, own data
  ///             centre and others apart
  target_subset(router_entry self, size_t size);

  /// Tells which routers there are, this one included or not.
  void SetRouters(std::vector<router_entry> routers);

  /// @return the subset of the pool, computed again only after a change
  const pool_subset& SubsetFor(const target_pool& pool);

 private:
  struct cached {
    uint64_t pool_version = 0;
    uint64_t routers_version = 0;
    pool_subset subset;
  };

  std::vector<target_view*> Select(std::span<target_view* const> targets,
                                   std::span<const uint64_t> routers) const;

  router_entry self_;
  uint64_t self_hash_;
  size_t size_;
  std::vector<uint64_t> all_routers_;    ///< hashes of their names
  std::vector<uint64_t> local_routers_;  ///< of those in this data centre
  std::vector<router_entry> routers_;
  uint64_t routers_version_ = 1;
  std::map<std::string, cached, std::less<>> cache_;
};

/// @return a uniform hash of two hashes
uint64_t RendezvousWeight(uint64_t a, uint64_t b);

}  // namespace wisteriadale::core
