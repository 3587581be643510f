#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// A gateway that may own queues.
struct owner_candidate {
  std::string name;
  double capacity = 0;  ///< of its VM, in the same unit for all
  bool slow = false;    ///< it currently gets too little CPU time
};

/// Chooses the gateway that owns a service's queue, by rendezvous hashing: all
/// gateways with the same candidates choose the same one, and if a gateway
/// leaves only its own queues move. All traffic of a queue passes the network
/// link and CPU of its owner, so VMs that are much smaller than the largest own
/// no queue, nor do slow ones as long as there are others.
/// @return name of the owner; empty if there are no candidates
std::string ChooseQueueOwner(std::span<const owner_candidate> candidates,
                             std::string_view service);

/// @return a digest of the candidates, whatever their order: gateways with the
/// same digest choose the same owners
uint64_t ViewDigest(std::span<const owner_candidate> candidates);

}  // namespace wisteriadale::core
