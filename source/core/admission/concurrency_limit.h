#pragma once

#include <cstdint>

#include "common/clock.h"

namespace wisteriadale::core {

/// Limits the number of attempts that a target runs concurrently.
class concurrency_limit {
 public:
  virtual ~concurrency_limit() = default;
  virtual uint32_t Limit() const = 0;
  /// Records the result of an attempt.
  /// @param took    execution time on the target
  /// @param running number of attempts that were running when this one started,
  ///                itself included
  /// @param ok      false if the target failed
  virtual void OnResult(common::duration took, uint32_t running, bool ok) = 0;
};

/// Baseline: a constant limit.
class fixed_limit final : public concurrency_limit {
 public:
  explicit fixed_limit(uint32_t limit) : limit_(limit) {}
  uint32_t Limit() const override { return limit_; }
  void OnResult(common::duration, uint32_t, bool) override {}

 private:
  uint32_t limit_;
};

}  // namespace wisteriadale::core
