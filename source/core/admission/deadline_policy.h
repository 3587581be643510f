#pragma once

#include <cstddef>

#include "common/clock.h"
#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// Divides the time until a request's deadline among its stages.
class deadline_policy {
 public:
  virtual ~deadline_policy() = default;
  /// @param stage     index of the first stage that has not ended
  /// @param remaining time until the deadline
  /// @return whether that stage and the later ones are expected to finish in
  /// the remaining time
  virtual bool CanFinish(const pipeline_plan& plan, size_t stage,
                         common::duration remaining) const = 0;
  /// @return timeout of an attempt of the stage without progress, after which
  /// another target is tried; at most the remaining time
  virtual common::duration AttemptTimeout(const pipeline_plan& plan,
                                          size_t stage,
                                          common::duration remaining) const = 0;
};

/// Baseline: every stage may use all the remaining time.
class whole_deadline final : public deadline_policy {
 public:
  bool CanFinish(const pipeline_plan&, size_t,
                 common::duration) const override {
    return true;
  }
  common::duration AttemptTimeout(const pipeline_plan&, size_t,
                                  common::duration remaining) const override {
    return remaining;
  }
};

}  // namespace wisteriadale::core
