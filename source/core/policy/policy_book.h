#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/random.h"
#include "core/admission/deadline_policy.h"
#include "core/configuration/configuration.h"
#include "core/retry/retry_policy.h"
#include "core/routing/routing_policy.h"

namespace wisteriadale::core {

/// The policies of one preset. A request keeps the set it started with.
struct policy_set {
  preset_policy preset;
  std::unique_ptr<routing_policy> routing;
  std::unique_ptr<retry_policy> retry;
  std::unique_ptr<deadline_policy> deadlines;
};

/// What the policies of a router share.
struct policy_environment {
  common::clock& clock;
  common::random_source& random;
  std::string router_name;
  std::string data_centre;
};

/// Makes the policies that a preset names, and keeps what they measure across
/// changes of the preset.
class policy_book {
 public:
  explicit policy_book(policy_environment environment)
      : environment_(std::move(environment)) {}

  /// @return the policies for a preset
  std::shared_ptr<policy_set> For(const preset_policy& preset);

 private:
  policy_environment environment_;
  std::shared_ptr<policy_set> current_;
};

/// @return the routing policy of that name, or nothing with LastReason set
std::optional<std::unique_ptr<routing_policy>> MakeRoutingPolicy(
    const preset_policy& preset, const policy_environment& environment);

/// @return the retry policy that the preset names, or nothing with LastReason
std::optional<std::unique_ptr<retry_policy>> MakeRetryPolicy(
    const preset_policy& preset, const policy_environment& environment);

}  // namespace wisteriadale::core
