#include "core/placement/model_placement.h"

#include <algorithm>

namespace wisteriadale::core {

/// State of one call of Plan.
struct model_placement::planning_round {
  std::map<std::string, uint32_t> desired;
  std::map<std::string, uint32_t> serving;  ///< usable replicas, by model
  std::map<std::string, uint32_t>
      pending;  ///< usable replicas that are loading, by model
  std::map<std::string, uint32_t> used;  ///< slots, by target
  uint32_t concurrent_loads = 0;
  uint64_t fencing_number = 0;
  std::vector<placement_order> orders;

  /// @return whether a model has fewer replicas than desired
  bool NeedsReplica(const std::string& model) {
    return serving[model] + pending[model] < desired[model];
  }
};

model_placement::model_placement(common::clock& clock,
                                 const placement_options& options)
    : clock_(clock),
      options_(options),
      budget_bytes_(static_cast<double>(options.burst_bytes)),
      refilled_at_(clock.Now()) {}

std::vector<placement_order> model_placement::Plan(
    std::span<const placed_model> models,
    std::span<const placed_engine> engines, uint64_t fencing_number) {
  RefillBudget();
  UpdateDemand(models);
  planning_round plan;
  plan.fencing_number = fencing_number;
  plan.desired = DesiredReplicas(models, engines);
  for (const placed_engine& engine : engines) {
    plan.used[engine.target] =
        static_cast<uint32_t>(engine.loaded.size() + engine.loading.size());
    plan.concurrent_loads += static_cast<uint32_t>(engine.loading.size());
    if (!engine.usable) continue;
    for (const std::string& model : engine.loaded) ++plan.serving[model];
    for (const std::string& model : engine.loading) ++plan.pending[model];
  }
  Unload(&plan, engines);
  Load(&plan, models, engines);
  return std::move(plan.orders);
}

void model_placement::RefillBudget() {
  const common::time_point now = clock_.Now();
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  budget_bytes_ = std::min(
      static_cast<double>(options_.burst_bytes),
      budget_bytes_ + seconds * static_cast<double>(options_.bytes_per_second));
}

void model_placement::UpdateDemand(std::span<const placed_model> models) {
  for (const placed_model& model : models) {
    const auto [entry, added] = demand_.emplace(model.name, model.demand);
    if (added) continue;
    entry->second += options_.smoothing * (model.demand - entry->second);
  }
}

std::map<std::string, uint32_t> model_placement::DesiredReplicas(
    std::span<const placed_model> models,
    std::span<const placed_engine> engines) const {
  uint32_t slots = 0;
  uint32_t usable = 0;
  for (const placed_engine& engine : engines) {
    if (!engine.usable) continue;
    slots += engine.slots;
    ++usable;
  }
  std::map<std::string, uint32_t> desired;
  for (const placed_model& model : models) {
    const uint32_t minimum = std::min({model.min_replicas, slots, usable});
    desired[model.name] = minimum;
    slots -= minimum;
  }
  // Each remaining slot goes to the model with the highest demand per replica.
  for (; slots > 0; --slots) {
    const std::string* neediest = nullptr;
    double highest = 0;
    for (const placed_model& model : models) {
      const auto demand = demand_.find(model.name);
      const uint32_t replicas = desired[model.name];
      if (demand == demand_.end() || replicas >= usable) continue;
      const double need = demand->second / (replicas + 1);
      if (need <= highest) continue;
      highest = need;
      neediest = &model.name;
    }
    if (neediest == nullptr) break;
    ++desired[*neediest];
  }
  return desired;
}

void model_placement::Unload(planning_round* plan,
                             std::span<const placed_engine> engines) {
  const bool any_missing = std::any_of(
      plan->desired.begin(), plan->desired.end(),
      [plan](const auto& entry) { return plan->NeedsReplica(entry.first); });
  // A warm replica does no harm as long as no other model needs its slot.
  if (!any_missing) return;
  for (const placed_engine& engine : engines) {
    if (!engine.usable || plan->used[engine.target] < engine.slots) continue;
    for (const std::string& model : engine.loaded) {
      const uint32_t required = std::max(plan->desired[model], 1U);
      if (plan->serving[model] <= required) continue;
      --plan->serving[model];
      plan->orders.push_back(MakeOrder("unload_model", model, engine.target,
                                       plan->fencing_number));
      break;
    }
  }
}

void model_placement::Load(planning_round* plan,
                           std::span<const placed_model> models,
                           std::span<const placed_engine> engines) {
  for (const placed_model& model : models) {
    for (const placed_engine& engine : engines) {
      if (!plan->NeedsReplica(model.name)) break;
      if (plan->concurrent_loads >= options_.max_concurrent_loads) return;
      if (budget_bytes_ < static_cast<double>(model.bytes)) break;
      if (!engine.usable || plan->used[engine.target] >= engine.slots) continue;
      if (engine.loaded.contains(model.name)) continue;
      if (engine.loading.contains(model.name)) continue;
      budget_bytes_ -= static_cast<double>(model.bytes);
      ++plan->concurrent_loads;
      ++plan->used[engine.target];
      ++plan->pending[model.name];
      plan->orders.push_back(MakeOrder("load_model", model.name, engine.target,
                                       plan->fencing_number));
    }
  }
}

placement_order model_placement::MakeOrder(std::string_view kind,
                                           std::string_view model,
                                           std::string_view target,
                                           uint64_t fencing_number) {
  placement_order result;
  result.target = target;
  result.order.order_id = "placement-" + std::to_string(fencing_number) + "-" +
                          std::to_string(next_order_++);
  result.order.fencing_number = fencing_number;
  result.order.kind = kind;
  result.order.argument = model;
  return result;
}

}  // namespace wisteriadale::core
