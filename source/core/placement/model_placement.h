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

/// A model, adapter or version that engines can hold.
struct placed_model {
  std::string name;  ///< with its version, as orders name it
  uint64_t bytes = 0;
  double demand = 0;          ///< of its requests, in any unit
  uint32_t min_replicas = 1;  ///< kept even without demand
};

/// An engine, as its agent reports it.
struct placed_engine {
  std::string target;
  std::string data_centre;
  uint32_t slots = 1;             ///< models that it can hold
  std::set<std::string> held;     ///< loaded and serving
  std::set<std::string> loading;  ///< ordered, not serving yet
  bool usable = true;             ///< takes new work
};

/// An order for one target.
struct placement_order {
  std::string target;
  order_message order;
};

struct placement_options {
  uint64_t bytes_per_second = 100'000'000;  ///< of the weight store
  uint64_t burst_bytes = 20'000'000'000;
  uint32_t max_concurrent_loads = 4;  ///< engines that load at one time
  double smoothing = 0.2;             ///< weight of a new demand
};

/// Moves models between engines in step with demand. It only says what to
/// order: the holder of the controller lease calls it and sends the orders
/// under its fencing number.
///
/// A model is unloaded only where its loaded replicas exceed what it needs, so
/// the path never waits for a target that is still loading; loads stay within
/// the weight store's rate.
class model_placement {
 public:
  model_placement(common::clock& clock, const placement_options& options);

  /// @param fencing_number epoch of the controller lease
  /// @return orders to send now, unloads before loads
  std::vector<placement_order> Plan(std::span<const placed_model> models,
                                    std::span<const placed_engine> engines,
                                    uint64_t fencing_number);

  /// @return replicas that each model should have, by smoothed demand
  std::map<std::string, uint32_t> DesiredReplicas(
      std::span<const placed_model> models,
      std::span<const placed_engine> engines) const;

 private:
  struct round;

  void Refill();
  void Learn(std::span<const placed_model> models);
  void Unload(round* work, std::span<const placed_engine> engines);
  void Load(round* work, std::span<const placed_model> models,
            std::span<const placed_engine> engines);
  placement_order Order(std::string_view kind, std::string_view model,
                        std::string_view target, uint64_t fencing_number);

  common::clock& clock_;
  placement_options options_;
  double bytes_left_;
  common::time_point refilled_;
  std::map<std::string, double> demand_;  ///< smoothed, by model
  uint64_t next_order_ = 1;
};

}  // namespace wisteriadale::core
