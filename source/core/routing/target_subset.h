#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/ports/vm_list.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// A router in the list of routers.
struct router_entry {
  std::string name;
  std::string data_centre;
  bool operator==(const router_entry&) const = default;
};

/// @return the routers of a VM list that are not leaving
std::vector<router_entry> LiveRouters(std::span<const vm_entry> entries);

/// The targets of a pool that one router uses.
struct pool_subset {
  std::vector<target_view*> local;   ///< in the router's data centre
  std::vector<target_view*> remote;  ///< in other data centres
};

/// Selects a router's subset of a large pool by rendezvous hashing, so that the
/// number of connections and health checks depends on the subset size and not
/// on the pool size. The hash assigns routers to each target, so that no target
/// is left with too few routers. When a router or a target is added or removed,
/// only its own assignments change.
class target_subset {
 public:
  /// @param self this router
  /// @param size desired number of local and of remote targets; a subset may be
  ///             larger
  target_subset(router_entry self, size_t size);

  /// Sets the list of all routers. This router is added if it is missing.
  void SetRouters(std::vector<router_entry> routers);

  /// @return the subset of the pool, cached until the pool or the routers
  /// change
  const pool_subset& SubsetFor(const target_pool& pool);

 private:
  struct cached {
    uint64_t pool_version = 0;
    uint64_t routers_version = 0;
    pool_subset subset;
  };

  /// @param routers hashes of the routers that share the targets
  std::vector<target_view*> Select(std::span<target_view* const> targets,
                                   std::span<const uint64_t> routers) const;

  router_entry self_;
  uint64_t self_hash_;
  size_t size_;
  std::vector<uint64_t> all_routers_;    ///< hashes of their names
  std::vector<uint64_t> local_routers_;  ///< of those in this data centre
  std::vector<router_entry> routers_;
  uint64_t routers_version_ = 1;
  std::map<std::string, cached, std::less<>> cache_;  ///< by pool
};

/// @return rendezvous weight of a pair: a uniform hash of two hashes
uint64_t RendezvousWeight(uint64_t a, uint64_t b);

}  // namespace wisteriadale::core
