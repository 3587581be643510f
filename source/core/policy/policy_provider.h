#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/admission/admission_policy.h"
#include "core/admission/deadline_policy.h"
#include "core/admission/distributed_quota.h"
#include "core/admission/stage_latencies.h"
#include "core/configuration/configuration.h"
#include "core/retry/budget_retry.h"
#include "core/retry/retry_policy.h"
#include "core/routing/outlier_detector.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/routing_policy.h"
#include "core/routing/target_subset.h"
#include "core/routing/target_table.h"

namespace wisteriadale::core {

/// Measurements and dependencies that the policies of a router share. Kept when
/// the preset changes.
struct policy_state {
  policy_state(common::clock& time, common::random_source& source,
               const router_entry& router);

  common::clock& clock;
  common::random_source& random;
  router_entry self;
  std::vector<router_entry> routers;
  prefix_hints hints;
  stage_latencies latencies;
  retry_budget retries;
  distributed_quota quotas;
};

/// The policies of one preset. A request keeps the set that it started with.
class policy_set {
 public:
  /// @return the policies that a preset names, or nothing with LastError set
  static std::optional<std::shared_ptr<policy_set>> Create(
      const preset_policy& preset, policy_state& state);

  const preset_policy& preset() const { return preset_; }
  /// Sets the routers that share the targets.
  void SetRouters(const std::vector<router_entry>& routers) {
    subset_.SetRouters(routers);
  }
  /// Records the outcome of an attempt on a target.
  /// @param took duration of the attempt
  void OnAttempt(target_table& targets, std::string_view pool,
                 std::string_view target, std::string_view stage,
                 common::result_code code, common::duration took);

  std::unique_ptr<routing_policy> routing;
  std::unique_ptr<retry_policy> retry;
  std::unique_ptr<deadline_policy> deadlines;
  std::unique_ptr<admission_policy> admission;

 private:
  policy_set(const preset_policy& preset, policy_state& state);

  preset_policy preset_;
  policy_state& state_;
  target_subset subset_;
  outlier_detector outliers_;
};

/// @param subset has to outlive the policy
/// @return the routing policy of a preset, or nothing with LastError set
std::optional<std::unique_ptr<routing_policy>> MakeRoutingPolicy(
    const preset_policy& preset, policy_state& state, target_subset& subset);

/// @return the retry policy of a preset, or nothing with LastError set
std::optional<std::unique_ptr<retry_policy>> MakeRetryPolicy(
    const preset_policy& preset, policy_state& state);

/// @return the deadline policy of a preset, or nothing with LastError set
std::optional<std::unique_ptr<deadline_policy>> MakeDeadlinePolicy(
    const preset_policy& preset, const policy_state& state);

/// @param deadlines has to outlive the policy
/// @return the admission policy of a preset, or nothing with LastError set
std::optional<std::unique_ptr<admission_policy>> MakeAdmissionPolicy(
    const preset_policy& preset, policy_state& state,
    const deadline_policy& deadlines);

/// Creates the policies that a preset names, and keeps their measurements when
/// the preset changes.
class policy_provider {
 public:
  policy_provider(common::clock& clock, common::random_source& random,
                  const router_entry& self)
      : state_(clock, random, self) {}

  /// @return the policies of a preset; those of the previous preset, or null,
  /// if it names an unknown policy
  std::shared_ptr<policy_set> GetOrCreate(const preset_policy& preset);
  /// Sets the routers that share the targets.
  void SetRouters(std::vector<router_entry> routers);
  policy_state& state() { return state_; }

 private:
  policy_state state_;
  std::shared_ptr<policy_set> current_;
};

}  // namespace wisteriadale::core
