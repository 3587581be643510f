#pragma once

#include <map>
#include <string>

#include "common/random.h"
#include "core/routing/routing_policy.h"

namespace wisteriadale::core {

/// Baseline: cycles through the targets of a pool.
class round_robin final : public routing_policy {
 public:
  target_view* Choose(const target_pool& pool,
                      const routing_request& request) override;

 private:
  std::map<std::string, size_t, std::less<>> next_;  ///< index, by pool
};

/// Baseline: a random target.
class random_choice final : public routing_policy {
 public:
  explicit random_choice(common::random_source& random) : random_(random) {}
  target_view* Choose(const target_pool& pool,
                      const routing_request& request) override;

 private:
  common::random_source& random_;
};

/// Baseline: the target with the fewest outstanding attempts in the whole pool.
class least_outstanding final : public routing_policy {
 public:
  explicit least_outstanding(common::random_source& random) : random_(random) {}
  target_view* Choose(const target_pool& pool,
                      const routing_request& request) override;

 private:
  common::random_source& random_;
};

}  // namespace wisteriadale::core
