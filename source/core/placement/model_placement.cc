#include "core/placement/model_placement.h"

#include <algorithm>

namespace wisteriadale::core {

/// What one call of Plan works with.
struct model_placement::round {
  std::map<std::string, uint32_t> wanted;
  std::map<std::string, uint32_t> serving;  ///< usable replicas, by model
  std::map<std::string, uint32_t> coming;   ///< of those that load
  std::map<std::string, uint32_t> used;     ///< slots, by target
  uint32_t loading = 0;
  uint64_t fencing_number = 0;
  std::vector<placement_order> orders;

  bool Short(const std::string& model) {
    return serving[model] + coming[model] < wanted[model];
  }
};

model_placement::model_placement(common::clock& clock,
                                 const placement_options& options)
    : clock_(clock),
      options_(options),
      bytes_left_(static_cast<double>(options.burst_bytes)),
      refilled_(clock.Now()) {}

std::vector<placement_order> model_placement::Plan(
    std::span<const placed_model> models,
    std::span<const placed_engine> engines, uint64_t fencing_number) {
  Refill();
  Learn(models);
  round work;
  work.fencing_number = fencing_number;
  work.wanted = DesiredReplicas(models, engines);
  for (const placed_engine& engine : engines) {
    work.used[engine.target] =
        static_cast<uint32_t>(engine.held.size() + engine.loading.size());
    work.loading += static_cast<uint32_t>(engine.loading.size());
    if (!engine.usable) continue;
    for (const std::string& model : engine.held) ++work.serving[model];
    for (const std::string& model : engine.loading) ++work.coming[model];
  }
  Unload(&work, engines);
  Load(&work, models, engines);
  return std::move(work.orders);
}

void model_placement::Refill() {
  const common::time_point now = clock_.Now();
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  bytes_left_ = std::min(
      static_cast<double>(options_.burst_bytes),
      bytes_left_ + seconds * static_cast<double>(options_.bytes_per_second));
}

void model_placement::Learn(std::span<const placed_model> models) {
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
  std::map<std::string, uint32_t> wanted;
  for (const placed_model& model : models) {
    const uint32_t least = std::min({model.min_replicas, slots, usable});
    wanted[model.name] = least;
    slots -= least;
  }
  // Each further slot goes to the model with the most demand for a replica.
  for (; slots > 0; --slots) {
    const std::string* neediest = nullptr;
    double highest = 0;
    for (const placed_model& model : models) {
      const auto demand = demand_.find(model.name);
      const uint32_t replicas = wanted[model.name];
      if (demand == demand_.end() || replicas >= usable) continue;
      const double need = demand->second / (replicas + 1);
      if (need <= highest) continue;
      highest = need;
      neediest = &model.name;
    }
    if (neediest == nullptr) break;
    ++wanted[*neediest];
  }
  return wanted;
}

void model_placement::Unload(round* work,
                             std::span<const placed_engine> engines) {
  const bool any_short = std::any_of(
      work->wanted.begin(), work->wanted.end(),
      [work](const auto& entry) { return work->Short(entry.first); });
  // Without a use for the slot, a warm replica does no harm.
  if (!any_short) return;
  for (const placed_engine& engine : engines) {
    if (!engine.usable || work->used[engine.target] < engine.slots) continue;
    for (const std::string& model : engine.held) {
      const uint32_t needed = std::max(work->wanted[model], 1U);
      if (work->serving[model] <= needed) continue;
      --work->serving[model];
      work->orders.push_back(
          Order("unload_model", model, engine.target, work->fencing_number));
      break;
    }
  }
}

void model_placement::Load(round* work, std::span<const placed_model> models,
                           std::span<const placed_engine> engines) {
  for (const placed_model& model : models) {
    for (const placed_engine& engine : engines) {
      if (!work->Short(model.name)) break;
      if (work->loading >= options_.max_concurrent_loads) return;
      if (bytes_left_ < static_cast<double>(model.bytes)) break;
      if (!engine.usable || work->used[engine.target] >= engine.slots) continue;
      if (engine.held.contains(model.name)) continue;
      if (engine.loading.contains(model.name)) continue;
      bytes_left_ -= static_cast<double>(model.bytes);
      ++work->loading;
      ++work->used[engine.target];
      ++work->coming[model.name];
      work->orders.push_back(
          Order("load_model", model.name, engine.target, work->fencing_number));
    }
  }
}

placement_order model_placement::Order(std::string_view kind,
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
