#pragma once

#include <span>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// A gateway that could own a queue.
struct owner_candidate {
  std::string name;
  double capacity = 0;  ///< of its VM, in a unit that all share
  bool slow = false;    ///< it gets too little processor at present
};

/// Chooses the gateway that owns a service's queue: the same for all that see
/// the same candidates, and another only for the queues of one that goes. A
/// queue's traffic passes its owner's link and processor, so VMs that are small
/// beside the largest own none, nor do slow ones if another can. Load it
/// answers: pieces of all gateways meeting at one.
/// @return the owner's name, or an empty text without candidates
std::string ChooseQueueOwner(std::span<const owner_candidate> candidates,
                             std::string_view service);

}  // namespace wisteriadale::core
