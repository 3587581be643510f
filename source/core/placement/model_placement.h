#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// A model, adapter or version that engines can load.
struct placed_model {
  std::string name;  ///< with its version, as orders name it
  uint64_t bytes = 0;
  double demand = 0;          ///< of its requests, in any common unit
  uint32_t min_replicas = 1;  ///< kept even without demand
};

/// An engine, as reported by its agent.
struct placed_engine {
  std::string target;
  std::string data_centre;
  uint32_t slots = 1;             ///< number of models that it can hold
  std::set<std::string> loaded;   ///< loaded and serving
  std::set<std::string> loading;  ///< load ordered, not serving yet
  bool usable = true;             ///< accepts new work
};

/// An order for one target.
struct placement_order {
  std::string target;
  order_message order;
};

/// Limits of the loads from the weight store, and the demand filter.
struct placement_options {
  uint64_t bytes_per_second =
      100'000'000;  ///< sustained rate of the weight store
  uint64_t burst_bytes = 20'000'000'000;  ///< capacity of the token bucket
  uint32_t max_concurrent_loads = 4;      ///< over all engines
  double smoothing = 0.2;                 ///< weight of the newest demand
};

/// Decides which models to load and unload as demand changes. It only returns
/// the orders: the holder of the controller lease calls it and sends them with
/// its fencing number.
///
/// A model is only unloaded while it has more serving replicas than it needs,
/// so that requests never wait for a target that is still loading. Loads stay
/// within the rate of the weight store.
class model_placement {
 public:
  model_placement(common::clock& clock, const placement_options& options);

  /// @param fencing_number epoch of the controller lease
  /// @return orders to send now, unloads before loads
  std::vector<placement_order> Plan(std::span<const placed_model> models,
                                    std::span<const placed_engine> engines,
                                    uint64_t fencing_number);

  /// @return number of replicas that each model should have by smoothed demand
  std::map<std::string, uint32_t> DesiredReplicas(
      std::span<const placed_model> models,
      std::span<const placed_engine> engines) const;

 private:
  struct planning_round;

  /// Refills the byte budget for loads, a token bucket.
  void RefillBudget();
  /// Smooths the demand of each model.
  void UpdateDemand(std::span<const placed_model> models);
  /// Orders unloads on full engines if a model lacks replicas.
  void Unload(planning_round* plan, std::span<const placed_engine> engines);
  /// Orders loads on engines with free slots, within the budget.
  void Load(planning_round* plan, std::span<const placed_model> models,
            std::span<const placed_engine> engines);
  placement_order MakeOrder(std::string_view kind, std::string_view model,
                            std::string_view target, uint64_t fencing_number);

  common::clock& clock_;
  placement_options options_;
  double budget_bytes_;
  common::time_point refilled_at_;
  std::map<std::string, double> demand_;  ///< smoothed, by model
  uint64_t next_order_ = 1;
};

}  // namespace wisteriadale::core
