#pragma once

#include <cstddef>

namespace wisteriadale::core {

/// Limits on the connections that a process accepts. What they leave is for the
/// connections that it opens itself, and those of other gateways.
struct connection_limits {
  size_t callers = 0;
  size_t operators = 0;
  size_t channels = 0;  ///< of other processes, where callers could open them
};

/// Fewest descriptors that a gateway can work with.
inline constexpr size_t kMinConnectionDescriptors = 32;

/// Shares the descriptors of a process, so that neither callers nor operators
/// can keep it from reaching targets, the store and other gateways.
/// @param descriptors that all connections may use together
connection_limits ShareDescriptors(size_t descriptors);

}  // namespace wisteriadale::core
