#pragma once

#include <cstdint>

#include "common/clock.h"

namespace wisteriadale::core {

/// How many attempts may run on a target at one time.
class concurrency_limit {
 public:
  virtual ~concurrency_limit() = default;
  virtual uint32_t Limit() const = 0;
  /// An attempt ended.
  /// @param took    its time on the target
  /// @param running attempts that ran beside it when it began, itself included
  /// @param ok      false when the target failed
  virtual void OnResult(common::duration took, uint32_t running, bool ok) = 0;
};

/// Baseline: a constant.
class fixed_limit final : public concurrency_limit {
 public:
  explicit fixed_limit(uint32_t limit) : limit_(limit) {}
  uint32_t Limit() const override { return limit_; }
  void OnResult(common::duration, uint32_t, bool) override {}

 private:
  uint32_t limit_;
};

}  // namespace wisteriadale::core
