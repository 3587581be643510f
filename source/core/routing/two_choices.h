#pragma once

#include <span>

#include "common/clock.h"
#include "common/random.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/routing_policy.h"
#include "core/routing/target_subset.h"

namespace wisteriadale::core {

/// What a preset sets of two_choices.
struct two_choices_options {
  std::string data_centre;  ///< of the router
  /// Load of a target of the own data centre, relative to its limit, from which
  /// others are looked at too.
  double spill_at = 0.5;
  double remote_penalty = 1.5;  ///< load factor for other data centres
  bool prefix_affinity = true;
  /// Load of the target that a prefix belongs to, relative to the mean of the
  /// subset, up to which the prefix stays there.
  double affinity_bound = 1.25;
  common::duration slow_start = std::chrono::seconds(10);
};

/// The less loaded of two random targets of the router's subset, own data
/// centre first. A request with a prefix goes to a target that probably holds
/// it, as long as that is not much busier than the others. Ejected targets are
/// used only when there is no other; new ones take up their share slowly.
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

  target_view* ByPrefix(members targets, const routing_request& request);
  target_view* ByLoad(const pool_subset& subset,
                      const routing_request& request);
  target_view* LessLoaded(members targets, const routing_request& request);
  target_view* Sample(members targets, const routing_request& request);
  bool Allowed(const target_view& view, const routing_request& request) const;
  double Load(const target_view& view) const;
  double Cost(target_view* view) const;
  double SlowStartFactor(target_view* view) const;

  common::clock& clock_;
  common::random_source& random_;
  target_subset& subset_;
  prefix_hints& hints_;
  two_choices_options options_;
};

}  // namespace wisteriadale::core
