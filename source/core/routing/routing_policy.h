#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// The attempt that a target is chosen for.
struct routing_request {
  std::string_view pool;
  std::string_view organisation;
  std::string_view prefix_key;  ///< empty if there is no prompt prefix
  std::span<const std::string> excluded;  ///< targets already tried

  /// @return whether the target is usable and not excluded
  bool Allows(const target_view& view) const {
    return view.Usable() && std::find(excluded.begin(), excluded.end(),
                                      view.id) == excluded.end();
  }
};

/// Chooses a target for an attempt.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// @return a target that the request allows, or null when there is none
  virtual target_view* Choose(const target_pool& pool,
                              const routing_request& request) = 0;
};

}  // namespace wisteriadale::core
