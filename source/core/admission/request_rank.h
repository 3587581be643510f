#pragma once

#include <cstdint>
#include <optional>

namespace wisteriadale::core {

/// Routes of one organisation's priority that are told apart; less urgent ones
/// share the last place.
inline constexpr uint32_t kRoutePriorities = 4;

/// Ranks a request in the queues that it waits in. The organisation's priority
/// decides, where it has one; among equals the route's does.
/// @param organisation priority of the caller's organisation; 0 is the highest
/// @param route        priority of its route; 0 is the highest
/// @return 0 is served first
constexpr uint32_t RequestRank(std::optional<uint32_t> organisation,
                               uint32_t route) {
  constexpr uint32_t kMaxPriority = 1000;
  const uint32_t first = organisation.value_or(route);
  const uint32_t second =
      route < kRoutePriorities ? route : kRoutePriorities - 1;
  return (first < kMaxPriority ? first : kMaxPriority) * kRoutePriorities +
         second;
}

}  // namespace wisteriadale::core
