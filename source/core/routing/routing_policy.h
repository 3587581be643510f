#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// What a routing policy may look at besides the targets.
struct routing_request {
  std::string_view pool;
  std::string_view organisation;
  std::string_view prefix_key;
  std::span<const std::string> excluded;  ///< targets that this stage tried

  /// @return whether the target may be chosen
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
