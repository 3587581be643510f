#include "core/overload/process_bounds.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

size_t UsableConnections(const common::process_resources& resources) {
  const size_t descriptors =
      static_cast<size_t>(std::max<int64_t>(1, resources.descriptors));
  const size_t usable = std::min(
      descriptors, MaxSockets(MakeReceiveRoomOptions(resources.memory_mb)));
  if (!resources.descriptor_limit) return usable;
  return std::min(usable, static_cast<size_t>(*resources.descriptor_limit));
}

}  // namespace

process_bounds::process_bounds(const common::process_resources& resources,
                               const common::clock& clock)
    : account_(MakeMemoryAccountOptions(resources.memory_mb), clock),
      receive_room_(MakeReceiveRoomOptions(resources.memory_mb)),
      usable_connections_(UsableConnections(resources)),
      connections_(ShareDescriptors(usable_connections_)) {}

}  // namespace wisteriadale::core
