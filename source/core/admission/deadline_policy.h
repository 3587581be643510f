#pragma once

#include <cstddef>

#include "common/clock.h"
#include "core/configuration/configuration.h"

namespace wisteriadale::core {

/// Splits what remains of a request's deadline over its stages.
class deadline_policy {
 public:
  virtual ~deadline_policy() = default;
  /// @param stage index of the first stage that has not ended
  /// @return whether these stages are likely to end in the remaining time
  virtual bool CanFinish(const pipeline_plan& plan, size_t stage,
                         common::duration remaining) const = 0;
  /// @return how long an attempt of the stage may go without progress before
  /// another target is tried; at most the remaining time
  virtual common::duration AttemptTimeout(const pipeline_plan& plan,
                                          size_t stage,
                                          common::duration remaining) const = 0;
};

/// Baseline: every stage may use all that remains.
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
