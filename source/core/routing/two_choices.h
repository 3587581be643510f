#pragma once

#include "common/random.h"
#include "core/routing/routing_policy.h"

namespace wisteriadale::core {

/// Picks two random targets and takes the one with less work, with a penalty
/// for other data centres.
class two_choices final : public routing_policy {
 public:
  two_choices(common::random_source& random, std::string data_centre,
              double remote_penalty)
      : random_(random),
        data_centre_(std::move(data_centre)),
        remote_penalty_(remote_penalty) {}

  target_view* Choose(const target_pool& pool,
                      const routing_request& request) override;

 private:
  double Cost(const target_view& view) const;

  common::random_source& random_;
  std::string data_centre_;
  double remote_penalty_;
};

}  // namespace wisteriadale::core
