#pragma once

#include <span>

#include "common/clock.h"
#include "common/random.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/routing_policy.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {

struct two_choices_options {
  std::string data_centre;  ///< of the router
  /// Load of a local target, relative to its concurrency limit, from which
  /// remote targets are considered too.
  double spill_at = 0.5;
  double remote_penalty = 1.5;  ///< cost factor for other data centres
  bool prefix_affinity = true;
  /// Load of the target that owns a prefix, relative to the mean of the subset,
  /// up to which requests with the prefix are sent there.
  double affinity_bound = 1.25;
  /// Time over which a target that became available ramps up to its full share.
  common::duration slow_start = std::chrono::seconds(10);
};

/// Power of two choices: picks the cheaper of two random targets of the
/// router's subset, preferring the router's data centre. A request with a
/// prompt prefix is sent to a target that is likely to have it cached, unless
/// that target is much busier than the others. Ejected targets are used only if
/// there is no other. Targets that became available go through a slow start.
class two_choices final : public routing_policy {
 public:
  two_choices(common::clock& clock, common::random_source& random,
              target_subset& subset, prefix_hints& hints,
              two_choices_options options)
      : clock_(clock),
        random_(random),
        subset_(subset),
        hints_(hints),
        options_(std::move(options)) {}

  target_view* Choose(const target_pool& pool,
                      const routing_request& request) override;

 private:
  using members = std::span<target_view* const>;

  target_view* ChooseByPrefix(members targets, const routing_request& request);
  target_view* ChooseByLoad(const pool_subset& subset,
                            const routing_request& request);
  /// Picks the cheaper of two random targets.
  target_view* ChooseOfTwo(members targets, const routing_request& request);
  target_view* Sample(members targets, const routing_request& request);
  /// @return whether the request allows the target and it is not ejected
  bool Allowed(const target_view& view, const routing_request& request) const;
  /// @return load of the target with one more attempt, relative to its limit
  double Load(const target_view& view) const;
  /// @return load, weighted by distance, failures and slow start
  double Cost(target_view* view) const;
  /// @return share of the normal load that the target takes, in (0, 1]
  double SlowStartFactor(target_view* view) const;

  common::clock& clock_;
  common::random_source& random_;
  target_subset& subset_;
  prefix_hints& hints_;
  two_choices_options options_;
};

}  // namespace wisteriadale::core
